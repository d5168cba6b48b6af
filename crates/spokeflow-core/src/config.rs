//! The configuration of a service and its operations.

use crate::{Micros, ZoneId};

/// Whether a command may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// As often as one likes.
    Idempotent,
    /// Hosts drop a repeat that they know by its idempotency key.
    Deduplicated,
    /// Never.
    AtMostOnce,
}

/// Which hosts drop the repeat of a deduplicated command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    All,
    /// Those of the same zone.
    Zone,
    /// Those of the same cell.
    Cell,
    /// Not said: only the same host counts.
    Unknown,
}

/// One operation of a service.
#[derive(Clone, Debug)]
pub struct OperationConfig {
    /// Whether its commands may be executed twice.
    pub repeat: Repeat,
    /// Which hosts drop a repeat.
    pub deduplication_scope: DeduplicationScope,
    /// How long they remember a command.
    pub deduplication_window: Micros,
    /// The latency that the service aims at.
    pub latency_objective: Micros,
    /// How long a client waits.
    pub command_timeout: Micros,
    /// Worth of one command against those of other operations.
    pub priority_weight: f64,
    /// Responses come in parts.
    pub streaming: bool,
}

/// Whose votes decide whether a build goes on to its next stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    /// One router's vote is enough.
    #[default]
    Single,
    /// Most routers must vote for it.
    Majority,
    /// Stages go on by the clock unless routers vote against it.
    Clocked,
}

/// What a deployment promises and allows, as read when a router starts.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// The operations; [`crate::OpType`] is the index.
    pub ops: Vec<OperationConfig>,
    /// What each tenant may send a second, all routers together; above 0.
    pub tenant_quotas: Vec<f64>,
    /// The zone that this router is in.
    pub own_zone: ZoneId,
    /// This router's index among those of the service.
    pub own_index: u32,
    /// Routers of the service.
    pub fleet_size: u32,
    /// Resolution of times in the deployment.
    pub tick: Micros,
    /// The host list comes only to subscribers.
    pub list_requires_subscription: bool,
    /// How long a change of the hosts takes to be listed at most.
    pub list_refresh_within: Micros,
    /// Most deliveries of one command.
    pub delivery_cap: u32,
    /// Two deliveries of a command may be open at once.
    pub may_hedge: bool,
    /// Deliveries may be cancelled.
    pub may_cancel: bool,
    /// Hosts may be probed.
    pub may_probe: bool,
    /// Routers may send each other messages.
    pub may_gossip: bool,
    /// A nack may say when to try again.
    pub may_name_retry_after: bool,
    /// The longest time that it may say.
    pub longest_retry_after: Micros,
    /// How soon after a host was listed as draining or gone nothing new may go to it.
    pub drain_grace: Micros,
    /// Part of its capacity that a host has at its start, above 0 up to 1.
    pub slow_start_from: f64,
    /// Time in which it grows to full capacity.
    pub warm_up_time: Micros,
    /// Multiple of its mean traffic that overloads a cold host.
    pub overload_multiple: f64,
    /// Time over which that is counted.
    pub overload_window: Micros,
    /// Whose votes promote a build.
    pub gate: Gate,
    /// Of each stage, the part of the commands that the build on trial may be sent.
    pub stage_caps: Vec<f64>,
    /// Of each stage, the part of the hosts that run it.
    pub stage_shares: Vec<f64>,
    /// Commands beyond the cap that one window allows.
    pub exposure_allowance: f64,
    /// Time over which exposure is counted.
    pub exposure_window: Micros,
    /// The cap holds for each operation by itself.
    pub exposure_by_op: bool,
    /// First stages in which only idempotent operations go to the build on trial.
    pub guarded_stages: u8,
    /// A key that a build has answered never goes to an earlier one.
    pub forward_only: bool,
    /// Hosts are replaced in place; else a trial's hosts run beside the earlier ones.
    pub rolling: bool,
    /// Least time in a stage.
    pub stage_bake: Micros,
    /// How long a vote counts.
    pub vote_lifetime: Micros,
    /// How long the answer to a vote takes at most.
    pub vote_timeout: Micros,
    /// Part of the wrong answers that clients report.
    pub complaint_share: f64,
    /// Routers whose votes roll a build back; 0 where the deployment does not say.
    pub rollback_votes: u32,
    /// Votes that the release controller takes a second from all routers together; infinite where
    /// the deployment does not say.
    pub votes_per_second: f64,
}
