//! The initial hosts and the configuration of a run.

use super::*;

/// The initial endpoint of a host, ready and with the first build.
pub(crate) fn initial_endpoint(host: u32, random: &mut Random) -> Endpoint {
    Endpoint {
        host: HostId(host),
        build: Some(BuildId(FIRST_BUILD)),
        cell: (host % u32::from(CELLS)) as u16,
        zone: ZoneId((host % u32::from(ZONES)) as u16),
        state: EndpointState::Ready,
        size: random.pick(&SIZES),
        started_at: None,
    }
}

/// The configuration of a run; odd and even seeds use different rules.
pub(crate) fn service_config(setting: &Setting) -> ServiceConfig {
    let is_odd_seed = setting.seed % 2 == 1;
    ServiceConfig {
        ops: operations(is_odd_seed),
        tenant_quotas: vec![
            f64::from(setting.commands_per_second) / f64::from(TENANTS);
            TENANTS as usize
        ],
        own_zone: ZoneId(0),
        own_index: (setting.seed % 7) as u32,
        fleet_size: setting.fleet_size,
        tick: 5 * MS,
        list_requires_subscription: is_odd_seed,
        list_refresh_within: 10 * SECOND,
        delivery_cap: 4,
        may_hedge: is_odd_seed,
        may_cancel: true,
        may_probe: false,
        may_gossip: true,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: 250 * MS,
        slow_start_from: 0.5,
        warm_up_time: 3 * SECOND,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        gate: setting.gate,
        stage_caps: vec![0.1, 0.4, 1.0],
        stage_shares: vec![0.1, 0.4, 1.0],
        exposure_allowance: 2.0,
        exposure_window: 4 * SECOND,
        exposure_by_op: is_odd_seed,
        guarded_stages: u8::from(is_odd_seed),
        forward_only: setting.forward_only,
        rolling: setting.rolling,
        stage_bake: SECOND,
        vote_lifetime: 6 * SECOND,
        vote_timeout: 2 * SECOND,
        complaint_share: 0.2,
        rollback_votes: if setting.gate == Gate::Majority {
            setting.fleet_size / 5 + 1
        } else {
            0
        },
        votes_per_second: 1_000.0,
    }
}

fn operations(is_odd_seed: bool) -> Vec<OperationConfig> {
    let operation = |repeat, deduplication_scope| OperationConfig {
        repeat,
        deduplication_scope,
        deduplication_window: 900 * MS,
        latency_objective: 600 * MS,
        command_timeout: 2 * SECOND,
        priority_weight: 1.0,
        streaming: false,
    };
    vec![
        operation(Repeat::Idempotent, DeduplicationScope::Unknown),
        operation(Repeat::Deduplicated, DeduplicationScope::Cell),
        operation(Repeat::AtMostOnce, DeduplicationScope::Unknown),
        operation(
            Repeat::Deduplicated,
            if is_odd_seed {
                DeduplicationScope::Zone
            } else {
                DeduplicationScope::All
            },
        ),
    ]
}
