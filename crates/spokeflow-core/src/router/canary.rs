//! The choice of the build for a command while one is on trial.
//!
//! A build is on trial while it is newer than the released one; see `Router::is_on_trial`.

use super::load::MIN_DIVISOR;
use super::sticky::STICKY_IDLE_TIMEOUT;
use super::{Router, SECOND};
use crate::state::Command;
use crate::{BuildId, Micros};

/// Part of the exposure cap up to which the canary fraction grows to the trial hosts' part of the
/// capacity, times [`CANARY_LEAD`] where hosts are replaced in place. The rest of the cap is for
/// keys with more than the mean traffic.
const CANARY_FRACTION_OF_CAP: f64 = 0.7;
/// Part of a cap below 1 up to which the canary fraction grows further as the trial hosts' part of
/// the capacity grows, but without the lead. A cap of 1 does not bound it.
const PROPORTIONAL_FRACTION_OF_CAP: f64 = 0.9;
/// Factor on the trial hosts' part of the capacity where hosts are replaced in place. In
/// `grow_canary` it raises the target of the canary fraction, in `goes_to_trial` the bound on the
/// deliveries to the trial build, for keys without an assignment only.
const CANARY_LEAD: f64 = 1.25;
/// Time in which the canary fraction grows from 0 to its target, so that the load on the trial
/// hosts rises gradually.
const CANARY_GROWTH_TIME: Micros = 2 * SECOND;
/// Least target that the growth rate is derived from, so that a small target is reached as well.
const MIN_GROWTH_TARGET: f64 = 0.02;

/// The part of the key space that is routed to the build on trial.
#[derive(Debug, Default)]
pub(super) struct CanaryFraction {
    build: BuildId,
    /// Keys whose position is below this go to the build on trial.
    pub(super) fraction: f64,
}

impl CanaryFraction {
    /// Sets the build on trial. The fraction restarts from 0 where that is another build.
    fn set_build(&mut self, build: BuildId) {
        if self.build != build {
            self.fraction = 0.0;
        }
        self.build = build;
    }

    /// Grows towards `target` for `elapsed`, a fraction of the growth time. Shrinks only to stay
    /// within the cap.
    fn grow(&mut self, target: f64, elapsed: f64, cap: f64) {
        let step = self.fraction + elapsed * target.max(MIN_GROWTH_TARGET);
        self.fraction = self.fraction.max(target.min(step)).min(cap);
    }
}

/// The newest build that is not on trial and the newest that is, among those with a ready host.
#[derive(Clone, Copy, Debug)]
struct ServingBuilds {
    stable: Option<BuildId>,
    trial: Option<BuildId>,
}

/// The builds to try for a command, in this order.
#[derive(Clone, Copy, Debug)]
pub(super) struct BuildChoice {
    first: Option<BuildId>,
    second: Option<BuildId>,
}

impl BuildChoice {
    pub(super) fn builds(self) -> impl Iterator<Item = BuildId> {
        [self.first, self.second].into_iter().flatten()
    }
}

impl Router {
    /// Returns the builds to try for a command, best first, none of them earlier than `floor`.
    /// Sticky assignments keep a key at its build; the canary fraction moves keys to the build on
    /// trial.
    pub(super) fn choose_builds(&self, command: &Command, floor: Option<BuildId>) -> BuildChoice {
        let serving = self.serving_builds();
        let allowed = |build: &BuildId| floor.is_none_or(|floor| *build >= floor);
        let stable = serving.stable.filter(allowed);
        let trial = serving.trial.filter(allowed);
        let stable_first = BuildChoice {
            first: stable,
            second: trial,
        };
        let (Some(new), Some(old)) = (trial, stable) else {
            return stable_first;
        };
        // After a delivery to a build on trial, the next one goes to the stable build.
        let tried_trial = || {
            let mut deliveries = command.deliveries.iter();
            deliveries.any(|delivery| self.is_on_trial(delivery.build))
        };
        if self.rollout.is_rolled_back(new) || tried_trial() {
            return stable_first;
        }
        if self.sticky.has_room_for(command.key) && self.goes_to_trial(command, new, old) {
            BuildChoice {
                first: trial,
                second: stable,
            }
        } else {
            BuildChoice {
                first: stable,
                second: None,
            }
        }
    }

    /// Whether a command goes to the build on trial: its key is assigned there, or lies within the
    /// canary fraction and the trial hosts have capacity for it. Because a few keys may carry much
    /// of the traffic, the deliveries to the trial build are also bounded by its part of the
    /// capacity. `CANARY_LEAD` raises this bound only for keys without an assignment, so that keys
    /// leave the earlier build no faster than its hosts are replaced.
    fn goes_to_trial(&self, command: &Command, new: BuildId, old: BuildId) -> bool {
        let exposed = self.exposure.exposed_to(new) as f64;
        let sustainable =
            self.trial_capacity_fraction(new, old) * self.exposure.received().max(1) as f64;
        let assignment = self.sticky.get(command.key).filter(|assignment| {
            command.key.0 != 0 && self.now - assignment.used_at < STICKY_IDLE_TIMEOUT
        });
        let lead = if assignment.is_none() && self.config.rolling {
            CANARY_LEAD
        } else {
            1.0
        };
        assignment.is_some_and(|assignment| assignment.build == new)
            || command.key_position < self.canary.fraction && lead * sustainable > exposed
    }

    fn serving_builds(&self) -> ServingBuilds {
        let newest_first = || self.hosts.ready_builds().map(|(build, _)| build).rev();
        ServingBuilds {
            stable: newest_first().find(|build| !self.is_on_trial(*build)),
            trial: newest_first().find(|build| self.is_on_trial(*build)),
        }
    }

    /// Returns the part of the present capacity that runs the build on trial. Cold hosts count
    /// with their present capacity.
    fn trial_capacity_fraction(&self, new: BuildId, old: BuildId) -> f64 {
        // Where the trial hosts run beside the earlier ones, the earlier hosts alone carried the
        // whole traffic before the trial, so the trial hosts are compared with them only.
        let capacity = |age| self.capacity_fraction(age);
        let all = self.hosts.sum_sizes(capacity, |build| {
            build == old || self.config.rolling && build > old
        });
        let trial = self.hosts.sum_sizes(capacity, |build| build == new);
        (trial / all.max(MIN_DIVISOR)).min(1.0)
    }

    /// Grows the canary fraction towards its part of the cap, as far as the ready trial hosts have
    /// capacity for it. Where the earlier build is left with too few hosts for its keys, the
    /// fraction follows the trial hosts' part of the capacity.
    pub(super) fn grow_canary(&mut self) {
        let elapsed = (self.now - self.ticks.ticked_at) as f64 / CANARY_GROWTH_TIME as f64;
        let serving = self.serving_builds();
        let Some(new) = serving.trial else {
            return;
        };
        self.canary.set_build(new);
        let cap = self.exposure_cap(new).max(0.0);
        let capacity = serving
            .stable
            .map_or(1.0, |old| self.trial_capacity_fraction(new, old));
        let without_lead = capacity.min(if cap < 1.0 {
            PROPORTIONAL_FRACTION_OF_CAP * cap
        } else {
            1.0
        });
        let lead = if self.config.rolling {
            CANARY_LEAD
        } else {
            1.0
        };
        let target = (CANARY_FRACTION_OF_CAP * cap)
            .min(lead * capacity)
            .max(without_lead);
        self.canary.grow(target, elapsed, cap);
    }
}
