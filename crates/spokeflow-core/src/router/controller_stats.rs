//! What the release controller counted of all routers' deliveries, where one router sees few.

use super::analysis::{FAILURE_MARGIN, MAX_SHARED_SLOWNESS, MAX_SLOWNESS, SLOWNESS_MARGIN};
use super::evidence::add_to;
use super::load::SLOWNESS_PER_LOAD;
use super::{Router, SECOND};
use crate::state::{LatencyCount, OperationState};
use crate::{BuildId, ControllerStats, Micros};

/// Evidence of the slowness in one operation's counts of a period with many answers.
const CONTROLLER_WEIGHT: f64 = 1.5;
/// Most evidence of the failures of one operation and period: one period brings a part of the
/// proof.
const MAX_FAILURE_EVIDENCE: f64 = CONTROLLER_WEIGHT / 2.0;
/// Answers at which a period's slowness has half its weight.
const HALF_WEIGHT_ANSWERS: f64 = 12.0;
/// Slowness of all builds, as a logarithm, that is put down to chance.
const CONTROLLER_SLOWNESS_MARGIN: f64 = 0.3;
/// How many times fewer fit hosts than before the canary excuse at most.
const MAX_CAPACITY_LOSS_EXCUSED: f64 = 1.4;
/// What remains of an operation's counts after each period.
const COUNT_FADE: f64 = 0.8;
/// Deliveries without a loss that a share of losses is lowered by: of few, it says little.
const LOSS_PRIOR: f64 = 4.0;
/// Answers of the earlier builds from which their mean latency serves as a baseline.
const MIN_EARLIER_ANSWERS: f64 = 10.0;
/// Counts whose periods end closer together than this are of one period.
const SAME_PERIOD_WITHIN: Micros = SECOND / 4;
/// Weight of a period in the baseline traffic; the first one counts in full.
const TRAFFIC_WEIGHT: f64 = 0.3;
/// Least latency in seconds that logarithms are taken of.
const MIN_LATENCY: f64 = 1e-6;

/// Answers a period that the release controller counted.
#[derive(Debug, Default)]
pub(super) struct ControllerTraffic {
    period_end: Micros,
    /// In the period that the counts now arriving belong to, and in the one before.
    current: f64,
    previous: f64,
    /// A period's answers before the canary.
    baseline: f64,
}

impl ControllerTraffic {
    /// Begins another period where the counts belong to one; learns the baseline while no build is
    /// a canary.
    fn follow_period(&mut self, ended_at: Micros, canary: bool) {
        if ended_at <= self.period_end + SAME_PERIOD_WITHIN {
            return;
        }
        let weight = if self.baseline > 0.0 {
            TRAFFIC_WEIGHT
        } else {
            1.0
        };
        if !canary && self.current > 0.0 {
            self.baseline += weight * (self.current - self.baseline);
        }
        self.period_end = ended_at;
        self.previous = self.current;
        self.current = 0.0;
    }

    /// Traffic in multiples of the baseline.
    fn growth(&self) -> f64 {
        self.previous.max(self.current) / self.baseline.max(1.0)
    }
}

/// The counts of one operation at one build, and what they are weighed by.
#[derive(Clone, Copy, Debug)]
struct PeriodCount {
    sampled: f64,
    lost: f64,
    acked: f64,
    /// In seconds.
    mean_latency: f64,
    /// Slowness that traffic and lost hosts explain.
    explained: f64,
}

impl PeriodCount {
    /// Slowness against a baseline latency in seconds, as a logarithm.
    fn slowness(&self, baseline: f64) -> f64 {
        (self.mean_latency.max(MIN_LATENCY) / baseline.max(MIN_LATENCY))
            .ln()
            .clamp(-MAX_SLOWNESS, MAX_SLOWNESS)
    }

    fn slowness_weight(&self) -> f64 {
        CONTROLLER_WEIGHT * self.acked / (self.acked + HALF_WEIGHT_ANSWERS)
    }
}

