//! The decision module: each process has one [`Router`], which receives every event as a method
//! call and emits its decisions through [`Egress`].
//!
//! Call [`Router::new`] with the deployment's configuration, then, for each event in order,
//! [`Router::set_time`] and the event's method. A command passes through admission, canary,
//! exposure and placement; the outcome of a delivery passes through analysis, outlier detection
//! and retry.
//! `docs/design.md` gives the reasons.

mod admission;
mod analysis;
mod canary;
mod controller_stats;
mod derived_config;
mod discovery;
mod evidence;
mod exposure;
mod hedging;
mod load;
mod outliers;
mod placement;
mod retry;
mod rollout;
mod slowdowns;
mod sticky;
mod timers;
mod voting;

use std::collections::BTreeMap;

use crate::state::{Command, Hosts, OperationState};
use crate::{CommandId, Egress, HostId, Micros, Rng, ServiceConfig};
use admission::WaitingQueues;
use analysis::{Baseline, TenantErrors, UnackedCount};
use canary::CanaryFraction;
use controller_stats::ControllerTraffic;
use derived_config::DerivedConfig;
use discovery::ListSubscription;
use evidence::Evidence;
use exposure::ExposureWindows;
use load::LoadHistory;
use retry::RetryBudget;
use rollout::RolloutView;
use slowdowns::Slowdowns;
use sticky::StickyTable;
use timers::{TickTimes, TICK};
use voting::VoteState;

pub use placement::ROUTERS_PER_HOST;

type Out<'a> = &'a mut dyn Egress;

const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = SECOND / 1000;

/// One router's state and the decisions made from it.
pub struct Router {
    now: Micros,
    config: DerivedConfig,
    rng: Rng,
    own_index: u32,
    hosts: Hosts,
    /// Index in `hosts` of each host that has ever been listed.
    host_index: BTreeMap<HostId, usize>,
    operations: Vec<OperationState>,
    commands: BTreeMap<CommandId, Command>,
    waiting: WaitingQueues,
    sticky: StickyTable,
    exposure: ExposureWindows,
    rollout: RolloutView,
    canary: CanaryFraction,
    retry_budget: RetryBudget,
    /// Moving average of the share of deliveries for which no connection could be made.
    refused_fraction: f64,
    slowdowns: Slowdowns,
    load: LoadHistory,
    evidence: Evidence,
    baseline: Baseline,
    tenant_errors: TenantErrors,
    unacked: UnackedCount,
    controller_traffic: ControllerTraffic,
    voting: VoteState,
    subscription: ListSubscription,
    ticks: TickTimes,
}

impl Router {
    /// Creates a router without hosts, schedules the first tick and, where the deployment requires
    /// it, subscribes to the host list.
    pub fn new(config: &ServiceConfig, seed: u64, now: Micros, out: Out) -> Self {
        out.wake(now + TICK);
        if config.list_requires_subscription {
            out.watch_list();
        }
        let derived = DerivedConfig::new(config);
        let tenants = derived.tenant_quotas.len();
        Router {
            now,
            rng: Rng::new(seed),
            own_index: config.own_index,
            hosts: Hosts::new(config.own_index, derived.start_spans, now),
            host_index: BTreeMap::new(),
            operations: config.ops.iter().map(OperationState::new).collect(),
            commands: BTreeMap::new(),
            waiting: WaitingQueues::new(tenants),
            sticky: StickyTable::default(),
            exposure: ExposureWindows::default(),
            rollout: RolloutView::default(),
            canary: CanaryFraction::default(),
            retry_budget: RetryBudget::new(),
            refused_fraction: 0.0,
            slowdowns: Slowdowns::default(),
            load: LoadHistory::new(now),
            evidence: Evidence::new(config.ops.len()),
            baseline: Baseline::new(config.ops.len()),
            tenant_errors: TenantErrors::new(tenants),
            unacked: UnackedCount::default(),
            controller_traffic: ControllerTraffic::default(),
            voting: VoteState::default(),
            subscription: ListSubscription::new(config.list_requires_subscription, now),
            ticks: TickTimes::new(now),
            config: derived,
        }
    }

    /// Uses another configuration from the next call on. Counts, deliveries and assignments are
    /// kept, and no window restarts. The operations, window lengths, forward-only rules and number
    /// of tenants must be the same as before.
    pub fn reconfigure(&mut self, config: &ServiceConfig) {
        self.config = DerivedConfig::new(config);
        self.hosts.set_spans(self.config.start_spans);
    }

    /// Sets the time for the calls that follow.
    pub fn set_time(&mut self, now: Micros) -> &mut Self {
        self.now = now;
        self.hosts.advance(now);
        self
    }

    /// Returns the host state, for tests that compare it with a direct recomputation.
    #[doc(hidden)]
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }
}
