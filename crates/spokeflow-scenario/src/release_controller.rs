//! The release desk: offers builds, counts votes, moves stages, replaces hosts. No I/O; time is handed in.

use std::collections::BTreeMap;

use crate::observation::Standing;
use crate::scenario::{Gate, Scenario};
use crate::{Micros, SECOND};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    pub build: u16,
    pub stage: u8,
    pub standing: Standing,
    pub cap: f64,
    pub since: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerVote {
    None,
    On,
    Hold,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    Counted,
    Moot,
    TooMany,
}

/// A place in the fleet and the hosts that fill it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSlot {
    pub host: u32,
    pub build: u16,
    /// A host that is starting to take over.
    pub next: Option<(u32, u16)>,
}

/// What the fleet is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetOrder {
    Start { host: u32, place: usize, build: u16 },
    Drain { host: u32 },
}

pub struct ReleaseController {
    pub state: State,
    pub places: Vec<HostSlot>,
    shares: Vec<f64>,
    caps: Vec<f64>,
    gate: Gate,
    bake: Micros,
    vote_life: Micros,
    routers: u32,
    earlier: u16,
    next_host: u32,
    /// When all machines of the stage ran.
    complete: Option<Micros>,
    launched: Micros,
    votes: BTreeMap<u32, (u16, u8, ControllerVote, Micros)>,
    allowance: (Micros, f64),
}

const VOTES_A_SECOND: f64 = 50.0;
/// A stage's clock starts so long after its last machine runs, or after the launch at the latest.
const SETTLE: Micros = SECOND;
const LATEST: Micros = 8 * SECOND;

impl ReleaseController {
    pub fn new(day: &Scenario) -> ReleaseController {
        let places = (0..day.hosts)
            .map(|host| HostSlot {
                host,
                build: 1,
                next: None,
            })
            .collect();
        ReleaseController {
            state: State {
                build: 1,
                stage: 0,
                standing: Standing::Released,
                cap: 1.0,
                since: 0,
            },
            places,
            shares: day.stage_shares.clone(),
            caps: (0..day.stage_shares.len()).map(|s| day.cap(s)).collect(),
            gate: day.gate,
            bake: day.bake,
            vote_life: 10 * SECOND,
            routers: day.routers,
            earlier: 1,
            next_host: day.hosts,
            complete: None,
            launched: 0,
            votes: BTreeMap::new(),
            allowance: (0, VOTES_A_SECOND),
        }
    }

    /// Offers a build. `false`: one is still on trial or going back; that is taken off first.
    pub fn offer(&mut self, now: Micros, build: u16, orders: &mut Vec<FleetOrder>) -> bool {
        match self.state.standing {
            Standing::OnTrial => {
                self.send_back(now, orders);
                false
            }
            Standing::GoingBack => false,
            Standing::Released | Standing::Withdrawn => {
                if self.state.standing == Standing::Released {
                    self.earlier = self.state.build;
                }
                self.votes.clear();
                self.state = State {
                    build,
                    stage: 0,
                    standing: Standing::OnTrial,
                    cap: self.caps[0],
                    since: now,
                };
                self.launch(now, orders);
                true
            }
        }
    }

    /// Starts successors until the stage has its share of places.
    fn launch(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let build = self.state.build;
        let share = self.shares[usize::from(self.state.stage)];
        let wanted =
            ((share * self.places.len() as f64).round() as usize).clamp(1, self.places.len());
        let have = self
            .places
            .iter()
            .filter(|p| p.build == build || p.next.is_some())
            .count();
        self.replace(
            wanted.saturating_sub(have),
            build,
            |p| p.build != build,
            orders,
        );
        (self.complete, self.launched) = (None, now);
    }

