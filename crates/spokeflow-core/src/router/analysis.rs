//! Canary analysis: evidence for or against the newest build from the outcomes of this router's own
//! deliveries. A delivery is *analyzed* if its outcome is evidence either way; see
//! `Router::failure_of`.

use super::evidence::{add_to, EvidenceKind};
use super::outliers::FAILURE_SLOWDOWN;
use super::slowdowns::Origin;
use super::{Router, ROUTERS_PER_HOST};
use crate::{AttemptOutcome, BuildId, HostId, Micros};

/// Failure rate above the earlier build's that is attributed to chance; subtracted from the
/// evidence of each analyzed delivery.
pub(super) const FAILURE_MARGIN: f64 = 0.02;
/// Evidence of wrong answers that each analyzed delivery subtracts: reports this rare are
/// attributed to chance.
pub(super) const WRONG_ANSWER_MARGIN: f64 = 0.01;
/// Failure rate of the earlier build at which one more failure has half its weight as evidence.
const FAILURE_NOISE: f64 = 0.05;
/// Slowness, as a logarithm, that is attributed to chance, and the evidence of one unit beyond it.
pub(super) const SLOWNESS_MARGIN: f64 = 0.6;
pub(super) const SLOWNESS_WEIGHT: f64 = 0.4;
/// Bound of a delivery's slowness, as a logarithm, in both directions, so that one outlier does not
/// count for several deliveries.
pub(super) const MAX_SLOWNESS: f64 = 2.0;
/// Upper bound of a delivery's slowness, as a logarithm, where it counts as slowness of all hosts.
pub(super) const MAX_SHARED_SLOWNESS: f64 = 1.5;
/// Upper bound of the weight by which the evidence of failures, positive or negative, is multiplied
/// in a large fleet: its routers have little traffic, and several failures by chance are rare
/// there.
const MAX_LARGE_FLEET_WEIGHT: f64 = 1.5;
/// Acks below which an operation's baseline is too uncertain to measure slowness against.
const MIN_BASELINE_SAMPLES: f64 = 5.0;
/// Number of acks after which the baseline becomes a moving average with a fixed weight.
const MAX_BASELINE_SAMPLES: u32 = 200;
/// An operation with fewer acks than this goes on learning its baseline from the earlier build's
/// hosts during a canary, while the canary fraction is below the second value.
const LOW_TRAFFIC_BASELINE_SAMPLES: u32 = 20;
const LOW_TRAFFIC_CANARY_FRACTION: f64 = 0.2;
/// Uncertainty of a baseline, as a logarithm, that is tolerated without correction. The logarithm
/// of a latency is assumed to have a standard deviation of 1.
const TOLERATED_UNCERTAINTY: f64 = 0.25;
/// Weights of the newest delivery in a host's slowdown, and in the earlier build's failure rate and
/// slowness.
const HOST_SLOWDOWN_RATE: f64 = 0.15;
const FAILURE_LEARN_RATE: f64 = 0.02;
const SLOWNESS_LEARN_RATE: f64 = 0.05;
/// Factors by which the tenants' counts decay with each analyzed delivery, and the count of unacked
/// deliveries with each of these.
const TENANT_DECAY: f64 = 0.98;
const UNACKED_DECAY: f64 = 0.95;
/// A reset counts as a failure of the build only at a host with fewer acks than this.
const ACKS_TO_IGNORE_RESET: u32 = 2;

/// Failure rates and slowness, learned from deliveries that are no evidence about the newest build.
#[derive(Debug)]
pub(super) struct Baseline {
    /// Share of failures, by operation.
    failures: Vec<f64>,
    /// Mean slowness, as a logarithm, that is left after the excess of zone, operation or tenant is
    /// subtracted from the latency over the operation's baseline.
    slowness: f64,
}

impl Baseline {
    pub(super) fn new(operations: usize) -> Self {
        Baseline {
            failures: vec![0.0; operations],
            slowness: 0.0,
        }
    }
}

/// Analyzed deliveries of one tenant, and the errors among them.
#[derive(Clone, Copy, Debug, Default)]
struct ErrorCount {
    analyzed: f64,
    errors: f64,
}

