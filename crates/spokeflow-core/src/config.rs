//! The configuration of a service and its operations.

use crate::{Micros, ZoneId};

/// Whether a command may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Yes, any number of times.
    Idempotent,
    /// Hosts recognize a repeat by its idempotency key and drop it, within
    /// [`OperationConfig::deduplication_window`].
    Deduplicated,
    /// No.
    AtMostOnce,
}

/// Which hosts drop the repeat of a deduplicated command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    All,
    /// Hosts in the zone of the host that first received the command.
    Zone,
    /// Hosts in the cell of the host that first received the command.
    Cell,
    /// Not configured: only the host that first received the command is assumed to drop it.
    Unknown,
}

/// The configuration of one operation of a service. Callers set all fields; those that the decision
/// module does not read at present say so.
#[derive(Clone, Debug)]
pub struct OperationConfig {
    /// Whether commands of this operation may be executed twice.
    pub repeat: Repeat,
    /// Which hosts drop a repeated command.
    pub deduplication_scope: DeduplicationScope,
    /// How long hosts remember a command to drop its repeat.
    pub deduplication_window: Micros,
    /// The latency objective of the service.
    pub latency_objective: Micros,
    /// How long a client waits for the answer.
    pub command_timeout: Micros,
    /// Importance of one command relative to those of other operations. Not read at present.
    pub priority_weight: f64,
    /// Whether responses arrive in parts. Not read at present.
    pub streaming: bool,
}

/// Whose votes decide whether a build goes on to its next stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    /// The vote of one router is enough.
    #[default]
    Single,
    /// A share of all routers must vote for it; the release controller sets the share and counts
    /// the votes.
    Majority,
    /// Stages advance after a fixed time unless routers vote against it.
    Clocked,
}

/// The guarantees and limits of a deployment that a router decides by. Callers set all fields;
/// those that the decision module does not read at present say so.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// The operations; [`crate::OpType`] is the index into them.
    pub ops: Vec<OperationConfig>,
    /// Commands per second that each tenant may send, over all routers; above 0.
    pub tenant_quotas: Vec<f64>,
    /// The zone of this router. Not read at present.
    pub own_zone: ZoneId,
    /// The index of this router among the routers of the service.
    pub own_index: u32,
    /// Number of routers of the service.
    pub fleet_size: u32,
    /// Resolution of the deployment's times. Not read at present.
    pub tick: Micros,
    /// Whether the host list is sent only to subscribers.
    pub list_requires_subscription: bool,
    /// Longest time until a change of the hosts appears in the host list. Not read at present.
    pub list_refresh_within: Micros,
    /// Maximum number of deliveries of one command.
    pub delivery_cap: u32,
    /// Whether two deliveries of a command may be open at the same time.
    pub may_hedge: bool,
    /// Whether deliveries may be cancelled.
    pub may_cancel: bool,
    /// Whether the router may send health probes to hosts. Not read at present.
    pub may_probe: bool,
    /// Whether routers may send each other messages. Not read at present.
    pub may_gossip: bool,
    /// Whether a nack may say after which time to retry.
    pub may_name_retry_after: bool,
    /// The longest retry time that a nack may carry.
    pub longest_retry_after: Micros,
    /// How long after a host is listed as draining or gone a frame may still leave for it. Not read
    /// at present: the router sends no new delivery to such a host at any time, and the transport
    /// applies the limit to those that wait in its queues.
    pub drain_grace: Micros,
    /// Fraction of its full capacity that a host has when it starts; above 0, at most 1.
    pub slow_start_from: f64,
    /// Time in which a started host grows to full capacity.
    pub warm_up_time: Micros,
    /// Traffic that overloads a cold host, as a multiple of the host's capacity at its age. The
    /// router takes a warm host's mean ack rate for its full capacity.
    pub overload_multiple: f64,
    /// Time over which the traffic of a cold host is counted.
    pub overload_window: Micros,
    /// Whose votes promote a build.
    pub gate: Gate,
    /// Exposure cap of each stage: the fraction of the commands that the canary build may receive.
    pub stage_caps: Vec<f64>,
    /// Fraction of the hosts that run the canary build, by stage.
    pub stage_shares: Vec<f64>,
    /// Deliveries to the canary build that are allowed in addition to the cap in each exposure
    /// window.
    pub exposure_allowance: f64,
    /// Time over which exposure is counted.
    pub exposure_window: Micros,
    /// Whether the exposure cap applies to each operation separately.
    pub exposure_by_op: bool,
    /// Number of first stages in which only idempotent operations go to the canary build.
    pub guarded_stages: u8,
    /// Whether a key that a build has answered must never go to an earlier build.
    pub forward_only: bool,
    /// Whether hosts are replaced in place; otherwise the canary build's hosts run beside the
    /// earlier ones.
    pub rolling: bool,
    /// Minimum time in a stage.
    pub stage_bake: Micros,
    /// How long a vote remains valid.
    pub vote_lifetime: Micros,
    /// Longest time until the release controller answers a vote.
    pub vote_timeout: Micros,
    /// Fraction of the wrong answers that clients report.
    pub complaint_share: f64,
    /// Number of routers whose votes roll a build back; 0 if not configured.
    pub rollback_votes: u32,
    /// Votes per second that the release controller accepts from all routers together; infinite if
    /// not configured.
    pub votes_per_second: f64,
}
