//! A model of the release controller: it offers builds, counts votes, moves stages and replaces hosts. No I/O; time
//! is handed in.

use std::collections::BTreeMap;

use crate::observation::RolloutState;
use crate::scenario::{Gate, Scenario};
use crate::{Micros, SECOND};

/// How the newest build's rollout stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: u16,
    /// Its stage, from 0.
    pub stage: u8,
    /// Where its rollout is.
    pub rollout: RolloutState,
    /// The exposure cap, 0 to 1.
    pub cap: f64,
    /// Since when all this is so.
    pub since: Micros,
}

/// A router's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerVote {
    /// Abstains.
    None,
    /// To the next stage.
    On,
    /// Stay in this stage.
    Hold,
    /// Roll the build back.
    Back,
}

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    /// It counts until it expires or another one of its router replaces it.
    Counted,
    /// It does not fit how the rollout stands.
    Stale,
    /// Votes come faster than they are taken.
    RateLimited,
}

/// A place in the fleet and the hosts that fill it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSlot {
    /// The host that runs.
    pub host: u32,
    /// Its build.
    pub build: u16,
    /// A host that is starting to take over, and its build.
    pub next: Option<(u32, u16)>,
}

/// What the fleet is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetOrder {
    /// Start a host.
    Start {
        /// Its number, never used before.
        host: u32,
        /// Index of its slot in the fleet.
        slot: usize,
        /// The build it runs.
        build: u16,
    },
    /// Drain a host.
    Drain {
        /// Its number.
        host: u32,
    },
}

/// A vote that counts.
struct CountedVote {
    build: u16,
    stage: u8,
    vote: ControllerVote,
    expires: Micros,
}

/// Votes that may still be taken: a token bucket.
struct VoteAllowance {
    at: Micros,
    tokens: f64,
}

impl VoteAllowance {
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
    /// How the newest build's rollout stands.
    pub state: RolloutStatus,
    /// The fleet's slots.
    pub slots: Vec<HostSlot>,
    /// By stage, the fraction of slots that run the new build.
    fractions: Vec<f64>,
    /// By stage, the exposure cap.
    caps: Vec<f64>,
    gate: Gate,
    bake: Micros,
    routers: u32,
    /// The build to go back to.
    earlier: u16,
    next_host: u32,
    /// When the stage's clock starts, once all its hosts run.
    complete: Option<Micros>,
    launched: Micros,
    /// The last vote of each router.
    votes: BTreeMap<u32, CountedVote>,
    allowance: VoteAllowance,
}

/// Votes taken a second, all routers together.
const VOTES_PER_SECOND: f64 = 50.0;
/// How long a vote counts.
const VOTE_LIFE: Micros = 10 * SECOND;
/// A stage's clock starts so long after its last host runs,
const SETTLE_AFTER: Micros = SECOND;
/// and so long after the stage's launch at the latest.
const SETTLE_LATEST: Micros = 8 * SECOND;
/// Part of the routers that must vote to roll back, where a majority decides.
const ROLLBACK_SHARE: f64 = 0.35;
/// Part of the routers that must vote to promote, where a majority decides.
const PROMOTE_SHARE: f64 = 0.6;

