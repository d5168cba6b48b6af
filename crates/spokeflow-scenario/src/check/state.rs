//! State of the checker: attempts, commands and routers.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::observation::{Phase, Process, RolloutState};
use crate::Micros;

/// A deadline of an attempt; the earliest sorts first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub(super) at: Micros,
    pub(super) attempt: u64,
}

/// An attempt of a client at a command.
pub(super) struct Attempt {
    pub(super) router: Process,
    pub(super) command: u64,
    pub(super) operation: usize,
    /// The sticky key, 0 for none.
    pub(super) key: u64,
    pub(super) deadline: Micros,
    /// Whether its router had been asked to shut down before the attempt, so that no answer is required.
    pub(super) needs_no_answer: bool,
    pub(super) client_left: bool,
    pub(super) answered: bool,
    /// Time of its first nack.
    pub(super) nacked: Option<Micros>,
    pub(super) deliveries: Vec<Delivery>,
}

/// A delivery of an attempt to a host.
pub(super) struct Delivery {
    pub(super) at: Micros,
    pub(super) number: u64,
    /// Whether the host refused it without running it.
    pub(super) refused: bool,
}

/// The effects of one command.
pub(super) struct CommandEffects {
    pub(super) count: u32,
    /// Attempts that took effect.
    pub(super) attempts: Vec<u64>,
    /// Time of the last effect.
    pub(super) last: Micros,
}

/// A host as a router knows it.
pub(super) struct KnownHost {
    pub(super) build: u16,
    /// Time at which the router learned that the host accepts no new commands; `None` if it does.
    pub(super) closed_since: Option<Micros>,
}

/// A rollout update that a router was sent.
#[derive(Clone, Copy)]
pub(super) struct Rollout {
    pub(super) at: Micros,
    pub(super) build: u16,
    pub(super) state: RolloutState,
    pub(super) cap: f64,
}

impl Rollout {
    pub(super) fn is_rolled_back(&self) -> bool {
        matches!(
            self.state,
            RolloutState::RollingBack | RolloutState::Withdrawn
        )
    }
}

/// The newest build that has answered a key.
#[derive(Clone, Copy)]
pub(super) struct KeyAnswer {
    pub(super) build: u16,
    pub(super) at: Micros,
}

/// The updates that a router process was sent, and its accepted attempts and deliveries.
#[derive(Default)]
pub(super) struct RouterView {
    pub(super) hosts: HashMap<u32, KnownHost>,
    /// Time at which it was sent its first complete list.
    pub(super) first_full_list: Option<Micros>,
    /// Rollout updates in the order in which they were sent.
    pub(super) rollouts: VecDeque<Rollout>,
    /// Times at which it accepted attempts.
    pub(super) accepted: VecDeque<Micros>,
    /// By build, the times of its deliveries.
    pub(super) sent: BTreeMap<u16, VecDeque<Micros>>,
    /// By key, the newest build that has answered it.
    pub(super) key_answers: HashMap<u64, KeyAnswer>,
    pub(super) killed: Option<Micros>,
    /// Time at which it was asked to shut down.
    pub(super) shutdown: Option<Micros>,
}

impl RouterView {
    /// Records an update of the endpoint list: the complete list if `whole`, otherwise the changes.
    pub(super) fn on_list(&mut self, at: Micros, whole: bool, lines: &[(u32, u16, Phase)]) {
        if whole {
            self.first_full_list.get_or_insert(at);
            let listed: BTreeSet<u32> = lines.iter().map(|(host, ..)| *host).collect();
            for (host, known) in &mut self.hosts {
                if !listed.contains(host) {
                    known.closed_since.get_or_insert(at);
                }
            }
        }
        for (host, build, phase) in lines {
            let known = self.hosts.entry(*host).or_insert(KnownHost {
                build: *build,
                closed_since: None,
            });
            if *phase != Phase::Gone {
                known.build = *build;
            }
            if *phase == Phase::Ready {
                known.closed_since = None;
            } else {
                known.closed_since.get_or_insert(at);
            }
        }
    }

    /// Records a rollout update.
    pub(super) fn on_rollout(&mut self, at: Micros, build: u16, state: RolloutState, cap: f64) {
        let rollout = Rollout {
            at,
            build,
            state,
            cap,
        };
        self.rollouts.push_back(rollout);
        // Rule 5 binds keys to the newest announced build, in its canary or released, and to later ones. A build that
        // is not released when the next one is offered is rolled back, and its keys may return to an earlier build.
        let is_rolled_back = rollout.is_rolled_back();
        self.key_answers
            .retain(|_, answer| answer.build > build || answer.build == build && !is_rolled_back);
    }

    /// Returns whether the router may have known by `at` that this build is rolled back or that a later build is the
    /// newest one. Either means that the build binds no keys.
    pub(super) fn may_be_superseded(&self, at: Micros, slack: Micros, build: u16) -> bool {
        self.rollouts_within(at, slack).any(|rollout| {
            rollout.build > build || rollout.build == build && rollout.is_rolled_back()
        })
    }

    /// Returns the rollout updates that may apply at some time within `span` before `at`: those sent within the span
    /// and the last one before it.
    pub(super) fn rollouts_within(
        &self,
        at: Micros,
        span: Micros,
    ) -> impl Iterator<Item = &Rollout> {
        let end = self.rollouts.partition_point(|rollout| rollout.at <= at);
        let start = self
            .rollouts
            .partition_point(|rollout| rollout.at <= at - span)
            .min(end)
            .saturating_sub(1);
        self.rollouts.range(start..end)
    }
}
