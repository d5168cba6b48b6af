//! Forgets state that no longer matters, so that a run of any length is checked in bounded memory.

use super::state::{Deadline, RouterView};
use super::{Checker, RuleConfig};
use crate::{Micros, SECOND};

/// Interval at which the state of the routers is swept.
const SWEEP_INTERVAL: Micros = SECOND;

/// The numbers of items that a checker retains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retained {
    /// Attempts.
    pub attempts: usize,
    /// Commands that took effect.
    pub commands: usize,
    /// Router processes.
    pub routers: usize,
    /// Times at which routers accepted attempts.
    pub accepted: usize,
    /// Times of deliveries, by router and build.
    pub deliveries: usize,
    /// Rollout updates, by router.
    pub rollouts: usize,
    /// Keys with the newest build that has answered them, by router.
    pub key_answers: usize,
}

impl Checker {
    /// Returns the numbers of items that are retained.
    pub fn retained(&self) -> Retained {
        let mut retained = Retained {
            attempts: self.attempts.len(),
            commands: self.effects.len(),
            routers: self.routers.len(),
            ..Retained::default()
        };
        for router in self.routers.values() {
            retained.accepted += router.accepted.len();
            retained.deliveries += router.sent.values().map(|sent| sent.len()).sum::<usize>();
            retained.rollouts += router.rollouts.len();
            retained.key_answers += router.key_answers.len();
        }
        retained
    }

    /// Checks the deadlines up to `now` and forgets state that no longer matters.
    pub(super) fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
        while let Some(due) = self.next_overdue() {
            self.answers_due.remove(&due);
            self.check_answered(due.at, due.attempt);
            self.attempts_to_forget.push_back(Deadline {
                at: due.at + self.config.linger,
                ..due
            });
        }
        let now = self.now;
        while let Some(due) = self.attempts_to_forget.pop_front_if(|due| due.at < now) {
            self.forget_attempt(due.attempt);
        }
        self.forget_effects();
        if now - self.last_sweep > SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep_routers();
        }
    }

    fn next_overdue(&self) -> Option<Deadline> {
        let first = self.answers_due.first().copied();
        first.filter(|due| due.at < self.now)
    }

    pub(super) fn forget_attempt(&mut self, number: u64) {
        if let Some(attempt) = self.attempts.remove(&number) {
            self.check_nack(number, &attempt);
        }
    }

    fn forget_effects(&mut self) {
        let horizon = self.now - 2 * self.config.linger;
        while let Some((at, command)) = self.effects_to_forget.pop_front_if(|(at, _)| *at < horizon)
        {
            let known = self.effects.get(&command);
            if known.is_some_and(|effects| effects.last <= at) {
                self.effects.remove(&command);
            }
        }
    }

    fn sweep_routers(&mut self) {
        let now = self.now;
        let config = &self.config;
        for router in self.routers.values_mut() {
            router.forget_before(now, config);
        }
        self.routers
            .retain(|_, router| !router.ended_before(now - 2 * config.linger));
    }
}

impl RouterView {
    fn forget_before(&mut self, now: Micros, config: &RuleConfig) {
        let window = config.exposure_span + config.drain_grace + 2 * config.slack + SECOND;
        let expired = |at: &mut Micros| now - *at > window;
        while self.accepted.pop_front_if(expired).is_some() {}
        for sent in self.sent.values_mut() {
            while sent.pop_front_if(expired).is_some() {}
        }
        self.sent.retain(|_, sent| !sent.is_empty());
        // The last update before the window still applies at its start.
        while self.rollouts.len() > 1 && now - self.rollouts[1].at > 2 * window {
            self.rollouts.pop_front();
        }
        self.hosts.retain(|_, host| {
            host.closed_since
                .is_none_or(|since| now - since < 2 * config.linger)
        });
        // A key answered by the oldest remaining build cannot go to an earlier one.
        let builds = self.hosts.values().map(|host| host.build);
        let oldest = builds.min().unwrap_or(0);
        self.key_answers.retain(|_, answer| answer.build > oldest);
    }

    fn ended_before(&self, horizon: Micros) -> bool {
        self.killed.or(self.shutdown).is_some_and(|at| at < horizon)
    }
}
