//! Compiles the report while a run goes on.

use hdrhistogram::Histogram;

use super::builds::{ControllerState, RollbackVote};
use super::{seconds, End, Interval, Outcome, Report, ReportedViolation};
use crate::check::{explain, Checker, RuleConfig, RuleViolation};
use crate::observation::{Observation, RolloutState};
use crate::scenario::Scenario;
use crate::{Micros, SECOND};

/// Maximum number of intervals of a run; an interval is at least one second long.
const MAX_INTERVALS: Micros = 240;
/// Length in seconds of the windows whose worst service is reported.
const WORST_WINDOW_SECONDS: usize = 10;
/// Significant digits of the recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Number of variants of [`End`].
const END_COUNT: usize = 6;

/// Weight of the commands due and of those acked within the latency objective.
#[derive(Clone, Copy, Default)]
struct Service {
    due: f64,
    good: f64,
}

impl Service {
    fn fraction(self) -> f64 {
        if self.due > 0.0 {
            self.good / self.due
        } else {
            1.0
        }
    }
}

impl std::iter::Sum for Service {
    fn sum<I: Iterator<Item = Service>>(parts: I) -> Service {
        parts.fold(Service::default(), |sum, part| Service {
            due: sum.due + part.due,
            good: sum.good + part.good,
        })
    }
}

/// Compiles the report of a run from its observations and outcomes.
pub struct RunRecorder {
    pub(super) scenario: Scenario,
    checker: Checker,
    /// By second of the run.
    by_second: Vec<Service>,
    /// By [`End`], the number of commands.
    ends: [u64; END_COUNT],
    attempts: u64,
    deliveries: u64,
    /// Latencies of the acked commands, in microseconds.
    latencies: Histogram<u64>,
    interval: Micros,
    over_time: Vec<Interval>,
    pub(super) controller: Vec<ControllerState>,
    /// First rollback vote of each build that was in place when the vote was sent.
    pub(super) rollback_votes: Vec<RollbackVote>,
    pub(super) start: Micros,
}

impl RunRecorder {
    /// Creates the recorder of a run in which no command is due before `start`.
    pub fn new(scenario: &Scenario, start: Micros) -> RunRecorder {
        RunRecorder {
            checker: Checker::new(RuleConfig::of(scenario)),
            by_second: Vec::new(),
            ends: [0; END_COUNT],
            attempts: 0,
            deliveries: 0,
            latencies: Histogram::new(LATENCY_DIGITS)
                .expect("a histogram supports up to 5 significant digits"),
            interval: (scenario.length / MAX_INTERVALS).max(SECOND),
            over_time: Vec::new(),
            controller: Vec::new(),
            rollback_votes: Vec::new(),
            start,
            scenario: scenario.clone(),
        }
    }

    /// Returns the violations of the rules found so far.
    pub fn violations(&self) -> &[RuleViolation] {
        self.checker.violations()
    }

    fn interval_at(&mut self, at: Micros) -> &mut Interval {
        let index = ((at - self.start).max(0) / self.interval) as usize;
        let operations = self.scenario.ops.len();
        let tenants = self.scenario.tenants.len();
        while self.over_time.len() <= index {
            let at_s = seconds(self.over_time.len() as Micros * self.interval);
            let stage = self.controller.last().map_or(0, |state| state.stage);
            self.over_time.push(Interval {
                at_s,
                asked_by_op: vec![0.0; operations],
                good_by_op: vec![0.0; operations],
                asked_by_tenant: vec![0.0; tenants],
                good_by_tenant: vec![0.0; tenants],
                stage,
                ..Interval::default()
            });
        }
        &mut self.over_time[index]
    }

    /// Records the next observation. Times must not decrease.
    pub fn observe(&mut self, at: Micros, observation: &Observation) {
        self.checker.observe(at, observation);
        match observation {
            Observation::Taken { .. } => self.attempts += 1,
            Observation::Delivered { build, .. } => self.on_delivery(at, *build),
            Observation::Voted { build, vote, .. } => self.on_vote(at, *build, vote),
            Observation::ReleaseController {
                build,
                stage,
                state: rollout,
            } => {
                self.controller.push(ControllerState {
                    at,
                    build: *build,
                    rollout: *rollout,
                    stage: *stage,
                });
                self.interval_at(at).stage = *stage;
            }
            _ => {}
        }
    }

    fn on_delivery(&mut self, at: Micros, build: u16) {
        self.deliveries += 1;
        let is_canary = self
            .controller
            .last()
            .is_some_and(|state| state.build == build && state.rollout == RolloutState::Canary);
        let interval = self.interval_at(at);
        interval.deliveries += 1;
        interval.at_trial += u64::from(is_canary);
    }

