//! The engine configuration of a scenario. It must equal the one that a router process derives from the flags of the
//! scenario; a test of `spokeflow-experiments` compares the two.

use spokeflow_core::{DeduplicationScope, Gate, OperationConfig, Repeat, ServiceConfig, ZoneId};
use spokeflow_engine::EngineConfig;
use spokeflow_scenario::scenario::{Gate as ScenarioGate, Op, Repeat as ScenarioRepeat, Scenario};
use spokeflow_scenario::{MS, SECOND};

/// Returns the engine configuration of router `index`.
pub fn engine_config(scenario: &Scenario, index: u32) -> EngineConfig {
    let op = |op: &Op| {
        let (repeat, deduplication_scope, deduplication_window) = match op.repeat {
            ScenarioRepeat::Redeliverable => (Repeat::Idempotent, DeduplicationScope::Unknown, 0),
            ScenarioRepeat::Deduplicated(window) => {
                (Repeat::Deduplicated, DeduplicationScope::All, window)
            }
            ScenarioRepeat::AtMostOnce => (Repeat::AtMostOnce, DeduplicationScope::Unknown, 0),
        };
        OperationConfig {
            repeat,
            deduplication_scope,
            deduplication_window,
            latency_objective: op.target,
            command_timeout: op.timeout,
            priority_weight: op.importance,
            streaming: false,
        }
    };
    let service = ServiceConfig {
        ops: scenario.ops.iter().map(op).collect(),
        tenant_quotas: scenario.tenants.iter().map(|c| c.allowed).collect(),
        own_zone: ZoneId((index % u32::from(scenario.sites)) as u16),
        own_index: index,
        fleet_size: scenario.routers,
        tick: MS,
        list_requires_subscription: false,
        list_refresh_within: 5 * SECOND,
        delivery_cap: 6,
        may_hedge: true,
        may_cancel: true,
        may_probe: false,
        may_gossip: scenario.may_gossip,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: scenario.drain_grace,
        slow_start_from: scenario.cold_from,
        warm_up_time: scenario.warm_within,
        overload_multiple: scenario.overload_multiple,
        overload_window: scenario.overload_window,
        gate: match scenario.gate {
            ScenarioGate::Single => Gate::Single,
            ScenarioGate::Majority => Gate::Majority,
        },
        stage_caps: (0..scenario.stage_fractions.len())
            .map(|s| scenario.cap(s))
            .collect(),
        stage_shares: scenario.stage_fractions.clone(),
        exposure_allowance: scenario.exposure_free,
        exposure_window: scenario.exposure_span,
        exposure_by_op: false,
        guarded_stages: 0,
        forward_only: scenario.forward_only,
        rolling: true,
        stage_bake: scenario.bake,
        vote_lifetime: 10 * SECOND,
        vote_timeout: 2 * SECOND,
        complaint_share: scenario.reported,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    };
    EngineConfig {
        service,
        answer_margin: 30 * MS,
        max_waiting: 20_000,
    }
}
