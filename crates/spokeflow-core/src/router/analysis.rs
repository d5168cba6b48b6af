//! Canary analysis: what each of this router's own answers says of the newest build.

use super::evidence::{add_to, EvidenceKind};
use super::outliers::FAILURE_SLOWDOWN;
use super::slowdowns::Origin;
use super::{Router, ROUTERS_PER_HOST};
use crate::{AttemptOutcome, BuildId, HostId, Micros};

/// Taken off each analyzed delivery's failure beside the earlier build's rate: a rate this far
/// above it is chance.
pub(super) const FAILURE_MARGIN: f64 = 0.02;
/// Evidence of wrong answers that each answer takes off: reports this rare are chance.
pub(super) const WRONG_ANSWER_MARGIN: f64 = 0.01;
/// Failures at the earlier build, as a share, that halve what one more proves.
const FAILURE_NOISE: f64 = 0.05;
/// Slowness, as a logarithm, that is put down to chance, and the evidence of one unit beyond it.
pub(super) const SLOWNESS_MARGIN: f64 = 0.6;
pub(super) const SLOWNESS_WEIGHT: f64 = 0.4;
/// Bound of an answer's slowness, as a logarithm, in both directions: one answer is not more than
/// one.
pub(super) const MAX_SLOWNESS: f64 = 2.0;
/// Bound of an answer's slowness where it counts against the slowness that all hosts share.
pub(super) const MAX_SHARED_SLOWNESS: f64 = 1.5;
/// Bound of the weight of a failure where traffic is thin: chance brings few of them together.
const MAX_THIN_TRAFFIC_WEIGHT: f64 = 1.5;
/// Answers below which an operation's baseline says nothing of slowness.
const MIN_BASELINE_SAMPLES: f64 = 5.0;
/// Answers that the baseline's mean goes by at most.
const MAX_BASELINE_SAMPLES: u32 = 200;
/// Answers up to which thin traffic goes on learning the baseline in the first stages, and the
/// canary fraction up to which the earlier build's hosts still show it.
const THIN_BASELINE_SAMPLES: u32 = 20;
const THIN_BASELINE_CANARY_FRACTION: f64 = 0.2;
/// Uncertainty of a baseline, in standard errors of its mean, that is borne without allowance.
const BORNE_UNCERTAINTY: f64 = 0.25;
/// Weights of the newest answer in a host's slowdown, and in the earlier build's failure rate and
/// slowness.
const HOST_SLOWDOWN_RATE: f64 = 0.15;
const FAILURE_LEARN_RATE: f64 = 0.02;
const SLOWNESS_LEARN_RATE: f64 = 0.05;
/// What remains of the tenants' counts after each answer, and of the losses after each loss.
const TENANT_FADE: f64 = 0.98;
const LOSS_FADE: f64 = 0.95;
/// Answers that a host must have given, lest a reset count as its failure.
const ANSWERS_TO_EXCUSE_RESET: u32 = 2;

/// What was learned of builds that are not on trial.
#[derive(Debug)]
pub(super) struct Baseline {
    /// By operation, the share of failures.
    failures: Vec<f64>,
    /// Mean slowness of answers, as a logarithm over the operation's baseline.
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

/// Answers and errors of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct ErrorCount {
    answers: f64,
    errors: f64,
}

/// By tenant, answers and errors of late at hosts of any build.
#[derive(Debug)]
pub(super) struct TenantErrors(Vec<ErrorCount>);

impl TenantErrors {
    pub(super) fn new(tenants: usize) -> Self {
        TenantErrors(vec![ErrorCount::default(); tenants])
    }

    fn count(&mut self, tenant: usize, erred: bool) {
        for count in &mut self.0 {
            count.answers *= TENANT_FADE;
            count.errors *= TENANT_FADE;
        }
        let count = &mut self.0[tenant];
        count.answers += 1.0;
        count.errors += f64::from(u8::from(erred));
    }

    /// What a failure proves, 0 to 1: less for a tenant whose commands err at every host, far
    /// beyond the others'.
    fn proof(&self, tenant: usize) -> f64 {
        let own = self.0[tenant];
        let least_of_others = self
            .0
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != tenant)
            .map(|(_, count)| (count.errors + 1.0) / (count.answers + 2.0))
            .fold(1.0, f64::min);
        let beyond = (own.errors - own.errors.sqrt()) / (own.answers + 1.0) - least_of_others;
        FAILURE_MARGIN / (FAILURE_MARGIN + beyond.max(0.0))
    }
}

/// Own deliveries lost of late.
#[derive(Debug, Default)]
pub(super) struct LossCount {
    lost: f64,
    /// Those among them that count as a build's failure.
    failed: f64,
}