    fn replace(
        &mut self,
        most: usize,
        build: u16,
        which: impl Fn(&HostSlot) -> bool,
        orders: &mut Vec<FleetOrder>,
    ) {
        let chosen = |p: &&mut HostSlot| p.next.is_none() && which(p);
        // Spread over the fleet, so that a stage is not one site.
        let step = (self.places.len() / most.max(1)).max(1);
        let order: Vec<usize> = (0..step)
            .flat_map(|s| (s..self.places.len()).step_by(step))
            .collect();
        let mut left = most;
        for place in order {
            let p = &mut self.places[place];
            if left > 0 && chosen(&p) {
                p.next = Some((self.next_host, build));
                orders.push(FleetOrder::Start {
                    host: self.next_host,
                    place,
                    build,
                });
                self.next_host += 1;
                left -= 1;
            }
        }
    }

    /// A host runs: it takes its place, and the one before is drained.
    pub fn runs(&mut self, now: Micros, host: u32, orders: &mut Vec<FleetOrder>) {
        let Some(p) = self
            .places
            .iter_mut()
            .find(|p| p.next.is_some_and(|n| n.0 == host))
        else {
            return;
        };
        orders.push(FleetOrder::Drain { host: p.host });
        let build = p.next.take().map_or(p.build, |n| n.1);
        (p.host, p.build) = (host, build);
        if self.places.iter().all(|p| p.next.is_none()) {
            self.complete.get_or_insert(now + SETTLE);
        }
    }

    pub fn send_back(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let bad = self.state.build;
        self.state = State {
            standing: Standing::GoingBack,
            cap: 0.0,
            since: now,
            ..self.state
        };
        // Successors that have not started yet are not needed; their place is kept by the host before.
        for p in self
            .places
            .iter_mut()
            .filter(|p| p.next.is_some_and(|n| n.1 == bad))
        {
            if let Some((host, _)) = p.next.take() {
                orders.push(FleetOrder::Drain { host });
            }
        }
        self.replace(self.places.len(), self.earlier, |p| p.build == bad, orders);
    }

    /// A vote of router `from`.
    pub fn vote(
        &mut self,
        now: Micros,
        from: u32,
        build: u16,
        stage: u8,
        verdict: ControllerVote,
    ) -> VoteOutcome {
        let (at, left) = self.allowance;
        let left =
            (left + (now - at) as f64 / SECOND as f64 * VOTES_A_SECOND).min(2.0 * VOTES_A_SECOND);
        self.allowance = (now, (left - 1.0).max(0.0));
        if left < 1.0 {
            return VoteOutcome::TooMany;
        }
        let present = build == self.state.build;
        let fits = match verdict {
            ControllerVote::Hold => false,
            ControllerVote::None => true,
            ControllerVote::On => {
                present && stage == self.state.stage && self.state.standing == Standing::OnTrial
            }
            ControllerVote::Back => {
                present
                    && matches!(self.state.standing, Standing::OnTrial | Standing::Released)
                    && build > 1
            }
        };
        if !fits {
            return VoteOutcome::Moot;
        }
        self.votes
            .insert(from, (build, stage, verdict, now + self.vote_life));
        VoteOutcome::Counted
    }

