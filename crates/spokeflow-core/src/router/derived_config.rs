//! The part of the configuration that decisions use, with the weights derived from it.

use super::analysis::WRONG_ANSWER_MARGIN;
use super::evidence::ROLLBACK_EVIDENCE;
use super::placement::SLOW_START_FRACTION;
use super::{ROUTERS_PER_HOST, SECOND};
use crate::state::StartSpans;
use crate::{Gate, Micros, ServiceConfig};

/// Upper bound of the deliveries of one command, whatever the deployment allows: more would only
/// add load to an overloaded service.
const MAX_DELIVERIES: u32 = 4;
/// Rollback quorum, as a share of the fleet's routers, from which the quorum scale is 1.
const FULL_QUORUM_FRACTION: f64 = 0.2;
/// The release controller starts the bake time about this long after the hosts run; an earlier vote
/// has no effect.
const PROMOTE_DELAY: Micros = SECOND;
/// Time for which a host counts as recently started, in multiples of the slow start.
const RECENT_SLOW_STARTS: Micros = 3;
/// Evidence of one reported wrong answer, in multiples of that for a rollback, where a quorum
/// decides and the quorum scale is 1. Above 1, because the deliveries that are analyzed after the
/// report subtract from it.
const QUORUM_REPORT_MULTIPLE: f64 = 1.3;
/// Evidence of one wrong answer, reported or not, where no quorum decides. A report stands for as
/// many wrong answers as the reciprocal of the share that clients report.
const WRONG_ANSWER_EVIDENCE: f64 = 0.375;
/// Lower bound of the share of wrong answers that clients report, against division by 0.
const MIN_COMPLAINT_SHARE: f64 = 0.05;
/// Bounds of the evidence of one report where no quorum decides: the rollback of a canary
/// needs at least two reports, and at most four if no analyzed delivery subtracts from them.
const MIN_REPORT_EVIDENCE: f64 = 1.0;
const MAX_REPORT_EVIDENCE: f64 = 2.5;

/// The configuration in the form that decisions use.
#[derive(Debug)]
pub(super) struct DerivedConfig {
    /// Commands per second that each tenant may send; never empty.
    pub(super) tenant_quotas: Vec<f64>,
    /// Number of routers of the service.
    pub(super) fleet_size: f64,
    /// Most deliveries of one command.
    pub(super) delivery_cap: usize,
    /// Two deliveries of a command may be open at once.
    pub(super) may_hedge: bool,
    pub(super) may_cancel: bool,
    /// Hosts are replaced in place; otherwise the trial hosts run beside the earlier ones.
    pub(super) rolling: bool,
    /// Upper bound of the retry hint of a nack; `None` where a nack may not carry one.
    pub(super) longest_retry_after: Option<Micros>,
    /// Part of its capacity that a host has at its start.
    pub(super) slow_start_from: f64,
    /// Length of the slow start, in which the capacity of a host grows.
    pub(super) warm_up_time: Micros,
    pub(super) start_spans: StartSpans,
    /// Length of the intervals of a cold host's age in which the deliveries to it are bounded.
    pub(super) overload_window: Micros,
    /// Deliveries that a cold host may be sent in one interval, in seconds of its full capacity,
    /// before the reduction for its slow start.
    pub(super) slow_start_allowance: f64,
    pub(super) gate: Gate,
    /// Exposure cap of a build for which the release controller has not sent a status.
    pub(super) first_stage_cap: f64,
    /// Share of the hosts that run the build on trial, by stage.
    pub(super) stage_shares: Vec<f64>,
    /// Deliveries allowed in addition to the cap in each exposure window.
    pub(super) exposure_allowance: f64,
    pub(super) exposure_window: Micros,
    /// The cap applies to each operation separately.
    pub(super) exposure_by_operation: bool,
    /// Number of first stages in which only idempotent operations go to the build on trial.
    pub(super) guarded_stages: u8,
    /// A key that a build has answered never goes to an earlier build.
    pub(super) forward_only: bool,
    /// Time in a stage before a router votes to promote.
    pub(super) promote_after: Micros,
    /// Commands per second of a router with mean traffic; infinite without quotas.
    pub(super) mean_command_rate: f64,
    /// Time over which the fleet's promote votes are spread, in microseconds.
    pub(super) vote_spread: f64,
    pub(super) vote_lifetime: Micros,
    pub(super) vote_timeout: Micros,
    /// Factor on the evidence that one of this router's deliveries adds by its slowness, and on
    /// that of a reported wrong answer. Evidence of failures, evidence from the release
    /// controller's statistics, and what a delivery subtracts are not scaled. Below 1 where the
    /// rollback quorum is so small that the few routers with the most evidence by chance would
    /// decide for all.
    pub(super) quorum_scale: f64,
    /// Evidence of one reported wrong answer.
    pub(super) wrong_answer_weight: f64,
    /// Evidence of wrong answers that each analyzed delivery subtracts.
    pub(super) wrong_answer_margin: f64,
}