impl LossCount {
    pub(super) fn count_lost(&mut self) {
        self.lost = LOSS_FADE * self.lost + 1.0;
        self.failed *= LOSS_FADE;
    }

    /// Of what the release controller calls lost, the part that would count as a failure if it were
    /// this router's own.
    pub(super) fn failure_fraction(&self) -> f64 {
        (self.failed + 1.0) / (self.lost + 1.0)
    }
}

/// One answer as the analysis sees it.
#[derive(Clone, Copy, Debug)]
struct Answer {
    host: usize,
    build: BuildId,
    operation: usize,
    tenant: usize,
    acked: bool,
    /// 1 for a failure of the build, else 0.
    failed: f64,
    /// Logarithm of the latency, less what a cold host explains.
    latency: f64,
    /// The baseline rests on enough answers to show slowness.
    baseline_known: bool,
}

impl Router {
    /// Learns from the end of a delivery at a host's present build.
    pub(super) fn analyze(
        &mut self,
        host: usize,
        operation: usize,
        tenant: usize,
        outcome: AttemptOutcome,
        took: Micros,
    ) {
        if outcome == AttemptOutcome::TimedOut && self.waits_everywhere(operation, took) {
            self.slowdowns.operations.learn(operation, FAILURE_SLOWDOWN);
            return;
        }
        let Some(failed) = self.failure_of(host, operation, outcome, took) else {
            return;
        };
        self.losses.failed += failed;
        self.tenant_errors
            .count(tenant, outcome == AttemptOutcome::Error);
        let warm_up = self.warm_up_fraction(self.hosts.age(host));
        let samples = f64::from(self.operations[operation].baseline_samples);
        let answer = Answer {
            host,
            build: self.hosts.build(host),
            operation,
            tenant,
            acked: outcome == AttemptOutcome::Acked,
            failed,
            latency: (took.max(1) as f64).ln() + warm_up.ln(),
            baseline_known: samples >= MIN_BASELINE_SAMPLES,
        };
        let slowness = self.learn_slowness(&answer);
        if answer.baseline_known {
            self.count_shared_slowness(slowness);
        }
        if self.counts_as_trial(answer.build) {
            self.count_trial_answer(&answer, slowness);
        } else {
            self.learn_baseline(&answer, slowness);
        }
    }

    /// Whether a time-out is due to an operation that waits at every host alike.
    fn waits_everywhere(&self, operation: usize, took: Micros) -> bool {
        took as f64 >= self.operations[operation].latency_objective
            && self.slowdowns.operations.excess(operation) > 0.0
    }

