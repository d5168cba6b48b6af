//! What decisions use of the configuration.

use super::analysis::{SEND_BACK_AT, WRONG_MARGIN};
use super::placement::COLD_PART;
use super::SECOND;
use crate::state::StartSpans;
use crate::{Gate, Micros, ServiceConfig};

/// The told terms as decisions use them.
#[derive(Default)]
pub(super) struct DerivedConfig {
    pub(super) shares: Vec<f64>,
    pub(super) fleet: f64,
    pub(super) delivery_cap: usize,
    pub(super) side_by_side: bool,
    pub(super) may_cancel: bool,
    pub(super) longest_return: Option<Micros>,
    pub(super) cold_from: f64,
    pub(super) warm_within: Micros,
    pub(super) starts: StartSpans,
    pub(super) fall_span: Micros,
    pub(super) cold_part: f64,
    pub(super) gate: Gate,
    pub(super) first_cap: f64,
    pub(super) stage_shares: Vec<f64>,
    pub(super) free: f64,
    pub(super) span: Micros,
    pub(super) by_op: bool,
    pub(super) guarded_stages: u8,
    pub(super) one_way: bool,
    pub(super) rolling: bool,
    pub(super) go_wait: Micros,
    /// Commands a second of a router of mean traffic; how long the desk takes for all votes.
    pub(super) even: f64,
    pub(super) vote_span: f64,
    pub(super) vote_life: Micros,
    pub(super) vote_wait: Micros,
    /// Less than 1 where so few routers send a build back that the hastiest would decide for all.
    pub(super) few: f64,
    pub(super) complaint_weight: f64,
    pub(super) wrong_margin: f64,
}

/// What decisions use of the told terms.
pub(super) fn figures(terms: &ServiceConfig) -> DerivedConfig {
    let quorum = terms.gate != Gate::Single && terms.rollback_votes > 0;
    let fleet = f64::from(terms.fleet_size.max(1));
    let few = if quorum {
        (f64::from(terms.rollback_votes) / fleet / 0.2).min(1.0)
    } else {
        1.0
    };
    // Where a quorum decides, one report lets a router speak: false ones strike few at a time.
    let alone = (0.375 / terms.complaint_share.max(0.05)).clamp(1.0, 2.5);
    let warm = terms.warm_up_time.max(1);
    let complaint_weight = if quorum {
        1.3 * SEND_BACK_AT * few
    } else {
        alone
    };
    DerivedConfig {
        shares: if terms.tenant_quotas.is_empty() {
            vec![1.0]
        } else {
            terms.tenant_quotas.clone()
        },
        fleet,
        delivery_cap: terms.delivery_cap.min(4) as usize,
        side_by_side: terms.may_hedge,
        may_cancel: terms.may_cancel,
        rolling: terms.rolling,
        longest_return: terms
            .may_name_retry_after
            .then_some(terms.longest_retry_after),
        cold_from: terms.slow_start_from.clamp(0.05, 1.0),
        warm_within: warm,
        starts: StartSpans {
            warming: warm,
            bounded: warm + SECOND,
            recent: 3 * warm,
        },
        fall_span: terms.overload_window.max(1),
        cold_part: COLD_PART * terms.overload_multiple * terms.overload_window as f64
            / SECOND as f64,
        gate: terms.gate,
        first_cap: terms.stage_caps.first().copied().unwrap_or(0.0),
        stage_shares: terms.stage_shares.clone(),
        free: terms.exposure_allowance,
        span: terms.exposure_window,
        by_op: terms.exposure_by_op,
        guarded_stages: terms.guarded_stages,
        one_way: terms.forward_only,
        // The desk's clock starts about a second after the machines run; a vote before that stands idle.
        go_wait: terms.stage_bake + SECOND,
        even: terms
            .tenant_quotas
            .iter()
            .copied()
            .reduce(|a, b| a + b)
            .unwrap_or(f64::INFINITY)
            / fleet,
        vote_span: 2.0 * fleet / terms.votes_per_second * SECOND as f64,
        vote_life: terms.vote_lifetime,
        vote_wait: terms.vote_timeout,
        few,
        complaint_weight,
        wrong_margin: WRONG_MARGIN * if quorum { 2.0 } else { 1.0 },
    }
}
