//! The granter indexes its leases by expiry and counts them by revision. A reference implementation that iterates over
//! all leases each time must give the same results after every step of random runs.

mod common;

use std::collections::BTreeMap;

use common::proposal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_coordination::{
    ConfigState, KnownRevisions, LeaseConfig, LeaseCounts, LeaseGranter, LeaseRequest, LogCommand,
    RevisionNumber, VoterAddresses,
};
use spokeflow_core::Micros;

const SECOND: Micros = 1_000_000;
const CONFIG: LeaseConfig = LeaseConfig {
    duration: 2 * SECOND,
    max_clock_drift: 0.01,
};
/// Maximum number of leases that a granter tracks.
const MAX_TRACKED_LEASES: usize = 8192;

#[derive(Clone, Copy)]
struct Lease {
    expires_at: Micros,
    applied_revision: RevisionNumber,
}

/// Reference implementation of the granter, without indexes.
struct ReferenceGranter {
    leader_since: Micros,
    pending: Option<(RevisionNumber, Micros)>,
    leases: BTreeMap<u64, Lease>,
    has_untracked: bool,
}

impl ReferenceGranter {
    fn new(now: Micros) -> Self {
        ReferenceGranter {
            leader_since: now,
            pending: None,
            leases: BTreeMap::new(),
            has_untracked: false,
        }
    }

    fn grant(&mut self, now: Micros, request: &LeaseRequest) {
        self.leases.retain(|_, lease| lease.expires_at > now);
        let known = self
            .leases
            .get(&request.process)
            .map_or(RevisionNumber(0), |lease| lease.applied_revision);
        if known == RevisionNumber(0) && self.leases.len() >= MAX_TRACKED_LEASES {
            self.has_untracked = true;
            return;
        }
        let lease = Lease {
            expires_at: now + CONFIG.granter_duration(),
            applied_revision: request.applied_revision.max(known),
        };
        self.leases.insert(request.process, lease);
    }

    fn ready_revision(&mut self, now: Micros, state: &ConfigState) -> Option<RevisionNumber> {
        let number = state.pending.as_ref()?.number;
        let since = match self.pending {
            Some((pending, since)) if pending == number => since,
            _ => now,
        };
        self.pending = Some((number, since));
        let lease = CONFIG.granter_duration();
        let all_known = now - self.leader_since >= lease && !self.has_untracked;
        let all_applied = self
            .leases
            .values()
            .all(|lease| lease.expires_at <= now || lease.applied_revision >= number);
        (now - since >= lease || all_known && all_applied).then_some(number)
    }

    fn counts(&self, now: Micros, state: &ConfigState) -> LeaseCounts {
        let live = || self.leases.values().filter(|lease| lease.expires_at > now);
        LeaseCounts {
            live: live().count(),
            up_to_date: live()
                .filter(|lease| lease.applied_revision >= state.newest())
                .count(),
        }
    }
}

/// Totals of the random runs, which show that they reached the cases to compare.
#[derive(Debug, Default)]
struct Counts {
    steps: usize,
    /// Revisions found ready before a lease had passed.
    ready_early: usize,
    /// Revisions found not ready.
    not_ready: usize,
    /// Steps at which some leases were up to date and others were not.
    mixed: usize,
}

struct Run {
    rng: StdRng,
    now: Micros,
    state: ConfigState,
    granter: LeaseGranter,
    reference: ReferenceGranter,
    proposed_at: Micros,
    counts: Counts,
}

impl Run {
    fn new(seed: u64) -> Run {
        let now = 100 * SECOND;
        Run {
            rng: StdRng::seed_from_u64(seed),
            now,
            state: ConfigState::default(),
            granter: LeaseGranter::new(CONFIG, now),
            reference: ReferenceGranter::new(now),
            proposed_at: now,
            counts: Counts::default(),
        }
    }

    fn request(&mut self, process: u64, applied_revision: RevisionNumber) {
        let request = LeaseRequest {
            process,
            router: 0,
            known_revisions: KnownRevisions {
                in_force: self.state.in_force.number,
                newest: self.state.newest(),
            },
            applied_revision,
            voters_fingerprint: 0,
            list: None,
        };
        let voters = VoterAddresses::default();
        let grant = self.granter.grant(self.now, &request, &self.state, &voters);
        self.reference.grant(self.now, &request);
        assert_eq!(grant.in_force.number, self.state.in_force.number);
        assert_eq!(
            grant.pending.map(|pending| pending.number),
            self.state.pending.as_ref().map(|pending| pending.number)
        );
    }