    /// 1 where the end of a delivery is a failure of the build, 0 where it is an answer, `None`
    /// where it says nothing.
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
            // Links break connections too, and one crash breaks all that was open at the host: that
            // is one failure, of a host that does little else.
            AttemptOutcome::Reset => {
                let alone = self.hosts.answers(host) < ANSWERS_TO_EXCUSE_RESET
                    && self.now >= self.hosts.ejected_until(host);
                alone.then_some(1.0)
            }
            // A full fleet times out too: that is slowness, which more traffic excuses, and no
            // failure. It is neither where the client ended it early, or where the host answered
            // nobody.
            AttemptOutcome::TimedOut => {
                let long = took as f64 >= self.operations[operation].latency_objective;
                (long && !self.is_suspect(host)).then_some(0.0)
            }
            AttemptOutcome::Rejected
            | AttemptOutcome::NotConnected
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => None,
        }
    }

    /// Learns how slow an answer was, and returns what of it is its host's or its build's doing.
    fn learn_slowness(&mut self, answer: &Answer) -> f64 {
        let origin = Origin {
            zone: self.zone_index(answer.host),
            operation: answer.operation,
            tenant: answer.tenant,
        };
        let over_baseline = if answer.baseline_known {
            let over_baseline = self.slowness_over_baseline(answer);
            self.slowdowns.learn(origin, over_baseline);
            over_baseline
        } else {
            0.0
        };
        let slowness = over_baseline - self.slowdowns.largest_excess(origin);
        let before = self.hosts.slowdown(answer.host);
        let after = before + HOST_SLOWDOWN_RATE * (slowness - before);
        self.hosts.set_slowdown(answer.host, after);
        slowness
    }

    /// Slowness as a logarithm, less what a baseline of few answers may be off by chance; of many
    /// routers, one is very unlucky and votes for all.
    fn slowness_over_baseline(&self, answer: &Answer) -> f64 {
        if !answer.acked {
            return MAX_SLOWNESS * (1.0 - answer.failed);
        }
        let operation = &self.operations[answer.operation];
        let samples = f64::from(operation.baseline_samples);
        let luck = if self.config.fleet_size > ROUTERS_PER_HOST {
            (2.0 * self.config.fleet_size.ln()).sqrt()
        } else {
            1.0
        };
        let uncertainty = (luck / samples.sqrt() - BORNE_UNCERTAINTY).max(0.0);
        (answer.latency - operation.baseline - uncertainty).clamp(-MAX_SLOWNESS, MAX_SLOWNESS)
    }

    /// Whether answers of a build count for or against the newest one.
    fn counts_as_trial(&self, build: BuildId) -> bool {
        let newest = self.rollout.status.is_some_and(|status| {
            build >= status.build && !self.rollout.is_rolled_back(status.build)
        });
        newest
            && self
                .hosts
                .oldest_build()
                .is_some_and(|oldest| oldest < build)
    }

    fn count_trial_answer(&mut self, answer: &Answer, slowness: f64) {
        self.evidence.answers += 1;
        self.evidence.answers_in_stage += 1;
        add_to(
            &mut self.evidence.wrong_answers,
            -self.config.wrong_answer_margin,
        );
        let operation = answer.operation;
        let controller_loss = self.operations[operation].controller_loss;
        let baseline_rate =
            self.baseline.failures[operation].max(controller_loss * self.losses.failure_fraction());
        // Where much fails anyway, a failure more says less.
        let gain = (answer.failed - baseline_rate) * FAILURE_NOISE
            / (FAILURE_NOISE + baseline_rate)
            - FAILURE_MARGIN;
        let thin_traffic =
            (self.config.fleet_size / ROUTERS_PER_HOST).clamp(1.0, MAX_THIN_TRAFFIC_WEIGHT);
        let gain = gain * self.tenant_errors.proof(answer.tenant) * thin_traffic;
        self.add_evidence(answer.host, EvidenceKind::Failure { operation }, gain);
        if answer.baseline_known {
            let excused = self.baseline.slowness.max(self.slowness_by_load());
            let gain = SLOWNESS_WEIGHT * (slowness - excused - SLOWNESS_MARGIN);
            let gain = gain.min(self.config.quorum_scale * gain);
            self.add_evidence(answer.host, EvidenceKind::Slowness, gain);
        }
    }

    /// Learns from an answer of a build that is not on trial.
    fn learn_baseline(&mut self, answer: &Answer, slowness: f64) {
        let failures = &mut self.baseline.failures[answer.operation];
        *failures += FAILURE_LEARN_RATE * (answer.failed - *failures);
        self.baseline.slowness += SLOWNESS_LEARN_RATE * (slowness - self.baseline.slowness);
        // Thin traffic goes on learning in the first stages, from the earlier build's hosts.
        let operation = &mut self.operations[answer.operation];
        let thin = operation.baseline_samples < THIN_BASELINE_SAMPLES
            && self.canary.fraction < THIN_BASELINE_CANARY_FRACTION;
        if answer.acked && (thin || !self.rollout.is_canary()) {
            operation.baseline_samples += 1;
            let samples = operation.baseline_samples.min(MAX_BASELINE_SAMPLES);
            operation.baseline += (answer.latency - operation.baseline) / f64::from(samples);
        }
    }

    /// Guards against a build that slows the earlier hosts too: from its canary on every answer
    /// counts against the time before, less what traffic explains. It could harm where the fleet
    /// slows for another reason.
    fn count_shared_slowness(&mut self, slowness: f64) {
        let comparable = self.evidence.answers > 0 && self.load.baseline.answered > 0.0;
        if !comparable || !self.rollout.is_canary() {
            return;
        }
        // One of many routers sees by its own traffic only a part of what loads the hosts.
        let part = self
            .config
            .quorum_scale
            .min(ROUTERS_PER_HOST / self.config.fleet_size);
        let excused = self.slowness_by_load();
        let gain =
            SLOWNESS_WEIGHT * (slowness.min(MAX_SHARED_SLOWNESS) - excused - SLOWNESS_MARGIN);
        add_to(&mut self.evidence.shared_slowness, gain.min(part * gain));
    }

    /// A client has reported a wrong answer that a host gave `since` ago.
    pub fn on_wrong_answer(&mut self, host: HostId, since: Micros) {
        let Some(&host) = self.host_index.get(&host) else {
            return;
        };
        // An answer of the process before this one says nothing of its build.
        let build = self.hosts.build(host);
        let started_at = self.hosts.endpoint(host).started_at;
        let of_earlier_process = started_at.is_some_and(|at| self.now - since < at);
        let newest = self
            .rollout
            .status
            .is_some_and(|status| build >= status.build);
        if !of_earlier_process && newest && !self.rollout.is_rolled_back(build) {
            self.evidence.wrong_answers += self.config.wrong_answer_weight;
        }
    }
}
