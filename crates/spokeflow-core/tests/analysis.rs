//! Canary analysis: which evidence rolls a build back, and which does not.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn a_good_build_is_promoted_and_not_rolled_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| PROMPT_ACK);
    assert!(
        count_votes(&checker, RolloutVote::Promote) > 0
            && count_votes(&checker, RolloutVote::RollBack) == 0,
        "{:?}",
        checker.votes
    );
}

#[test]
fn a_build_that_fails_every_second_command_of_an_operation_is_rolled_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let respond = |host: HostId, operation, number| {
        if host.0 >= 6 && operation == 2 && number % 2 == 0 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert!(count_votes(&checker, RolloutVote::RollBack) > 0);
}

#[test]
fn a_build_with_three_times_the_latency_is_rolled_back_without_errors() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 12 * SECOND, |host, _, _| {
        Response::new(
            AttemptOutcome::Acked,
            if host.0 >= 6 { 150 * MS } else { 50 * MS },
        )
    });
    assert!(count_votes(&checker, RolloutVote::RollBack) > 0);
}

#[test]
fn a_build_that_slows_all_hosts_alike_is_rolled_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 12 * SECOND, |_, _, _| {
        Response::new(AttemptOutcome::Acked, 150 * MS)
    });
    assert!(count_votes(&checker, RolloutVote::RollBack) > 0);
}

#[test]
fn errors_of_one_host_do_not_roll_its_build_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 12 * SECOND, |host, _, _| {
        if host.0 == 7 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    });
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn reports_of_wrong_answers_roll_a_build_back_and_those_on_earlier_processes_do_not() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 5 * SECOND, |_, _, _| PROMPT_ACK);
    for _ in 0..4 {
        router
            .set_time(checker.now)
            .on_wrong_answer(HostId(77), SECOND);
        router
            .set_time(checker.now)
            .on_wrong_answer(HostId(7), 60 * SECOND);
        router
            .set_time(checker.now)
            .on_wrong_answer(HostId(1), SECOND);
    }
    checker.advance(&mut router, SECOND);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
    (0..4).for_each(|_| {
        router
            .set_time(checker.now)
            .on_wrong_answer(HostId(7), SECOND)
    });
    router
        .set_time(checker.now)
        .on_vote_outcome(VoteOutcome::Counted);
    checker.advance(&mut router, SECOND);
    assert!(count_votes(&checker, RolloutVote::RollBack) > 0);
}

/// Counts of the old and the new build in each period, and whether they roll the new one back.
struct Case {
    name: &'static str,
    old: PeriodCount,
    new: PeriodCount,
    rolled_back: bool,
}

impl Case {
    const fn new(
        name: &'static str,
        old: (u32, u32, Micros),
        new: (u32, u32, Micros),
        rolled_back: bool,
    ) -> Self {
        Case {
            name,
            old: PeriodCount::new(old.0, old.1, old.2 * MS),
            new: PeriodCount::new(new.0, new.1, new.2 * MS),
            rolled_back,
        }
    }
}

/// For each build: deliveries sampled, deliveries lost, mean latency in milliseconds.
const CASES: [Case; 7] = [
    Case::new("same at both builds", (28, 0, 80), (12, 0, 90), false),
    Case::new("new build fails", (28, 0, 80), (12, 3, 80), true),
    Case::new(
        "same losses at both builds",
        (28, 10, 80),
        (12, 3, 80),
        false,
    ),
    Case::new("new build is slow", (28, 0, 80), (12, 0, 240), true),
    Case::new("both builds are slow", (28, 0, 240), (12, 0, 240), true),
    Case::new(
        "both builds are slow, most deliveries are lost and retried",
        (60, 40, 240),
        (24, 14, 240),
        true,
    ),
    Case::new(
        "both builds are slower while traffic doubles",
        (80, 0, 160),
        (24, 0, 160),
        false,
    ),
];

#[test]
fn a_router_without_traffic_votes_by_controller_stats() {
    for case in CASES {
        let Case { name, old, new, .. } = case;
        let mut config = service_config(Gate::Majority);
        config.rolling = false;
        config.fleet_size = 100;
        config.rollback_votes = 25;
        let (mut router, mut checker) = RuleChecker::start(config, 5);
        let released = rollout_status(OLD, 2, RolloutState::Released, 1.0);
        checker.announce(&mut router, released);
        let hosts: Vec<Endpoint> = (0..10)
            .map(|host| endpoint(host, if host < 6 { OLD } else { NEW }))
            .collect();
        checker.send_list(&mut router, ListKind::Cached, &hosts);
        let before = PeriodCount::new(40, 0, 80 * MS);
        report_counts(&mut router, &mut checker, 4, before, PeriodCount::default());
        let canary = rollout_status(NEW, 1, RolloutState::Canary, 0.4);
        checker.announce(&mut router, canary);
        report_counts(&mut router, &mut checker, 1, old, new);
        assert_eq!(
            count_votes(&checker, RolloutVote::RollBack),
            0,
            "{name}: one period must not roll a build back"
        );
        report_counts(&mut router, &mut checker, 6, old, new);
        assert_eq!(
            count_votes(&checker, RolloutVote::RollBack) > 0,
            case.rolled_back,
            "{name}"
        );
    }
}

