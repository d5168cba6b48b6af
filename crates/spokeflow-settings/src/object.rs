//! The settings object as it is written. The platform and the external simulator that drives `spokeflow-wirehost` (not
//! `spokeflow-simulator`) determine the names of the keys; what a key means is documented at the field of
//! [`spokeflow_core::ServiceConfig`] or [`crate::Settings`] that is set from it. Times are in seconds.

use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
pub(crate) struct SettingsObject {
    pub(crate) categories: Vec<OperationObject>,
    #[serde(default)]
    pub(crate) tenants: Vec<Tenant>,
    /// Names of the zones.
    #[serde(default)]
    pub(crate) dcs: Vec<String>,
    #[serde(default)]
    pub(crate) zone: u16,
    /// Index of the router in its fleet.
    #[serde(default)]
    pub(crate) me: u32,
    #[serde(default)]
    pub(crate) fleet_size: u32,
    #[serde(default)]
    pub(crate) resolution_s: f64,
    #[serde(default)]
    pub(crate) membership_mode: String,
    pub(crate) caps: RouterLimits,
    #[serde(default)]
    pub(crate) feedback: LoadReports,
    pub(crate) guarantees: Guarantees,
    pub(crate) family_info: Rollout,
}

/// An operation.
#[derive(Deserialize)]
pub(crate) struct OperationObject {
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) aim_s: f64,
    pub(crate) deadline_s: f64,
    #[serde(default)]
    pub(crate) dedup_scope: Option<String>,
    #[serde(default)]
    pub(crate) dedup_window_s: f64,
    #[serde(default)]
    pub(crate) effect: String,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) worth: f64,
}

/// A tenant and its quota.
#[derive(Deserialize)]
pub(crate) struct Tenant {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) allowance_per_s: f64,
}

/// What routers may do, and their limits.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct RouterLimits {
    pub(crate) conn_idle_s: f64,
    pub(crate) connect_timeout_s: f64,
    pub(crate) max_retry_after_s: f64,
    pub(crate) may_cancel: bool,
    pub(crate) parallel_tries: bool,
    pub(crate) peers: bool,
    pub(crate) probes: bool,
    pub(crate) retry_after: bool,
    pub(crate) send_cap: u32,
}

impl Default for RouterLimits {
    fn default() -> Self {
        RouterLimits {
            conn_idle_s: 0.0,
            connect_timeout_s: 0.0,
            max_retry_after_s: 0.0,
            may_cancel: false,
            parallel_tries: false,
            peers: false,
            probes: false,
            retry_after: false,
            send_cap: 1,
        }
    }
}

/// The load reports of hosts.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct LoadReports {
    /// Names of the values in a load report, in order.
    pub(crate) columns: Vec<String>,
}

/// Properties that hosts and the endpoint list guarantee.
#[derive(Deserialize)]
pub(crate) struct Guarantees {
    #[serde(default)]
    pub(crate) ask_within_s: f64,
    pub(crate) cold_from: f64,
    pub(crate) drain_grace_s: f64,
    pub(crate) fall_multiple: f64,
    pub(crate) fall_s: f64,
    pub(crate) warm_within_s: f64,
}

/// How builds are rolled out.
#[derive(Deserialize)]
pub(crate) struct Rollout {
    #[serde(default)]
    pub(crate) gate_mode: String,
    #[serde(default)]
    pub(crate) stage_cap: Vec<f64>,
    #[serde(default)]
    pub(crate) waves: Vec<f64>,
    #[serde(default)]
    pub(crate) free: f64,
    pub(crate) span_s: f64,
    #[serde(default)]
    pub(crate) counts: String,
    #[serde(default)]
    pub(crate) guarded_stages: u8,
    #[serde(default)]
    pub(crate) forward_only: bool,
    #[serde(default)]
    pub(crate) style: String,
    #[serde(default)]
    pub(crate) bake_s: f64,
    #[serde(default)]
    pub(crate) vote_ttl_s: f64,
    #[serde(default)]
    pub(crate) answer_wait_s: f64,
    #[serde(default)]
    pub(crate) complaint_share: f64,
    #[serde(default)]
    pub(crate) back_votes: u32,
    #[serde(default)]
    pub(crate) vote_allowance: f64,
}
