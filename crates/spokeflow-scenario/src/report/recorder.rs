//! Draws up the report while a run goes on.

use hdrhistogram::Histogram;

use super::builds::{ControllerState, RollbackVote};
use super::{seconds, BrokenRule, End, Interval, Outcome, Report};
use crate::check::{explain, Broken, Checker, RuleConfig};
use crate::observation::{Observation, RolloutState};
use crate::scenario::Scenario;
use crate::{Micros, SECOND};

/// Intervals that a run is cut into at most, each a second at least.
const MOST_INTERVALS: Micros = 240;
/// Seconds of the window whose worst service is reported.
const WORST_WINDOW: usize = 10;
/// Significant digits of the recorded times.
const TIME_DIGITS: u8 = 3;
/// How commands may end.
const ENDS: usize = 6;

/// Priority weight of the commands due and of those answered well.
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
        parts.fold(Service::default(), |whole, part| Service {
            due: whole.due + part.due,
            good: whole.good + part.good,
        })
    }
}

/// Takes in what is observed of a run.
pub struct RunRecorder {
    pub(super) day: Scenario,
    checker: Checker,
    /// By second of the run.
    by_second: Vec<Service>,
    /// How many commands ended so, by [`End`].
    ends: [u64; ENDS],
    attempts: u64,
    deliveries: u64,
    /// Microseconds of the acknowledged commands.
    times: Histogram<u64>,
    interval: Micros,
    over_time: Vec<Interval>,
    pub(super) controller: Vec<ControllerState>,
    /// Builds that were voted back while they were in place.
    pub(super) rollback_votes: Vec<RollbackVote>,
    pub(super) start: Micros,
}

impl RunRecorder {
    /// `start` is when the first command may be due.
    pub fn new(day: &Scenario, start: Micros) -> RunRecorder {
        RunRecorder {
            checker: Checker::new(RuleConfig::of(day)),
            by_second: Vec::new(),
            ends: [0; ENDS],
            attempts: 0,
            deliveries: 0,
            times: Histogram::new(TIME_DIGITS).expect("the digits are within the histogram's"),
            interval: (day.length / MOST_INTERVALS).max(SECOND),
            over_time: Vec::new(),
            controller: Vec::new(),
            rollback_votes: Vec::new(),
            start,
            day: day.clone(),
        }
    }

    /// Breaks of the rules found so far.
    pub fn broken(&self) -> &[Broken] {
        self.checker.broken()
    }

    fn interval_at(&mut self, at: Micros) -> &mut Interval {
        let index = ((at - self.start).max(0) / self.interval) as usize;
        let operations = self.day.ops.len();
        let tenants = self.day.tenants.len();
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

    /// Takes in the next observation. Times never go back.
    pub fn observe(&mut self, at: Micros, observation: &Observation) {
        self.checker.observe(at, observation);
        match observation {
            Observation::Taken { .. } => self.attempts += 1,
            Observation::Delivered { build, .. } => self.on_delivery(at, *build),
            Observation::Voted {
                build,
                vote: verdict,
                ..
            } => self.on_vote(at, *build, verdict),
            Observation::ReleaseController {
                build,
                stage,
                state: standing,
            } => {
                self.controller.push(ControllerState {
                    at,
                    build: *build,
                    standing: *standing,
                    stage: *stage,
                });
                self.interval_at(at).stage = *stage;
            }
            _ => {}
        }
    }

    fn on_delivery(&mut self, at: Micros, build: u16) {
        self.deliveries += 1;
        let canary = self
            .controller
            .last()
            .is_some_and(|state| state.build == build && state.standing == RolloutState::Canary);
        let interval = self.interval_at(at);
        interval.deliveries += 1;
        interval.at_trial += u64::from(canary);
    }

    fn on_vote(&mut self, at: Micros, build: u16, vote: &str) {
        let back = vote == "Back";
        let in_place = self.controller.last().is_some_and(|state| {
            state.build == build && state.standing != RolloutState::RollingBack
        });
        let last = self.rollback_votes.last();
        if back && in_place && last.is_none_or(|earlier| earlier.build != build) {
            self.rollback_votes.push(RollbackVote { at, build });
        }
        let interval = self.interval_at(at);
        interval.votes_back += u64::from(back);
        interval.votes_on += u64::from(vote == "On");
    }

    /// How the fleet is at this time: commands held by hosts, and hosts that are warming up.
    pub fn on_fleet_state(&mut self, at: Micros, in_flight: u64, cold_hosts: u64) {
        let interval = self.interval_at(at);
        interval.in_flight = interval.in_flight.max(in_flight);
        interval.cold_hosts = interval.cold_hosts.max(cold_hosts);
    }

    /// A command has ended.
    pub fn ended(&mut self, outcome: &Outcome) {
        let operation = &self.day.ops[outcome.op];
        let weight = operation.importance;
        let acked = outcome.end == End::Acked;
        let good = acked && outcome.took <= operation.target;
        self.ends[outcome.end as usize] += 1;
        if acked {
            self.times
                .record(outcome.took.max(1) as u64)
                .expect("the histogram grows as needed");
        }
        let gained = if good { weight } else { 0.0 };
        let second = ((outcome.due - self.start).max(0) / SECOND) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, Service::default());
        }
        self.by_second[second].due += weight;
        self.by_second[second].good += gained;
        let interval = self.interval_at(outcome.due);
        interval.asked_by_op[outcome.op] += weight;
        interval.good_by_op[outcome.op] += gained;
        interval.asked_by_tenant[outcome.tenant] += weight;
        interval.good_by_tenant[outcome.tenant] += gained;
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
            .windows(WORST_WINDOW)
            .map(|window| window.iter().copied().sum::<Service>().fraction())
            .fold(1.0, f64::min)
    }

    fn milliseconds_at(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// The run is over. `faults` is what went wrong with the run itself. The breaks are explained where the trace
    /// is at hand.
    pub fn finish(self, faults: Vec<String>, trace: Option<&[(Micros, Observation)]>) -> Report {
        let day = &self.day;
        let operations = day.ops.iter().enumerate();
        let tenants = day.tenants.iter().enumerate();
        let builds = self.build_summaries();
        let [acked, wrong, nacked, failed, given_up, unreachable] = self.ends;
        Report {
            scenario: day.name.clone(),
            seed: day.seed,
            seconds: seconds(day.length),
            routers: day.routers,
            hosts: day.hosts,
            commands: self.ends.iter().sum(),
            acked,
            nacked,
            failed,
            given_up,
            unreachable,
            wrong,
            tries: self.attempts,
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
            troubles: day.faults.iter().map(ToString::to_string).collect(),
            broken: broken_rules(self.checker, trace),
            faults,
            over_time: self.over_time,
        }
    }
}

fn broken_rules(checker: Checker, trace: Option<&[(Micros, Observation)]>) -> Vec<BrokenRule> {
    let mut broken = checker.finish();
    if let Some(trace) = trace {
        explain(&mut broken, trace);
    }
    broken.into_iter().map(BrokenRule::from).collect()
}

impl From<Broken> for BrokenRule {
    fn from(broken: Broken) -> BrokenRule {
        BrokenRule {
            rule: broken.rule,
            at_s: seconds(broken.at),
            what: broken.what,
            messages: broken.messages,
        }
    }
}