#[test]
fn one_reported_wrong_answer_is_enough_only_where_a_quorum_decides() {
    for (rollback_votes, rolled_back) in [(25, true), (5, false)] {
        let (mut router, mut checker) = fleet(Gate::Clocked, |config| {
            (
                config.fleet_size,
                config.rollback_votes,
                config.complaint_share,
            ) = (100, rollback_votes, 0.5)
        });
        serve(&mut router, &mut checker, 2 * SECOND, |_, _, _| PROMPT_ACK);
        router
            .set_time(checker.now)
            .on_wrong_answer(HostId(7), SECOND);
        checker.advance(&mut router, SECOND);
        assert_eq!(
            count_votes(&checker, RolloutVote::RollBack) > 0,
            rolled_back,
            "with {rollback_votes} of 100 votes needed for a rollback"
        );
    }
}

#[test]
fn own_evidence_of_slowness_weighs_less_with_a_small_rollback_quorum() {
    let time_to_rollback = |rollback_votes| {
        let (mut router, mut checker) = fleet(Gate::Clocked, |config| {
            (config.fleet_size, config.rollback_votes) = (100, rollback_votes)
        });
        let from = checker.now;
        while count_votes(&checker, RolloutVote::RollBack) == 0 && checker.now < from + 30 * SECOND
        {
            serve(&mut router, &mut checker, 100 * MS, |_, _, _| {
                Response::new(AttemptOutcome::Acked, 190 * MS)
            });
        }
        checker.now - from
    };
    let many = time_to_rollback(25);
    let few = time_to_rollback(3);
    assert!(
        many < 5 * SECOND && few >= many + 400 * MS,
        "rollback vote after {many} us with a quorum of 25, after {few} us with 3"
    );
}

#[test]
fn an_operation_that_times_out_at_every_host_does_not_roll_the_build_back() {
    let (mut router, mut checker) = fleet(Gate::Clocked, |_| {});
    serve(
        &mut router,
        &mut checker,
        12 * SECOND,
        |_, operation, _| match operation {
            2 => Response::new(AttemptOutcome::TimedOut, 700 * MS),
            _ => PROMPT_ACK,
        },
    );
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn errors_of_one_tenant_at_every_host_do_not_roll_the_build_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    // The checker sets the tenant to the command id modulo three; tenant 2 is not configured and
    // counts as tenant 1.
    let respond = |_: HostId, _, number: u32| {
        if number % 3 < 1 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn an_operation_that_is_slow_at_every_host_does_not_roll_the_build_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let respond = |_: HostId, operation, _| {
        Response::new(
            AttemptOutcome::Acked,
            if operation == 1 { 500 * MS } else { 50 * MS },
        )
    };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn deliveries_that_clients_abandon_do_not_roll_the_build_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let respond = |_: HostId, _, number| {
        if number % 4 == 0 {
            Response::new(AttemptOutcome::TimedOut, 300 * MS)
        } else {
            PROMPT_ACK
        }
    };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

/// Guards against the rollback of a good build by chance where about one answer in ten, from any
/// host, is an error.
#[test]
fn failures_common_to_all_hosts_do_not_roll_a_build_back_but_many_more_do() {
    let noise = |_, _, number: u32| {
        if number.wrapping_mul(0x9e37_79b9) >> 16 & 1023 < 130 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    };
    for seed in 0..4 {
        let (mut router, mut checker) = fleet(Gate::Single, |_| {});
        checker.announce(
            &mut router,
            rollout_status(OLD, 2, RolloutState::Released, 1.0),
        );
        serve(&mut router, &mut checker, (6 + seed) * SECOND, noise);
        checker.announce(
            &mut router,
            rollout_status(NEW, 1, RolloutState::Canary, 0.4),
        );
        serve(&mut router, &mut checker, 20 * SECOND, noise);
        assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0, "{seed}");
        serve(
            &mut router,
            &mut checker,
            20 * SECOND,
            |host, operation, number| {
                if host.0 >= 6 && number % 2 == 0 {
                    PROMPT_ERROR
                } else {
                    noise(host, operation, number)
                }
            },
        );
        assert!(count_votes(&checker, RolloutVote::RollBack) > 0, "{seed}");
    }
}

/// Guards against the rollback of a good build when the last stage replaces the whole fleet at
/// once: all hosts are cold and overloaded then.
#[test]
fn slowness_of_a_fleet_that_was_just_replaced_does_not_roll_the_build_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    serve(&mut router, &mut checker, SECOND, |_, _, _| PROMPT_ACK);
    let started = checker.now - SECOND;
    let fresh: Vec<Endpoint> = (0..10)
        .map(|host| Endpoint {
            started_at: Some(started),
            ..endpoint(host, NEW)
        })
        .collect();
    checker.send_list(&mut router, ListKind::Changes, &fresh);
    serve(&mut router, &mut checker, 4 * SECOND, |_, _, _| {
        Response::new(AttemptOutcome::Acked, 400 * MS)
    });
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}
