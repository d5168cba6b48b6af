//! Which builds the evidence convicts, and which it does not.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn a_good_build_is_promoted_and_not_rolled_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| GOOD);
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
            BAD
        } else {
            GOOD
        }
    };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert!(count_votes(&checker, RolloutVote::RollBack) > 0);
}

#[test]
fn a_build_that_needs_three_times_the_work_is_rolled_back_without_one_error() {
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
fn one_host_that_errs_does_not_convict_its_build() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 12 * SECOND, |host, _, _| {
        if host.0 == 7 {
            BAD
        } else {
            GOOD
        }
    });
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn reports_of_wrong_answers_roll_a_build_back_and_those_on_earlier_processes_do_not() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 5 * SECOND, |_, _, _| GOOD);
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
    checker.pass(&mut router, SECOND);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
    (0..4).for_each(|_| {
        router
            .set_time(checker.now)
            .on_wrong_answer(HostId(7), SECOND)
    });
    router
        .set_time(checker.now)
        .on_vote_outcome(VoteOutcome::Counted);
    checker.pass(&mut router, SECOND);
    assert!(count_votes(&checker, RolloutVote::RollBack) > 0);
}

/// Counts of the old and the new build, and whether the new one is rolled back for them.
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

/// Of each build: sampled, lost, mean latency in milliseconds.
const CASES: [Case; 7] = [
    Case::new("alike", (28, 0, 80), (12, 0, 90), false),
    Case::new("fails", (28, 0, 80), (12, 3, 80), true),
    Case::new(
        "lost at both builds alike",
        (28, 10, 80),
        (12, 3, 80),
        false,
    ),
    Case::new("slow", (28, 0, 80), (12, 0, 240), true),
    Case::new("slows all", (28, 0, 240), (12, 0, 240), true),
    Case::new(
        "slows all, most is lost and sent again",
        (60, 40, 240),
        (24, 14, 240),
        true,
    ),
    Case::new(
        "slower as traffic doubles",
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
        checker.list(&mut router, ListKind::Cached, &hosts);
        let before = PeriodCount::new(40, 0, 80 * MS);
        report_counts(&mut router, &mut checker, 4, before, PeriodCount::default());
        let canary = rollout_status(NEW, 1, RolloutState::Canary, 0.4);
        checker.announce(&mut router, canary);
        report_counts(&mut router, &mut checker, 1, old, new);
        assert_eq!(
            count_votes(&checker, RolloutVote::RollBack),
            0,
            "{name}: one period convicts no build"
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
fn one_report_of_a_wrong_answer_convicts_only_where_many_must_agree() {
    for (back_votes, back) in [(25, true), (5, false)] {
        let (mut router, mut checker) = fleet(Gate::Clocked, |config| {
            (
                config.fleet_size,
                config.rollback_votes,
                config.complaint_share,
            ) = (100, back_votes, 0.5)
        });
        serve(&mut router, &mut checker, 2 * SECOND, |_, _, _| GOOD);
        router
            .set_time(checker.now)
            .on_wrong_answer(HostId(7), SECOND);
        checker.pass(&mut router, SECOND);
        assert_eq!(
            count_votes(&checker, RolloutVote::RollBack) > 0,
            back,
            "{back_votes} of 100"
        );
    }
}

#[test]
fn where_few_votes_roll_back_own_slowness_weighs_less() {
    let until_back = |back_votes| {
        let (mut router, mut checker) = fleet(Gate::Clocked, |config| {
            (config.fleet_size, config.rollback_votes) = (100, back_votes)
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
    let many = until_back(25);
    let few = until_back(3);
    assert!(many < 5 * SECOND && few >= many + 400 * MS, "{many} {few}");
}

#[test]
fn an_operation_that_times_out_at_every_host_does_not_convict_the_build() {
    let (mut router, mut checker) = fleet(Gate::Clocked, |_| {});
    serve(
        &mut router,
        &mut checker,
        12 * SECOND,
        |_, operation, _| match operation {
            2 => Response::new(AttemptOutcome::TimedOut, 700 * MS),
            _ => GOOD,
        },
    );
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn errors_of_one_tenant_at_every_host_do_not_convict_the_build() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    // The checker gives each command the tenant of its number modulo three, the last two being one.
    let respond = |_: HostId, _, number: u32| if number % 3 < 1 { BAD } else { GOOD };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn an_operation_that_is_slow_at_every_host_does_not_convict_the_build() {
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
fn what_clients_cut_short_does_not_convict_the_build() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let respond = |_: HostId, _, number| {
        if number % 4 == 0 {
            Response::new(AttemptOutcome::TimedOut, 300 * MS)
        } else {
            GOOD
        }
    };
    serve(&mut router, &mut checker, 12 * SECOND, respond);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

/// Seen on sockets: where one answer in ten came spoilt from any host, a good build was rolled back
/// by chance.
#[test]
fn failures_that_every_host_has_do_not_convict_a_build_and_many_more_do() {
    let noise = |_, _, number: u32| {
        if number.wrapping_mul(0x9e37_79b9) >> 16 & 1023 < 130 {
            BAD
        } else {
            GOOD
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
                    BAD
                } else {
                    noise(host, operation, number)
                }
            },
        );
        assert!(count_votes(&checker, RolloutVote::RollBack) > 0, "{seed}");
    }
}

/// Seen on sockets: the last stage replaced the whole fleet at once, all of it was cold and full,
/// and a good build went back for it.
#[test]
fn a_fleet_that_was_just_replaced_is_not_convicted_of_slowness() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    serve(&mut router, &mut checker, SECOND, |_, _, _| GOOD);
    let started = checker.now - SECOND;
    let fresh: Vec<Endpoint> = (0..10)
        .map(|host| Endpoint {
            started_at: Some(started),
            ..endpoint(host, NEW)
        })
        .collect();
    checker.list(&mut router, ListKind::Changes, &fresh);
    serve(&mut router, &mut checker, 4 * SECOND, |_, _, _| {
        Response::new(AttemptOutcome::Acked, 400 * MS)
    });
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}