impl ReleaseController {
    /// The controller at the start: build 1 is released and runs in all slots.
    pub fn new(day: &Scenario) -> ReleaseController {
        let slots = (0..day.hosts)
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
            fractions: day.stage_fractions.clone(),
            caps: (0..day.stage_fractions.len()).map(|s| day.cap(s)).collect(),
            gate: day.gate,
            bake: day.bake,
            routers: day.routers,
            earlier: 1,
            next_host: day.hosts,
            complete: None,
            launched: 0,
            votes: BTreeMap::new(),
            allowance: VoteAllowance {
                at: 0,
                tokens: VOTES_PER_SECOND,
            },
        }
    }

    /// Offers a build. Returns false while an earlier one is in its canary or rolled back; a canary is taken off first.
    pub fn offer(&mut self, now: Micros, build: u16, orders: &mut Vec<FleetOrder>) -> bool {
        match self.state.rollout {
            RolloutState::Canary => {
                self.send_back(now, orders);
                false
            }
            RolloutState::RollingBack => false,
            RolloutState::Released | RolloutState::Withdrawn => {
                if self.state.rollout == RolloutState::Released {
                    self.earlier = self.state.build;
                }
                self.votes.clear();
                self.state = RolloutStatus {
                    build,
                    stage: 0,
                    rollout: RolloutState::Canary,
                    cap: self.caps[0],
                    since: now,
                };
                self.launch(now, orders);
                true
            }
        }
    }

    /// Starts successors until the stage has its fraction of slots.
    fn launch(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
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
        self.complete = None;
        self.launched = now;
    }

    /// Starts successors of `build` for up to `most` slots.
    fn replace(
        &mut self,
        most: usize,
        build: u16,
        which: impl Fn(&HostSlot) -> bool,
        orders: &mut Vec<FleetOrder>,
    ) {
        let free = |slot: &HostSlot| slot.next.is_none() && which(slot);
        // Spread over the fleet, so that a stage is not one site.
        let step = (self.slots.len() / most.max(1)).max(1);
        let order: Vec<usize> = (0..step)
            .flat_map(|first| (first..self.slots.len()).step_by(step))
            .collect();
        let mut left = most;
        for place in order {
            let slot = &mut self.slots[place];
            if left > 0 && free(slot) {
                slot.next = Some((self.next_host, build));
                orders.push(FleetOrder::Start {
                    host: self.next_host,
                    slot: place,
                    build,
                });
                self.next_host += 1;
                left -= 1;
            }
        }
    }

    /// A host runs: it takes its slot, and the one before is drained.
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
            self.complete.get_or_insert(now + SETTLE_AFTER);
        }
    }

    /// Rolls the newest build back.
    pub fn send_back(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let bad = self.state.build;
        self.state = RolloutStatus {
            rollout: RolloutState::RollingBack,
            cap: 0.0,
            since: now,
            ..self.state
        };
        // Successors that have not started yet are not needed; their slot is kept by the host before.
        for slot in self
            .slots
            .iter_mut()
            .filter(|slot| slot.next.is_some_and(|(_, build)| build == bad))
        {
            if let Some((host, _)) = slot.next.take() {
                orders.push(FleetOrder::Drain { host });
            }
        }
        self.replace(
            self.slots.len(),
            self.earlier,
            |slot| slot.build == bad,
            orders,
        );
    }

    /// A vote of router `from`.
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
        if !self.fits(build, stage, vote) {
            return VoteOutcome::Stale;
        }
        let counted = CountedVote {
            build,
            stage,
            vote,
            expires: now + VOTE_LIFE,
        };
        self.votes.insert(from, counted);
        VoteOutcome::Counted
    }

    fn fits(&self, build: u16, stage: u8, vote: ControllerVote) -> bool {
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
        let in_place = matches!(
            self.state.rollout,
            RolloutState::Canary | RolloutState::Released
        );
        in_place && self.state.build > 1
    }

    /// Votes that count now: to roll back in any stage, others in this one.
    fn count(&self, now: Micros, vote: ControllerVote) -> usize {
        let counts = |counted: &&CountedVote| {
            counted.build == self.state.build
                && counted.vote == vote
                && counted.expires > now
                && (vote == ControllerVote::Back || counted.stage == self.state.stage)
        };
        self.votes.values().filter(counts).count()
    }

    /// How many votes decide, where this part of a majority's routers must vote.
    fn votes_needed(&self, share: f64) -> usize {
        match self.gate {
            Gate::Single => 1,
            Gate::Majority => ((share * f64::from(self.routers)).ceil() as usize).max(1),
        }
    }

    /// Moves what is due. Not called while the controller is stalled.
    pub fn tick(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let votes_back = self.count(now, ControllerVote::Back);
        if self.may_roll_back() && votes_back >= self.votes_needed(ROLLBACK_SHARE) {
            return self.send_back(now, orders);
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
        let latest = self.launched + SETTLE_LATEST;
        let started = self.complete.unwrap_or(latest).min(latest);
        let votes_on = self.count(now, ControllerVote::On);
        now >= started + self.bake && votes_on >= self.votes_needed(PROMOTE_SHARE)
    }

    /// To the next stage, or released after the last one.
    fn promote(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let next = self.state.stage + 1;
        self.state.since = now;
        if usize::from(next) == self.fractions.len() {
            self.state.rollout = RolloutState::Released;
            self.state.cap = 1.0;
        } else {
            self.state.stage = next;
            self.state.cap = self.caps[usize::from(next)];
            self.launch(now, orders);
        }
    }
}
