//! What decisions use of the configuration, with the weights that follow from it.

use super::analysis::WRONG_ANSWER_MARGIN;
use super::evidence::ROLLBACK_EVIDENCE;
use super::placement::SLOW_START_FRACTION;
use super::SECOND;
use crate::state::StartSpans;
use crate::{Gate, Micros, ServiceConfig};

/// Most deliveries of one command, whatever the deployment allows: more only add load to a service
/// in trouble.
const MAX_DELIVERIES: u32 = 4;
/// Share of a fleet's routers whose rollback votes decide that counts as many.
const FULL_QUORUM_FRACTION: f64 = 0.2;
/// The release controller starts its clock about this long after the hosts run; a vote before has
/// no effect.
const PROMOTE_DELAY: Micros = SECOND;
/// Warm-up times for which a host counts as recently started.
const RECENT_WARM_UPS: Micros = 3;

/// The configuration as decisions use it.
#[derive(Debug)]
pub(super) struct DerivedConfig {
    /// What each tenant may send a second; one entry at least.
    pub(super) tenant_quotas: Vec<f64>,
    /// Routers of the service.
    pub(super) fleet_size: f64,
    /// Most deliveries of one command.
    pub(super) delivery_cap: usize,
    /// Two deliveries of a command may be open at once.
    pub(super) may_hedge: bool,
    pub(super) may_cancel: bool,
    /// Hosts are replaced in place; else a trial's hosts run beside the earlier ones.
    pub(super) rolling: bool,
    /// Bound of the retry hint of a nack; `None` where it may not carry one.
    pub(super) longest_retry_after: Option<Micros>,
    /// Part of its capacity that a host has at its start.
    pub(super) slow_start_from: f64,
    pub(super) warm_up_time: Micros,
    pub(super) start_spans: StartSpans,
    /// Length of the slots in which what a cold host is sent is bounded.
    pub(super) overload_window: Micros,
    /// Multiple of a host's mean traffic that it takes in one slot while cold, in seconds of its
    /// rate.
    pub(super) slow_start_allowance: f64,
    pub(super) gate: Gate,
    /// Exposure cap before the release controller has said one.
    pub(super) first_stage_cap: f64,
    /// Of each stage, the share of hosts that run the build on trial.
    pub(super) stage_shares: Vec<f64>,
    /// Commands beyond the cap that one window allows.
    pub(super) exposure_allowance: f64,
    pub(super) exposure_window: Micros,
    /// The cap holds for each operation by itself.
    pub(super) exposure_by_operation: bool,
    /// First stages in which only idempotent operations go to the build on trial.
    pub(super) guarded_stages: u8,
    /// A key that a build has answered never goes to an earlier one.
    pub(super) forward_only: bool,
    /// Time in a stage before a router votes to promote.
    pub(super) promote_after: Micros,
    /// Commands a second of a router of mean traffic.
    pub(super) mean_command_rate: f64,
    /// Time over which the fleet's promote votes are spread, in microseconds.
    pub(super) vote_spread: f64,
    pub(super) vote_lifetime: Micros,
    pub(super) vote_timeout: Micros,
    /// Weight of own evidence; below 1 where so few routers roll back that the hastiest would
    /// decide for all.
    pub(super) quorum_scale: f64,
    /// Evidence of one reported wrong answer.
    pub(super) wrong_answer_weight: f64,
    /// Evidence of wrong answers that one answer takes off.
    pub(super) wrong_answer_margin: f64,
}

impl DerivedConfig {
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

    /// Slot of the exposure windows that an operation counts in.
    pub(super) fn exposure_slot(&self, operation: usize) -> usize {
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

/// What all tenants may send a second; infinite where no quota is configured.
fn total_quota(config: &ServiceConfig) -> f64 {
    config
        .tenant_quotas
        .iter()
        .copied()
        .reduce(|sum, quota| sum + quota)
        .unwrap_or(f64::INFINITY)
}

fn start_spans(config: &ServiceConfig) -> StartSpans {
    let warming = config.warm_up_time.max(1);
    StartSpans {
        warming,
        bounded: warming + SECOND,
        recent: RECENT_WARM_UPS * warming,
    }
}

/// Where a quorum decides, one report is enough for a router's vote: false ones reach few routers
/// at a time.
fn wrong_answer_weight(config: &ServiceConfig, quorum: bool, quorum_scale: f64) -> f64 {
    if quorum {
        1.3 * ROLLBACK_EVIDENCE * quorum_scale
    } else {
        (0.375 / config.complaint_share.max(0.05)).clamp(1.0, 2.5)
    }
}
