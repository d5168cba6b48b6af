//! The settings object that the simulator's first message and the platform's configuration both hold, turned into
//! the module's terms: one reader, so that the two cannot drift apart. Unknown keys are passed over.

use serde::Deserialize;
use spokeflow_core::{
    DeduplicationScope, Gate, Micros, OperationConfig, Repeat, ServiceConfig, ZoneId,
};

#[derive(Deserialize)]
struct Params {
    categories: Vec<Category>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    zone: u16,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    fleet_size: u32,
    #[serde(default)]
    resolution_s: f64,
    #[serde(default)]
    membership_mode: String,
    caps: Caps,
    #[serde(default)]
    feedback: Feedback,
    guarantees: Guarantees,
    family_info: Family,
}

#[derive(Deserialize)]
struct Category {
    #[serde(default)]
    name: String,
    aim_s: f64,
    deadline_s: f64,
    #[serde(default)]
    dedup_scope: Option<String>,
    #[serde(default)]
    dedup_window_s: f64,
    #[serde(default)]
    effect: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    worth: f64,
}

#[derive(Deserialize)]
struct Tenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    allowance_per_s: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct Caps {
    conn_idle_s: f64,
    connect_timeout_s: f64,
    max_retry_after_s: f64,
    may_cancel: bool,
    parallel_tries: bool,
    peers: bool,
    probes: bool,
    retry_after: bool,
    send_cap: u32,
}

impl Default for Caps {
    fn default() -> Self {
        Caps {
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

#[derive(Default, Deserialize)]
#[serde(default)]
struct Feedback {
    columns: Vec<String>,
}

#[derive(Deserialize)]
struct Guarantees {
    #[serde(default)]
    ask_within_s: f64,
    cold_from: f64,
    drain_grace_s: f64,
    fall_multiple: f64,
    fall_s: f64,
    warm_within_s: f64,
}

#[derive(Deserialize)]
struct Family {
    #[serde(default)]
    gate_mode: String,
    #[serde(default)]
    stage_cap: Vec<f64>,
    #[serde(default)]
    waves: Vec<f64>,
    #[serde(default)]
    free: f64,
    span_s: f64,
    #[serde(default)]
    counts: String,
    #[serde(default)]
    guarded_stages: u8,
    #[serde(default)]
    forward_only: bool,
    #[serde(default)]
    style: String,
    #[serde(default)]
    bake_s: f64,
    #[serde(default)]
    vote_ttl_s: f64,
    #[serde(default)]
    answer_wait_s: f64,
    #[serde(default)]
    complaint_share: f64,
    #[serde(default)]
    back_votes: u32,
    #[serde(default)]
    vote_allowance: f64,
}

/// What the object says.
pub struct Told {
    pub terms: ServiceConfig,
    /// Which value of a load report says how busy a host's cores are.
    pub busy_column: Option<usize>,
    /// Names of op types, customers and zones, in the order of their numbers in `terms`.
    pub ops: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    /// A connection to a host has to stand within this time; 0 where that is not said.
    pub connect_timeout: Micros,
    /// Hosts close a connection that has stood idle for so long, at the latest; 0 where that is not said.
    pub connection_idle: Micros,
}

/// Seconds, as the object has them, in whole microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Reads the object's text. Errors: no such object, or a word that is not known, in one line.
pub fn read(text: &[u8]) -> Result<Told, String> {
    let p: Params =
        serde_json::from_slice(text).map_err(|e| format!("settings do not parse: {e}"))?;
    let ops = p.categories.iter().map(op).collect();
    let terms = ServiceConfig {
        ops,
        tenant_quotas: p
            .tenants
            .iter()
            .map(|t| t.allowance_per_s.max(1e-3))
            .collect(),
        own_zone: ZoneId(p.zone),
        own_index: p.me,
        fleet_size: p.fleet_size.max(1),
        tick: micros(p.resolution_s),
        list_requires_subscription: p.membership_mode == "ask",
        list_refresh_within: micros(p.guarantees.ask_within_s),
        delivery_cap: p.caps.send_cap,
        may_hedge: p.caps.parallel_tries,
        may_cancel: p.caps.may_cancel,
        may_probe: p.caps.probes,
        may_gossip: p.caps.peers,
        may_name_retry_after: p.caps.retry_after,
        longest_retry_after: micros(p.caps.max_retry_after_s),
        drain_grace: micros(p.guarantees.drain_grace_s),
        slow_start_from: p.guarantees.cold_from,
        warm_up_time: micros(p.guarantees.warm_within_s),
        overload_multiple: p.guarantees.fall_multiple,
        overload_window: micros(p.guarantees.fall_s),
        gate: match p.family_info.gate_mode.as_str() {
            "single" => Gate::Single,
            "majority" => Gate::Majority,
            "clocked" => Gate::Clocked,
            other => return Err(format!("settings: gate_mode '{other}' is not known")),
        },
        stage_caps: p.family_info.stage_cap,
        stage_shares: p.family_info.waves,
        exposure_allowance: p.family_info.free,
        exposure_window: micros(p.family_info.span_s),
        exposure_by_op: p.family_info.counts == "per_lane",
        guarded_stages: p.family_info.guarded_stages,
        forward_only: p.family_info.forward_only,
        rolling: p.family_info.style == "rolling",
        stage_bake: micros(p.family_info.bake_s),
        vote_lifetime: micros(p.family_info.vote_ttl_s),
        vote_timeout: micros(p.family_info.answer_wait_s),
        complaint_share: p.family_info.complaint_share,
        rollback_votes: p.family_info.back_votes,
        // Above 0, or not told.
        votes_per_second: Some(p.family_info.vote_allowance)
            .filter(|n| *n > 0.0)
            .unwrap_or(f64::INFINITY),
    };
    Ok(Told {
        terms,
        busy_column: p.feedback.columns.iter().position(|name| name == "cpu"),
        ops: p.categories.into_iter().map(|c| c.name).collect(),
        customers: p.tenants.into_iter().map(|t| t.name).collect(),
        zones: p.dcs,
        connect_timeout: micros(p.caps.connect_timeout_s),
        connection_idle: micros(p.caps.conn_idle_s),
    })
}

fn op(c: &Category) -> OperationConfig {
    OperationConfig {
        repeat: match c.effect.as_str() {
            "idempotent" => Repeat::Idempotent,
            "deduplicated" => Repeat::Deduplicated,
            // What is not understood is never run twice.
            _ => Repeat::AtMostOnce,
        },
        deduplication_scope: match c.dedup_scope.as_deref() {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") => DeduplicationScope::Cell,
            _ => DeduplicationScope::Unknown,
        },
        deduplication_window: micros(c.dedup_window_s),
        latency_objective: micros(c.aim_s),
        command_timeout: micros(c.deadline_s),
        priority_weight: c.worth,
        streaming: c.stream,
    }
}