impl OperationState {
    /// Learns from counts of a build that is not on trial.
    fn learn_controller_count(&mut self, count: &PeriodCount, canary: bool) {
        let before = self.controller_count;
        self.controller_count = LatencyCount {
            answered: COUNT_FADE * before.answered + count.acked,
            seconds: COUNT_FADE * before.seconds + count.mean_latency * count.acked,
        };
        let loss = count.lost / (count.sampled + LOSS_PRIOR);
        self.controller_loss = loss.max(COUNT_FADE * self.controller_loss);
        if !canary {
            let total = self.controller_count;
            self.controller_baseline = total.seconds / total.answered.max(1.0);
        }
    }
}

impl Router {
    /// Takes what the release controller counted of all routers' deliveries as evidence. It could
    /// harm where faults strike trial hosts only.
    pub fn on_controller_stats(&mut self, stats: ControllerStats) {
        let operation = usize::from(stats.op.0);
        let Some(status) = self.rollout.status else {
            return;
        };
        if operation >= self.operations.len() || stats.sampled == 0 {
            return;
        }
        let canary = self.rollout.is_canary();
        self.controller_traffic
            .follow_period(self.now - stats.age, canary);
        let count = self.weigh_period(&stats);
        let waits = self.slowdowns.operations.excess(operation) > 0.0;
        let baseline = self.operations[operation].controller_baseline;
        if self.is_earlier(stats.build, status.build) {
            self.operations[operation].learn_controller_count(&count, canary);
        } else if canary && !waits {
            self.count_trial_period(operation, &count);
        }
        if canary && !waits && baseline > 0.0 && self.evidence.controller_answers_in_stage > 0.0 {
            let slowness = count.slowness(baseline).min(MAX_SHARED_SLOWNESS);
            let gain =
                count.slowness_weight() * (slowness - count.explained - CONTROLLER_SLOWNESS_MARGIN);
            add_to(&mut self.evidence.shared_slowness, gain);
        }
    }

    /// Whether a build's counts serve as a baseline: it is earlier than the newest, or no earlier
    /// one has a host.
    fn is_earlier(&self, build: BuildId, newest: BuildId) -> bool {
        build < newest
            || self
                .hosts
                .oldest_build()
                .is_none_or(|oldest| oldest >= newest)
    }

    /// Counts a period's answers as traffic, and works out what that explains. More answers or
    /// fewer hosts than before explain slowness; losses may be the build's own doing.
    fn weigh_period(&mut self, stats: &ControllerStats) -> PeriodCount {
        let sampled = f64::from(stats.sampled);
        let lost = f64::from(stats.failed).min(sampled);
        let acked = sampled - lost;
        self.controller_traffic.current += acked;
        let inverse_before = self.load.baseline.inverse_capacity;
        let fewer_hosts = (self.present_load().inverse_capacity / inverse_before.max(1e-9))
            .min(MAX_CAPACITY_LOSS_EXCUSED);
        let growth = fewer_hosts.max(self.controller_traffic.growth());
        PeriodCount {
            sampled,
            lost,
            acked,
            mean_latency: stats.mean_latency as f64 / SECOND as f64,
            explained: SLOWNESS_PER_LOAD * growth.ln().max(0.0),
        }
    }

    /// Takes a period's counts of the build on trial as evidence.
    fn count_trial_period(&mut self, operation: usize, count: &PeriodCount) {
        let state = &self.operations[operation];
        let earlier = state.controller_count;
        self.evidence.controller_answers_in_stage += count.sampled;
        let unusual = count.lost - count.sampled * state.controller_loss;
        let gain = self.losses.failure_fraction() * unusual - count.sampled * FAILURE_MARGIN;
        add_to(
            &mut self.evidence.failures[operation],
            gain.min(MAX_FAILURE_EVIDENCE),
        );
        if earlier.answered >= MIN_EARLIER_ANSWERS {
            let slowness = count.slowness(earlier.seconds / earlier.answered);
            let gain = count.slowness_weight() * (slowness - count.explained - SLOWNESS_MARGIN);
            add_to(&mut self.evidence.slowness, gain);
        }
    }
}
