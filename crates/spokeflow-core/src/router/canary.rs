//! Which build a command goes to while one is on trial.

use super::sticky::STICKY_IDLE_TIMEOUT;
use super::{Router, SECOND};
use crate::state::Command;
use crate::{BuildId, Micros};

/// Part of the exposure cap that the canary fraction takes, and how far keys follow the hosts above
/// it: keys that carry more than the mean traffic need some of it too.
const CANARY_FRACTION_OF_CAP: f64 = 0.7;
const REASSIGN_FRACTION_OF_CAP: f64 = 0.9;
/// How far the canary fraction runs ahead of its hosts' part where the earlier ones are being
/// replaced.
const CANARY_LEAD: f64 = 1.25;
/// Time in which the canary fraction grows from nothing to what it aims at: its hosts see load
/// rise, not jump.
const CANARY_GROWTH_TIME: Micros = 2 * SECOND;
/// Least aim that the growth goes by, so that a small one is reached as well.
const MIN_GROWTH_AIM: f64 = 0.02;

/// The part of the keys that goes to the build on trial.
#[derive(Debug, Default)]
pub(super) struct CanaryFraction {
    build: BuildId,
    /// Keys whose position is below it go to the build on trial.
    pub(super) fraction: f64,
}

impl CanaryFraction {
    /// Begins anew where another build is on trial.
    fn follow(&mut self, build: BuildId) {
        if self.build != build {
            self.fraction = 0.0;
        }
        self.build = build;
    }

    /// Grows towards an aim over a part of the growth time, up to the cap; never shrinks but for
    /// the cap.
    fn grow(&mut self, aim: f64, part: f64, cap: f64) {
        let step = self.fraction + part * aim.max(MIN_GROWTH_AIM);
        self.fraction = self.fraction.max(aim.min(step)).min(cap);
    }
}

/// The newest build that is free for all, and the newest on trial, each with a ready host.
#[derive(Clone, Copy, Debug)]
struct ServingBuilds {
    stable: Option<BuildId>,
    trial: Option<BuildId>,
}

/// The builds to try, in this order.
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
    /// The builds to try for a command, best first. Assignments keep a key at its build; the canary
    /// fraction takes keys to the one on trial.
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
        // What a build on trial has failed gets its further delivery where it is known to work.
        let tried_trial = || {
            let mut deliveries = command.deliveries.iter();
            deliveries.any(|delivery| self.is_on_trial(delivery.build))
        };
        if self.rollout.is_rolled_back(new) || tried_trial() {
            return stable_first;
        }
        if self.goes_to_trial(command, new, old) {
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

    /// Whether a command belongs to the canary fraction. A few keys may carry much of the traffic:
    /// the fraction's come no faster than its hosts bear, and no more follow than the earlier
    /// build's hosts have become fewer.
    fn goes_to_trial(&self, command: &Command, new: BuildId, old: BuildId) -> bool {
        let exposed = self.exposure.exposed_to(new) as f64;
        let bearable =
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
            || command.key_position < self.canary.fraction && lead * bearable > exposed
    }

    fn serving_builds(&self) -> ServingBuilds {
        let newest_first = || self.hosts.ready_builds().map(|(build, _)| build).rev();
        ServingBuilds {
            stable: newest_first().find(|build| !self.is_on_trial(*build)),
            trial: newest_first().find(|build| self.is_on_trial(*build)),
        }
    }

    /// What part of the present capacity runs the build on trial, cold hosts counted by what they
    /// can do.
    fn trial_capacity_fraction(&self, new: BuildId, old: BuildId) -> f64 {
        // Side by side, each trial host bears what each earlier one did before the trial.
        let warm_up = |age| self.warm_up_fraction(age);
        let all = self.hosts.sum_sizes(warm_up, |build| {
            build == old || self.config.rolling && build > old
        });
        let trial = self.hosts.sum_sizes(warm_up, |build| build == new);
        (trial / all.max(1e-9)).min(1.0)
    }

    /// The canary fraction grows towards its part of the cap, as far as the trial hosts listed
    /// ready bear it, and follows the hosts where the earlier build is left with fewer than its
    /// keys need.
    pub(super) fn grow_canary(&mut self) {
        let part = (self.now - self.ticks.ticked_at) as f64 / CANARY_GROWTH_TIME as f64;
        let serving = self.serving_builds();
        let Some(new) = serving.trial else {
            return;
        };
        self.canary.follow(new);
        let cap = self.exposure_cap(new).max(0.0);
        let capacity = serving
            .stable
            .map_or(1.0, |old| self.trial_capacity_fraction(new, old));
        let follow = capacity.min(if cap < 1.0 {
            REASSIGN_FRACTION_OF_CAP * cap
        } else {
            1.0
        });
        let lead = if self.config.rolling {
            CANARY_LEAD
        } else {
            1.0
        };
        let aim = (CANARY_FRACTION_OF_CAP * cap)
            .min(lead * capacity)
            .max(follow);
        self.canary.grow(aim, part, cap);
    }
}
