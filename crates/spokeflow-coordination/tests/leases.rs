//! One granter after the other and many holders in simulated time: messages late, lost, doubled and overtaking, clocks up
//! to the told drift off, holders stopped and started anew, leaders that follow each other. No two holders ever act on
//! revisions that contradict each other for longer than one lease.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_coordination::*;
use spokeflow_core::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const TERMS: LeaseConfig = LeaseConfig {
    duration: 2 * SECOND,
    max_clock_drift: 0.01,
};

struct Router {
    holder: LeaseHolder,
    rate: f64,
    stopped_until: Micros,
    ask_at: Micros,
    process: u64,
}

enum What {
    Asks(usize, u64, LeaseRequest),
    Answers(usize, u64, u64, LeaseGrant),
}

struct World {
    now: Micros,
    chance: StdRng,
    routers: Vec<Router>,
    ledger: ConfigState,
    leader: Option<(LeaseGranter, f64)>,
    lead_from: Micros,
    wire: BTreeMap<(Micros, u64), What>,
    sent: u64,
    /// By revision: when it was announced, and when it came into force.
    at: BTreeMap<u64, (Micros, Option<Micros>)>,
    waits: Vec<Micros>,
    longest: Micros,
}

impl World {
    fn new(seed: u64) -> World {
        let mut chance = StdRng::seed_from_u64(seed);
        let routers = (0..8).map(|n| Router {
            holder: LeaseHolder::new(TERMS, n, n as u32),
            rate: chance.random_range(0.99..=1.01),
            stopped_until: 0,
            ask_at: 0,
            process: n,
        });
        let routers = routers.collect();
        let (ledger, wire, at) = (ConfigState::default(), BTreeMap::new(), BTreeMap::new());
        let (now, leader, lead_from, sent) = (100 * SECOND, None, 101 * SECOND, 0);
        World {
            now,
            chance,
            routers,
            ledger,
            leader,
            lead_from,
            wire,
            sent,
            at,
            waits: vec![],
            longest: 0,
        }
    }

    fn post(&mut self, what: What) {
        if self.chance.random_bool(0.05) {
            return;
        }
        let held = self.chance.random_bool(0.1);
        let most = if held { 5 * SECOND } else { 60 * MS };
        let at = self.now + self.chance.random_range(MS..most);
        self.sent += 1;
        self.wire.insert((at, self.sent), what);
    }

    fn leader_now(&self, rate: f64) -> Micros {
        (self.now as f64 * rate) as Micros
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        // Leaders: one at a time, with gaps, as the keepers' own leases see to.
        if self.leader.is_some() && self.chance.random_bool(0.002) {
            self.leader = None;
            self.lead_from = self.now + self.chance.random_range(0..3 * SECOND);
        }
        if self.leader.is_none() && self.now >= self.lead_from {
            let rate = self.chance.random_range(0.99..=1.01);
            self.leader = Some((LeaseGranter::new(TERMS, self.leader_now(rate)), rate));
        }
        while self
            .wire
            .first_key_value()
            .is_some_and(|m| m.0 .0 <= self.now)
        {
            match self.wire.pop_first().unwrap().1 {
                What::Asks(n, number, asked) => {
                    let now = self.leader.as_ref().map(|l| self.leader_now(l.1));
                    if let (Some((granter, _)), Some(now)) = (&mut self.leader, now) {
                        let grant =
                            granter.grant(now, &asked, &self.ledger, &VoterAddresses::default());
                        let process = asked.process;
                        self.post(What::Answers(n, process, number, grant));
                    }
                }
                What::Answers(n, process, number, grant) => {
                    let r = &mut self.routers[n];
                    // To one that is stopped it comes late; to one that was started anew, not at all.
                    if self.now < r.stopped_until {
                        let at = r.stopped_until;
                        self.sent += 1;
                        self.wire
                            .insert((at, self.sent), What::Answers(n, process, number, grant));
                    } else if process == r.process && r.holder.on_grant(number, grant) {
                        let newest = r.holder.newest();
                        r.holder.set_applied_revision(newest);
                    }
                }
            }
        }
        if let Some((granter, rate)) = &mut self.leader {
            let now = (self.now as f64 * *rate) as Micros;
            if let Some(n) = granter.ready_revision(now, &self.ledger) {
                self.ledger.apply(LogCommand::PutInForce {
                    revision: n,
                    at_s: 0,
                });
                let at = self.at.get_mut(&n.0).unwrap();
                at.1 = Some(self.now);
                self.waits.push(self.now - at.0);
            } else if self.ledger.pending.is_none() && self.chance.random_bool(0.01) {
                let against = self.ledger.newest();
                let token = against.0 + 1000;
                let (who, why, values) = ("w".into(), "y".into(), Overrides::new());
                self.ledger.apply(LogCommand::Propose(Proposal {
                    token,
                    base: against,
                    who,
                    why,
                    at_s: 0,
                    values,
                }));
                self.at.insert(against.0 + 1, (self.now, None));
            }
        }
        for n in 0..self.routers.len() {
            if self.chance.random_bool(0.0005) {
                self.routers[n].stopped_until = self.now + self.chance.random_range(0..6 * SECOND);
            }
            if self.chance.random_bool(0.0005) {
                let process = self.chance.random();
                let r = &mut self.routers[n];
                (r.holder, r.process) = (LeaseHolder::new(TERMS, process, n as u32), process);
            }
            let r = &mut self.routers[n];
            let now = (self.now as f64 * r.rate) as Micros;
            if self.now >= r.stopped_until && now >= r.ask_at {
                let (number, asked) = r.holder.request(now);
                r.ask_at = now + r.holder.renewal_interval();
                self.post(What::Asks(n, number, asked));
            }
        }
        self.check();
    }

