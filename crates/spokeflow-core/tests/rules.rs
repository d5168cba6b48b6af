//! Random runs from a fixed seed: the ledger checks the five rules after each step, all gates and effects.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use spokeflow_core::*;

#[derive(Clone, Debug)]
enum Step {
    Command {
        op: usize,
        key: u64,
        left: Micros,
    },
    End {
        pick: usize,
        end: AttemptOutcome,
    },
    Pass(Micros),
    List {
        host: u32,
        build: u16,
        phase: EndpointState,
        fresh: bool,
        whole: bool,
    },
    ListFails,
    News {
        build: u16,
        stage: u8,
        standing: RolloutState,
        cap: f64,
    },
    VoteOutcome(VoteOutcome),
    Leave(usize),
    Counted {
        op: u16,
        build: u16,
        sampled: u32,
        lost: u32,
        mean: Micros,
    },
    Disputed {
        host: u32,
        since: Micros,
    },
}

fn ends() -> impl Strategy<Value = AttemptOutcome> {
    use AttemptOutcome::*;
    prop_oneof![
        8 => Just(Acked),
        3 => proptest::sample::select(vec![Error, Rejected, TimedOut, NotConnected, Reset, Cancelled]),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use RolloutState::*;
    let standing = prop_oneof![3 => Just(Canary), 1 => Just(RollingBack), 2 => Just(Released), 1 => Just(Withdrawn)];
    let cap = prop_oneof![Just(0.0), Just(0.1), Just(0.4), Just(1.0)];
    let phase = prop_oneof![4 => Just(EndpointState::Ready), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Gone)];
    let answer = prop_oneof![
        Just(VoteOutcome::Counted),
        Just(VoteOutcome::Stale),
        Just(VoteOutcome::RateLimited),
        Just(VoteOutcome::Refused),
        Just(VoteOutcome::NoResponse),
    ];
    let step = prop_oneof![
        30 => (0..4usize, 0..40u64, 30 * MS..2 * SECOND)
            .prop_map(|(op, key, left)| Step::Command { op, key, left }),
        30 => (0..64usize, ends()).prop_map(|(pick, end)| Step::End { pick, end }),
        20 => (MS..120 * MS).prop_map(Step::Pass),
        2 => (SECOND..6 * SECOND).prop_map(Step::Pass),
        6 => (0..10u32, 7..9u16, phase, any::<bool>(), 0..20u8)
            .prop_map(|(host, build, phase, fresh, whole)| {
            Step::List { host, build, phase, fresh, whole: whole == 0 }
        }),
        1 => Just(Step::ListFails),
        3 => (7..10u16, 0..5u8, standing, cap)
            .prop_map(|(build, stage, standing, cap)| Step::News { build, stage, standing, cap }),
        2 => answer.prop_map(Step::VoteOutcome),
        1 => (0..64usize).prop_map(Step::Leave),
        3 => (0..6u16, 7..10u16, 0..60u32, 0..80u32, 0..3 * SECOND)
            .prop_map(|(op, build, sampled, lost, mean)| Step::Counted { op, build, sampled, lost, mean }),
        1 => (0..12u32, 0..9 * SECOND).prop_map(|(host, since)| Step::Disputed { host, since }),
    ];
    proptest::collection::vec(step, 50..300)
}

