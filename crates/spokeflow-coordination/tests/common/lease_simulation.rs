//! Lease holders and one granter at a time in simulated time.
//!
//! Messages are delayed, lost and reordered, clocks deviate by up to the configured drift, holders are paused and
//! restarted, and leaders change. Each step checks for how long routers act on contradicting revisions.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_coordination::{
    ConfigState, LeaseGrant, LeaseGranter, LeaseHolder, LeaseRequest, LogCommand, VoterAddresses,
};
use spokeflow_core::Micros;

use super::common::proposal;
use super::CONFIG;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

/// Returns the time by a clock of this rate when it is `now` in true time.
fn local_time(now: Micros, clock_rate: f64) -> Micros {
    (now as f64 * clock_rate) as Micros
}

struct Router {
    holder: LeaseHolder,
    clock_rate: f64,
    paused_until: Micros,
    renew_at: Micros,
    process: u64,
}

impl Router {
    fn is_running(&self, now: Micros) -> bool {
        now >= self.paused_until
    }
}

struct Leader {
    granter: LeaseGranter,
    clock_rate: f64,
}

enum Message {
    Request {
        router: usize,
        number: u64,
        request: LeaseRequest,
    },
    Grant {
        router: usize,
        process: u64,
        number: u64,
        grant: LeaseGrant,
    },
}

/// When a revision was proposed, and when it came into force.
struct RevisionTimes {
    proposed_at: Micros,
    in_force_at: Option<Micros>,
}

