//! Terms of leases, and the service terms that a revision may change while routers run.

use serde::{Deserialize, Serialize};
use spokeflow_core::{Micros, ServiceConfig};

#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// Longest time, by a true clock, for which one grant may be acted on.
    pub duration: Micros,
    /// How much faster or slower than true a clock may run, as a share.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// By the lease holder's own clock, from the sending of its request: no longer than the lease though it run slow.
    pub fn holder_duration(&self) -> Micros {
        (self.duration as f64 * (1.0 - self.max_clock_drift)) as Micros
    }

    /// By the granter's own clock: no shorter than the lease though it run fast.
    pub fn granter_duration(&self) -> Micros {
        (self.duration as f64 * (1.0 + self.max_clock_drift)).ceil() as Micros
    }

    /// The longest time for which two routers may act on revisions that contradict each other, whatever fails: what
    /// was granted before the first grant of the later revision has run out after one lease.
    pub fn longest_contradiction(&self) -> Micros {
        self.duration
    }
}

/// What a revision may change while routers run. Windows (`exposure-span`, `fall-span`), what counts in them, op types
/// and one-way keys are not among them: what was counted under the old ones cannot be counted anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EffectiveConfig {
    /// Each customer's commands a second, all routers together.
    pub tenant_quotas: Vec<f64>,
    pub fleet_size: u32,
    pub delivery_cap: u32,
    pub may_hedge: bool,
    pub longest_retry_after: Micros,
    pub drain_grace: Micros,
    pub slow_start_from: f64,
    pub overload_multiple: f64,
    /// A ceiling on the cap that the desk tells, by stage, beside its old use.
    pub stage_caps: Vec<f64>,
    pub exposure_allowance: f64,
    pub guarded_stages: u8,
    pub complaint_share: f64,
    pub rollback_votes: u32,
    pub votes_per_second: f64,
}

impl EffectiveConfig {
    pub fn of(terms: &ServiceConfig) -> Self {
        EffectiveConfig {
            tenant_quotas: terms.tenant_quotas.clone(),
            fleet_size: terms.fleet_size,
            delivery_cap: terms.delivery_cap,
            may_hedge: terms.may_hedge,
            longest_retry_after: terms.longest_retry_after,
            drain_grace: terms.drain_grace,
            slow_start_from: terms.slow_start_from,
            overload_multiple: terms.overload_multiple,
            stage_caps: terms.stage_caps.clone(),
            exposure_allowance: terms.exposure_allowance,
            guarded_stages: terms.guarded_stages,
            complaint_share: terms.complaint_share,
            rollback_votes: terms.rollback_votes,
            votes_per_second: terms.votes_per_second,
        }
    }

    pub fn apply_to(&self, terms: &mut ServiceConfig) {
        terms.tenant_quotas.clone_from(&self.tenant_quotas);
        terms.fleet_size = self.fleet_size;
        terms.delivery_cap = self.delivery_cap;
        terms.may_hedge = self.may_hedge;
        terms.longest_retry_after = self.longest_retry_after;
        terms.drain_grace = self.drain_grace;
        terms.slow_start_from = self.slow_start_from;
        terms.overload_multiple = self.overload_multiple;
        terms.stage_caps.clone_from(&self.stage_caps);
        terms.exposure_allowance = self.exposure_allowance;
        terms.guarded_stages = self.guarded_stages;
        terms.complaint_share = self.complaint_share;
        terms.rollback_votes = self.rollback_votes;
        terms.votes_per_second = self.votes_per_second;
    }

    /// What can be acted on where `announced` may already be acted on by others and this one still is: the stricter
    /// value where one can be told, else this one's.
    ///
    /// Stricter: fewer deliveries, no copies side by side, a shorter grace, hosts taken to start colder and to fall
    /// sooner, lower caps (a stage that one of both lacks has none), more guarded stages, a larger fleet, since each
    /// router's part of every common budget is smaller. Of customers' shares, times to come back and the counting of
    /// votes none is the stricter.
    pub fn stricter_of(&self, announced: &EffectiveConfig) -> EffectiveConfig {
        let (a, b) = (self, announced);
        let stages = a.stage_caps.len().max(b.stage_caps.len());
        let cap = |caps: &[f64], n: usize| caps.get(n).copied().unwrap_or(0.0);
        EffectiveConfig {
            fleet_size: a.fleet_size.max(b.fleet_size),
            delivery_cap: a.delivery_cap.min(b.delivery_cap),
            may_hedge: a.may_hedge && b.may_hedge,
            drain_grace: a.drain_grace.min(b.drain_grace),
            slow_start_from: a.slow_start_from.min(b.slow_start_from),
            overload_multiple: a.overload_multiple.min(b.overload_multiple),
            stage_caps: (0..stages)
                .map(|n| cap(&a.stage_caps, n).min(cap(&b.stage_caps, n)))
                .collect(),
            exposure_allowance: a.exposure_allowance.min(b.exposure_allowance),
            guarded_stages: a.guarded_stages.max(b.guarded_stages),
            ..a.clone()
        }
    }

    /// What contradicts no later revision, however strict that is: nothing goes to a build on trial, one delivery for
    /// each command, hosts that drain get nothing more at once, and cold ones next to nothing. Of customers' shares and
    /// the counting of votes none is the stricter: they stay.
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
