//! The granter keeps its leases ordered by expiry and counted by revision. A plain one, which keeps nothing but the
//! leases and looks at all of them each time, gives the same answers after every step of drawn runs.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_coordination::*;
use spokeflow_core::Micros;

const SECOND: Micros = 1_000_000;
const TERMS: LeaseConfig = LeaseConfig {
    duration: 2 * SECOND,
    max_clock_drift: 0.01,
};
/// Leases that a granter keeps at most.
const LEASES_AT_MOST: usize = 8192;

#[derive(Clone, Copy)]
struct Lease {
    until: Micros,
    acts_on: RevisionNumber,
}

/// By definition: who holds a lease, and when the announced revision may come into force.
struct PlainGranter {
    led_since: Micros,
    announced: Option<(RevisionNumber, Micros)>,
    leases: BTreeMap<u64, Lease>,
    over: bool,
}

impl PlainGranter {
    fn new(now: Micros) -> Self {
        PlainGranter {
            led_since: now,
            announced: None,
            leases: BTreeMap::new(),
            over: false,
        }
    }

    fn ask(&mut self, now: Micros, asked: &LeaseRequest) {
        self.leases.retain(|_, lease| lease.until > now);
        let known = self
            .leases
            .get(&asked.process)
            .map_or(RevisionNumber(0), |lease| lease.acts_on);
        if known == RevisionNumber(0) && self.leases.len() >= LEASES_AT_MOST {
            self.over = true;
            return;
        }
        let lease = Lease {
            until: now + TERMS.granter_duration(),
            acts_on: asked.applied_revision.max(known),
        };
        self.leases.insert(asked.process, lease);
    }

    fn ready(&mut self, now: Micros, ledger: &ConfigState) -> Option<RevisionNumber> {
        let number = ledger.pending.as_ref()?.number;
        let since = match self.announced {
            Some((announced, since)) if announced == number => since,
            _ => now,
        };
        self.announced = Some((number, since));
        let all_known = now - self.led_since >= TERMS.granter_duration() && !self.over;
        let all_act = self
            .leases
            .values()
            .all(|lease| lease.until <= now || lease.acts_on >= number);
        (now - since >= TERMS.granter_duration() || all_known && all_act).then_some(number)
    }

    fn counts(&self, now: Micros, ledger: &ConfigState) -> (usize, usize) {
        let live = || self.leases.values().filter(|lease| lease.until > now);
        (
            live().count(),
            live()
                .filter(|lease| lease.acts_on >= ledger.newest())
                .count(),
        )
    }
}

/// What the drawn runs have come by, so that none is compared over nothing.
#[derive(Default)]
struct Met {
    steps: usize,
    /// Revisions found ready before a lease had passed, and found not ready.
    early: usize,
    waiting: usize,
    /// Steps at which some leases acted on the newest revision and others did not.
    mixed: usize,
}

struct Run {
    chance: StdRng,
    now: Micros,
    ledger: ConfigState,
    granter: LeaseGranter,
    plain: PlainGranter,
    announced_at: Micros,
    met: Met,
}

impl Run {
    fn new(seed: u64) -> Run {
        let now = 100 * SECOND;
        Run {
            chance: StdRng::seed_from_u64(seed),
            now,
            ledger: ConfigState::default(),
            granter: LeaseGranter::new(TERMS, now),
            plain: PlainGranter::new(now),
            announced_at: now,
            met: Met::default(),
        }
    }

    fn ask(&mut self, process: u64, acts_on: RevisionNumber) {
        let knows = KnownRevisions {
            in_force: self.ledger.in_force.number,
            newest: self.ledger.newest(),
        };
        let asked = LeaseRequest {
            process,
            router: 0,
            known_revisions: knows,
            applied_revision: acts_on,
            voters_fingerprint: 0,
            list: None,
        };
        let grant = self
            .granter
            .grant(self.now, &asked, &self.ledger, &VoterAddresses::default());
        self.plain.ask(self.now, &asked);
        assert_eq!(grant.in_force.number, self.ledger.in_force.number);
        assert_eq!(
            grant.pending.map(|known| known.number),
            self.ledger.pending.as_ref().map(|a| a.number)
        );
    }

    /// By a router that has just started, is up to date, or whose request was overtaken.
    fn ask_drawn(&mut self, processes: u64) {
        let process = self.chance.random_range(0..processes);
        let newest = self.ledger.newest().0;
        let behind = [0, 0, 0, 1, 2, newest][self.chance.random_range(0..6)];
        self.ask(process, RevisionNumber(newest.saturating_sub(behind)));
    }

