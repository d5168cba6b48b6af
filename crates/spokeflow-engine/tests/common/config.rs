//! The configuration that the engine's tests run with.

use spokeflow_core::{DeduplicationScope, Gate, OperationConfig, Repeat, ServiceConfig, ZoneId};
use spokeflow_engine::EngineConfig;

use super::{MARGIN, SECOND};

/// Returns a configuration with one operation of each [`Repeat`] kind, three stages and no control plane.
pub(crate) fn config() -> EngineConfig {
    let op = |repeat, scope| OperationConfig {
        repeat,
        deduplication_scope: scope,
        deduplication_window: 800_000,
        latency_objective: 600_000,
        command_timeout: 2 * SECOND,
        priority_weight: 1.0,
        streaming: false,
    };
    let service = ServiceConfig {
        ops: vec![
            op(Repeat::Idempotent, DeduplicationScope::Unknown),
            op(Repeat::Deduplicated, DeduplicationScope::All),
            op(Repeat::AtMostOnce, DeduplicationScope::Unknown),
        ],
        tenant_quotas: vec![20.0, 5.0],
        own_zone: ZoneId(0),
        own_index: 0,
        fleet_size: 1,
        tick: 5_000,
        list_requires_subscription: false,
        list_refresh_within: 10 * SECOND,
        delivery_cap: 4,
        may_hedge: true,
        may_cancel: true,
        may_probe: false,
        may_gossip: false,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: 250_000,
        slow_start_from: 0.4,
        warm_up_time: 4 * SECOND,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        gate: Gate::Single,
        stage_caps: vec![0.1, 0.4, 1.0],
        stage_shares: vec![0.1, 0.4, 1.0],
        exposure_allowance: 2.0,
        exposure_window: 4 * SECOND,
        exposure_by_op: false,
        guarded_stages: 0,
        forward_only: true,
        rolling: true,
        stage_bake: SECOND,
        vote_lifetime: 6 * SECOND,
        vote_timeout: SECOND,
        complaint_share: 0.2,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    };
    EngineConfig {
        service,
        answer_margin: MARGIN,
        max_waiting: 1000,
    }
}
