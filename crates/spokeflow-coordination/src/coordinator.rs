//! A control-plane node as a state machine without I/O: its state, and the dispatch of messages, timers and write
//! confirmations.

mod addresses;
mod applying;
mod forwarding;
mod leadership;
mod list_updates;
mod requests;

use std::collections::{BTreeMap, VecDeque};

use spokeflow_core::Micros;
use spokeflow_raft::{
    LogIndex, Message, NodeId, Output, PersistRequest, PersistentState, RaftConfig, RaftNode, Term,
};

use crate::wire::{Response, ToNode};
use crate::{
    ConfigState, LeaseConfig, Overrides, OverridesError, Rejection, RevisionNumber, SnapshotError,
    SourceUpdate, VoterAddresses,
};
use leadership::Leadership;
use list_updates::AppliedHost;
use requests::WaitingRequest;

/// Settings of a control-plane node.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// The node's own id.
    pub id: NodeId,
    /// Settings of the Raft node.
    pub raft: RaftConfig,
    /// Duration of the routers' leases.
    pub lease: LeaseConfig,
    /// Addresses of nodes from the command line flags; addresses of other nodes are in the replicated state.
    pub addresses: BTreeMap<NodeId, String>,
    /// Checks whether routers could apply these values.
    pub check: fn(&Overrides) -> Result<(), OverridesError>,
}

/// The connection and number of a request, which its response is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The connection that the request came on.
    pub connection: u64,
    /// Number of the request, assigned by the caller.
    pub number: u64,
    /// Whether another node has forwarded the request. It must then not be forwarded again.
    pub forwarded: bool,
}

/// The effects of one call to a [`Coordinator`], which the caller has to carry out.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to other nodes.
    pub messages: Vec<NodeMessage>,
    /// Responses to requests.
    pub responses: Vec<ClientResponse>,
    /// Writes to sync, in order. The caller confirms each with [`Coordinator::on_persisted`].
    pub persist_requests: Vec<PersistRequest>,
    /// Whether the replicated configuration may have changed.
    pub config_changed: bool,
    /// A snapshot that could not be decoded. The node's state no longer matches the log: the process must end before it
    /// carries out any of these effects.
    pub fatal: Option<SnapshotError>,
    /// Why an update of the endpoint list was rejected, for the log. The caller must read the list from its source
    /// again.
    pub rejection: Option<Rejection>,
}

impl Effects {
    fn respond(&mut self, origin: RequestOrigin, response: Response) {
        self.responses.push(ClientResponse {
            connection: origin.connection,
            number: origin.number,
            response,
        });
    }
}

/// A message and the node to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeMessage {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: ToNode,
}

/// A response and the request that it answers.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientResponse {
    /// The connection of the request.
    pub connection: u64,
    /// Number of the request, assigned by the caller.
    pub number: u64,
    /// The response.
    pub response: Response,
}

/// A control-plane node: its Raft node, the replicated configuration, the leases that it grants while it is the leader,
/// and the requests that wait for a response.
///
/// Times are microseconds of the node's own clock, which must never go back from one call to the next.
#[derive(Clone, Debug)]
pub struct Coordinator {
    settings: CoordinatorConfig,
    raft: RaftNode,
    config: ConfigState,
    last_applied: LogIndex,
    /// Set once the node holds its leader lease; `None` again once it is no longer the leader.
    leadership: Option<Leadership>,
    /// Addresses of the voters, as sent to routers.
    voter_addresses: VoterAddresses,
    /// Addresses that other nodes have reported; used for nodes that neither the flags nor the replicated state have.
    learned_addresses: BTreeMap<NodeId, String>,
    /// The activation that this node proposed last.
    activation: Option<Activation>,
    /// By token of the proposal, the requests that wait until it is committed.
    pending_proposals: BTreeMap<u64, Vec<WaitingRequest>>,
    /// By the number that this node assigned, the requests that it forwarded to the leader.
    forwarded: BTreeMap<u64, WaitingRequest>,
    last_forward: u64,
    /// By host, when its present incarnation was applied. The time since is added to the host's uptime. A node that has
    /// just started underestimates that time, so that such a host is taken to have started later than it did.
    applied_hosts: BTreeMap<u32, AppliedHost>,
    /// A complete list that was rejected because too many hosts were missing. It is accepted if a second reading
    /// confirms it.
    rejected_update: Option<SourceUpdate>,
    /// Why the last update of the list was rejected; `None` if it was not.
    rejection: Option<Rejection>,
    /// Whether an update of the list is in the log and not committed. The next one must be evaluated against its
    /// result.
    list_update_pending: bool,
    /// Updates that came while another one was not committed. Those that exceed the maximum are dropped, as the
    /// source is read again.
    queued_list_updates: VecDeque<SourceUpdate>,
    /// Seconds since 1970, set by the caller; only shown to operators.
    pub wall_clock_s: u64,
}