    /// Moves what is due. A desk that stands still is not asked.
    pub fn tick(&mut self, now: Micros, orders: &mut Vec<FleetOrder>) {
        let State {
            build,
            stage,
            standing,
            ..
        } = self.state;
        let standing_votes = |verdict: ControllerVote| {
            let counts = |v: &&(u16, u8, ControllerVote, Micros)| {
                v.0 == build
                    && v.2 == verdict
                    && v.3 > now
                    && (verdict == ControllerVote::Back || v.1 == stage)
            };
            self.votes.values().filter(counts).count()
        };
        let need = |share: f64| match self.gate {
            Gate::Single => 1,
            Gate::Majority => ((share * f64::from(self.routers)).ceil() as usize).max(1),
        };
        let sendable = matches!(standing, Standing::OnTrial | Standing::Released) && build > 1;
        if sendable && standing_votes(ControllerVote::Back) >= need(0.35) {
            return self.send_back(now, orders);
        }
        match standing {
            Standing::OnTrial => {
                let started = self
                    .complete
                    .unwrap_or(self.launched + LATEST)
                    .min(self.launched + LATEST);
                if now < started + self.bake || standing_votes(ControllerVote::On) < need(0.6) {
                    return;
                }
                if usize::from(stage) + 1 == self.shares.len() {
                    self.state = State {
                        standing: Standing::Released,
                        cap: 1.0,
                        since: now,
                        ..self.state
                    };
                } else {
                    let cap = self.caps[usize::from(stage) + 1];
                    self.state = State {
                        stage: stage + 1,
                        cap,
                        since: now,
                        ..self.state
                    };
                    self.launch(now, orders);
                }
            }
            Standing::GoingBack if self.places.iter().all(|p| p.build != build) => {
                self.state = State {
                    standing: Standing::Withdrawn,
                    since: now,
                    ..self.state
                };
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Starts what is ordered at once.
    fn settle(desk: &mut ReleaseController, now: Micros, orders: &mut Vec<FleetOrder>) {
        while let Some(order) = orders.pop() {
            if let FleetOrder::Start { host, .. } = order {
                desk.runs(now, host, orders);
            }
        }
    }

    fn desk() -> ReleaseController {
        ReleaseController::new(&Scenario::plain(1, 60 * SECOND))
    }

    #[test]
    fn a_build_goes_through_all_stages_by_votes_and_no_sooner_than_baked() {
        let (mut desk, mut orders, mut now) = (desk(), Vec::new(), SECOND);
        assert!(desk.offer(now, 2, &mut orders));
        for stage in 0..5 {
            settle(&mut desk, now, &mut orders);
            assert_eq!(
                desk.vote(now, 0, 2, stage, ControllerVote::On),
                VoteOutcome::Counted
            );
            desk.tick(now + 2_900_000, &mut orders);
            assert_eq!(
                (desk.state.stage, desk.state.standing),
                (stage, Standing::OnTrial)
            );
            now += 3 * SECOND;
            desk.tick(now, &mut orders);
        }
        settle(&mut desk, now, &mut orders);
        assert_eq!(desk.state.standing, Standing::Released);
        assert!(desk.places.iter().all(|p| p.build == 2));
    }

    #[test]
    fn a_vote_back_takes_the_build_off_and_starts_the_earlier_one_again() {
        let (mut desk, mut orders) = (desk(), Vec::new());
        desk.offer(0, 2, &mut orders);
        settle(&mut desk, 0, &mut orders);
        assert_eq!(
            desk.vote(1, 1, 2, 0, ControllerVote::Back),
            VoteOutcome::Counted
        );
        desk.tick(2, &mut orders);
        assert_eq!(
            (desk.state.standing, desk.state.cap),
            (Standing::GoingBack, 0.0)
        );
        settle(&mut desk, 3, &mut orders);
        desk.tick(4, &mut orders);
        assert_eq!(desk.state.standing, Standing::Withdrawn);
        assert!(desk.places.iter().all(|p| p.build == 1));
        assert_eq!(desk.vote(5, 1, 2, 0, ControllerVote::On), VoteOutcome::Moot);
    }

    #[test]
    fn a_second_offer_takes_off_what_is_still_on_trial() {
        let (mut desk, mut orders) = (desk(), Vec::new());
        desk.offer(0, 2, &mut orders);
        assert!(!desk.offer(10, 3, &mut orders));
        settle(&mut desk, 11, &mut orders);
        desk.tick(12, &mut orders);
        assert!(desk.offer(13, 3, &mut orders));
        assert_eq!(desk.state.build, 3);
    }

    #[test]
    fn votes_are_bounded_and_pass_away() {
        let (mut desk, mut orders) = (desk(), Vec::new());
        desk.offer(0, 2, &mut orders);
        settle(&mut desk, 0, &mut orders);
        let counted = (0..500)
            .filter(|n| desk.vote(0, *n, 2, 0, ControllerVote::On) == VoteOutcome::Counted)
            .count();
        assert_eq!(counted, 50);
        desk.tick(11 * SECOND, &mut orders);
        assert_eq!(desk.state.stage, 0, "votes stand for ten seconds");
    }
}
