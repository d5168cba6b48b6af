//! Which votes are cast, and when.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn with_a_clocked_gate_evidence_holds_the_build() {
    let (mut router, mut checker) = fleet(Gate::Clocked, |_| {});
    let respond = |host: HostId, operation, number| {
        if host.0 >= 6 && operation == 2 && number % 2 == 0 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert!(
        count_votes(&checker, RolloutVote::Hold) > 0
            && count_votes(&checker, RolloutVote::RollBack) > 0
    );
}

#[test]
fn a_vote_without_an_answer_is_cast_again() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| PROMPT_ACK);
    let votes_before = count_votes(&checker, RolloutVote::Promote);
    router
        .set_time(checker.now)
        .on_vote_outcome(VoteOutcome::NoResponse);
    serve(&mut router, &mut checker, 4 * SECOND, |_, _, _| PROMPT_ACK);
    assert!(count_votes(&checker, RolloutVote::Promote) > votes_before);
}

#[test]
fn side_by_side_stages_are_promoted_at_once_and_the_release_waits() {
    let (mut router, mut checker) = fleet(Gate::Majority, |config| config.rolling = false);
    serve(&mut router, &mut checker, SECOND, |_, _, _| PROMPT_ACK);
    assert!(
        count_votes(&checker, RolloutVote::Promote) > 0,
        "the present stage must be promoted at once"
    );
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let votes_before = count_votes(&checker, RolloutVote::Promote);
    serve(&mut router, &mut checker, 5 * SECOND, |_, _, _| PROMPT_ACK);
    assert_eq!(
        count_votes(&checker, RolloutVote::Promote),
        votes_before,
        "the vote for the release must wait until all traffic has moved"
    );
}
