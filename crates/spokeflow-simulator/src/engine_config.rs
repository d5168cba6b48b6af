//! A day's promises as terms of an engine: the same that the flags of a router process give, see the test
//! of the lab that compares both.

use spokeflow_core::{DeduplicationScope, Gate, OperationConfig, Repeat, ServiceConfig, ZoneId};
use spokeflow_engine::EngineConfig;
use spokeflow_scenario::scenario::{self, Scenario};
use spokeflow_scenario::{MS, SECOND};

/// Terms of router `index`.
pub fn engine_config(day: &Scenario, index: u32) -> EngineConfig {
    let op = |op: &scenario::Op| {
        let (repeat, repeat_scope, repeat_memory) = match op.repeat {
            scenario::Repeat::Redeliverable => (Repeat::Idempotent, DeduplicationScope::Unknown, 0),
            scenario::Repeat::Deduplicated(memory) => {
                (Repeat::Deduplicated, DeduplicationScope::All, memory)
            }
            scenario::Repeat::AtMostOnce => (Repeat::AtMostOnce, DeduplicationScope::Unknown, 0),
        };
        OperationConfig {
            repeat,
            deduplication_scope: repeat_scope,
            deduplication_window: repeat_memory,
            latency_objective: op.target,
            command_timeout: op.timeout,
            priority_weight: op.importance,
            streaming: false,
        }
    };
    let service = ServiceConfig {
        ops: day.ops.iter().map(op).collect(),
        tenant_quotas: day.customers.iter().map(|c| c.allowed).collect(),
        own_zone: ZoneId((index % u32::from(day.sites)) as u16),
        own_index: index,
        fleet_size: day.routers,
        tick: MS,
        list_requires_subscription: false,
        list_refresh_within: 5 * SECOND,
        delivery_cap: 6,
        may_hedge: true,
        may_cancel: true,
        may_probe: false,
        may_gossip: day.tells,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: day.drain_grace,
        slow_start_from: day.cold_from,
        warm_up_time: day.warm_within,
        overload_multiple: day.fall_multiple,
        overload_window: day.fall_span,
        gate: match day.gate {
            scenario::Gate::Single => Gate::Single,
            scenario::Gate::Majority => Gate::Majority,
        },
        stage_caps: (0..day.stage_fractions.len()).map(|s| day.cap(s)).collect(),
        stage_shares: day.stage_fractions.clone(),
        exposure_allowance: day.exposure_free,
        exposure_window: day.exposure_span,
        exposure_by_op: false,
        guarded_stages: 0,
        forward_only: day.forward_only,
        rolling: true,
        stage_bake: day.bake,
        vote_lifetime: 10 * SECOND,
        vote_timeout: 2 * SECOND,
        complaint_share: day.reported,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    };
    EngineConfig {
        service,
        answer_margin: 30 * MS,
        max_waiting: 20_000,
    }
}