fn play(terms: ServiceConfig, seed: u64, steps: Vec<Step>) {
    let (mut router, mut ledger) = Ledger::start(terms, seed);
    let router = &mut router;
    let hosts: Vec<Endpoint> = (0..8)
        .map(|h| line(h, if h < 6 { OLD } else { NEW }))
        .collect();
    ledger.list(router, ListKind::Cached, &hosts);
    ledger.tell(router, news(NEW, 0, RolloutState::Canary, 0.1));
    for (n, step) in steps.into_iter().enumerate() {
        match step {
            Step::Command { op, key, left } => ledger.command(router, n as u32, op, key, left),
            Step::End { pick, end } => {
                let open = ledger.open();
                if !open.is_empty() {
                    let (cmd, nth) = open[pick % open.len()];
                    ledger.end(router, cmd, nth, end);
                    // A rule about keys looks at answers of earlier batches: the next batch is a tick later.
                    ledger.pass(router, 5 * MS);
                }
            }
            Step::Pass(span) => ledger.pass(router, span),
            Step::List {
                host,
                build,
                phase,
                fresh,
                whole,
            } => {
                let started = if fresh {
                    Some(ledger.now - 300 * MS)
                } else {
                    None
                };
                let one = Endpoint {
                    build: Some(BuildId(build)),
                    state: phase,
                    started_at: started,
                    ..line(host, OLD)
                };
                if whole {
                    let mut all: Vec<Endpoint> = ledger.lines.values().copied().collect();
                    all.retain(|l| l.host.0 % 10 != (host + 1) % 10 && l.host != one.host);
                    all.retain(|l| l.state != EndpointState::Gone);
                    all.push(Endpoint {
                        state: EndpointState::Ready,
                        ..one
                    });
                    ledger.list(router, ListKind::Complete, &all);
                } else {
                    ledger.list(router, ListKind::Changes, &[one]);
                }
            }
            Step::ListFails => router.set_time(ledger.now).on_list_failure(),
            Step::News {
                build,
                stage,
                standing,
                cap,
            } => {
                ledger.tell(router, news(BuildId(build), stage, standing, cap));
            }
            Step::VoteOutcome(answer) => router.set_time(ledger.now).on_vote_outcome(answer),
            Step::Leave(pick) => {
                let open = ledger.open();
                if !open.is_empty() {
                    let cmd = open[pick % open.len()].0;
                    ledger.owed.get_mut(&cmd).expect("open").answered = true;
                    router.set_time(ledger.now).finish(cmd, &mut ledger);
                }
            }
            Step::Counted {
                op,
                build,
                sampled,
                lost,
                mean,
            } => {
                let (build, op) = (BuildId(build), OpType(op));
                router
                    .set_time(ledger.now)
                    .on_controller_stats(ControllerStats {
                        build,
                        op,
                        sampled,
                        failed: lost,
                        mean_latency: mean,
                        age: SECOND,
                    });
                router.on_load_report(HostId(op.0.into()), mean as f64 / SECOND as f64);
            }
            Step::Disputed { host, since } => router
                .set_time(ledger.now)
                .on_wrong_answer(HostId(host), since),
        }
    }
    ledger.pass(router, 3 * SECOND);
    assert!(
        ledger.owed.values().all(|o| o.answered),
        "rule 1: a command without an answer at the end"
    );
}