    fn announce(&mut self) {
        let against = self.ledger.newest();
        let (who, why, values) = (String::new(), String::new(), Overrides::new());
        self.ledger.apply(LogCommand::Propose(Proposal {
            token: against.0,
            base: against,
            who,
            why,
            at_s: 0,
            values,
        }));
        self.announced_at = self.now;
    }

    fn look(&mut self) {
        let ready = self.granter.ready_revision(self.now, &self.ledger);
        assert_eq!(
            ready,
            self.plain.ready(self.now, &self.ledger),
            "at {}",
            self.now
        );
        match ready {
            Some(_) if self.now - self.announced_at < TERMS.granter_duration() => {
                self.met.early += 1
            }
            Some(_) => {}
            None => self.met.waiting += usize::from(self.ledger.pending.is_some()),
        }
        if let Some(revision) = ready.filter(|_| self.chance.random_bool(0.3)) {
            self.ledger
                .apply(LogCommand::PutInForce { revision, at_s: 0 });
        }
    }

    /// To the end of a lease, to one microsecond before it, or anywhere.
    fn pass(&mut self) {
        let ends: Vec<Micros> = self
            .plain
            .leases
            .values()
            .map(|lease| lease.until - self.now)
            .collect();
        let end = *ends
            .get(self.chance.random_range(0..ends.len().max(1)))
            .unwrap_or(&0);
        let longest = if self.chance.random_bool(0.02) {
            5 * SECOND
        } else {
            SECOND / 10
        };
        let drawn = self.chance.random_range(0..longest);
        self.now += [drawn, drawn, end, end - 1][self.chance.random_range(0..4)].max(0);
    }

    fn step(&mut self, processes: u64) {
        match self.chance.random_range(0..20) {
            0..=12 => self.ask_drawn(processes),
            13..=15 => self.pass(),
            16..=18 => self.look(),
            _ => self.announce(),
        }
        self.compare();
    }

    /// Also at a later time, when some of the leases are over and have not been taken out.
    fn compare(&mut self) {
        self.met.steps += 1;
        let (live, acting) = self.plain.counts(self.now, &self.ledger);
        self.met.mixed += usize::from(0 < acting && acting < live);
        for now in [self.now, self.now + self.chance.random_range(0..3 * SECOND)] {
            let counts = self.granter.lease_counts(now, &self.ledger);
            assert_eq!(
                (counts.live, counts.up_to_date),
                self.plain.counts(now, &self.ledger),
                "step {}, at {now}",
                self.met.steps
            );
        }
    }
}

#[test]
fn kept_orders_give_what_a_look_at_all_leases_gives() {
    let mut met = Met::default();
    for seed in 0..600 {
        let mut run = Run::new(seed);
        let processes = [1, 2, 5, 40][seed as usize % 4];
        (0..500).for_each(|_| run.step(processes));
        met.steps += run.met.steps;
        met.early += run.met.early;
        met.waiting += run.met.waiting;
        met.mixed += run.met.mixed;
    }
    let Met {
        steps,
        early,
        waiting,
        mixed,
    } = met;
    println!("{steps} steps, ready early {early}, not ready {waiting}, of both kinds {mixed}");
    assert!(
        early > 500 && waiting > 500 && mixed > 5_000,
        "{early} {waiting} {mixed}"
    );
}

/// One whose lease is not kept may act on anything: no acknowledgement counts from then on.
#[test]
fn more_routers_than_are_kept_leave_time_alone() {
    let mut run = Run::new(1);
    (0..LEASES_AT_MOST as u64).for_each(|process| run.ask(process, RevisionNumber(0)));
    run.compare();
    run.now += TERMS.granter_duration() - 1;
    // One that is known has its place, and so has nobody else, not even by asking again.
    run.ask(0, RevisionNumber(0));
    run.ask(LEASES_AT_MOST as u64, RevisionNumber(0));
    run.compare();
    // The place of one whose lease is over is free.
    run.now += 1;
    run.ask(LEASES_AT_MOST as u64, RevisionNumber(0));
    run.compare();
    run.announce();
    run.ask(LEASES_AT_MOST as u64, RevisionNumber(1));
    run.compare();
    run.look();
    run.now += TERMS.granter_duration();
    run.look();
    assert_eq!((run.met.early, run.met.waiting), (0, 1));
}
