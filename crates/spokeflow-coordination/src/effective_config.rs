//! The values that a revision may change while routers run, and how two sets of them are combined.

use serde::{Deserialize, Serialize};
use spokeflow_core::{Micros, ServiceConfig};

/// The part of a [`ServiceConfig`] that a revision may change while routers run; each field is as there.
///
/// Windows (`exposure-span`, `fall-span`), what counts in them, operations and one-way keys are not among them: what
/// was counted under the old ones cannot be counted again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectiveConfig {
    /// Commands a second that each tenant may send, all routers together.
    pub tenant_quotas: Vec<f64>,
    /// How many routers share the common budgets.
    pub fleet_size: u32,
    /// Most deliveries for one command, the first among them.
    pub delivery_cap: u32,
    /// Whether a second delivery may be sent while the first is open.
    pub may_hedge: bool,
    /// Longest time, in microseconds, after which a client may be told to retry; 0 where none is named.
    pub longest_retry_after: Micros,
    /// For how long, in microseconds, a host that drains or is gone may still get new commands.
    pub drain_grace: Micros,
    /// Fraction of its capacity that a host has when it has just started.
    pub slow_start_from: f64,
    /// Multiple of its capacity at which a host that has just started fails.
    pub overload_multiple: f64,
    /// By rollout stage, a ceiling on the exposure cap that the release controller names.
    pub stage_caps: Vec<f64>,
    /// Deliveries to a canary that are free in each exposure window.
    pub exposure_allowance: f64,
    /// Rollout stages, from the first, in which a canary gets redeliverable operations only.
    pub guarded_stages: u8,
    /// Fraction of the wrong answers that clients report.
    pub complaint_share: f64,
    /// Routers whose votes roll a build back.
    pub rollback_votes: u32,
    /// Votes that the release controller takes a second from all routers together.
    pub votes_per_second: f64,
}

impl From<&ServiceConfig> for EffectiveConfig {
    fn from(service: &ServiceConfig) -> Self {
        EffectiveConfig {
            tenant_quotas: service.tenant_quotas.clone(),
            fleet_size: service.fleet_size,
            delivery_cap: service.delivery_cap,
            may_hedge: service.may_hedge,
            longest_retry_after: service.longest_retry_after,
            drain_grace: service.drain_grace,
            slow_start_from: service.slow_start_from,
            overload_multiple: service.overload_multiple,
            stage_caps: service.stage_caps.clone(),
            exposure_allowance: service.exposure_allowance,
            guarded_stages: service.guarded_stages,
            complaint_share: service.complaint_share,
            rollback_votes: service.rollback_votes,
            votes_per_second: service.votes_per_second,
        }
    }
}

impl EffectiveConfig {
    /// Sets these values in `service` and leaves the others as they are.
    pub fn apply_to(&self, service: &mut ServiceConfig) {
        service.tenant_quotas.clone_from(&self.tenant_quotas);
        service.fleet_size = self.fleet_size;
        service.delivery_cap = self.delivery_cap;
        service.may_hedge = self.may_hedge;
        service.longest_retry_after = self.longest_retry_after;
        service.drain_grace = self.drain_grace;
        service.slow_start_from = self.slow_start_from;
        service.overload_multiple = self.overload_multiple;
        service.stage_caps.clone_from(&self.stage_caps);
        service.exposure_allowance = self.exposure_allowance;
        service.guarded_stages = self.guarded_stages;
        service.complaint_share = self.complaint_share;
        service.rollback_votes = self.rollback_votes;
        service.votes_per_second = self.votes_per_second;
    }

    /// What can be acted on where others may already act on `pending` and some still on this one: the stricter value
    /// of both where there is one, else this one's.
    ///
    /// Stricter: fewer deliveries, no hedging, a shorter grace, hosts taken to start slower and to be overloaded sooner,
    /// lower caps (a stage that only one of both has gets none), more guarded stages, a larger fleet, since each
    /// router's part of every common budget is smaller. Of quotas, retry times and the counting of votes none is the
    /// stricter.
    pub fn stricter_of(&self, pending: &EffectiveConfig) -> EffectiveConfig {
        let stages = self.stage_caps.len().max(pending.stage_caps.len());
        EffectiveConfig {
            fleet_size: self.fleet_size.max(pending.fleet_size),
            delivery_cap: self.delivery_cap.min(pending.delivery_cap),
            may_hedge: self.may_hedge && pending.may_hedge,
            drain_grace: self.drain_grace.min(pending.drain_grace),
            slow_start_from: self.slow_start_from.min(pending.slow_start_from),
            overload_multiple: self.overload_multiple.min(pending.overload_multiple),
            stage_caps: (0..stages)
                .map(|stage| self.stage_cap(stage).min(pending.stage_cap(stage)))
                .collect(),
            exposure_allowance: self.exposure_allowance.min(pending.exposure_allowance),
            guarded_stages: self.guarded_stages.max(pending.guarded_stages),
            ..self.clone()
        }
    }

    /// The cap of a stage, 0 where there is no such stage.
    fn stage_cap(&self, stage: usize) -> f64 {
        self.stage_caps.get(stage).copied().unwrap_or(0.0)
    }

    /// What contradicts no later revision, however strict that is: nothing goes to a canary, one delivery for each
    /// command, draining hosts get nothing more at once, and hosts that have just started next to nothing. Of quotas
    /// and the counting of votes none is the stricter: they stay.
    pub fn released_build_only(&self) -> EffectiveConfig {
        EffectiveConfig {
            stage_caps: vec![0.0; self.stage_caps.len()],
            exposure_allowance: 0.0,
            guarded_stages: u8::MAX,
            delivery_cap: 1,
            may_hedge: false,
            drain_grace: 0,
            slow_start_from: f64::MIN_POSITIVE,
            overload_multiple: 1.0,
            ..self.clone()
        }
    }
}
