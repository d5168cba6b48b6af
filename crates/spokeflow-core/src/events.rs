//! What a router learns while it runs: hosts, outcomes of deliveries, and the state of the rollout.

use crate::{BuildId, HostId, Micros, OpType, ZoneId};

/// What the list says of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// There is none.
    Gone,
    /// It takes commands.
    Ready,
    /// It finishes what it has and takes no more.
    Draining,
}

/// One line of the host list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The host.
    pub host: HostId,
    /// The build that it runs; `None` where the list does not say.
    pub build: Option<BuildId>,
    /// Its cell, whose hosts share what they remember of commands.
    pub cell: u16,
    /// Its zone.
    pub zone: ZoneId,
    /// The state of its process.
    pub state: EndpointState,
    /// Its capacity against other hosts', in any unit; above 0, and 1 where the list does not say.
    pub size: f64,
    /// When the process last started; `None` for long ago.
    pub started_at: Option<Micros>,
}

/// What a host list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The hosts that have changed.
    Changes,
    /// All hosts.
    Complete,
    /// What a router still had when it started: may be old.
    Cached,
}

/// How a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host executed the command.
    Acked,
    /// The host answered with an error.
    Error,
    /// The host was full and did not execute it.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made.
    NotConnected,
    /// The connection broke before the answer.
    Reset,
    /// The router or the client gave it up.
    Cancelled,
    /// It never went out.
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

/// Where the newest build's rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It is on trial and takes a bounded part of the commands.
    Canary,
    /// Its hosts return to the earlier build.
    RollingBack,
    /// It is free for all commands.
    Released,
    /// It has been taken back.
    Withdrawn,
}

/// What the release controller says of the newest build.
#[derive(Clone, Copy, Debug)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: BuildId,
    /// Its stage, from 0.
    pub stage: u8,
    /// Where its rollout is.
    pub state: RolloutState,
    /// Part of the commands that it may be sent, 0 to 1.
    pub exposure_cap: f64,
    /// How long this state had lasted when the status arrived.
    pub age: Micros,
}

/// What the release controller counted of one operation at one build, in a sample of all routers'
/// deliveries over a past period.
#[derive(Clone, Copy, Debug)]
pub struct ControllerStats {
    /// The build.
    pub build: BuildId,
    /// The operation.
    pub op: OpType,
    /// Deliveries in the sample.
    pub sampled: u32,
    /// Those that did not end with an ack.
    pub failed: u32,
    /// Mean latency of the others.
    pub mean_latency: Micros,
    /// How long ago the period ended.
    pub age: Micros,
}

/// What the release controller answered to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    /// It counts.
    Counted,
    /// Not the present build or stage, or no such vote here.
    Stale,
    /// Votes came too fast.
    RateLimited,
    /// It was not taken for another reason.
    Refused,
    /// No answer in time: it may count.
    NoResponse,
}