    fn on_vote(&mut self, at: Micros, build: u16, vote: &str) {
        let is_rollback = vote == "Back";
        let is_in_place = self.controller.last().is_some_and(|state| {
            state.build == build && state.rollout != RolloutState::RollingBack
        });
        let last = self.rollback_votes.last();
        if is_rollback && is_in_place && last.is_none_or(|earlier| earlier.build != build) {
            self.rollback_votes.push(RollbackVote { at, build });
        }
        let interval = self.interval_at(at);
        interval.votes_back += u64::from(is_rollback);
        interval.votes_on += u64::from(vote == "On");
    }

    /// Records the state of the fleet: the commands held by hosts and the number of hosts that are warming up.
    pub fn on_fleet_state(&mut self, at: Micros, in_flight: u64, cold_hosts: u64) {
        let interval = self.interval_at(at);
        interval.in_flight = interval.in_flight.max(in_flight);
        interval.cold_hosts = interval.cold_hosts.max(cold_hosts);
    }

    /// Records the outcome of a command.
    pub fn record_outcome(&mut self, outcome: &Outcome) {
        let operation = &self.scenario.ops[outcome.op];
        let weight = operation.importance;
        let is_acked = outcome.end == End::Acked;
        let is_good = is_acked && outcome.took <= operation.target;
        self.ends[outcome.end as usize] += 1;
        if is_acked {
            self.latencies
                .record(outcome.took.max(1) as u64)
                .expect("the histogram resizes automatically");
        }
        let good_weight = if is_good { weight } else { 0.0 };
        let second = ((outcome.due - self.start).max(0) / SECOND) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, Service::default());
        }
        self.by_second[second].due += weight;
        self.by_second[second].good += good_weight;
        let interval = self.interval_at(outcome.due);
        interval.asked_by_op[outcome.op] += weight;
        interval.good_by_op[outcome.op] += good_weight;
        interval.asked_by_tenant[outcome.tenant] += weight;
        interval.good_by_tenant[outcome.tenant] += good_weight;
    }

    fn service_of_operation(&self, index: usize) -> f64 {
        let parts = self.over_time.iter().map(|interval| Service {
            due: interval.asked_by_op[index],
            good: interval.good_by_op[index],
        });
        parts.sum::<Service>().fraction()
    }

    fn service_of_tenant(&self, index: usize) -> f64 {
        let parts = self.over_time.iter().map(|interval| Service {
            due: interval.asked_by_tenant[index],
            good: interval.good_by_tenant[index],
        });
        parts.sum::<Service>().fraction()
    }

    fn worst_service(&self) -> f64 {
        self.by_second
            .windows(WORST_WINDOW_SECONDS)
            .map(|window| window.iter().copied().sum::<Service>().fraction())
            .fold(1.0, f64::min)
    }

    fn milliseconds_at(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the report at the end of the run. `faults` are the errors of the run itself. If the trace is given, the
    /// violations are reported with the messages related to them.
    pub fn finish(self, faults: Vec<String>, trace: Option<&[(Micros, Observation)]>) -> Report {
        let scenario = &self.scenario;
        let operations = scenario.ops.iter().enumerate();
        let tenants = scenario.tenants.iter().enumerate();
        let builds = self.build_summaries();
        let [acked, wrong, nacked, failed, given_up, unreachable] = self.ends;
        Report {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            seconds: seconds(scenario.length),
            routers: scenario.routers,
            hosts: scenario.hosts,
            commands: self.ends.iter().sum(),
            acked,
            nacked,
            failed,
            given_up,
            unreachable,
            wrong,
            attempts: self.attempts,
            deliveries: self.deliveries,
            service: self.by_second.iter().copied().sum::<Service>().fraction(),
            worst_ten_seconds: self.worst_service(),
            by_op: operations
                .map(|(index, operation)| {
                    (operation.name.to_string(), self.service_of_operation(index))
                })
                .collect(),
            by_tenant: tenants
                .map(|(index, tenant)| (tenant.name.to_string(), self.service_of_tenant(index)))
                .collect(),
            p50_ms: self.milliseconds_at(0.5),
            p99_ms: self.milliseconds_at(0.99),
            false_backs: self.false_rollbacks(&builds),
            misses: self.missed_defects(&builds),
            builds,
            troubles: scenario.faults.iter().map(ToString::to_string).collect(),
            broken: reported_violations(self.checker, trace),
            faults,
            over_time: self.over_time,
        }
    }
}

fn reported_violations(
    checker: Checker,
    trace: Option<&[(Micros, Observation)]>,
) -> Vec<ReportedViolation> {
    let mut violations = checker.finish();
    if let Some(trace) = trace {
        explain(&mut violations, trace);
    }
    violations
        .into_iter()
        .map(ReportedViolation::from)
        .collect()
}

impl From<RuleViolation> for ReportedViolation {
    fn from(violation: RuleViolation) -> ReportedViolation {
        ReportedViolation {
            rule: violation.rule,
            at_s: seconds(violation.at),
            what: violation.what,
            messages: violation.messages,
        }
    }
}
