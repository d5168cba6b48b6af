//! A model of the release controller, which accepts new builds, counts votes, moves the rollout through its stages
//! and replaces hosts. No I/O; the caller passes the time in.

use std::collections::BTreeMap;

use crate::observation::RolloutState;
use crate::scenario::{Gate, Scenario};
use crate::{Micros, SECOND};

/// The state of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: u16,
    /// Index of the current stage.
    pub stage: u8,
    /// State of the rollout.
    pub rollout: RolloutState,
    /// The exposure cap, 0 to 1.
    pub cap: f64,
    /// Time of the last change.
    pub since: Micros,
}

/// A router's vote. Traces and reports contain the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerVote {
    /// Withdraws the router's earlier vote.
    None,
    /// Move to the next stage.
    On,
    /// Stay in this stage.
    Hold,
    /// Roll the build back.
    Back,
}

/// The outcome of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    /// The vote counts until it expires or its router votes again.
    Counted,
    /// The vote does not apply to the current state of the rollout.
    Stale,
    /// The vote exceeds the rate at which votes are accepted.
    RateLimited,
}

/// A slot in the fleet and the hosts that occupy it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSlot {
    /// Number of the running host.
    pub host: u32,
    /// Build of the running host.
    pub build: u16,
    /// Number and build of the host that is starting to replace it; `None` if it is not being replaced.
    pub next: Option<(u32, u16)>,
}

/// An order to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetOrder {
    /// Start a host.
    Start {
        /// Number of the host, never used before.
        host: u32,
        /// Index of the slot in the fleet.
        slot: usize,
        /// Build that the host runs.
        build: u16,
    },
    /// Drain a host.
    Drain {
        /// Number of the host.
        host: u32,
    },
}

/// A vote that counts until it expires.
struct CountedVote {
    build: u16,
    stage: u8,
    vote: ControllerVote,
    expires: Micros,
}

/// Rate limit of votes: a token bucket.
struct VoteAllowance {
    at: Micros,
    tokens: f64,
}

impl VoteAllowance {
    /// Takes a token for one vote. Returns false if none is left.
    fn take(&mut self, now: Micros) -> bool {
        let refill = (now - self.at) as f64 / SECOND as f64 * VOTES_PER_SECOND;
        let tokens = (self.tokens + refill).min(2.0 * VOTES_PER_SECOND);
        self.at = now;
        self.tokens = (tokens - 1.0).max(0.0);
        tokens >= 1.0
    }
}

/// The release controller of a run.
pub struct ReleaseController {
    /// State of the newest build's rollout.
    pub state: RolloutStatus,
    /// Slots of the fleet.
    pub slots: Vec<HostSlot>,
    /// By stage, the fraction of slots that run the new build.
    fractions: Vec<f64>,
    /// By stage, the exposure cap.
    caps: Vec<f64>,
    gate: Gate,
    bake: Micros,
    routers: u32,
    /// Build that a rollback returns to.
    earlier_build: u16,
    next_host: u32,
    /// Start of the stage's bake time; `None` until all its hosts run.
    bake_start: Option<Micros>,
    stage_started_at: Micros,
    /// By router, its last vote.
    votes: BTreeMap<u32, CountedVote>,
    allowance: VoteAllowance,
}

/// Votes accepted a second from all routers together.
const VOTES_PER_SECOND: f64 = 50.0;
/// Time for which a vote counts.
const VOTE_LIFETIME: Micros = 10 * SECOND;
/// Delay between the start of a stage's last host and the start of its bake time.
const SETTLE_DELAY: Micros = SECOND;
/// Longest delay between the start of a stage and the start of its bake time.
const MAX_SETTLE_DELAY: Micros = 8 * SECOND;
/// Fraction of the routers that must vote to roll back under a majority gate.
const ROLLBACK_SHARE: f64 = 0.35;
/// Fraction of the routers that must vote to promote under a majority gate.
const PROMOTE_SHARE: f64 = 0.6;

