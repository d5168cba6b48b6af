//! Evidence from the release controller's statistics on the deliveries of all routers, for routers
//! that see few outcomes themselves. *Unacked* deliveries are those that ended without an ack,
//! whether or not the build failed.

use super::analysis::{FAILURE_MARGIN, MAX_SHARED_SLOWNESS, MAX_SLOWNESS, SLOWNESS_MARGIN};
use super::evidence::add_to;
use super::load::{MIN_DIVISOR, SLOWNESS_PER_LOAD};
use super::{Router, SECOND};
use crate::state::{LatencyCount, OperationState};
use crate::{BuildId, ControllerStats, Micros};

/// Evidence of one unit of slowness in a period's counts of one operation, with many acks.
const CONTROLLER_WEIGHT: f64 = 1.5;
/// Most evidence that the failures of one operation in one period add: a single period must bring
/// only a part of the evidence for a rollback.
const MAX_FAILURE_EVIDENCE: f64 = CONTROLLER_WEIGHT / 2.0;
/// Acks at which a period's slowness has half its weight.
const HALF_WEIGHT_ACKS: f64 = 12.0;
/// Slowness of all builds, as a logarithm, that is attributed to chance.
const CONTROLLER_SLOWNESS_MARGIN: f64 = 0.3;
/// Upper bound of the factor by which a loss of capacity since the canary began explains slowness.
const MAX_EXPLAINED_CAPACITY_LOSS: f64 = 1.4;
/// Factor by which an operation's counts decay with each period.
const COUNT_DECAY: f64 = 0.8;
/// Acked deliveries that are added to the sample when the share of unacked ones is estimated, so
/// that small samples give low estimates.
const UNACKED_PRIOR: f64 = 4.0;
/// Least acks of the earlier builds for their mean latency to serve as a baseline.
const MIN_EARLIER_ACKS: f64 = 10.0;
/// Counts whose periods end closer together than this belong to one period.
const SAME_PERIOD_WITHIN: Micros = SECOND / 4;
/// Weight of a period in the baseline traffic; the first one has weight 1.
const TRAFFIC_WEIGHT: f64 = 0.3;
/// Lower bound, in seconds, of latencies before their logarithm is taken.
const MIN_LATENCY: f64 = 1e-6;

/// Acks per period that the release controller counted.
#[derive(Debug, Default)]
pub(super) struct ControllerTraffic {
    period_end: Micros,
    /// Acks in the period whose counts are arriving, and in the one before.
    current: f64,
    previous: f64,
    /// Mean acks per period while no build was a canary.
    baseline: f64,
}

impl ControllerTraffic {
    /// Starts a new period where `ended_at` does not belong to the present one, and updates the
    /// baseline while no build is a canary.
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

    /// Returns the traffic in multiples of the baseline.
    fn growth(&self) -> f64 {
        self.previous.max(self.current) / self.baseline.max(1.0)
    }
}

/// One period's counts of one operation at one build.
#[derive(Clone, Copy, Debug)]
struct PeriodCount {
    sampled: f64,
    unacked: f64,
    acked: f64,
    /// In seconds.
    mean_latency: f64,
    /// Slowness, as a logarithm, that more traffic and fewer hosts explain.
    explained: f64,
}

impl PeriodCount {
    /// Returns the slowness against a baseline latency in seconds, as a logarithm.
    fn slowness(&self, baseline: f64) -> f64 {
        (self.mean_latency.max(MIN_LATENCY) / baseline.max(MIN_LATENCY))
            .ln()
            .clamp(-MAX_SLOWNESS, MAX_SLOWNESS)
    }

    fn slowness_weight(&self) -> f64 {
        CONTROLLER_WEIGHT * self.acked / (self.acked + HALF_WEIGHT_ACKS)
    }
}

impl OperationState {
    /// Updates the operation's baseline from counts of a build that counts as a baseline.
    fn learn_controller_count(&mut self, count: &PeriodCount, canary: bool) {
        let before = self.controller_count;
        self.controller_count = LatencyCount {
            acked: COUNT_DECAY * before.acked + count.acked,
            seconds: COUNT_DECAY * before.seconds + count.mean_latency * count.acked,
        };
        let fraction = count.unacked / (count.sampled + UNACKED_PRIOR);
        self.controller_unacked = fraction.max(COUNT_DECAY * self.controller_unacked);
        if !canary {
            let total = self.controller_count;
            self.controller_baseline = total.seconds / total.acked.max(1.0);
        }
    }
}

impl Router {
    /// Handles one operation's counts, at one build, from the release controller. Limitation:
    /// infrastructure faults that affect only the trial hosts count against the build.
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
        let count = self.count_period(&stats);
        let is_slow_everywhere = self.slowdowns.operations.excess(operation) > 0.0;
        let baseline = self.operations[operation].controller_baseline;
        if self.counts_as_baseline(stats.build, status.build) {
            self.operations[operation].learn_controller_count(&count, canary);
        } else if canary && !is_slow_everywhere {
            self.add_period_evidence(operation, &count);
        }
        if canary
            && !is_slow_everywhere
            && baseline > 0.0
            && self.evidence.controller_sampled_in_stage > 0.0
        {
            let slowness = count.slowness(baseline).min(MAX_SHARED_SLOWNESS);
            let gain =
                count.slowness_weight() * (slowness - count.explained - CONTROLLER_SLOWNESS_MARGIN);
            add_to(&mut self.evidence.shared_slowness, gain);
        }
    }

    /// Whether a build's counts serve as a baseline: it is earlier than the newest, or no host runs
    /// an earlier one.
    fn counts_as_baseline(&self, build: BuildId, newest: BuildId) -> bool {
        build < newest
            || self
                .hosts
                .oldest_build()
                .is_none_or(|oldest| oldest >= newest)
    }

    /// Counts a period's acks as traffic and computes the slowness that load explains: more acks or
    /// fewer hosts than before. Unacked deliveries are no such traffic, because the build itself
    /// may cause them.
    fn count_period(&mut self, stats: &ControllerStats) -> PeriodCount {
        let sampled = f64::from(stats.sampled);
        let unacked = f64::from(stats.failed).min(sampled);
        let acked = sampled - unacked;
        self.controller_traffic.current += acked;
        let inverse_before = self.load.baseline.inverse_capacity;
        let fewer_hosts = (self.present_load().inverse_capacity / inverse_before.max(MIN_DIVISOR))
            .min(MAX_EXPLAINED_CAPACITY_LOSS);
        let growth = fewer_hosts.max(self.controller_traffic.growth());
        PeriodCount {
            sampled,
            unacked,
            acked,
            mean_latency: stats.mean_latency as f64 / SECOND as f64,
            explained: SLOWNESS_PER_LOAD * growth.ln().max(0.0),
        }
    }

    /// Adds a period's counts of the canary build to the evidence.
    fn add_period_evidence(&mut self, operation: usize, count: &PeriodCount) {
        let state = &self.operations[operation];
        let earlier = state.controller_count;
        self.evidence.controller_sampled_in_stage += count.sampled;
        let excess = count.unacked - count.sampled * state.controller_unacked;
        let gain = self.unacked.failure_fraction() * excess - count.sampled * FAILURE_MARGIN;
        add_to(
            &mut self.evidence.failures[operation],
            gain.min(MAX_FAILURE_EVIDENCE),
        );
        if earlier.acked >= MIN_EARLIER_ACKS {
            let slowness = count.slowness(earlier.seconds / earlier.acked);
            let gain = count.slowness_weight() * (slowness - count.explained - SLOWNESS_MARGIN);
            add_to(&mut self.evidence.slowness, gain);
        }
    }
}
