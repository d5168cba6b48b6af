//! The data types of the events that a router receives: host lists, delivery outcomes, rollout
//! statuses and the release controller's counts.

use crate::{BuildId, HostId, Micros, OpType, ZoneId};

/// The state of a host's process according to the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// No process runs on the host.
    Gone,
    /// The process accepts commands.
    Ready,
    /// The process finishes its open commands and accepts no new ones.
    Draining,
}

/// One line of the host list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The host.
    pub host: HostId,
    /// The build that the host runs; `None` if the list does not say.
    pub build: Option<BuildId>,
    /// The host's cell; the hosts of a cell share their record of executed commands.
    pub cell: u16,
    /// The host's zone.
    pub zone: ZoneId,
    /// The state of the host's process.
    pub state: EndpointState,
    /// Capacity relative to the other hosts, in any unit; above 0, and 1 if the list does not say.
    pub size: f64,
    /// When the process last started; `None` if that is long ago or unknown.
    pub started_at: Option<Micros>,
}

/// Which hosts a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the hosts that have changed.
    Changes,
    /// All hosts.
    Complete,
    /// The list that a router had stored before it started; it may be out of date.
    Cached,
}

/// How a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host executed the command.
    Acked,
    /// The host answered with an error.
    Error,
    /// The host was full and did not execute the command.
    Rejected,
    /// No answer arrived in time.
    TimedOut,
    /// No connection could be made.
    NotConnected,
    /// The connection broke before the answer.
    Reset,
    /// The router or the client gave up the delivery.
    Cancelled,
    /// The delivery was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the host may have executed the command of a delivery with this outcome.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::NotConnected | AttemptOutcome::NotSent
        )
    }
}

/// The state of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The build is the canary and receives at most a bounded fraction of the commands.
    Canary,
    /// The build's hosts are returning to the earlier build.
    RollingBack,
    /// The build may receive all commands.
    Released,
    /// The rollback is complete.
    Withdrawn,
}

/// The rollout status of the newest build, as announced by the release controller.
#[derive(Clone, Copy, Debug)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: BuildId,
    /// The rollout stage, from 0.
    pub stage: u8,
    /// The state of the rollout.
    pub state: RolloutState,
    /// Exposure cap: the fraction of the commands that the build may receive, 0 to 1.
    pub exposure_cap: f64,
    /// How long the rollout had been in this state when the status arrived.
    pub age: Micros,
}

/// The release controller's counts for one operation at one build, in a sample of all routers'
/// deliveries over a past period.
#[derive(Clone, Copy, Debug)]
pub struct ControllerStats {
    /// The build.
    pub build: BuildId,
    /// The operation.
    pub op: OpType,
    /// Deliveries in the sample.
    pub sampled: u32,
    /// Sampled deliveries that did not end with an ack, whether or not the build failed.
    pub failed: u32,
    /// Mean latency of the sampled deliveries that ended with an ack.
    pub mean_latency: Micros,
    /// How long ago the period ended.
    pub age: Micros,
}

/// The release controller's answer to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteOutcome {
    /// The vote counts.
    Counted,
    /// The vote is not for the present build and stage, or the release controller does not accept
    /// this kind of vote.
    Stale,
    /// Votes arrived too fast.
    RateLimited,
    /// The vote was refused for another reason.
    Refused,
    /// No answer arrived in time; the vote may count.
    NoResponse,
}