fn run(change: impl Fn(&mut ServiceConfig)) {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let gates = prop_oneof![
        Just(Gate::Single),
        Just(Gate::Majority),
        Just(Gate::Clocked)
    ];
    let runs = (gates, any::<u64>(), steps());
    let outcome = TestRunner::new_with_rng(config, rng).run(&runs, |(gate, seed, steps)| {
        let mut terms = terms(gate);
        change(&mut terms);
        play(terms, seed, steps);
        Ok(())
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
}

#[test]
fn rules_hold_with_copies_side_by_side() {
    run(|_| {});
}

#[test]
fn rules_hold_with_one_copy_at_a_time_counted_by_op() {
    run(|t| {
        t.may_hedge = false;
        t.exposure_by_op = true;
        t.exposure_allowance = 1.0;
        t.may_gossip = false;
    });
}

#[test]
fn rules_hold_with_guarded_stages_and_no_one_way() {
    run(|t| {
        t.guarded_stages = 2;
        t.forward_only = false;
        t.may_cancel = false;
        t.list_requires_subscription = false;
        t.may_name_retry_after = false;
    });
}

/// Many routers share hosts, and two in three hosts refuse: what all send to a cold one stays in its budget.
#[test]
fn many_routers_together_do_not_push_a_cold_host_over() {
    let (routers, hosts, each) = (40u64, 12u32, 12);
    let mut terms = terms(Gate::Single);
    terms.fleet_size = routers as u32;
    let mut fleet: Vec<_> = (0..routers)
        .map(|n| {
            Ledger::start(
                ServiceConfig {
                    own_index: n as u32,
                    ..terms.clone()
                },
                n,
            )
        })
        .collect();
    let all: Vec<Endpoint> = (0..hosts).map(|h| line(h, OLD)).collect();
    for (router, ledger) in &mut fleet {
        ledger.list(router, ListKind::Cached, &all);
        ledger.tell(router, news(OLD, 2, RolloutState::Released, 1.0));
    }
    let mut round = |cold: bool, rounds: u32| {
        let mut sent = 0;
        for (router, ledger) in &mut fleet {
            let from = ledger.now;
            for n in 0..rounds {
                let id = ledger.owed.len() as u32;
                ledger.command(router, id, 0, 0, 900 * MS);
                ledger.pass(router, SECOND / each + Micros::from(n % 2));
                for (cmd, nth) in ledger.open() {
                    let refuses = cold && ledger.owed[&cmd].sent[nth].host > HostId(3);
                    ledger.end(
                        router,
                        cmd,
                        nth,
                        if refuses {
                            AttemptOutcome::Rejected
                        } else {
                            AttemptOutcome::Acked
                        },
                    );
                }
            }
            let all = ledger.owed.values().flat_map(|o| &o.sent);
            sent += all.filter(|s| s.host == HostId(3) && s.at >= from).count();
            let line = Endpoint {
                started_at: Some(ledger.now),
                ..line(3, OLD)
            };
            ledger.list(router, ListKind::Changes, &[line]);
        }
        sent as f64
    };
    round(false, 8 * each as u32);
    // Forty routers of twelve a second over twelve hosts: forty a second each, which is what one can do.
    let (can, span) = (
        (routers as f64) * each as f64 / f64::from(hosts),
        terms.overload_window as f64 / SECOND as f64,
    );
    let present = terms.slow_start_from
        + (1.0 - terms.slow_start_from) * span / (terms.warm_up_time as f64 / SECOND as f64);
    let sent = round(true, 2 * each as u32);
    let budget = terms.overload_multiple * can * present * span;
    assert!(sent <= budget, "rule 4: {sent} sent, {budget} at most");
}

/// Drawn days 58 and 904: routers that had just started beside a single cold host, the others dead, took what was asked of
/// them for what it can do, and all together sent it many times what it bears.
#[test]
fn routers_that_start_beside_one_cold_host_do_not_push_it_over() {
    let (routers, each) = (150u64, 6);
    let mut terms = terms(Gate::Single);
    terms.fleet_size = routers as u32;
    let mut sent = 0;
    for n in 0..routers {
        let (mut router, mut ledger) = Ledger::start(
            ServiceConfig {
                own_index: n as u32,
                ..terms.clone()
            },
            n,
        );
        let cold = Endpoint {
            started_at: Some(ledger.now - 100 * MS),
            ..line(3, OLD)
        };
        ledger.list(&mut router, ListKind::Complete, &[cold]);
        ledger.tell(&mut router, news(OLD, 2, RolloutState::Released, 1.0));
        for id in 0..2 * each {
            ledger.command(&mut router, id, 0, 0, 900 * MS);
            ledger.pass(&mut router, SECOND / Micros::from(each));
        }
        sent += ledger.owed.values().map(|o| o.sent.len()).sum::<usize>();
    }
    // A host that answers one command in a service target bears so many over the told span, and chance on top.
    let span = terms.overload_window as f64 / SECOND as f64;
    let can = SECOND as f64 / terms.ops[0].latency_objective as f64 * terms.slow_start_from;
    let room = terms.overload_multiple * can * span;
    let bears = room + 3.0 * room.sqrt() + 3.0;
    assert!(
        sent as f64 <= bears && sent > 0,
        "rule 4: {sent} sent, {bears} at most"
    );
}
