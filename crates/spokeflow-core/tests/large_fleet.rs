//! One router in a fleet of hundreds, with little traffic of its own.

mod common;

use common::*;
use spokeflow_core::*;

/// Guards against a bad build that reaches all hosts before any router has seen enough of it: one
/// vote promotes a stage, and the first of hundreds of routers to vote had a single answer.
#[test]
fn in_a_large_fleet_promotion_waits_until_one_router_could_have_rolled_back() {
    let (mut router, mut checker) = large_fleet(5, |_| {});
    serve_at_low_rate(&mut router, &mut checker, 3300 * MS, |_| PROMPT_ACK);
    assert_eq!(
        count_votes(&checker, RolloutVote::Promote),
        0,
        "one answer and the bake time must not be enough to promote"
    );
    serve_at_low_rate(&mut router, &mut checker, 1500 * MS, |_| PROMPT_ACK);
    assert!(
        count_votes(&checker, RolloutVote::Promote) > 0,
        "no promote vote although the expected answers are enough for the next stage"
    );
}

/// Guards against promote votes of all routers at once, which exhaust the rate limit of the release
/// controller, so that it does not accept a vote against the build.
#[test]
fn routers_of_a_large_fleet_spread_their_votes() {
    let voted = |seed| {
        let (mut router, mut checker) = large_fleet(seed, |config| config.votes_per_second = 30.0);
        serve_at_low_rate(&mut router, &mut checker, 8 * SECOND, |_| PROMPT_ACK);
        count_votes(&checker, RolloutVote::Promote) > 0
    };
    let voted = (1..=12).filter(|seed| voted(*seed)).count();
    assert!(
        (1..=6).contains(&voted),
        "{voted} of 12 routers have voted, after about 4 s of the 20 s that votes are spread over"
    );
}

/// Guards against an evidence threshold that no router can reach, because each sends to only a few
/// of many hosts.
#[test]
fn in_a_large_fleet_the_few_hosts_that_a_router_uses_are_enough_for_a_rollback() {
    let (mut router, mut checker) = large_fleet(5, |_| {});
    serve_at_low_rate(&mut router, &mut checker, 8 * SECOND, |host| {
        if host.0 >= 60 && host.0 % 5 < 3 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    });
    assert!(
        count_votes(&checker, RolloutVote::RollBack) > 0,
        "{:?}",
        checker.votes
    );
}

/// Guards against a bad build that reaches all hosts because no router with little traffic sees
/// failures at five hosts. Failures at three hosts are rare by chance; those of a single host must
/// not roll the build back.
#[test]
fn with_little_traffic_three_failures_at_three_hosts_are_enough_for_a_rollback() {
    let rolled_back = |fails: fn(HostId) -> bool| {
        let (mut router, mut checker) = large_fleet(5, |_| {});
        let mut failed = std::collections::BTreeSet::new();
        while failed.len() < 3 && checker.now < 125 * SECOND {
            serve_at_low_rate(&mut router, &mut checker, 200 * MS, |host| {
                if fails(host) {
                    PROMPT_ERROR
                } else {
                    PROMPT_ACK
                }
            });
            let new = checker
                .commands
                .values()
                .flat_map(|command| &command.deliveries)
                .filter(|delivery| delivery.at > 108 * SECOND && fails(delivery.host));
            failed.extend(new.map(|delivery| delivery.host));
        }
        serve_at_low_rate(&mut router, &mut checker, 300 * MS, |_| PROMPT_ACK);
        count_votes(&checker, RolloutVote::RollBack) > 0
    };
    assert!(rolled_back(|host| host.0 >= 60));
    assert!(!rolled_back(|host| host.0 == 77));
}

/// Guards against a baseline that is too low by chance because it rests on few fast answers:
/// everything seems slow against it.
#[test]
fn in_a_large_fleet_a_baseline_of_few_fast_answers_causes_no_rollback() {
    let rolled_back = |ms| {
        let (mut router, mut checker) = large_fleet(5, |_| {});
        serve_at_low_rate(&mut router, &mut checker, 14 * SECOND, |host| {
            Response::new(
                AttemptOutcome::Acked,
                if host.0 >= 60 { ms * MS } else { 50 * MS },
            )
        });
        count_votes(&checker, RolloutVote::RollBack) > 0
    };
    assert!(
        !rolled_back(150),
        "three times a baseline of 13 answers occurs by chance at one of 300 routers"
    );
    assert!(rolled_back(400));
}

/// Guards against the rollback of a good build in a burst of commands: one of many routers sees
/// only a part of the load on the hosts, so it cannot tell a build that slows all hosts from
/// commands of other routers.
#[test]
fn in_a_large_fleet_slowness_of_all_hosts_causes_no_rollback() {
    let (mut router, mut checker) = large_fleet(5, |_| {});
    serve_at_low_rate(&mut router, &mut checker, 8 * SECOND, |_| {
        Response::new(AttemptOutcome::Acked, 150 * MS)
    });
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

/// Guards against a release before hosts that fail some time after their start have done so. The
/// rollback of a released build needs twice the evidence.
#[test]
fn in_a_large_fleet_the_vote_for_the_release_waits_three_times_as_long() {
    let time_to_vote = |fleet_size| {
        let (mut router, mut checker) = large_fleet(5, |config| {
            (config.fleet_size, config.stage_shares[2]) = (fleet_size, 0.9)
        });
        let new = (1..100).map(|host| Endpoint {
            started_at: Some(checker.now),
            ..endpoint(host, NEW)
        });
        checker.send_list(&mut router, ListKind::Changes, &new.collect::<Vec<_>>());
        checker.announce(
            &mut router,
            rollout_status(NEW, 2, RolloutState::Canary, 1.0),
        );
        let from = checker.now;
        while count_votes(&checker, RolloutVote::Promote) == 0 && checker.now < from + 20 * SECOND {
            serve_at_low_rate(&mut router, &mut checker, 100 * MS, |_| PROMPT_ACK);
        }
        checker.now - from
    };
    let small = time_to_vote(50);
    let large = time_to_vote(300);
    assert!(
        small < 3 * SECOND && (6 * SECOND..8 * SECOND).contains(&large),
        "voted after {small} us in a fleet of 50, after {large} us in a fleet of 300"
    );
}
