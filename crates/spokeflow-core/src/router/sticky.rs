//! The sticky assignment of keys to builds.

use std::collections::BTreeMap;

use super::{Router, SECOND};
use crate::state::StickyAssignment;
use crate::{BuildId, Key, Micros, RolloutState};

/// How long an assignment is followed, and kept where no rule needs it, after its last use.
pub(super) const STICKY_IDLE_TIMEOUT: Micros = 10 * SECOND;

/// The assignment of each key of late.
#[derive(Debug, Default)]
pub(super) struct StickyTable {
    by_key: BTreeMap<Key, StickyAssignment>,
    /// The newest build that has answered keys whose assignments are no longer kept.
    default_floor: Option<BuildId>,
}

impl StickyTable {
    pub(super) fn get(&self, key: Key) -> Option<&StickyAssignment> {
        self.by_key.get(&key)
    }

    pub(super) fn entry(&mut self, key: Key) -> &mut StickyAssignment {
        self.by_key.entry(key).or_default()
    }

    /// Takes keys off a build that is rolled back, and forgets what it answered.
    pub(super) fn forget_build(&mut self, build: BuildId) {
        self.by_key.retain(|_, assignment| {
            assignment.answered_by = assignment.answered_by.filter(|other| *other != build);
            assignment.build != build || assignment.answered_by.is_some()
        });
    }

    /// Drops the assignments that were not used of late and that `binds` does not name.
    fn sweep(&mut self, now: Micros, binds: impl Fn(&StickyAssignment) -> bool) {
        let floor = &mut self.default_floor;
        self.by_key.retain(|_, assignment| {
            let stays = now - assignment.used_at < STICKY_IDLE_TIMEOUT || binds(assignment);
            *floor = (*floor).max(assignment.answered_by.filter(|_| !stays));
            stays
        });
    }
}

/// What forward-only rules say of a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyRule {
    /// The newest build that has answered the key or may do so.
    pub(super) newest_build: Option<BuildId>,
    /// The earliest build that the key may go to.
    pub(super) floor: Option<BuildId>,
}

impl Router {
    /// Whether forward-only rules hold keys at this build: the newest that the controller named, or
    /// one after it.
    pub(super) fn binds_keys(&self, build: BuildId) -> bool {
        self.config.forward_only
            && self
                .rollout
                .status
                .is_none_or(|status| build >= status.build)
            && !self.rollout.is_rolled_back(build)
    }

    /// The builds that a key may go to.
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

    /// Remembers which build serves a key. One delivery to an earlier build takes no key off the
    /// trial.
    pub(super) fn assign_key(&mut self, key: Key, build: BuildId) {
        if key.0 == 0 {
            return;
        }
        let stays = self.sticky.get(key).is_some_and(|assignment| {
            build < assignment.build && self.is_on_trial(assignment.build)
        });
        let assignment = self.sticky.entry(key);
        if !stays {
            assignment.build = build;
        }
        assignment.used_at = self.now;
    }

    /// Drops assignments that no rule needs.
    pub(super) fn sweep_sticky(&mut self) {
        // Earlier builds bind no key, and once one is released all keys count as answered by it.
        let binding_from = self.rollout.status.map(|status| {
            let released = status.state == RolloutState::Released;
            status.build.0.saturating_add(released.into())
        });
        let forward_only = self.config.forward_only;
        // A delivery may be open for longer than an assignment without use: its answer binds the
        // key as well.
        self.sticky.sweep(self.now, |assignment| {
            let binds = |build: BuildId| Some(build.0) >= binding_from;
            forward_only && (assignment.claims > 0 || assignment.answered_by.is_some_and(binds))
        });
    }
}