    /// Requests a lease for a random router: one that is up to date, that is behind, or that has just started.
    fn request_at_random(&mut self, processes: u64) {
        let process = self.rng.random_range(0..processes);
        let newest = self.state.newest().0;
        let behind = match self.rng.random_range(0..6_usize) {
            0..=2 => 0,
            3 => 1,
            4 => 2,
            _ => newest,
        };
        self.request(process, RevisionNumber(newest.saturating_sub(behind)));
    }

    fn propose(&mut self) {
        let newest = self.state.newest();
        let command = LogCommand::Propose(proposal(newest.0, newest));
        self.state.apply(command);
        self.proposed_at = self.now;
    }

    fn check_ready(&mut self) {
        let ready = self.granter.ready_revision(self.now, &self.state);
        let expected = self.reference.ready_revision(self.now, &self.state);
        assert_eq!(ready, expected, "ready revision at {} us", self.now);
        let is_early = self.now - self.proposed_at < CONFIG.granter_duration();
        let has_pending = self.state.pending.is_some();
        self.counts.ready_early += usize::from(ready.is_some() && is_early);
        self.counts.not_ready += usize::from(ready.is_none() && has_pending);
        if let Some(revision) = ready.filter(|_| self.rng.random_bool(0.3)) {
            self.state
                .apply(LogCommand::PutInForce { revision, at_s: 0 });
        }
    }

    /// Advances the time to the end of a random lease, to one microsecond before it, or by a random step.
    fn advance_time(&mut self) {
        let lease_ends: Vec<Micros> = self
            .reference
            .leases
            .values()
            .map(|lease| lease.expires_at - self.now)
            .collect();
        let drawn_lease = self.rng.random_range(0..lease_ends.len().max(1));
        let lease_end = lease_ends.get(drawn_lease).copied().unwrap_or(0);
        let longest = if self.rng.random_bool(0.02) {
            5 * SECOND
        } else {
            SECOND / 10
        };
        let random_step = self.rng.random_range(0..longest);
        let step = match self.rng.random_range(0..4_usize) {
            0 | 1 => random_step,
            2 => lease_end,
            _ => lease_end - 1,
        };
        self.now += step.max(0);
    }

    fn step(&mut self, processes: u64) {
        match self.rng.random_range(0..20) {
            0..=12 => self.request_at_random(processes),
            13..=15 => self.advance_time(),
            16..=18 => self.check_ready(),
            _ => self.propose(),
        }
        self.compare();
    }

    /// Compares the lease counts now and at a later time, when some leases have expired and are not removed yet.
    fn compare(&mut self) {
        self.counts.steps += 1;
        let counts = self.reference.counts(self.now, &self.state);
        let is_mixed = 0 < counts.up_to_date && counts.up_to_date < counts.live;
        self.counts.mixed += usize::from(is_mixed);
        let later = self.now + self.rng.random_range(0..3 * SECOND);
        for now in [self.now, later] {
            assert_eq!(
                self.granter.lease_counts(now, &self.state),
                self.reference.counts(now, &self.state),
                "lease counts after step {}, at {now} us",
                self.counts.steps
            );
        }
    }
}

#[test]
fn the_granter_gives_the_same_results_as_the_reference() {
    let mut counts = Counts::default();
    for seed in 0..600 {
        let mut run = Run::new(seed);
        let processes = match seed % 4 {
            0 => 1,
            1 => 2,
            2 => 5,
            _ => 40,
        };
        (0..500).for_each(|_| run.step(processes));
        counts.steps += run.counts.steps;
        counts.ready_early += run.counts.ready_early;
        counts.not_ready += run.counts.not_ready;
        counts.mixed += run.counts.mixed;
    }
    println!("{counts:?}");
    assert!(
        counts.ready_early > 500 && counts.not_ready > 500 && counts.mixed > 5_000,
        "{counts:?}"
    );
}

/// The revision that an untracked router has applied is not known. Guards against putting a revision in force early
/// because all tracked routers have applied it.
#[test]
fn with_untracked_leases_a_revision_is_ready_only_after_a_lease_duration() {
    let mut run = Run::new(1);
    let one_more = MAX_TRACKED_LEASES as u64;
    (0..one_more).for_each(|process| run.request(process, RevisionNumber(0)));
    run.compare();
    run.now += CONFIG.granter_duration() - 1;
    // At the limit no lease is recorded for a router without an applied revision. Router 0 keeps its earlier entry.
    run.request(0, RevisionNumber(0));
    run.request(one_more, RevisionNumber(0));
    run.compare();
    // Expired leases make room for new ones.
    run.now += 1;
    run.request(one_more, RevisionNumber(0));
    run.compare();
    run.propose();
    run.request(one_more, RevisionNumber(1));
    run.compare();
    run.check_ready();
    run.now += CONFIG.granter_duration();
    run.check_ready();
    assert_eq!((run.counts.ready_early, run.counts.not_ready), (0, 1));
}
