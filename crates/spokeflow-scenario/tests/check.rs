//! The checker finds each violation of the five rules in a trace, and none in a trace that keeps them.

use spokeflow_scenario::check::{check, Checker, RuleConfig};
use spokeflow_scenario::observation::Observation::*;
use spokeflow_scenario::observation::{
    AnswerKind, Observation, Phase, Process, ReplyKind, RolloutState,
};
use spokeflow_scenario::scenario::Repeat;
use spokeflow_scenario::{Micros, MS, SECOND};

const ROUTER: Process = Process {
    router: 0,
    start: 0,
};

fn config() -> RuleConfig {
    RuleConfig {
        repeats: vec![
            Repeat::Redeliverable,
            Repeat::Deduplicated(5 * SECOND),
            Repeat::AtMostOnce,
        ],
        drain_grace: SECOND,
        exposure_free: 1.0,
        exposure_span: 4 * SECOND,
        forward_only: true,
        first_cap: 0.1,
        slack: 100 * MS,
        connecting: 0,
        linger: 30 * SECOND,
    }
}

fn taken(attempt: u64, op: u16) -> Observation {
    Taken {
        by: ROUTER,
        attempt,
        command: attempt,
        op,
        key: 9,
        timeout: SECOND,
    }
}

fn delivered(attempt: u64, host: u32, delivery: u64) -> Observation {
    Delivered {
        host,
        build: 1,
        from: ROUTER,
        attempt,
        delivery,
    }
}

fn answered(attempt: u64, kind: AnswerKind) -> Observation {
    Answered {
        by: ROUTER,
        attempt,
        kind,
        build: 1,
    }
}