pub(crate) struct World {
    now: Micros,
    rng: StdRng,
    routers: Vec<Router>,
    state: ConfigState,
    leader: Option<Leader>,
    next_leader_at: Micros,
    /// Messages by time of arrival and sequence number.
    in_flight: BTreeMap<(Micros, u64), Message>,
    last_message: u64,
    revisions: BTreeMap<u64, RevisionTimes>,
    /// Time for which each revision was pending before it was put in force.
    pub(crate) pending_durations: Vec<Micros>,
    pub(crate) longest_contradiction: Micros,
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let routers = (0..8)
            .map(|index| Router {
                holder: LeaseHolder::new(CONFIG, index, index as u32),
                clock_rate: rng.random_range(0.99..=1.01),
                paused_until: 0,
                renew_at: 0,
                process: index,
            })
            .collect();
        World {
            now: 100 * SECOND,
            rng,
            routers,
            state: ConfigState::default(),
            leader: None,
            next_leader_at: 101 * SECOND,
            in_flight: BTreeMap::new(),
            last_message: 0,
            revisions: BTreeMap::new(),
            pending_durations: vec![],
            longest_contradiction: 0,
        }
    }

    fn send(&mut self, message: Message) {
        if self.rng.random_bool(0.05) {
            return;
        }
        let is_delayed = self.rng.random_bool(0.1);
        let longest = if is_delayed { 5 * SECOND } else { 60 * MS };
        let at = self.now + self.rng.random_range(MS..longest);
        self.deliver_at(at, message);
    }

    fn deliver_at(&mut self, at: Micros, message: Message) {
        self.last_message += 1;
        self.in_flight.insert((at, self.last_message), message);
    }

    pub(crate) fn step(&mut self) {
        self.now += 5 * MS;
        self.change_leader();
        while let Some(next) = self.in_flight.first_entry() {
            if next.key().0 > self.now {
                break;
            }
            let message = next.remove();
            self.deliver(message);
        }
        self.run_leader();
        for index in 0..self.routers.len() {
            self.run_router(index);
        }
        self.check();
    }

    /// Ends or starts a leadership at random. There is one leader at a time, which leader leases ensure in the control
    /// plane.
    fn change_leader(&mut self) {
        if self.leader.is_some() && self.rng.random_bool(0.002) {
            self.leader = None;
            self.next_leader_at = self.now + self.rng.random_range(0..3 * SECOND);
        }
        if self.leader.is_none() && self.now >= self.next_leader_at {
            let clock_rate = self.rng.random_range(0.99..=1.01);
            self.leader = Some(Leader {
                granter: LeaseGranter::new(CONFIG, local_time(self.now, clock_rate)),
                clock_rate,
            });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request {
                router,
                number,
                request,
            } => self.grant(router, number, &request),
            Message::Grant {
                router,
                process,
                number,
                grant,
            } => self.on_grant(router, process, number, grant),
        }
    }

    fn grant(&mut self, router: usize, number: u64, request: &LeaseRequest) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let now = local_time(self.now, leader.clock_rate);
        let voters = VoterAddresses::default();
        let grant = leader.granter.grant(now, request, &self.state, &voters);
        let process = request.process;
        self.send(Message::Grant {
            router,
            process,
            number,
            grant,
        });
    }

    /// Delivers a grant to a router: after the pause if the router is paused, not at all if it was restarted since the
    /// request.
    fn on_grant(&mut self, index: usize, process: u64, number: u64, grant: LeaseGrant) {
        let router = &mut self.routers[index];
        if !router.is_running(self.now) {
            let resumes_at = router.paused_until;
            let message = Message::Grant {
                router: index,
                process,
                number,
                grant,
            };
            return self.deliver_at(resumes_at, message);
        }
        if process == router.process && router.holder.on_grant(number, grant) {
            let newest = router.holder.newest();
            router.holder.set_applied_revision(newest);
        }
    }

    /// Puts a ready revision in force, or proposes the next one at random.
    fn run_leader(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let now = local_time(self.now, leader.clock_rate);
        if let Some(revision) = leader.granter.ready_revision(now, &self.state) {
            self.state
                .apply(LogCommand::PutInForce { revision, at_s: 0 });
            let times = self.revisions.get_mut(&revision.0).unwrap();
            times.in_force_at = Some(self.now);
            self.pending_durations.push(self.now - times.proposed_at);
        } else if self.state.pending.is_none() && self.rng.random_bool(0.01) {
            let newest = self.state.newest();
            let command = LogCommand::Propose(proposal(newest.0 + 1000, newest));
            self.state.apply(command);
            let times = RevisionTimes {
                proposed_at: self.now,
                in_force_at: None,
            };
            self.revisions.insert(newest.0 + 1, times);
        }
    }

    /// Pauses or restarts a router at random, and sends its next request when due.
    fn run_router(&mut self, index: usize) {
        if self.rng.random_bool(0.0005) {
            let duration = self.rng.random_range(0..6 * SECOND);
            self.routers[index].paused_until = self.now + duration;
        }
        if self.rng.random_bool(0.0005) {
            let process = self.rng.random();
            let router = &mut self.routers[index];
            router.holder = LeaseHolder::new(CONFIG, process, index as u32);
            router.process = process;
        }
        let router = &mut self.routers[index];
        let now = local_time(self.now, router.clock_rate);
        if router.is_running(self.now) && now >= router.renew_at {
            let (number, request) = router.holder.request(now);
            router.renew_at = now + router.holder.renewal_interval();
            self.send(Message::Request {
                router: index,
                number,
                request,
            });
        }
    }

    /// Checks each router that runs and holds a lease, as it may act now.
    fn check(&mut self) {
        for router in &self.routers {
            let now = local_time(self.now, router.clock_rate);
            let expires_at = router.holder.expires_at();
            let holds_lease = expires_at.is_some_and(|expires_at| now < expires_at);
            if !router.is_running(self.now) || !holds_lease {
                continue;
            }
            let in_force = router.holder.in_force().number.0;
            let newest = router.holder.newest().0;
            for (revision, times) in self.revisions.range(in_force + 1..) {
                // The router does not know the later revision, so it does not act on the stricter of both either.
                if *revision > newest {
                    let contradicts_for = self.now - times.proposed_at;
                    self.longest_contradiction = self.longest_contradiction.max(contradicts_for);
                    assert!(
                        contradicts_for <= CONFIG.longest_contradiction(),
                        "revision {revision} unknown for {contradicts_for} us, newest {newest}"
                    );
                    assert!(
                        times.in_force_at.is_none(),
                        "revision {revision} is in force and unknown, newest {newest}"
                    );
                }
                // For settings of which neither value is stricter, this router acts on the earlier revision, and others
                // may act on the later one.
                if let Some(in_force_at) = times.in_force_at {
                    let contradicts_for = self.now - in_force_at;
                    self.longest_contradiction = self.longest_contradiction.max(contradicts_for);
                    assert!(
                        contradicts_for <= CONFIG.longest_contradiction(),
                        "revision {revision} in force for {contradicts_for} us, acts on {in_force}"
                    );
                }
            }
        }
    }
}