/// Recent analyzed deliveries and errors at hosts of any build, by tenant.
#[derive(Debug)]
pub(super) struct TenantErrors(Vec<ErrorCount>);

impl TenantErrors {
    pub(super) fn new(tenants: usize) -> Self {
        TenantErrors(vec![ErrorCount::default(); tenants])
    }

    fn count(&mut self, tenant: usize, is_error: bool) {
        for count in &mut self.0 {
            count.analyzed *= TENANT_DECAY;
            count.errors *= TENANT_DECAY;
        }
        let count = &mut self.0[tenant];
        count.analyzed += 1.0;
        count.errors += f64::from(u8::from(is_error));
    }

    /// Returns the weight, 0 to 1, of a failure as evidence against a build: the lower, the
    /// further the tenant's error rate at all hosts, less a margin for chance, is above the lowest
    /// rate of any other tenant.
    fn failure_weight(&self, tenant: usize) -> f64 {
        let own = self.0[tenant];
        let least_of_others = self
            .0
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != tenant)
            .map(|(_, count)| (count.errors + 1.0) / (count.analyzed + 2.0))
            .fold(1.0, f64::min);
        let excess = (own.errors - own.errors.sqrt()) / (own.analyzed + 1.0) - least_of_others;
        FAILURE_MARGIN / (FAILURE_MARGIN + excess.max(0.0))
    }
}

/// This router's recent unacked deliveries: those that were sent and ended without an ack.
#[derive(Debug, Default)]
pub(super) struct UnackedCount {
    unacked: f64,
    /// Those of them that count as failures of a build.
    failed: f64,
}

impl UnackedCount {
    pub(super) fn count_unacked(&mut self) {
        self.unacked = UNACKED_DECAY * self.unacked + 1.0;
        self.failed *= UNACKED_DECAY;
    }

    /// Returns the part of the unacked deliveries that count as failures of a build. Applied to
    /// those that the release controller reports, which it does not classify.
    pub(super) fn failure_fraction(&self) -> f64 {
        (self.failed + 1.0) / (self.unacked + 1.0)
    }
}

/// One completed delivery, as input of the analysis.
#[derive(Clone, Copy, Debug)]
struct AnalyzedDelivery {
    host: usize,
    build: BuildId,
    operation: usize,
    tenant: usize,
    acked: bool,
    /// 1 for a failure of the build, else 0.
    failed: f64,
    /// Logarithm of the latency in microseconds, corrected for the slow start of a cold host.
    latency: f64,
    /// Whether the baseline has enough acks to measure slowness against.
    baseline_known: bool,
}

impl Router {
    /// Updates baseline and evidence from a completed delivery, whose host still runs the build
    /// that the delivery was sent to.
    pub(super) fn analyze(
        &mut self,
        host: usize,
        operation: usize,
        tenant: usize,
        outcome: AttemptOutcome,
        took: Micros,
    ) {
        if outcome == AttemptOutcome::TimedOut && self.is_slow_everywhere(operation, took) {
            self.slowdowns.operations.learn(operation, FAILURE_SLOWDOWN);
            return;
        }
        let Some(failed) = self.failure_of(host, operation, outcome, took) else {
            return;
        };
        self.unacked.failed += failed;
        self.tenant_errors
            .count(tenant, outcome == AttemptOutcome::Error);
        let capacity = self.capacity_fraction(self.hosts.age(host));
        let samples = f64::from(self.operations[operation].baseline_samples);
        let delivery = AnalyzedDelivery {
            host,
            build: self.hosts.build(host),
            operation,
            tenant,
            acked: outcome == AttemptOutcome::Acked,
            failed,
            latency: (took.max(1) as f64).ln() + capacity.ln(),
            baseline_known: samples >= MIN_BASELINE_SAMPLES,
        };
        let slowness = self.learn_slowness(&delivery);
        if delivery.baseline_known {
            self.count_shared_slowness(slowness);
        }
        if self.is_evidence_about_newest(delivery.build) {
            self.add_delivery_evidence(&delivery, slowness);
        } else {
            self.learn_baseline(&delivery, slowness);
        }
    }

    /// Whether a time-out is due to an operation that is slow at every host.
    fn is_slow_everywhere(&self, operation: usize, took: Micros) -> bool {
        took as f64 >= self.operations[operation].latency_objective
            && self.slowdowns.operations.excess(operation) > 0.0
    }