/// Returns the rules violated by a trace whose times are in milliseconds.
fn violations(trace: &[(Micros, Observation)]) -> Vec<u8> {
    let trace: Vec<_> = trace
        .iter()
        .map(|(at, observation)| (at * MS, observation.clone()))
        .collect();
    check(&config(), &trace)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

/// Returns the violated rules except rule 1, for traces that leave out the answers.
fn other_violations(trace: &[(Micros, Observation)]) -> Vec<u8> {
    violations(trace)
        .into_iter()
        .filter(|rule| *rule != 1)
        .collect()
}

#[test]
fn an_attempt_must_get_one_answer_by_its_deadline() {
    let end = (9_000, Fault { what: "end".into() });
    let (ack, nack) = (
        answered(1, AnswerKind::Acked),
        answered(1, AnswerKind::Nacked),
    );
    assert!(violations(&[(0, taken(1, 0)), (900, ack.clone()), end.clone()]).is_empty());
    assert_eq!(violations(&[(0, taken(1, 0)), end.clone()]), [1]);
    assert_eq!(
        violations(&[(0, taken(1, 0)), (1200, ack.clone()), end.clone()]),
        [1]
    );
    assert_eq!(
        violations(&[
            (0, taken(1, 0)),
            (100, ack.clone()),
            (200, nack),
            end.clone()
        ]),
        [1]
    );
    assert!(violations(&[(0, taken(1, 0)), (500, RouterKilled(ROUTER)), end.clone()]).is_empty());
    assert!(violations(&[
        (0, RouterShutdown(ROUTER)),
        (10, taken(1, 0)),
        (500, RouterEnded(ROUTER)),
        end.clone()
    ])
    .is_empty());
    assert_eq!(
        violations(&[
            (0, taken(1, 0)),
            (10, RouterShutdown(ROUTER)),
            (500, RouterEnded(ROUTER)),
            end
        ]),
        [1]
    );
}

#[test]
fn repeated_effects_and_redeliveries_or_nacks_without_proof_are_violations() {
    let ran = |attempt, op| Ran {
        host: 1,
        build: 1,
        attempt,
        command: 1,
        op,
    };
    let full = Replied {
        host: 1,
        attempt: 1,
        delivery: 1,
        kind: ReplyKind::Full,
    };
    assert_eq!(other_violations(&[(0, ran(1, 2)), (10, ran(2, 2))]), [2]);
    assert!(other_violations(&[(0, ran(1, 0)), (10, ran(2, 0))]).is_empty());
    let again = [
        (0, taken(1, 2)),
        (1, delivered(1, 1, 1)),
        (9, delivered(1, 2, 2)),
    ];
    assert_eq!(other_violations(&again), [2]);
    let proven = [
        (0, taken(1, 2)),
        (1, delivered(1, 1, 1)),
        (5, full),
        (9, delivered(1, 2, 2)),
    ];
    assert!(other_violations(&proven).is_empty());
    let nacked = [
        (0, taken(1, 2)),
        (1, delivered(1, 1, 1)),
        (9, answered(1, AnswerKind::Nacked)),
    ];
    assert_eq!(other_violations(&nacked), [2]);
    assert!(other_violations(&[(0, taken(1, 2)), (9, answered(1, AnswerKind::Nacked))]).is_empty());
    let late = [
        (0, taken(1, 1)),
        (1, delivered(1, 1, 1)),
        (5_200, delivered(1, 2, 2)),
    ];
    assert_eq!(other_violations(&late), [2]);
}

#[test]
fn draining_hosts_and_hosts_missing_on_a_complete_list_get_no_deliveries_after_the_grace() {
    let listed = |lines: &[(u32, Phase)], whole| Listed {
        to: ROUTER,
        whole,
        lines: lines
            .iter()
            .map(|(host, phase)| (*host, 1, *phase))
            .collect(),
    };
    let ready = listed(&[(1, Phase::Ready), (2, Phase::Ready)], true);
    let drain = listed(&[(1, Phase::Draining)], false);
    let less = listed(&[(2, Phase::Ready)], true);
    for close in [drain, less] {
        let at = |t, host| {
            vec![
                (0, ready.clone()),
                (10, close.clone()),
                (t, delivered(1, host, 1)),
            ]
        };
        assert!(other_violations(&at(1_000, 1)).is_empty());
        assert_eq!(other_violations(&at(1_200, 1)), [3]);
        assert!(other_violations(&at(1_200, 2)).is_empty());
    }
    assert_eq!(other_violations(&[(5, Fell { host: 3 })]), [4]);
}

#[test]
fn exposure_is_counted_over_the_window_and_a_lower_cap_applies_after_the_grace() {
    let update = |state, cap| News {
        to: ROUTER,
        build: 1,
        stage: 0,
        state,
        cap,
    };
    let canary = update(RolloutState::Canary, 0.1);
    let mut trace = vec![(0, canary.clone())];
    trace.extend((0..20).map(|n| (1_000 + n, taken(n as u64 + 1, 0))));
    trace.extend((0..3).map(|n| (2_000 + n, delivered(n as u64 + 1, 1, n as u64))));
    assert!(
        other_violations(&trace).is_empty(),
        "one delivery beyond the cap and a tenth of 20 attempts are allowed"
    );
    let mut exceeding = trace.clone();
    exceeding.push((2_100, delivered(4, 1, 4)));
    assert_eq!(other_violations(&exceeding), [5]);
    exceeding[0].1 = update(RolloutState::Released, 1.0);
    assert!(other_violations(&exceeding).is_empty());
    // A router that has just started applies the cap of stage 0 and then learns that the build is rolled back. Its
    // deliveries within the grace are allowed. Found with the drawn scenario of seed 458.
    let new_router = |at| {
        let rollback = update(RolloutState::RollingBack, 0.0);
        vec![(0, taken(1, 0)), (100, rollback), (at, delivered(1, 1, 1))]
    };
    assert!(other_violations(&new_router(105)).is_empty());
    assert_eq!(other_violations(&new_router(1_300)), [5]);
    let mut rolled_back = trace.clone();
    rolled_back.push((2_200, update(RolloutState::RollingBack, 0.0)));
    rolled_back.push((3_500, delivered(5, 1, 9)));
    assert_eq!(other_violations(&rolled_back), [5]);
}

/// Guards against a false violation: a delivery that waited 0.21 s for its connection was observed within a window for
/// which the router no longer counted it. Found with the bad-day scenario of seed 23 in simulated time.
#[test]
fn a_delivery_counts_from_when_it_was_sent_and_not_from_when_it_was_connected() {
    let mut trace = vec![(
        0,
        News {
            to: ROUTER,
            build: 1,
            stage: 0,
            state: RolloutState::Canary,
            cap: 0.1,
        },
    )];
    trace.push((1_250, delivered(1, 1, 1)));
    trace.extend((0..20).map(|n| (3_000 + n, taken(n as u64 + 1, 0))));
    trace.extend((0..4).map(|n| (5_100 + 10 * n, delivered(n as u64 + 2, 1, n as u64 + 2))));
    let count = |connecting| {
        let trace: Vec<_> = trace
            .iter()
            .map(|(at, observation)| (at * MS, observation.clone()))
            .collect();
        let config = RuleConfig {
            connecting,
            ..config()
        };
        check(&config, &trace)
            .iter()
            .filter(|violation| violation.rule == 5)
            .count()
    };
    assert_eq!((count(0), count(250 * MS)), (2, 1));
}

/// Returns a trace in which build 2 answers key 9 at 20 ms and the next command with this key arrives at 300 ms.
fn key_answered_by_build_2() -> Vec<(Micros, Observation)> {
    let lines = vec![(1, 1, Phase::Ready), (2, 2, Phase::Ready)];
    vec![
        (
            0,
            Listed {
                to: ROUTER,
                whole: true,
                lines,
            },
        ),
        (
            0,
            News {
                to: ROUTER,
                build: 2,
                stage: 4,
                state: RolloutState::Canary,
                cap: 1.0,
            },
        ),
        (10, taken(1, 0)),
        (
            20,
            Answered {
                by: ROUTER,
                attempt: 1,
                kind: AnswerKind::Acked,
                build: 2,
            },
        ),
        (300, taken(2, 0)),
    ]
}

#[test]
fn a_key_goes_to_no_earlier_build_until_the_new_one_is_rolled_back() {
    let start = key_answered_by_build_2();
    let mut trace = start.to_vec();
    trace.push((400, delivered(2, 1, 1)));
    assert_eq!(other_violations(&trace), [5]);
    let mut trace = start.to_vec();
    trace.push((
        350,
        News {
            to: ROUTER,
            build: 2,
            stage: 4,
            state: RolloutState::RollingBack,
            cap: 0.0,
        },
    ));
    trace.push((400, delivered(2, 1, 1)));
    assert!(other_violations(&trace).is_empty());
    // A build that is rolled back answers a command that was still in flight, and the next build is announced before
    // the key's next command. Found with the drawn scenarios of seeds 153 and 348.
    trace.pop();
    trace.push((
        360,
        Answered {
            by: ROUTER,
            attempt: 2,
            kind: AnswerKind::Acked,
            build: 2,
        },
    ));
    trace.push((
        700,
        News {
            to: ROUTER,
            build: 3,
            stage: 0,
            state: RolloutState::Canary,
            cap: 0.1,
        },
    ));
    trace.push((1_000, taken(3, 0)));
    trace.push((1_100, delivered(3, 1, 1)));
    assert!(other_violations(&trace).is_empty());
}

/// Guards against a false violation: build 2 is rolled back for build 3 before its release, build 3 is withdrawn, and
/// the hosts return to build 1. Found with `day --seed 13` and `--seed 31337` on sockets.
#[test]
fn a_key_is_bound_to_the_newest_announced_build_only() {
    let lines = vec![
        (1, 1, Phase::Ready),
        (2, 2, Phase::Ready),
        (3, 3, Phase::Ready),
    ];
    let update = |build, state, cap| News {
        to: ROUTER,
        build,
        stage: 4,
        state,
        cap,
    };
    let ack = |attempt, build| Answered {
        by: ROUTER,
        attempt,
        kind: AnswerKind::Acked,
        build,
    };
    let start = [
        (
            0,
            Listed {
                to: ROUTER,
                whole: true,
                lines,
            },
        ),
        (0, update(2, RolloutState::Canary, 1.0)),
        (10, taken(1, 0)),
        (20, ack(1, 2)),
        (300, update(3, RolloutState::Canary, 1.0)),
        (310, taken(2, 0)),
    ];
    let mut trace = start.to_vec();
    trace.push((600, delivered(2, 1, 1)));
    assert!(other_violations(&trace).is_empty(), "build 2 rolled back");
    trace.splice(
        6..,
        [
            (320, ack(2, 3)),
            (600, taken(3, 0)),
            (610, delivered(3, 2, 1)),
        ],
    );
    assert_eq!(other_violations(&trace), [5], "build 3 is in its canary");
    trace.splice(
        7..,
        [
            (400, update(3, RolloutState::Withdrawn, 0.0)),
            (600, taken(3, 0)),
        ],
    );
    trace.push((700, delivered(3, 1, 1)));
    assert!(other_violations(&trace).is_empty(), "build 3 is withdrawn");
}

/// Passes the checker an attempt that is accepted, delivered, executed and answered at once.
fn observe_one_command(checker: &mut Checker, at: Micros, n: u64) {
    checker.observe(
        at,
        &Taken {
            by: ROUTER,
            attempt: n,
            command: n,
            op: 1,
            key: n,
            timeout: SECOND,
        },
    );
    checker.observe(
        at,
        &Delivered {
            host: 1,
            build: 2,
            from: ROUTER,
            attempt: n,
            delivery: n,
        },
    );
    checker.observe(
        at,
        &Ran {
            host: 1,
            build: 2,
            attempt: n,
            command: n,
            op: 1,
        },
    );
    checker.observe(
        at,
        &Answered {
            by: ROUTER,
            attempt: n,
            kind: AnswerKind::Acked,
            build: 2,
        },
    );
}

#[test]
fn a_long_run_is_checked_in_bounded_memory() {
    let mut checker = Checker::new(config());
    let news = News {
        to: ROUTER,
        build: 2,
        stage: 4,
        state: RolloutState::Released,
        cap: 1.0,
    };
    checker.observe(
        0,
        &Listed {
            to: ROUTER,
            whole: true,
            lines: vec![(1, 2, Phase::Ready)],
        },
    );
    let mut most = 0;
    for n in 1..40_000 {
        let at = n as Micros * 10 * MS;
        observe_one_command(&mut checker, at, n);
        if n % 400 == 0 {
            checker.observe(at, &news);
        }
        let retained = checker.retained();
        most = most.max(retained.attempts + retained.commands);
    }
    // At 100 a second, attempts are kept for their deadline of 1 s and 30 s more, commands for twice 30 s.
    assert!(most < 10_500, "{most}");
    let retained = checker.retained();
    assert!(retained.accepted < 800 && retained.deliveries < 800 && retained.rollouts < 20);
    assert!(
        retained.key_answers < 200,
        "no earlier build is left for the keys, but {} are kept",
        retained.key_answers
    );
    assert!(checker.finish().is_empty());
}
