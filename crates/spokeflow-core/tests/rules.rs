//! Random event sequences from a fixed seed, with all gates and operations. The rule checker
//! verifies the five rules at each call of the router.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use spokeflow_core::*;

/// One event. `pick` selects one of the open deliveries.
#[derive(Clone, Debug)]
enum Step {
    Command {
        operation: usize,
        key: u64,
        time_left: Micros,
    },
    End {
        pick: usize,
        outcome: AttemptOutcome,
    },
    Advance(Micros),
    List {
        host: u32,
        build: u16,
        state: EndpointState,
        fresh: bool,
        complete: bool,
    },
    ListFailure,
    Status {
        build: u16,
        stage: u8,
        state: RolloutState,
        cap: f64,
    },
    VoteOutcome(VoteOutcome),
    ClientLeaves(usize),
    Stats {
        operation: u16,
        build: u16,
        sampled: u32,
        failed: u32,
        mean_latency: Micros,
    },
    WrongAnswer {
        host: u32,
        since: Micros,
    },
}

fn outcomes() -> impl Strategy<Value = AttemptOutcome> {
    use AttemptOutcome::*;
    prop_oneof![
        8 => Just(Acked),
        3 => proptest::sample::select(vec![Error, Rejected, TimedOut, NotConnected, Reset, Cancelled]),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use RolloutState::*;
    let rollout_state = prop_oneof![
        3 => Just(Canary),
        1 => Just(RollingBack),
        2 => Just(Released),
        1 => Just(Withdrawn),
    ];
    let cap = prop_oneof![Just(0.0), Just(0.1), Just(0.4), Just(1.0)];
    let endpoint_state = prop_oneof![
        4 => Just(EndpointState::Ready),
        1 => Just(EndpointState::Draining),
        1 => Just(EndpointState::Gone),
    ];
    let vote_outcome = prop_oneof![
        Just(VoteOutcome::Counted),
        Just(VoteOutcome::Stale),
        Just(VoteOutcome::RateLimited),
        Just(VoteOutcome::Refused),
        Just(VoteOutcome::NoResponse),
    ];
    let step = prop_oneof![
        30 => (0..4usize, 0..40u64, 30 * MS..2 * SECOND)
            .prop_map(|(operation, key, time_left)| Step::Command { operation, key, time_left }),
        30 => (0..64usize, outcomes()).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        20 => (MS..120 * MS).prop_map(Step::Advance),
        2 => (SECOND..6 * SECOND).prop_map(Step::Advance),
        6 => (0..10u32, 7..9u16, endpoint_state, any::<bool>(), 0..20u8)
            .prop_map(|(host, build, state, fresh, complete)| {
                Step::List { host, build, state, fresh, complete: complete == 0 }
            }),
        1 => Just(Step::ListFailure),
        3 => (7..10u16, 0..5u8, rollout_state, cap)
            .prop_map(|(build, stage, state, cap)| Step::Status { build, stage, state, cap }),
        2 => vote_outcome.prop_map(Step::VoteOutcome),
        1 => (0..64usize).prop_map(Step::ClientLeaves),
        3 => (0..6u16, 7..10u16, 0..60u32, 0..80u32, 0..3 * SECOND)
            .prop_map(|(operation, build, sampled, failed, mean_latency)| {
                Step::Stats { operation, build, sampled, failed, mean_latency }
            }),
        1 => (0..12u32, 0..9 * SECOND).prop_map(|(host, since)| Step::WrongAnswer { host, since }),
    ];
    proptest::collection::vec(step, 50..300)
}

/// A router and its checker, which random steps are applied to.
struct Run {
    router: Router,
    checker: RuleChecker,
}

impl Run {
    fn new(config: ServiceConfig, seed: u64) -> Self {
        let (router, checker) = RuleChecker::start(config, seed);
        let mut run = Run { router, checker };
        let hosts: Vec<Endpoint> = (0..8)
            .map(|host| endpoint(host, if host < 6 { OLD } else { NEW }))
            .collect();
        run.checker
            .send_list(&mut run.router, ListKind::Cached, &hosts);
        run.announce(rollout_status(NEW, 0, RolloutState::Canary, 0.1));
        run
    }

    /// Returns the router, set to the present time.
    fn router(&mut self) -> &mut Router {
        self.router.set_time(self.checker.now)
    }

    fn announce(&mut self, status: RolloutStatus) {
        self.checker.announce(&mut self.router, status);
    }

    fn advance(&mut self, span: Micros) {
        self.checker.advance(&mut self.router, span);
    }

    fn play(&mut self, id: u32, step: Step) {
        match step {
            Step::Command {
                operation,
                key,
                time_left,
            } => self
                .checker
                .command(&mut self.router, id, operation, key, time_left),
            Step::End { pick, outcome } => self.end_one(pick, outcome),
            Step::Advance(span) => self.advance(span),
            Step::List {
                host,
                build,
                state,
                fresh,
                complete,
            } => self.list(host, BuildId(build), state, fresh, complete),
            Step::ListFailure => self.router().on_list_failure(),
            Step::Status {
                build,
                stage,
                state,
                cap,
            } => self.announce(rollout_status(BuildId(build), stage, state, cap)),
            Step::VoteOutcome(outcome) => self.router().on_vote_outcome(outcome),
            Step::ClientLeaves(pick) => self.client_leaves(pick),
            Step::Stats {
                operation,
                build,
                sampled,
                failed,
                mean_latency,
            } => self.report(ControllerStats {
                build: BuildId(build),
                op: OpType(operation),
                sampled,
                failed,
                mean_latency,
                age: SECOND,
            }),
            Step::WrongAnswer { host, since } => {
                self.router().on_wrong_answer(HostId(host), since);
            }
        }
    }

    fn end_one(&mut self, pick: usize, outcome: AttemptOutcome) {
        let open = self.checker.open();
        if open.is_empty() {
            return;
        }
        let (id, index) = open[pick % open.len()];
        self.checker
            .end_delivery(&mut self.router, id, index, outcome);
        // The rule about keys covers answers of earlier ticks only, so the next step is a tick
        // later.
        self.advance(5 * MS);
    }

    fn list(
        &mut self,
        host: u32,
        build: BuildId,
        state: EndpointState,
        fresh: bool,
        complete: bool,
    ) {
        let one = Endpoint {
            build: Some(build),
            state,
            started_at: fresh.then_some(self.checker.now - 300 * MS),
            ..endpoint(host, OLD)
        };
        if !complete {
            self.checker
                .send_list(&mut self.router, ListKind::Changes, &[one]);
            return;
        }
        let mut all: Vec<Endpoint> = self.checker.endpoints.values().copied().collect();
        all.retain(|other| other.host.0 % 10 != (host + 1) % 10 && other.host != one.host);
        all.retain(|other| other.state != EndpointState::Gone);
        all.push(Endpoint {
            state: EndpointState::Ready,
            ..one
        });
        self.checker
            .send_list(&mut self.router, ListKind::Complete, &all);
    }

    /// Ends a command with an open delivery because its client leaves.
    fn client_leaves(&mut self, pick: usize) {
        let open = self.checker.open();
        if open.is_empty() {
            return;
        }
        let (id, _) = open[pick % open.len()];
        let command = self
            .checker
            .commands
            .get_mut(&id)
            .expect("an open delivery belongs to a tracked command");
        command.answered = true;
        self.router
            .set_time(self.checker.now)
            .finish(id, &mut self.checker);
    }

    fn report(&mut self, stats: ControllerStats) {
        self.router().on_controller_stats(stats);
        let utilization = stats.mean_latency as f64 / SECOND as f64;
        self.router
            .on_load_report(HostId(stats.op.0.into()), utilization);
    }
}

fn play(config: ServiceConfig, seed: u64, steps: Vec<Step>) {
    let mut run = Run::new(config, seed);
    for (id, step) in steps.into_iter().enumerate() {
        run.play(id as u32, step);
    }
    run.advance(3 * SECOND);
    assert!(
        run.checker
            .commands
            .values()
            .all(|command| command.answered),
        "rule 1: commands without a final answer at the end: {:?}",
        run.checker
            .commands
            .iter()
            .filter(|(_, command)| !command.answered)
            .collect::<Vec<_>>()
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
        let mut config = service_config(gate);
        change(&mut config);
        play(config, seed, steps);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

#[test]
fn rules_hold_with_hedging() {
    run(|_| {});
}

#[test]
fn rules_hold_without_hedging_and_with_exposure_by_operation() {
    run(|config| {
        config.may_hedge = false;
        config.exposure_by_op = true;
        config.exposure_allowance = 1.0;
        config.may_gossip = false;
    });
}

#[test]
fn rules_hold_with_guarded_stages_and_without_forward_only() {
    run(|config| {
        config.guarded_stages = 2;
        config.forward_only = false;
        config.may_cancel = false;
        config.list_requires_subscription = false;
        config.may_name_retry_after = false;
    });
}