    /// Returns 1 where the outcome of a delivery is a failure of the build, 0 where it is none, and
    /// `None` where the outcome is no evidence either way.
    fn failure_of(
        &self,
        host: usize,
        operation: usize,
        outcome: AttemptOutcome,
        took: Micros,
    ) -> Option<f64> {
        match outcome {
            AttemptOutcome::Acked => Some(0.0),
            AttemptOutcome::Error => Some(1.0),
            // Network faults reset connections too, and one crash resets all open deliveries at the
            // host. So a reset counts only at a host with almost no acks, and once per ejection.
            AttemptOutcome::Reset => {
                let counts = self.hosts.acks(host) < ACKS_TO_IGNORE_RESET
                    && self.now >= self.hosts.ejected_until(host);
                counts.then_some(1.0)
            }
            // An overloaded fleet times out too, so a time-out counts as slowness, which load may
            // explain, and not as a failure. It is no evidence where the client gave up before the
            // latency objective or where the host itself explains it.
            AttemptOutcome::TimedOut => {
                let long = took as f64 >= self.operations[operation].latency_objective;
                (long && !self.explains_timeout(host)).then_some(0.0)
            }
            AttemptOutcome::Rejected
            | AttemptOutcome::NotConnected
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => None,
        }
    }

    /// Updates the slowdowns of the delivery's host, zone, operation and tenant. Returns the
    /// slowness, as a logarithm, that is left for the host or its build after subtracting the
    /// largest excess of zone, operation or tenant.
    fn learn_slowness(&mut self, delivery: &AnalyzedDelivery) -> f64 {
        let origin = Origin {
            zone: self.zone_index(delivery.host),
            operation: delivery.operation,
            tenant: delivery.tenant,
        };
        let over_baseline = if delivery.baseline_known {
            let over_baseline = self.slowness_over_baseline(delivery);
            self.slowdowns.learn(origin, over_baseline);
            over_baseline
        } else {
            0.0
        };
        let slowness = over_baseline - self.slowdowns.largest_excess(origin);
        let before = self.hosts.slowdown(delivery.host);
        let after = before + HOST_SLOWDOWN_RATE * (slowness - before);
        self.hosts.set_slowdown(delivery.host, after);
        slowness
    }

    /// Returns the slowness over the operation's baseline, as a logarithm, less the error that a
    /// baseline of few acks may have by chance. In a large fleet the largest error over all
    /// routers is expected, because the vote of one router may decide for all.
    fn slowness_over_baseline(&self, delivery: &AnalyzedDelivery) -> f64 {
        if !delivery.acked {
            // Without an ack there is no latency. A failure is counted as such and not as slowness;
            // a time-out, the only other case, has the maximum slowness.
            return MAX_SLOWNESS * (1.0 - delivery.failed);
        }
        let operation = &self.operations[delivery.operation];
        let samples = f64::from(operation.baseline_samples);
        let max_deviation = if self.config.is_large_fleet() {
            (2.0 * self.config.fleet_size.ln()).sqrt()
        } else {
            1.0
        };
        let uncertainty = (max_deviation / samples.sqrt() - TOLERATED_UNCERTAINTY).max(0.0);
        (delivery.latency - operation.baseline - uncertainty).clamp(-MAX_SLOWNESS, MAX_SLOWNESS)
    }

    /// Whether deliveries to a build are evidence about the newest one: it is the newest that
    /// the release controller has named or a later one, the named one is not rolled back, and a
    /// host was last listed with a build earlier than the given one. Unlike a build on trial (see
    /// `Router::is_on_trial`), it may be released already, and a status must be known.
    fn is_evidence_about_newest(&self, build: BuildId) -> bool {
        let newest = self.rollout.status.is_some_and(|status| {
            build >= status.build && !self.rollout.is_rolled_back(status.build)
        });
        newest
            && self
                .hosts
                .oldest_build()
                .is_some_and(|oldest| oldest < build)
    }

