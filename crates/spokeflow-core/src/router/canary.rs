//! Which build a command goes to while one is on trial.

use super::SECOND;
use super::{Out, Router};
use crate::state::Command;
use crate::{BuildId, Micros, RolloutState, RolloutStatus};

/// Part of the cap that the lane takes, and how far keys follow the machines above it: others need room too.
const LANE_OF_CAP: f64 = 0.7;
const REPIN_OF_CAP: f64 = 0.9;
/// How far the lane runs ahead of its machines' part where the earlier ones are on their way out.
const AHEAD: f64 = 1.25;
const LANE_GROWS: Micros = 2 * SECOND;
pub(super) const PIN_IDLE: Micros = 10 * SECOND;

impl Router {
    pub fn on_rollout_status(&mut self, news: RolloutStatus, out: Out) {
        let before = self.news.replace(news);
        let same_build = before.is_some_and(|b| b.build == news.build);
        if !same_build {
            self.seen = 0;
            self.sums.fill(0.0);
            self.hosts.clear_evidence();
        }
        if !same_build || before.is_some_and(|b| b.stage != news.stage || b.state != news.state) {
            self.stage_began = self.now - news.age;
            (self.seen_in_stage, self.counted_in_stage) = (0, 0.0);
            (self.vote, self.vote_again_at) = (None, self.now);
            self.own_turn = (self.chance.fraction() * self.fig.vote_span) as Micros;
        }
        if self.sent_back(news.build) {
            // A send-back returns keys to the earlier build and opens the way that one-way rules closed.
            self.pins.retain(|_, pin| {
                pin.answered_by = pin.answered_by.filter(|b| *b != news.build);
                pin.build != news.build || pin.answered_by.is_some()
            });
        }
        self.beat(out);
    }

    pub(super) fn on_trial(&self, build: BuildId) -> bool {
        match &self.news {
            None => self.hosts.oldest_build().is_some_and(|b| b < build),
            Some(n) => build > n.build || (build == n.build && n.state != RolloutState::Released),
        }
    }

    pub(super) fn cap(&self, build: BuildId) -> f64 {
        self.news
            .filter(|n| n.build == build)
            .map_or(self.fig.first_cap, |n| n.exposure_cap)
    }

    pub(super) fn sent_back(&self, build: BuildId) -> bool {
        let back = |s| matches!(s, RolloutState::RollingBack | RolloutState::Withdrawn);
        self.news.is_some_and(|n| n.build == build && back(n.state))
    }

    /// Whether one-way rules hold keys at this build: the newest that was told, or one after it.
    pub(super) fn binds(&self, build: BuildId) -> bool {
        self.fig.one_way && self.news.is_none_or(|n| build >= n.build) && !self.sent_back(build)
    }

    /// The builds to try, best first. Pins keep a key at its build; the lane takes keys to the one on trial.
    pub(super) fn choose_builds(
        &self,
        c: &Command,
        floor: Option<BuildId>,
    ) -> [Option<BuildId>; 2] {
        let (stable, trial) = self.candidates();
        let open = |b: &BuildId| floor.is_none_or(|f| *b >= f);
        let (stable, trial) = (stable.filter(open), trial.filter(open));
        let (Some(new), Some(old)) = (trial, stable) else {
            return [stable, trial];
        };
        // What a build on trial has failed gets its further delivery where it is known to work.
        if self.sent_back(new) || c.deliveries.iter().any(|d| self.on_trial(d.build)) {
            return [stable, trial];
        }
        // A few keys may carry much of the traffic: the lane's come no faster than its machines bear, and no
        // more follow than the earlier build's machines have become fewer.
        let exposed = self.exposed.count(|(_, build)| build == new) as f64;
        let bears = self.trial_share(new, old) * self.taken.len().max(1) as f64;
        let pin = self
            .pins
            .get(&c.key)
            .filter(|p| c.key.0 != 0 && self.now - p.used_at < PIN_IDLE);
        let ahead = if pin.is_none() && self.fig.rolling {
            AHEAD
        } else {
            1.0
        };
        let takes_new = pin.is_some_and(|p| p.build == new)
            || c.key_position < self.lane && ahead * bears > exposed;
        [
            if takes_new { trial } else { stable },
            stable.filter(|_| takes_new),
        ]
    }

    /// The newest build that is free for all, and the newest on trial, each with a ready host.
    fn candidates(&self) -> (Option<BuildId>, Option<BuildId>) {
        let builds = || self.hosts.ready_builds().map(|(build, _)| build).rev();
        (
            builds().find(|b| !self.on_trial(*b)),
            builds().find(|b| self.on_trial(*b)),
        )
    }

    /// What part of the present capacity runs the build on trial, cold hosts counted by what they can do.
    fn trial_share(&self, new: BuildId, old: BuildId) -> f64 {
        // Side by side, each trial host bears what each earlier one did before the trial.
        let warmth = |age| self.warmth(age);
        let all = self.hosts.sum_sizes(warmth, |build| {
            build == old || self.fig.rolling && build > old
        });
        (self.hosts.sum_sizes(warmth, |build| build == new) / all.max(1e-9)).min(1.0)
    }

    /// The least part of its capacity that a host of an age can have.
    pub(super) fn warmth(&self, age: Micros) -> f64 {
        let part = age.min(self.fig.warm_within) as f64 / self.fig.warm_within as f64;
        self.fig.cold_from + (1.0 - self.fig.cold_from) * part
    }

    /// The lane grows towards its part of the cap, as far as the trial machines listed ready bear it, and
    /// follows the machines where the earlier build is left with fewer than its keys need. It never shrinks.
    pub(super) fn grow_lane(&mut self) {
        let spent = (self.now - self.beaten) as f64 / LANE_GROWS as f64;
        let (stable, Some(new)) = self.candidates() else {
            return;
        };
        self.lane = if self.lane_build == new {
            self.lane
        } else {
            0.0
        };
        self.lane_build = new;
        let cap = self.cap(new).max(0.0);
        let share = stable.map_or(1.0, |old| self.trial_share(new, old));
        let follow = share.min(if cap < 1.0 { REPIN_OF_CAP * cap } else { 1.0 });
        let ahead = if self.fig.rolling { AHEAD } else { 1.0 };
        let aim = (LANE_OF_CAP * cap).min(ahead * share).max(follow);
        self.lane = self
            .lane
            .max(aim.min(self.lane + spent * aim.max(0.02)))
            .min(cap);
    }
}
