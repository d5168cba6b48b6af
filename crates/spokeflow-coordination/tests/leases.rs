//! Leases of routers: no two routers act on contradicting revisions for longer than one lease, whatever messages,
//! clocks and leaders do. Also tested are the individual rules that this depends on.

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
        revisions += world.pending_durations.len();
        longest = longest.max(world.longest_contradiction);
        let durations = world.pending_durations.iter();
        early += durations
            .filter(|duration| **duration < CONFIG.duration)
            .count();
    }
    println!(
        "{revisions} revisions in force, {early} of them before a lease had passed; longest contradiction {longest} us"
    );
    // The runs must come near the bound, and some revisions must be ready early because all routers have applied them.
    assert!(
        revisions > 1000 && early > 50,
        "{revisions} revisions in force, {early} of them early"
    );
    assert!(
        longest > CONFIG.duration * 8 / 10,
        "longest contradiction {longest} us"
    );
}

#[test]
fn a_repeated_proposal_counts_once_and_one_based_on_an_old_revision_is_refused() {
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
    // Put in force twice, by two leaders: the second command has no effect.
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
fn a_lease_starts_when_its_request_is_sent_and_a_late_grant_undoes_nothing() {
    let mut holder = LeaseHolder::new(CONFIG, 1, 0);
    let mut state = ConfigState::default();
    let mut granter = LeaseGranter::new(CONFIG, 0);
    let voters = VoterAddresses::default();
    let (first, request) = holder.request(0);
    let first_grant = granter.grant(0, &request, &state, &voters);
    state.apply(LogCommand::Propose(proposal(1, RevisionNumber(0))));
    let (second, request) = holder.request(SECOND);
    let second_grant = granter.grant(SECOND, &request, &state, &voters);
    assert!(holder.on_grant(second, second_grant.clone()));
    assert_eq!(holder.expires_at(), Some(SECOND + CONFIG.holder_duration()));
    assert!(
        !holder.on_grant(first, first_grant),
        "a grant older than the accepted one changes nothing"
    );
    assert!(
        !holder.on_grant(second, second_grant),
        "a repeated grant changes nothing"
    );
    assert_eq!(holder.newest(), RevisionNumber(1));
}

/// The first request reaches the leader last, so its grant has the newer revision, and this grant arrives first.
#[test]
fn a_grant_without_the_newest_known_revision_is_refused_even_if_it_expires_later() {
    let mut holder = LeaseHolder::new(CONFIG, 1, 0);
    let mut state = ConfigState::default();
    let mut granter = LeaseGranter::new(CONFIG, 0);
    let voters = VoterAddresses::default();
    let (first, first_request) = holder.request(0);
    let (second, second_request) = holder.request(1);
    let older_grant = granter.grant(10, &second_request, &state, &voters);
    state.apply(LogCommand::Propose(proposal(1, RevisionNumber(0))));
    let newer_grant = granter.grant(20, &first_request, &state, &voters);
    assert!(holder.on_grant(first, newer_grant));
    assert!(
        !holder.on_grant(second, older_grant),
        "the older grant must not remove the pending revision"
    );
    assert_eq!(holder.newest(), RevisionNumber(1));
}

/// The holder's clock may run slowest and the granter's fastest.
#[test]
fn the_granter_waits_at_least_as_long_as_a_holder_may_act_at_the_largest_clock_drift() {
    let true_time = |local: Micros, clock_rate: f64| local as f64 / clock_rate;
    let slowest = 1.0 - CONFIG.max_clock_drift;
    let fastest = 1.0 + CONFIG.max_clock_drift;
    assert!(true_time(CONFIG.holder_duration(), slowest) <= CONFIG.duration as f64);
    assert!(true_time(CONFIG.granter_duration(), fastest) >= CONFIG.duration as f64);
}