    fn add_delivery_evidence(&mut self, delivery: &AnalyzedDelivery, slowness: f64) {
        self.evidence.analyzed += 1;
        self.evidence.analyzed_in_stage += 1;
        add_to(
            &mut self.evidence.wrong_answers,
            -self.config.wrong_answer_margin,
        );
        let operation = delivery.operation;
        let controller_unacked = self.operations[operation].controller_unacked;
        let baseline_rate = self.baseline.failures[operation]
            .max(controller_unacked * self.unacked.failure_fraction());
        // The higher the baseline rate of failures, the less one more failure weighs.
        let gain = (delivery.failed - baseline_rate) * FAILURE_NOISE
            / (FAILURE_NOISE + baseline_rate)
            - FAILURE_MARGIN;
        let large_fleet_weight =
            (self.config.fleet_size / ROUTERS_PER_HOST).clamp(1.0, MAX_LARGE_FLEET_WEIGHT);
        let gain = gain * self.tenant_errors.failure_weight(delivery.tenant) * large_fleet_weight;
        self.add_evidence(delivery.host, EvidenceKind::Failure { operation }, gain);
        if delivery.baseline_known {
            let explained = self.baseline.slowness.max(self.slowness_by_load());
            let gain = SLOWNESS_WEIGHT * (slowness - explained - SLOWNESS_MARGIN);
            let gain = gain.min(self.config.quorum_scale * gain);
            self.add_evidence(delivery.host, EvidenceKind::Slowness, gain);
        }
    }

    /// Updates the baseline from a delivery that is no evidence about the newest build.
    fn learn_baseline(&mut self, delivery: &AnalyzedDelivery, slowness: f64) {
        let failures = &mut self.baseline.failures[delivery.operation];
        *failures += FAILURE_LEARN_RATE * (delivery.failed - *failures);
        self.baseline.slowness += SLOWNESS_LEARN_RATE * (slowness - self.baseline.slowness);
        // With few samples, the baseline is still learned from the earlier build's hosts in the
        // first stages.
        let operation = &mut self.operations[delivery.operation];
        let low_traffic = operation.baseline_samples < LOW_TRAFFIC_BASELINE_SAMPLES
            && self.canary.fraction < LOW_TRAFFIC_CANARY_FRACTION;
        if delivery.acked && (low_traffic || !self.rollout.is_canary()) {
            operation.baseline_samples += 1;
            let samples = operation.baseline_samples.min(MAX_BASELINE_SAMPLES);
            operation.baseline += (delivery.latency - operation.baseline) / f64::from(samples);
        }
    }

    /// Guards against a build that slows the hosts of earlier builds too: while it is a canary, the
    /// deliveries to all hosts are compared with the baseline from before, less the slowness that
    /// load explains. Limitation: a fleet that slows down for another reason counts against the
    /// build.
    fn count_shared_slowness(&mut self, slowness: f64) {
        let comparable = self.evidence.analyzed > 0 && self.load.baseline.acked > 0.0;
        if !comparable || !self.rollout.is_canary() {
            return;
        }
        // In a large fleet a router's own traffic shows only a part of the load on the hosts.
        let weight = self
            .config
            .quorum_scale
            .min(ROUTERS_PER_HOST / self.config.fleet_size);
        let explained = self.slowness_by_load();
        let gain =
            SLOWNESS_WEIGHT * (slowness.min(MAX_SHARED_SLOWNESS) - explained - SLOWNESS_MARGIN);
        add_to(&mut self.evidence.shared_slowness, gain.min(weight * gain));
    }

    /// Handles a client's report of a wrong answer to a delivery that was sent to the host
    /// `sent_ago` ago.
    pub fn on_wrong_answer(&mut self, host: HostId, sent_ago: Micros) {
        let Some(&host) = self.host_index.get(&host) else {
            return;
        };
        // A delivery to an earlier process of the host is no evidence about the present build.
        let build = self.hosts.build(host);
        let started_at = self.hosts.endpoint(host).started_at;
        let of_earlier_process = started_at.is_some_and(|at| self.now - sent_ago < at);
        let newest = self
            .rollout
            .status
            .is_some_and(|status| build >= status.build);
        if !of_earlier_process && newest && !self.rollout.is_rolled_back(build) {
            self.evidence.wrong_answers += self.config.wrong_answer_weight;
        }
    }
}
