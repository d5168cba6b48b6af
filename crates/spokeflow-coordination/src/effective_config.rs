//! The settings that a revision may change while routers run, and how two sets of them are combined.

use serde::{Deserialize, Serialize};
use spokeflow_core::{Micros, ServiceConfig};

/// The part of a [`ServiceConfig`] that a revision may change while routers run. Each field means the same as there.
///
/// Windows (`exposure_window`, `overload_window`), the settings of what is counted in them, operations and
/// `forward_only` are not included: events that were counted under the old values cannot be counted again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectiveConfig {
    /// Commands per second that each tenant may send, over all routers together.
    pub tenant_quotas: Vec<f64>,
    /// Number of routers of the service, among which its fleet-wide limits are divided.
    pub fleet_size: u32,
    /// Maximum number of deliveries for one command, including the first.
    pub delivery_cap: u32,
    /// Whether a second delivery may be sent while the first is open.
    pub may_hedge: bool,
    /// Longest time, in microseconds, after which a client may be told to retry; 0 if clients are told no time.
    pub longest_retry_after: Micros,
    /// Time, in microseconds, after a host is listed as draining or gone in which a frame may still be sent to it.
    pub drain_grace: Micros,
    /// Fraction of its capacity that a host has right after its start.
    pub slow_start_from: f64,
    /// Traffic that overloads a cold host, as a multiple of the mean traffic of a warm host.
    pub overload_multiple: f64,
    /// By rollout stage, an upper limit on the exposure cap that the release controller sets.
    pub stage_caps: Vec<f64>,
    /// Deliveries to the canary build that are allowed in addition to the cap in each exposure window.
    pub exposure_allowance: f64,
    /// Number of first stages in which only idempotent operations go to the canary build.
    pub guarded_stages: u8,
    /// Fraction of the wrong answers that clients report.
    pub complaint_share: f64,
    /// Number of routers whose votes roll a build back; 0 if not configured.
    pub rollback_votes: u32,
    /// Votes per second that the release controller accepts from all routers together.
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
    /// Sets these values in `service` and leaves its other fields unchanged.
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

    /// Returns the configuration to act on while some routers may already act on `pending` and some still on `self`: of
    /// each setting the stricter value, or that of `self` if neither is stricter.
    ///
    /// Stricter values are: fewer deliveries, no hedging, a shorter drain grace, a lower capacity after the start, a
    /// lower overload multiple, lower caps (0 for a stage that only one of both has), a lower exposure allowance, more
    /// guarded stages, and a larger fleet, as each router's share of the fleet-wide limits is then smaller. For quotas,
    /// retry times and the counting of votes neither value is stricter.
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

    /// Returns the cap of a stage; 0 if there is no such stage.
    fn stage_cap(&self, stage: usize) -> f64 {
        self.stage_caps.get(stage).copied().unwrap_or(0.0)
    }

    /// Returns a configuration that does not contradict any later revision, however strict: canaries get no deliveries,
    /// each command gets one delivery, draining hosts get no new commands from the start of draining, and hosts that
    /// have just started get almost none.
    ///
    /// Excepted are the settings that stay unchanged: quotas, retry times and the counting of votes, which have no
    /// stricter value, and `fleet_size`, although a larger value would be stricter.
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
