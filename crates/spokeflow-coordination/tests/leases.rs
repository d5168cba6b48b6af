//! Leases of routers: no two of them act on revisions that contradict each other for longer than one lease, whatever
//! messages, clocks and leaders do; and the single rules that this rests on.

mod common;
#[path = "common/lease_simulation.rs"]
mod lease_simulation;

use common::proposal;
use lease_simulation::World;
use spokeflow_coordination::{
    ConfigState, LeaseConfig, LeaseGranter, LeaseHolder, LogCommand, ProposalOutcome,
    RevisionNumber, VoterAddresses,
};
use spokeflow_core::Micros;

const SECOND: Micros = 1_000_000;
const CONFIG: LeaseConfig = LeaseConfig {
    duration: 2 * SECOND,
    max_clock_drift: 0.01,
};

#[test]
fn no_two_routers_contradict_each_other_for_longer_than_a_lease() {
    let mut revisions = 0;
    let mut longest = 0;
    let mut early = 0;
    for seed in 0..60 {
        let mut world = World::new(seed);
        (0..30_000).for_each(|_| world.step());
        revisions += world.pending_times.len();
        longest = longest.max(world.longest_contradiction);
        let times = world.pending_times.iter();
        early += times.filter(|time| **time < CONFIG.duration).count();
    }
    println!(
        "{revisions} revisions in force, {early} of them before a lease had passed; longest contradiction {longest} us"
    );
    // The runs must come near the bound, and some revisions must be ready because all have applied them.
    assert!(revisions > 1000 && early > 50, "{revisions} {early}");
    assert!(longest > CONFIG.duration * 8 / 10, "{longest}");
}

#[test]
fn a_proposal_sent_twice_is_one_and_one_against_an_old_revision_is_refused() {
    let mut state = ConfigState::default();
    let propose = |token, base| LogCommand::Propose(proposal(token, RevisionNumber(base)));
    state.apply(propose(1, 0));
    state.apply(propose(1, 0));
    assert_eq!(
        (state.outcome(1), state.history.len()),
        (Some(ProposalOutcome::Pending(RevisionNumber(1))), 1)
    );
    state.apply(propose(2, 0));
    assert_eq!(
        state.outcome(2),
        Some(ProposalOutcome::Stale {
            newest: RevisionNumber(1)
        })
    );
    state.apply(propose(3, 1));
    assert_eq!(
        state.outcome(3),
        Some(ProposalOutcome::Busy {
            pending: RevisionNumber(1)
        })
    );
    // Put in force twice, by two leaders: the second changes nothing.
    state.apply(LogCommand::PutInForce {
        revision: RevisionNumber(1),
        at_s: 5,
    });
    state.apply(propose(4, 1));
    state.apply(LogCommand::PutInForce {
        revision: RevisionNumber(1),
        at_s: 6,
    });
    assert_eq!(
        (state.in_force.number, state.newest()),
        (RevisionNumber(1), RevisionNumber(2))
    );
    assert_eq!(ConfigState::decode(&state.encode()), Ok(state));
}

#[test]
fn a_lease_runs_from_the_sending_of_its_request_and_no_answer_takes_anything_back() {
    let mut holder = LeaseHolder::new(CONFIG, 1, 0);
    let mut state = ConfigState::default();
    let mut granter = LeaseGranter::new(CONFIG, 0);
    let voters = VoterAddresses::default();
    let (first, request) = holder.request(0);
    let early = granter.grant(0, &request, &state, &voters);
    state.apply(LogCommand::Propose(proposal(1, RevisionNumber(0))));
    let (second, request) = holder.request(SECOND);
    let late = granter.grant(SECOND, &request, &state, &voters);
    assert!(holder.on_grant(second, late.clone()));
    assert_eq!(holder.expires_at(), Some(SECOND + CONFIG.holder_duration()));
    assert!(!holder.on_grant(first, early), "overtaken");
    assert!(!holder.on_grant(second, late), "an answer counts once");
    assert_eq!(holder.newest(), RevisionNumber(1));
}

/// The request sent first arrives last: its answer knows more, and comes first.
#[test]
fn an_answer_that_knows_less_is_not_accepted_though_its_lease_is_longer() {
    let mut holder = LeaseHolder::new(CONFIG, 1, 0);
    let mut state = ConfigState::default();
    let mut granter = LeaseGranter::new(CONFIG, 0);
    let voters = VoterAddresses::default();
    let (first, first_request) = holder.request(0);
    let (second, second_request) = holder.request(1);
    let knows_less = granter.grant(10, &second_request, &state, &voters);
    state.apply(LogCommand::Propose(proposal(1, RevisionNumber(0))));
    let knows_more = granter.grant(20, &first_request, &state, &voters);
    assert!(holder.on_grant(first, knows_more));
    assert!(
        !holder.on_grant(second, knows_less),
        "it would take the pending revision back"
    );
    assert_eq!(holder.newest(), RevisionNumber(1));
}

/// The slowest clock that holds and the fastest that waits.
#[test]
fn the_wait_is_not_shorter_than_a_lease_whatever_clocks_do_within_the_drift() {
    let true_time = |local: Micros, clock_rate: f64| local as f64 / clock_rate;
    let slowest = 1.0 - CONFIG.max_clock_drift;
    let fastest = 1.0 + CONFIG.max_clock_drift;
    assert!(true_time(CONFIG.holder_duration(), slowest) <= CONFIG.duration as f64);
    assert!(true_time(CONFIG.granter_duration(), fastest) >= CONFIG.duration as f64);
}
