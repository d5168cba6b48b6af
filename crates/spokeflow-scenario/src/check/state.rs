//! What the checker remembers of attempts, commands and routers.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::observation::{Phase, Process, RolloutState};
use crate::Micros;

/// When something is due for an attempt; the earliest sorts first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub(super) at: Micros,
    pub(super) attempt: u64,
}

/// One attempt of a client at a command.
pub(super) struct Attempt {
    pub(super) router: Process,
    pub(super) command: u64,
    pub(super) operation: usize,
    /// The sticky key, 0 for none.
    pub(super) key: u64,
    pub(super) deadline: Micros,
    /// Begun when its router had been told to end.
    pub(super) excused: bool,
    pub(super) client_left: bool,
    pub(super) answered: bool,
    pub(super) nacked: Option<Micros>,
    pub(super) deliveries: Vec<Delivery>,
}

/// One delivery of an attempt to a host.
pub(super) struct Delivery {
    pub(super) at: Micros,
    pub(super) number: u64,
    /// The host said that it did not look at it.
    pub(super) refused: bool,
}

/// The effects of one command.
pub(super) struct CommandEffects {
    pub(super) count: u32,
    pub(super) attempts: Vec<u64>,
    pub(super) last: Micros,
}

/// A host as a router knows it.
pub(super) struct KnownHost {
    pub(super) build: u16,
    /// Since when nothing new may go there.
    pub(super) closed_since: Option<Micros>,
}

/// A state of the rollout as a router was told it.
#[derive(Clone, Copy)]
pub(super) struct Rollout {
    pub(super) at: Micros,
    pub(super) build: u16,
    pub(super) standing: RolloutState,
    pub(super) cap: f64,
}

impl Rollout {
    pub(super) fn goes_back(&self) -> bool {
        matches!(
            self.standing,
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

/// What one router process was told and what it did.
#[derive(Default)]
pub(super) struct RouterView {
    pub(super) hosts: HashMap<u32, KnownHost>,
    /// When it was first told a whole list.
    pub(super) first_full_list: Option<Micros>,
    /// In the order in which it was told them.
    pub(super) rollouts: VecDeque<Rollout>,
    /// When it accepted attempts.
    pub(super) accepted: VecDeque<Micros>,
    /// When it sent deliveries, by build.
    pub(super) sent: BTreeMap<u16, VecDeque<Micros>>,
    pub(super) key_answers: HashMap<u64, KeyAnswer>,
    pub(super) killed: Option<Micros>,
    /// When it was told to end.
    pub(super) shutdown: Option<Micros>,
}

impl RouterView {
    /// The router was told a host list, `whole` or the changes alone.
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

    /// The router was told how the rollout stands.
    pub(super) fn on_rollout(&mut self, at: Micros, build: u16, standing: RolloutState, cap: f64) {
        let rollout = Rollout {
            at,
            build,
            standing,
            cap,
        };
        self.rollouts.push_back(rollout);
        // Rule 5 speaks of the newest build told, on trial or released, and of later ones: one that has
        // not been released when the next is due goes back, and its keys with it.
        let back = rollout.goes_back();
        self.key_answers
            .retain(|_, answer| answer.build > build || answer.build == build && !back);
    }

    /// Whether the router may have known by then that this build goes back, or that a later one is the newest.
    pub(super) fn unbound(&self, at: Micros, slack: Micros, build: u16) -> bool {
        self.rollouts_within(at, slack)
            .any(|rollout| rollout.build > build || rollout.build == build && rollout.goes_back())
    }

    /// What the router may go by at some time within `span` before `at`: the states told then, and the last one
    /// before.
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