impl ReleaseController {
    /// Creates the controller at the start of a run: build 1 is released and runs in all slots.
    pub fn new(scenario: &Scenario) -> ReleaseController {
        let slots = (0..scenario.hosts)
            .map(|host| HostSlot {
                host,
                build: 1,
                next: None,
            })
            .collect();
        ReleaseController {
            state: RolloutStatus {
                build: 1,
                stage: 0,
                rollout: RolloutState::Released,
                cap: 1.0,
                since: 0,
            },
            slots,
            fractions: scenario.stage_fractions.clone(),
            caps: (0..scenario.stage_fractions.len())
                .map(|s| scenario.cap(s))
                .collect(),
            gate: scenario.gate,
            bake: scenario.bake,
            routers: scenario.routers,
            earlier_build: 1,
            next_host: scenario.hosts,
            bake_start: None,
            stage_started_at: 0,
            votes: BTreeMap::new(),
            allowance: VoteAllowance {
                at: 0,
                tokens: VOTES_PER_SECOND,
            },
        }
    }

    /// Offers a build. Returns false, so that the offer must be repeated, while an earlier build is in its canary or
    /// being rolled back. An earlier build in its canary is rolled back.
    pub fn offer(&mut self, now: Micros, build: u16, orders: &mut Vec<FleetOrder>) -> bool {
        match self.state.rollout {
            RolloutState::Canary => {
                self.roll_back(now, orders);
                false
            }
            RolloutState::RollingBack => false,
            RolloutState::Released | RolloutState::Withdrawn => {
                if self.state.rollout == RolloutState::Released {
                    self.earlier_build = self.state.build;
                }
                self.votes.clear();
                self.state = RolloutStatus {
                    build,
                    stage: 0,
                    rollout: RolloutState::Canary,
                    cap: self.caps[0],
                    since: now,
                };
                self.start_stage(now, orders);
                true
            }
        }
    }

    /// Starts hosts of the new build until the stage has its fraction of slots.
    fn start_stage(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let build = self.state.build;
        let fraction = self.fractions[usize::from(self.state.stage)];
        let target =
            ((fraction * self.slots.len() as f64).round() as usize).clamp(1, self.slots.len());
        let have = self
            .slots
            .iter()
            .filter(|slot| slot.build == build || slot.next.is_some())
            .count();
        self.replace(
            target.saturating_sub(have),
            build,
            |slot| slot.build != build,
            orders,
        );
        self.bake_start = None;
        self.stage_started_at = now;
    }

    /// Starts hosts of `build` for up to `max_slots` slots that satisfy `is_candidate` and are not already being replaced.
    fn replace(
        &mut self,
        max_slots: usize,
        build: u16,
        is_candidate: impl Fn(&HostSlot) -> bool,
        orders: &mut Vec<FleetOrder>,
    ) {
        let is_replaceable = |slot: &HostSlot| slot.next.is_none() && is_candidate(slot);
        // The slots are spread over the fleet, so that a stage is not confined to one site.
        let step = (self.slots.len() / max_slots.max(1)).max(1);
        let order: Vec<usize> = (0..step)
            .flat_map(|first| (first..self.slots.len()).step_by(step))
            .collect();
        let mut remaining = max_slots;
        for index in order {
            let slot = &mut self.slots[index];
            if remaining > 0 && is_replaceable(slot) {
                slot.next = Some((self.next_host, build));
                orders.push(FleetOrder::Start {
                    host: self.next_host,
                    slot: index,
                    build,
                });
                self.next_host += 1;
                remaining -= 1;
            }
        }
    }

    /// Handles the start of a host: it takes over its slot, and the previous host is drained.
    pub fn on_host_started(&mut self, now: Micros, host: u32, orders: &mut Vec<FleetOrder>) {
        let Some(slot) = self
            .slots
            .iter_mut()
            .find(|slot| slot.next.is_some_and(|(next, _)| next == host))
        else {
            return;
        };
        orders.push(FleetOrder::Drain { host: slot.host });
        let build = slot.next.take().map_or(slot.build, |(_, build)| build);
        slot.host = host;
        slot.build = build;
        if self.slots.iter().all(|slot| slot.next.is_none()) {
            self.bake_start.get_or_insert(now + SETTLE_DELAY);
        }
    }

