//! What is read at start and what is told later, in the words of the trade.

use crate::{BuildId, HostId, Micros, OpType, ZoneId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// Which hosts drop the repeat of a deduplicated command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
    /// Not said: only the same host counts.
    Unknown,
}

#[derive(Clone, Debug)]
pub struct OperationConfig {
    pub repeat: Repeat,
    pub deduplication_scope: DeduplicationScope,
    pub deduplication_window: Micros,
    pub latency_objective: Micros,
    pub command_timeout: Micros,
    pub priority_weight: f64,
    pub streaming: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    #[default]
    Single,
    Majority,
    Clocked,
}

/// What a deployment promises and allows, as told when a router starts.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    pub ops: Vec<OperationConfig>,
    /// What each customer may send a second, all routers together; above 0.
    pub tenant_quotas: Vec<f64>,
    pub own_zone: ZoneId,
    pub own_index: u32,
    pub fleet_size: u32,
    pub tick: Micros,
    pub list_requires_subscription: bool,
    pub list_refresh_within: Micros,
    pub delivery_cap: u32,
    pub may_hedge: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_gossip: bool,
    pub may_name_retry_after: bool,
    pub longest_retry_after: Micros,
    pub drain_grace: Micros,
    pub slow_start_from: f64,
    pub warm_up_time: Micros,
    pub overload_multiple: f64,
    pub overload_window: Micros,
    pub gate: Gate,
    pub stage_caps: Vec<f64>,
    pub stage_shares: Vec<f64>,
    pub exposure_allowance: f64,
    pub exposure_window: Micros,
    pub exposure_by_op: bool,
    pub guarded_stages: u8,
    pub forward_only: bool,
    pub rolling: bool,
    pub stage_bake: Micros,
    pub vote_lifetime: Micros,
    pub vote_timeout: Micros,
    pub complaint_share: f64,
    /// Routers whose votes send a build back; infinite where that is not told.
    pub rollback_votes: u32,
    /// Votes that the desk takes a second from all routers together; 0 where that is not told.
    pub votes_per_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Gone,
    Ready,
    Draining,
}

/// One line of the host list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub host: HostId,
    /// `None` where the list does not say.
    pub build: Option<BuildId>,
    pub cell: u16,
    pub zone: ZoneId,
    pub state: EndpointState,
    /// Its capacity against other hosts', in any unit; above 0, and 1 where the list does not say.
    pub size: f64,
    /// When the process last started; `None` for long ago.
    pub started_at: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Complete,
    /// What a router still had when it started: may be old.
    Cached,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Acked,
    Error,
    Rejected,
    TimedOut,
    NotConnected,
    Reset,
    Cancelled,
    NotSent,
}

impl AttemptOutcome {
    /// Whether a delivery that ended so may have had its effect.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::NotConnected | AttemptOutcome::NotSent
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    Canary,
    RollingBack,
    Released,
    Withdrawn,
}

/// The desk's news on the newest build.
#[derive(Clone, Copy, Debug)]
pub struct RolloutStatus {
    pub build: BuildId,
    pub stage: u8,
    pub state: RolloutState,
    pub exposure_cap: f64,
    /// How long this state had stood when the news came.
    pub age: Micros,
}

/// What the desk counted of one op type at one build, in a sample of all routers' deliveries over a past period.
#[derive(Clone, Copy, Debug)]
pub struct ControllerStats {
    pub build: BuildId,
    pub op: OpType,
    pub sampled: u32,
    /// Those that did not end with an ack.
    pub failed: u32,
    /// Mean time of the others.
    pub mean_latency: Micros,
    /// How long ago the period ended.
    pub age: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    Counted,
    /// Not the present build or stage, or no such verdict here.
    Stale,
    RateLimited,
    Refused,
    /// No answer in time: it may count.
    NoResponse,
}