    /// Every router that runs and holds a lease acts at this instant.
    fn check(&mut self) {
        for r in self.routers.iter().filter(|r| self.now >= r.stopped_until) {
            let now = (self.now as f64 * r.rate) as Micros;
            if r.holder.expires_at().is_none_or(|until| now >= until) {
                continue;
            }
            let (in_force, newest) = (r.holder.in_force().number.0, r.holder.newest().0);
            for (revision, (announced, forced)) in self.at.iter().filter(|a| *a.0 > in_force) {
                // Not even the stricter of both: it does not know of the later one.
                if *revision > newest {
                    let for_now = self.now - announced;
                    self.longest = self.longest.max(for_now);
                    assert!(
                        for_now <= TERMS.longest_contradiction(),
                        "{revision} is not known, acts on {newest}"
                    );
                    assert!(
                        forced.is_none(),
                        "{revision} is in force, and one acts that has not heard of it"
                    );
                }
                // Where none is the stricter it acts on the earlier one, and others may on the later.
                if let Some(forced) = forced {
                    let for_now = self.now - forced;
                    self.longest = self.longest.max(for_now);
                    assert!(
                        for_now <= TERMS.longest_contradiction(),
                        "{revision} is in force, acts on {in_force}"
                    );
                }
            }
        }
    }
}

#[test]
fn no_two_routers_contradict_each_other_for_longer_than_a_lease() {
    let (mut revisions, mut longest, mut quick) = (0, 0, 0);
    for seed in 0..60 {
        let mut world = World::new(seed);
        (0..30_000).for_each(|_| world.step());
        revisions += world.waits.len();
        longest = longest.max(world.longest);
        quick += world.waits.iter().filter(|w| **w < TERMS.duration).count();
    }
    println!(
        "{revisions} revisions in force, {quick} of them before a lease had passed; longest contradiction {longest} us"
    );
    // The days must come near the bound, and the way by acknowledgement must be taken.
    assert!(revisions > 1000 && quick > 50, "{revisions} {quick}");
    assert!(longest > TERMS.duration * 8 / 10, "{longest}");
}