    /// Rolls the newest build back.
    pub fn roll_back(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let withdrawn_build = self.state.build;
        self.state = RolloutStatus {
            rollout: RolloutState::RollingBack,
            cap: 0.0,
            since: now,
            ..self.state
        };
        // Hosts of the build that have not started are no longer needed; the present host keeps the slot.
        for slot in self
            .slots
            .iter_mut()
            .filter(|slot| slot.next.is_some_and(|(_, build)| build == withdrawn_build))
        {
            if let Some((host, _)) = slot.next.take() {
                orders.push(FleetOrder::Drain { host });
            }
        }
        self.replace(
            self.slots.len(),
            self.earlier_build,
            |slot| slot.build == withdrawn_build,
            orders,
        );
    }

    /// Handles a vote of router `from`.
    pub fn vote(
        &mut self,
        now: Micros,
        from: u32,
        build: u16,
        stage: u8,
        vote: ControllerVote,
    ) -> VoteOutcome {
        if !self.allowance.take(now) {
            return VoteOutcome::RateLimited;
        }
        if !self.is_applicable(build, stage, vote) {
            return VoteOutcome::Stale;
        }
        let counted = CountedVote {
            build,
            stage,
            vote,
            expires: now + VOTE_LIFETIME,
        };
        self.votes.insert(from, counted);
        VoteOutcome::Counted
    }

    /// Returns whether a vote applies to the current state of the rollout.
    fn is_applicable(&self, build: u16, stage: u8, vote: ControllerVote) -> bool {
        match vote {
            ControllerVote::Hold => false,
            ControllerVote::None => true,
            ControllerVote::On => {
                build == self.state.build
                    && stage == self.state.stage
                    && self.state.rollout == RolloutState::Canary
            }
            ControllerVote::Back => build == self.state.build && self.may_roll_back(),
        }
    }

    fn may_roll_back(&self) -> bool {
        let is_in_place = matches!(
            self.state.rollout,
            RolloutState::Canary | RolloutState::Released
        );
        is_in_place && self.state.build > 1
    }

    /// Returns how many unexpired votes there are: votes to roll back from any stage, others from the current stage.
    fn count_votes(&self, now: Micros, vote: ControllerVote) -> usize {
        let counts = |counted: &&CountedVote| {
            counted.build == self.state.build
                && counted.vote == vote
                && counted.expires > now
                && (vote == ControllerVote::Back || counted.stage == self.state.stage)
        };
        self.votes.values().filter(counts).count()
    }

    /// Returns the number of votes that decide. `share` is the fraction of the routers required by a majority gate.
    fn votes_needed(&self, share: f64) -> usize {
        match self.gate {
            Gate::Single => 1,
            Gate::Majority => ((share * f64::from(self.routers)).ceil() as usize).max(1),
        }
    }

    /// Rolls back, promotes or completes a rollback as due. Not called while the controller is stalled.
    pub fn tick(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let votes_back = self.count_votes(now, ControllerVote::Back);
        if self.may_roll_back() && votes_back >= self.votes_needed(ROLLBACK_SHARE) {
            return self.roll_back(now, orders);
        }
        let build = self.state.build;
        match self.state.rollout {
            RolloutState::Canary if self.stage_passed(now) => self.promote(now, orders),
            RolloutState::RollingBack if self.slots.iter().all(|slot| slot.build != build) => {
                self.state.rollout = RolloutState::Withdrawn;
                self.state.since = now;
            }
            _ => {}
        }
    }

    fn stage_passed(&self, now: Micros) -> bool {
        let latest = self.stage_started_at + MAX_SETTLE_DELAY;
        let bake_start = self.bake_start.unwrap_or(latest).min(latest);
        let votes_on = self.count_votes(now, ControllerVote::On);
        now >= bake_start + self.bake && votes_on >= self.votes_needed(PROMOTE_SHARE)
    }

    /// Moves to the next stage, or releases the build after the last one.
    fn promote(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let next = self.state.stage + 1;
        self.state.since = now;
        if usize::from(next) == self.fractions.len() {
            self.state.rollout = RolloutState::Released;
            self.state.cap = 1.0;
        } else {
            self.state.stage = next;
            self.state.cap = self.caps[usize::from(next)];
            self.start_stage(now, orders);
        }
    }
}
