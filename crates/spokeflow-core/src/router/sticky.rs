//! The sticky assignment of keys to builds.

use std::collections::BTreeMap;

use super::{Router, SECOND};
use crate::state::StickyAssignment;
use crate::{BuildId, Key, Micros, RolloutState};

/// Time after its last use in which an assignment is followed. It is then dropped unless
/// forward-only rules need it.
pub(super) const STICKY_IDLE_TIMEOUT: Micros = 10 * SECOND;

/// The assignments of recently used keys.
#[derive(Debug)]
pub(super) struct StickyTable {
    by_key: BTreeMap<Key, StickyAssignment>,
    /// The newest build that has answered any key without an assignment: it was dropped, or there
    /// was no room for it.
    default_floor: Option<BuildId>,
    /// Maximum number of assignments.
    max_keys: usize,
}

impl Default for StickyTable {
    fn default() -> Self {
        StickyTable {
            by_key: BTreeMap::new(),
            default_floor: None,
            max_keys: usize::MAX,
        }
    }
}

impl StickyTable {
    pub(super) fn get(&self, key: Key) -> Option<&StickyAssignment> {
        self.by_key.get(&key)
    }

    /// Returns the assignment of a key, a new one if it has none; `None` if there is no room for it.
    pub(super) fn entry(&mut self, key: Key) -> Option<&mut StickyAssignment> {
        if !self.has_room_for(key) {
            return None;
        }
        Some(self.by_key.entry(key).or_default())
    }

    /// Whether a key has an assignment or can be given one.
    pub(super) fn has_room_for(&self, key: Key) -> bool {
        self.by_key.len() < self.max_keys || self.by_key.contains_key(&key)
    }

    /// Counts all keys without an assignment as answered by this build or a later one.
    pub(super) fn raise_default_floor(&mut self, build: BuildId) {
        self.default_floor = self.default_floor.max(Some(build));
    }

    /// Forgets the answers of a build that is rolled back, and the assignments to it unless another
    /// build has answered the key.
    pub(super) fn forget_build(&mut self, build: BuildId) {
        self.by_key.retain(|_, assignment| {
            assignment.answered_by = assignment.answered_by.filter(|other| *other != build);
            assignment.build != build || assignment.answered_by.is_some()
        });
    }

    /// Drops the assignments that have reached the idle timeout, unless `binds` returns true.
    fn sweep(&mut self, now: Micros, binds: impl Fn(&StickyAssignment) -> bool) {
        let floor = &mut self.default_floor;
        self.by_key.retain(|_, assignment| {
            let stays = now - assignment.used_at < STICKY_IDLE_TIMEOUT || binds(assignment);
            *floor = (*floor).max(assignment.answered_by.filter(|_| !stays));
            stays
        });
    }
}

/// The bounds that forward-only rules set for a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyRule {
    /// The newest build that has answered the key or may do so; `None` where there is none or the
    /// rules do not apply.
    pub(super) newest_build: Option<BuildId>,
    /// The earliest build that the key may go to; `None` for any build.
    pub(super) floor: Option<BuildId>,
}

impl Router {
    /// Sets the maximum number of keys whose assignments are kept; without a call there is none.
    /// While there is no room for a key, its commands go to the build on trial only if no other
    /// serves, and all such keys then count as answered by it.
    pub fn set_max_sticky_keys(&mut self, max_keys: usize) {
        self.sticky.max_keys = max_keys;
    }

    /// Returns the number of keys whose assignments are kept.
    pub fn sticky_keys(&self) -> usize {
        self.sticky.by_key.len()
    }

    /// Whether forward-only rules bind keys to a build: the newest that the release controller has
    /// named, or a later one, unless it is rolled back.
    pub(super) fn binds_keys(&self, build: BuildId) -> bool {
        self.config.forward_only
            && self
                .rollout
                .status
                .is_none_or(|status| build >= status.build)
            && !self.rollout.is_rolled_back(build)
    }

    /// Returns the bounds on the builds that a key may go to.
    pub(super) fn key_rule(&self, key: Key) -> KeyRule {
        let has_key = key.0 != 0;
        let newest_build = self
            .sticky
            .get(key)
            .filter(|_| self.config.forward_only && has_key)
            .and_then(StickyAssignment::newest_build);
        let floor = newest_build
            .max(self.sticky.default_floor.filter(|_| has_key))
            .filter(|build| self.binds_keys(*build));
        KeyRule {
            newest_build,
            floor,
        }
    }

    /// Assigns a key to the build that serves it. A key that is assigned to a build on trial keeps
    /// this assignment if a single delivery goes to an earlier build.
    pub(super) fn assign_key(&mut self, key: Key, build: BuildId) {
        if key.0 == 0 {
            return;
        }
        let stays = self.sticky.get(key).is_some_and(|assignment| {
            build < assignment.build && self.is_on_trial(assignment.build)
        });
        let Some(assignment) = self.sticky.entry(key) else {
            return;
        };
        if !stays {
            assignment.build = build;
        }
        assignment.used_at = self.now;
    }

    /// Notes that a delivery of a key goes to a build.
    pub(super) fn claim_key(&mut self, key: Key, build: BuildId) {
        if let Some(assignment) = self.sticky.entry(key) {
            assignment.add_open_delivery(build);
        } else if key.0 != 0 && self.binds_keys(build) {
            self.sticky.raise_default_floor(build);
        }
    }

    /// Drops idle assignments that forward-only rules do not need.
    pub(super) fn sweep_sticky(&mut self) {
        // Earlier builds do not bind keys, and once a build is released all keys count as answered
        // by it.
        let binding_from = self.rollout.status.map(|status| {
            let released = status.state == RolloutState::Released;
            status.build.0.saturating_add(released.into())
        });
        let forward_only = self.config.forward_only;
        // A delivery may be open for longer than the idle timeout, and its answer binds the key
        // too.
        self.sticky.sweep(self.now, |assignment| {
            let binds = |build: BuildId| Some(build.0) >= binding_from;
            forward_only
                && (assignment.open_deliveries > 0 || assignment.answered_by.is_some_and(binds))
        });
    }
}
