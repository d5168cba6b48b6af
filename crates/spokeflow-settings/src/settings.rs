//! Converts the settings object into the decision module's configuration.

use spokeflow_core::{
    DeduplicationScope, Gate, Micros, OperationConfig, Repeat, ServiceConfig, ZoneId,
};

use crate::object::{OperationObject, SettingsObject, Tenant};
use crate::SettingsError;

/// Smallest quota in commands per second: above 0, so that shares of it can be computed.
const MIN_QUOTA: f64 = 1e-3;

/// The contents of a settings object.
pub struct Settings {
    /// Configuration of the decision module.
    pub config: ServiceConfig,
    /// Index of the value in a load report that says how busy a host's cores are; `None` if reports have no such value.
    pub busy_column: Option<usize>,
    /// Names of the operations, in the order of `config.ops`.
    pub ops: Vec<String>,
    /// Names of the tenants, in the order of `config.tenant_quotas`.
    pub customers: Vec<String>,
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Time within which a connection to a host must be open; 0 if the object sets none.
    pub connect_timeout: Micros,
    /// Time after which hosts close an idle connection at the latest; 0 if the object sets none.
    pub connection_idle: Micros,
}

/// Converts seconds, as the object has them, to microseconds, rounded to whole ones.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

impl Settings {
    /// Reads the JSON text of a settings object.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the text is not a settings object, or if its gate mode is unknown.
    pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
        let object: SettingsObject = serde_json::from_slice(text)?;
        let config = service_config(&object)?;
        let columns = &object.feedback.columns;
        Ok(Settings {
            config,
            busy_column: columns.iter().position(|name| name == "cpu"),
            connect_timeout: micros_from_seconds(object.caps.connect_timeout_s),
            connection_idle: micros_from_seconds(object.caps.conn_idle_s),
            ops: object
                .categories
                .into_iter()
                .map(|operation| operation.name)
                .collect(),
            customers: object
                .tenants
                .into_iter()
                .map(|tenant| tenant.name)
                .collect(),
            zones: object.dcs,
        })
    }
}

fn service_config(object: &SettingsObject) -> Result<ServiceConfig, SettingsError> {
    let caps = &object.caps;
    let guarantees = &object.guarantees;
    let rollout = &object.family_info;
    Ok(ServiceConfig {
        ops: object.categories.iter().map(operation_config).collect(),
        tenant_quotas: object.tenants.iter().map(quota).collect(),
        own_zone: ZoneId(object.zone),
        own_index: object.me,
        fleet_size: object.fleet_size.max(1),
        tick: micros_from_seconds(object.resolution_s),
        list_requires_subscription: object.membership_mode == "ask",
        list_refresh_within: micros_from_seconds(guarantees.ask_within_s),
        delivery_cap: caps.send_cap,
        may_hedge: caps.parallel_tries,
        may_cancel: caps.may_cancel,
        may_probe: caps.probes,
        may_gossip: caps.peers,
        may_name_retry_after: caps.retry_after,
        longest_retry_after: micros_from_seconds(caps.max_retry_after_s),
        drain_grace: micros_from_seconds(guarantees.drain_grace_s),
        slow_start_from: guarantees.cold_from,
        warm_up_time: micros_from_seconds(guarantees.warm_within_s),
        overload_multiple: guarantees.fall_multiple,
        overload_window: micros_from_seconds(guarantees.fall_s),
        gate: gate(&rollout.gate_mode)?,
        stage_caps: rollout.stage_cap.clone(),
        stage_shares: rollout.waves.clone(),
        exposure_allowance: rollout.free,
        exposure_window: micros_from_seconds(rollout.span_s),
        exposure_by_op: rollout.counts == "per_lane",
        guarded_stages: rollout.guarded_stages,
        forward_only: rollout.forward_only,
        rolling: rollout.style == "rolling",
        stage_bake: micros_from_seconds(rollout.bake_s),
        vote_lifetime: micros_from_seconds(rollout.vote_ttl_s),
        vote_timeout: micros_from_seconds(rollout.answer_wait_s),
        complaint_share: rollout.complaint_share,
        rollback_votes: rollout.back_votes,
        votes_per_second: votes_per_second(rollout.vote_allowance),
    })
}

fn quota(tenant: &Tenant) -> f64 {
    tenant.allowance_per_s.max(MIN_QUOTA)
}

fn gate(mode: &str) -> Result<Gate, SettingsError> {
    match mode {
        "single" => Ok(Gate::Single),
        "majority" => Ok(Gate::Majority),
        "clocked" => Ok(Gate::Clocked),
        other => Err(SettingsError::UnknownGateMode(other.to_string())),
    }
}

/// Returns the allowance, or no limit if it is not positive (0 if the object sets none).
fn votes_per_second(allowance: f64) -> f64 {
    if allowance > 0.0 {
        allowance
    } else {
        f64::INFINITY
    }
}

fn operation_config(operation: &OperationObject) -> OperationConfig {
    OperationConfig {
        repeat: match operation.effect.as_str() {
            "idempotent" => Repeat::Idempotent,
            "deduplicated" => Repeat::Deduplicated,
            // An operation with an unknown effect must never run twice.
            _ => Repeat::AtMostOnce,
        },
        deduplication_scope: match operation.dedup_scope.as_deref() {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") => DeduplicationScope::Cell,
            _ => DeduplicationScope::Unknown,
        },
        deduplication_window: micros_from_seconds(operation.dedup_window_s),
        latency_objective: micros_from_seconds(operation.aim_s),
        command_timeout: micros_from_seconds(operation.deadline_s),
        priority_weight: operation.worth,
        streaming: operation.stream,
    }
}
