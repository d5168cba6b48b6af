//! Test helpers: a base configuration, a checker of the five rules, and traffic through a router.
//!
//! The rules:
//! 1. Each command gets exactly one final answer, by its deadline, and no delivery after that.
//! 2. No repeat and no nack of a command that could thereby take effect twice.
//! 3. No delivery to a host that is draining or gone.
//! 4. A cold host is not overloaded.
//! 5. A build on trial stays within its exposure cap, and a key never goes to a build before the
//!    one that answered it.

#![allow(dead_code, unused_imports)] // each test program uses only some of the helpers

mod checks;
mod rule_checker;
mod tracking;
mod traffic;

pub(crate) use rule_checker::RuleChecker;
pub(crate) use traffic::*;

use spokeflow_core::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// The released build, and the newer one that is rolled out in most tests.
pub(crate) const OLD: BuildId = BuildId(7);
pub(crate) const NEW: BuildId = BuildId(8);

/// Returns a service of three routers and four operations: idempotent, deduplicated by all hosts,
/// at most once, and deduplicated within a zone.
pub(crate) fn service_config(gate: Gate) -> ServiceConfig {
    let operation = |repeat, deduplication_scope| OperationConfig {
        repeat,
        deduplication_scope,
        deduplication_window: 800 * MS,
        latency_objective: 600 * MS,
        command_timeout: 2 * SECOND,
        priority_weight: 1.0,
        streaming: false,
    };
    ServiceConfig {
        ops: vec![
            operation(Repeat::Idempotent, DeduplicationScope::Unknown),
            operation(Repeat::Deduplicated, DeduplicationScope::All),
            operation(Repeat::AtMostOnce, DeduplicationScope::Unknown),
            operation(Repeat::Deduplicated, DeduplicationScope::Zone),
        ],
        tenant_quotas: vec![20.0, 5.0],
        own_zone: ZoneId(0),
        own_index: 0,
        fleet_size: 3,
        tick: 5 * MS,
        list_requires_subscription: true,
        list_refresh_within: 10 * SECOND,
        delivery_cap: 4,
        may_hedge: true,
        may_cancel: true,
        may_probe: false,
        may_gossip: true,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: 250 * MS,
        slow_start_from: 0.4,
        warm_up_time: 4 * SECOND,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        gate,
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
        vote_timeout: 2 * SECOND,
        complaint_share: 0.2,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    }
}

/// Returns a ready host that started long ago.
pub(crate) fn endpoint(host: u32, build: BuildId) -> Endpoint {
    Endpoint {
        host: HostId(host),
        build: Some(build),
        cell: (host % 4) as u16,
        zone: ZoneId((host % 2) as u16),
        state: EndpointState::Ready,
        size: 1.0,
        started_at: None,
    }
}

/// Returns a rollout status that has just begun.
pub(crate) fn rollout_status(
    build: BuildId,
    stage: u8,
    state: RolloutState,
    exposure_cap: f64,
) -> RolloutStatus {
    RolloutStatus {
        build,
        stage,
        state,
        exposure_cap,
        age: 0,
    }
}

/// An [`Egress`] that records deliveries and checks nothing, for commands unknown to the
/// [`RuleChecker`].
#[derive(Default)]
pub(crate) struct DeliveryLog {
    pub(crate) sent: Vec<CommandId>,
}

impl Egress for DeliveryLog {
    fn deliver(&mut self, id: CommandId, _: HostId, _: Option<Micros>) {
        self.sent.push(id);
    }
    fn nack(&mut self, _: CommandId, _: Option<Micros>) {}
    fn fail(&mut self, _: CommandId) {}
    fn cancel(&mut self, _: CommandId, _: u8) {}
    fn wake(&mut self, _: Micros) {}
    fn vote(&mut self, _: BuildId, _: u8, _: RolloutVote) {}
    fn probe(&mut self, _: HostId) {}
    fn watch_list(&mut self) {}
    fn fetch_list(&mut self) {}
    fn gossip(&mut self, _: Option<u32>, _: &[u8]) {}
}