impl DerivedConfig {
    /// Whether the routers are so many that each sends to a part of the hosts only, unless it has
    /// much traffic, and sees only a small part of the fleet's deliveries.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.fleet_size > ROUTERS_PER_HOST
    }

    pub(super) fn new(config: &ServiceConfig) -> Self {
        let quorum = config.gate != Gate::Single && config.rollback_votes > 0;
        let fleet_size = f64::from(config.fleet_size.max(1));
        let quorum_scale = if quorum {
            (f64::from(config.rollback_votes) / fleet_size / FULL_QUORUM_FRACTION).min(1.0)
        } else {
            1.0
        };
        DerivedConfig {
            tenant_quotas: tenant_quotas(config),
            fleet_size,
            delivery_cap: config.delivery_cap.min(MAX_DELIVERIES) as usize,
            may_hedge: config.may_hedge,
            may_cancel: config.may_cancel,
            rolling: config.rolling,
            longest_retry_after: config
                .may_name_retry_after
                .then_some(config.longest_retry_after),
            slow_start_from: config.slow_start_from.clamp(0.05, 1.0),
            warm_up_time: config.warm_up_time.max(1),
            start_spans: start_spans(config),
            overload_window: config.overload_window.max(1),
            slow_start_allowance: SLOW_START_FRACTION
                * config.overload_multiple
                * config.overload_window as f64
                / SECOND as f64,
            gate: config.gate,
            first_stage_cap: config.stage_caps.first().copied().unwrap_or(0.0),
            stage_shares: config.stage_shares.clone(),
            exposure_allowance: config.exposure_allowance,
            exposure_window: config.exposure_window,
            exposure_by_operation: config.exposure_by_op,
            guarded_stages: config.guarded_stages,
            forward_only: config.forward_only,
            promote_after: config.stage_bake + PROMOTE_DELAY,
            mean_command_rate: total_quota(config) / fleet_size,
            vote_spread: 2.0 * fleet_size / config.votes_per_second * SECOND as f64,
            vote_lifetime: config.vote_lifetime,
            vote_timeout: config.vote_timeout,
            quorum_scale,
            wrong_answer_weight: wrong_answer_weight(config, quorum, quorum_scale),
            wrong_answer_margin: WRONG_ANSWER_MARGIN * if quorum { 2.0 } else { 1.0 },
        }
    }

    /// Returns the index in the exposure windows under which an operation is counted.
    pub(super) fn exposure_index(&self, operation: usize) -> usize {
        if self.exposure_by_operation {
            operation
        } else {
            0
        }
    }
}

fn tenant_quotas(config: &ServiceConfig) -> Vec<f64> {
    if config.tenant_quotas.is_empty() {
        vec![1.0]
    } else {
        config.tenant_quotas.clone()
    }
}

/// Returns the commands per second that all tenants together may send; infinite where no quota is
/// configured.
fn total_quota(config: &ServiceConfig) -> f64 {
    config
        .tenant_quotas
        .iter()
        .copied()
        .reduce(|sum, quota| sum + quota)
        .unwrap_or(f64::INFINITY)
}

fn start_spans(config: &ServiceConfig) -> StartSpans {
    let slow_start = config.warm_up_time.max(1);
    StartSpans {
        slow_start,
        bounded: slow_start + SECOND,
        recent: RECENT_SLOW_STARTS * slow_start,
    }
}

/// Returns the evidence of one reported wrong answer.
///
/// Where a quorum decides, one report is enough for a router's vote against a canary, because false
/// reports reach only few routers at a time. That holds while the quorum scale is at least the
/// reciprocal of `QUORUM_REPORT_MULTIPLE`; where a smaller quorum reduces the scale further, a vote
/// takes several reports.
fn wrong_answer_weight(config: &ServiceConfig, quorum: bool, quorum_scale: f64) -> f64 {
    if quorum {
        QUORUM_REPORT_MULTIPLE * ROLLBACK_EVIDENCE * quorum_scale
    } else {
        (WRONG_ANSWER_EVIDENCE / config.complaint_share.max(MIN_COMPLAINT_SHARE))
            .clamp(MIN_REPORT_EVIDENCE, MAX_REPORT_EVIDENCE)
    }
}