/// A revision that this node proposed to put in force, and the term of that proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Activation {
    term: Term,
    revision: RevisionNumber,
}

impl Coordinator {
    /// Creates a node that has just started from `saved`. `seed` seeds its random election timeouts.
    ///
    /// # Errors
    ///
    /// The snapshot in `saved` cannot be decoded.
    pub fn new(
        settings: CoordinatorConfig,
        seed: u64,
        saved: PersistentState,
        now: Micros,
    ) -> Result<Self, SnapshotError> {
        let last_applied = saved.snapshot.last_included_index;
        let config = if last_applied == LogIndex(0) {
            ConfigState::default()
        } else {
            ConfigState::decode(&saved.snapshot.state)?
        };
        let raft = RaftNode::new(settings.id, settings.raft.clone(), seed, saved, now);
        Ok(Coordinator {
            settings,
            raft,
            config,
            last_applied,
            leadership: None,
            voter_addresses: VoterAddresses::default(),
            learned_addresses: BTreeMap::new(),
            activation: None,
            pending_proposals: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            last_forward: 0,
            applied_hosts: BTreeMap::new(),
            rejected_update: None,
            rejection: None,
            list_update_pending: false,
            queued_list_updates: VecDeque::new(),
            wall_clock_s: 0,
        })
    }

    /// Returns the replicated configuration as far as this node has applied it.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns the Raft node.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Returns the index of the last entry that this node has applied.
    pub fn last_applied(&self) -> LogIndex {
        self.last_applied
    }

    /// Returns when [`Coordinator::on_timer`] has to be called next.
    pub fn next_wake(&self, now: Micros) -> Micros {
        let lease_check = self
            .leadership
            .as_ref()
            .and_then(|leadership| leadership.granter.next_check(now));
        let request_timeout = self
            .pending_proposals
            .values()
            .flatten()
            .chain(self.forwarded.values())
            .map(|waiting| waiting.times_out_at)
            .min();
        self.raft
            .next_wake()
            .min(lease_check.unwrap_or(Micros::MAX))
            .min(request_timeout.unwrap_or(Micros::MAX))
    }

    /// Handles the timers that are due by `now`.
    pub fn on_timer(&mut self, now: Micros, effects: &mut Effects) {
        let mut out = Output::default();
        self.raft.on_timer(now, &mut out);
        self.time_out_forwarded(now, effects);
        self.time_out_proposals(now, effects);
        self.apply_output(now, out, effects);
    }

    /// Handles a Raft message from another node.
    pub fn on_message(
        &mut self,
        now: Micros,
        from: NodeId,
        message: Message,
        effects: &mut Effects,
    ) {
        let mut out = Output::default();
        self.raft.on_message(now, from, message, &mut out);
        self.apply_output(now, out, effects);
    }

    /// Handles the confirmation that all writes up to `sequence` are durable on disk.
    pub fn on_persisted(&mut self, now: Micros, sequence: u64, effects: &mut Effects) {
        let mut out = Output::default();
        self.raft.on_persisted(now, sequence, &mut out);
        self.apply_output(now, out, effects);
    }
}
