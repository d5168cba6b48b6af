//! One router of hundreds, with little traffic of its own.

mod common;

use common::*;
use spokeflow_core::*;

/// Guards against a bad build that reaches all hosts before any router has seen enough of it to
/// vote: one vote moves a stage, and the hastiest of hundreds had one answer to go by.
#[test]
fn in_a_large_fleet_promotion_waits_until_one_router_could_have_convicted() {
    let (mut router, mut checker) = large_fleet(5, |_| {});
    serve_thinly(&mut router, &mut checker, 3300 * MS, |_| GOOD);
    assert_eq!(
        count_votes(&checker, RolloutVote::Promote),
        0,
        "not after one answer and the bake time"
    );
    serve_thinly(&mut router, &mut checker, 1500 * MS, |_| GOOD);
    assert!(
        count_votes(&checker, RolloutVote::Promote) > 0,
        "as many as convict of those that the next stage adds"
    );
}

/// Guards against votes to go on from all routers at once, which exhaust its rate limit so that
/// a vote against is not taken.
#[test]
fn routers_of_a_large_fleet_spread_their_votes() {
    let voted = |seed| {
        let (mut router, mut checker) = large_fleet(seed, |config| config.votes_per_second = 30.0);
        serve_thinly(&mut router, &mut checker, 8 * SECOND, |_| GOOD);
        count_votes(&checker, RolloutVote::Promote) > 0
    };
    let voted = (1..=12).filter(|seed| voted(*seed)).count();
    assert!(
        (1..=6).contains(&voted),
        "some 4 s of 20 s have passed: {voted} of 12"
    );
}

/// Guards against proof that no router can bring: each keeps to a few of many hosts, and may hear
/// no more.
#[test]
fn in_a_large_fleet_the_few_hosts_that_are_met_convict() {
    let (mut router, mut checker) = large_fleet(5, |_| {});
    serve_thinly(&mut router, &mut checker, 8 * SECOND, |host| {
        if host.0 >= 60 && host.0 % 5 < 3 {
            BAD
        } else {
            GOOD
        }
    });
    assert!(
        count_votes(&checker, RolloutVote::RollBack) > 0,
        "{:?}",
        checker.votes
    );
}

/// Guards against a bad build that reaches all hosts since no thin router meets five that fail:
/// chance brings three together seldom, and one host alone does not convict.
#[test]
fn of_thin_traffic_three_failures_at_three_hosts_convict() {
    let back = |fails: fn(HostId) -> bool| {
        let (mut router, mut checker) = large_fleet(5, |_| {});
        let mut failed = std::collections::BTreeSet::new();
        while failed.len() < 3 && checker.now < 125 * SECOND {
            serve_thinly(&mut router, &mut checker, 200 * MS, |host| {
                if fails(host) {
                    BAD
                } else {
                    GOOD
                }
            });
            let new = checker
                .commands
                .values()
                .flat_map(|command| &command.deliveries)
                .filter(|delivery| delivery.at > 108 * SECOND && fails(delivery.host));
            failed.extend(new.map(|delivery| delivery.host));
        }
        serve_thinly(&mut router, &mut checker, 300 * MS, |_| GOOD);
        count_votes(&checker, RolloutVote::RollBack) > 0
    };
    assert!(back(|host| host.0 >= 60));
    assert!(!back(|host| host.0 == 77));
}

/// Guards against a mean time that a router has by luck from few quick answers: everything seems
/// slow against it.
#[test]
fn in_a_large_fleet_a_mean_of_few_quick_answers_convicts_nobody() {
    let back = |ms| {
        let (mut router, mut checker) = large_fleet(5, |_| {});
        serve_thinly(&mut router, &mut checker, 14 * SECOND, |host| {
            Response::new(
                AttemptOutcome::Acked,
                if host.0 >= 60 { ms * MS } else { 50 * MS },
            )
        });
        count_votes(&checker, RolloutVote::RollBack) > 0
    };
    assert!(
        !back(150),
        "three times a mean of 13 answers is luck with one of 300 routers"
    );
    assert!(back(400));
}

/// Guards against a good build rolled back for a burst: one of many routers sees by its own traffic
/// only a part of what loads the hosts, and so cannot tell a build that slows them all from others'
/// commands.
#[test]
fn slowness_of_all_hosts_convicts_no_build_where_own_traffic_tells_little_of_the_load() {
    let (mut router, mut checker) = large_fleet(5, |_| {});
    serve_thinly(&mut router, &mut checker, 8 * SECOND, |_| {
        Response::new(AttemptOutcome::Acked, 150 * MS)
    });
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

/// Guards against a release, which takes twice the proof to undo, before hosts that fail some time
/// after their start have done so.
#[test]
fn in_a_large_fleet_the_vote_for_the_release_waits_three_times_as_long() {
    let voted = |fleet_size| {
        let (mut router, mut checker) = large_fleet(5, |config| {
            (config.fleet_size, config.stage_shares[2]) = (fleet_size, 0.9)
        });
        let new = (1..100).map(|host| Endpoint {
            started_at: Some(checker.now),
            ..endpoint(host, NEW)
        });
        checker.list(&mut router, ListKind::Changes, &new.collect::<Vec<_>>());
        checker.announce(
            &mut router,
            rollout_status(NEW, 2, RolloutState::Canary, 1.0),
        );
        let from = checker.now;
        while count_votes(&checker, RolloutVote::Promote) == 0 && checker.now < from + 20 * SECOND {
            serve_thinly(&mut router, &mut checker, 100 * MS, |_| GOOD);
        }
        checker.now - from
    };
    let small = voted(50);
    let large = voted(300);
    assert!(
        small < 3 * SECOND && (6 * SECOND..8 * SECOND).contains(&large),
        "{small} {large}"
    );
}