#[test]
fn an_offer_sent_twice_is_one_and_one_against_an_old_revision_is_refused() {
    let mut ledger = ConfigState::default();
    let offer = |token, against| {
        let (who, why, values) = ("w".to_string(), "y".to_string(), Overrides::new());
        LogCommand::Propose(Proposal {
            token,
            base: RevisionNumber(against),
            who,
            why,
            at_s: 0,
            values,
        })
    };
    ledger.apply(offer(1, 0));
    ledger.apply(offer(1, 0));
    assert_eq!(
        (ledger.outcome(1), ledger.history.len()),
        (Some(ProposalOutcome::Pending(RevisionNumber(1))), 1)
    );
    ledger.apply(offer(2, 0));
    assert_eq!(
        ledger.outcome(2),
        Some(ProposalOutcome::Stale {
            newest: RevisionNumber(1)
        })
    );
    ledger.apply(offer(3, 1));
    assert_eq!(
        ledger.outcome(3),
        Some(ProposalOutcome::Busy {
            pending: RevisionNumber(1)
        })
    );
    // Put in force twice, by two leaders: the second changes nothing.
    ledger.apply(LogCommand::PutInForce {
        revision: RevisionNumber(1),
        at_s: 5,
    });
    ledger.apply(offer(4, 1));
    ledger.apply(LogCommand::PutInForce {
        revision: RevisionNumber(1),
        at_s: 6,
    });
    assert_eq!(
        (ledger.in_force.number, ledger.newest()),
        (RevisionNumber(1), RevisionNumber(2))
    );
    assert_eq!(ConfigState::decode(&ledger.encode()), Ok(ledger));
}

#[test]
fn an_answer_gives_no_more_than_from_its_asking_and_takes_nothing_back() {
    let (mut holder, mut ledger) = (LeaseHolder::new(TERMS, 1, 0), ConfigState::default());
    let mut granter = LeaseGranter::new(TERMS, 0);
    let (first, asked) = holder.request(0);
    let early = granter.grant(0, &asked, &ledger, &VoterAddresses::default());
    let offer = Proposal {
        token: 1,
        base: RevisionNumber(0),
        who: String::new(),
        why: String::new(),
        at_s: 0,
        values: Overrides::new(),
    };
    ledger.apply(LogCommand::Propose(offer));
    let (second, asked) = holder.request(SECOND);
    let late = granter.grant(SECOND, &asked, &ledger, &VoterAddresses::default());
    assert!(holder.on_grant(second, late.clone()));
    assert_eq!(holder.expires_at(), Some(SECOND + TERMS.holder_duration()));
    assert!(!holder.on_grant(first, early), "overtaken");
    assert!(!holder.on_grant(second, late), "an answer counts once");
    assert_eq!(holder.newest(), RevisionNumber(1));
}

/// The request sent first arrives last: its answer knows of more, and comes first.
#[test]
fn an_answer_that_knows_of_less_is_not_taken_in_though_its_lease_is_longer() {
    let (mut holder, mut ledger) = (LeaseHolder::new(TERMS, 1, 0), ConfigState::default());
    let mut granter = LeaseGranter::new(TERMS, 0);
    let (first, asked_first) = holder.request(0);
    let (second, asked_second) = holder.request(1);
    let knows_less = granter.grant(10, &asked_second, &ledger, &VoterAddresses::default());
    let (who, why, values) = (String::new(), String::new(), Overrides::new());
    let against = RevisionNumber(0);
    ledger.apply(LogCommand::Propose(Proposal {
        token: 1,
        base: against,
        who,
        why,
        at_s: 0,
        values,
    }));
    let knows_more = granter.grant(20, &asked_first, &ledger, &VoterAddresses::default());
    assert!(holder.on_grant(first, knows_more));
    assert!(
        !holder.on_grant(second, knows_less),
        "it would take the announced revision back"
    );
    assert_eq!(holder.newest(), RevisionNumber(1));
}

/// The slowest clock that holds and the fastest that waits.
#[test]
fn the_wait_is_not_shorter_than_a_lease_whatever_clocks_do_within_the_drift() {
    let by_true_clock = |local: Micros, rate: f64| local as f64 / rate;
    let (slow, fast) = (1.0 - TERMS.max_clock_drift, 1.0 + TERMS.max_clock_drift);
    assert!(by_true_clock(TERMS.holder_duration(), slow) <= TERMS.duration as f64);
    assert!(by_true_clock(TERMS.granter_duration(), fast) >= TERMS.duration as f64);
}
