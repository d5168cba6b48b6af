//! A control-plane node as a state machine, without I/O: its state, and the dispatch of messages, timers and confirmed
//! writes.

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
    /// Settings of consensus.
    pub raft: RaftConfig,
    /// Duration of routers' leases.
    pub lease: LeaseConfig,
    /// Addresses of nodes by the flags; the replicated state has the others.
    pub addresses: BTreeMap<NodeId, String>,
    /// Checks whether routers could take these values.
    pub check: fn(&Overrides) -> Result<(), OverridesError>,
}

/// Whom a response is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The connection.
    pub connection: u64,
    /// The caller's number of the request.
    pub number: u64,
    /// Whether another node has forwarded it: it is then not forwarded again.
    pub forwarded: bool,
}

/// What one call asks for.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to other nodes.
    pub messages: Vec<NodeMessage>,
    /// Responses to requests.
    pub responses: Vec<ClientResponse>,
    /// Writes to sync, in order; each is confirmed by [`Coordinator::on_persisted`].
    pub persist_requests: Vec<PersistRequest>,
    /// Whether the replicated state has changed.
    pub config_changed: bool,
    /// The node's state is not what the log says: it must end before anything of these effects leaves.
    pub fatal: Option<SnapshotError>,
    /// Why an update of the list's source was rejected, for the log; it is to be read once more.
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

/// A message and the node that is to get it.
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
    /// The caller's number of the request.
    pub number: u64,
    /// The response.
    pub response: Response,
}

/// A control-plane node: its part of the replicated log, the state that the log makes, the leases that it grants while it
/// leads, and the requests that wait for a response.
///
/// Times are microseconds of the node's own clock, which never goes back from one call to the next.
#[derive(Clone, Debug)]
pub struct Coordinator {
    settings: CoordinatorConfig,
    raft: RaftNode,
    config: ConfigState,
    last_applied: LogIndex,
    /// `None` where the node has granted nothing since it last followed another leader.
    leadership: Option<Leadership>,
    /// What routers are told of the voters.
    voter_addresses: VoterAddresses,
    /// Addresses that other nodes have named, for want of better knowledge.
    learned_addresses: BTreeMap<NodeId, String>,
    /// The command of the log to put a revision in force that was proposed last.
    activation: Option<Activation>,
    /// By token, the requests that wait for a proposal in the log to be committed.
    pending_proposals: BTreeMap<u64, Vec<WaitingRequest>>,
    /// By the node's own number, requests that were forwarded to the leader.
    forwarded: BTreeMap<u64, WaitingRequest>,
    last_forward: u64,
    /// By host. What has passed since is added to the host's uptime. A node that has just started knows less than the
    /// true time, and such a host is taken to have started later.
    applied_hosts: BTreeMap<u32, AppliedHost>,
    /// A complete list that lacked too much, to be accepted where it is read again.
    rejected_update: Option<SourceUpdate>,
    rejection: Option<Rejection>,
    /// Whether an update of the list is in the log and not committed: the next is evaluated against it.
    list_update_pending: bool,
    /// Updates that came meanwhile; what finds no room is read again.
    queued_list_updates: VecDeque<SourceUpdate>,
    /// Seconds since 1970, for operators.
    pub wall_clock_s: u64,
}

/// A revision that was to be put in force, and the term in which that was proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Activation {
    term: Term,
    revision: RevisionNumber,
}

impl Coordinator {
    /// A node that has just started from `saved`. `seed` is that of its random election timeouts.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be read.
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

    /// The replicated configuration, as far as it is applied here.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// The node's part of the replicated log.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Index of the last entry that is applied here.
    pub fn last_applied(&self) -> LogIndex {
        self.last_applied
    }

    /// When [`Coordinator::on_timer`] is due.
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

    /// Does what is due by `now`.
    pub fn on_timer(&mut self, now: Micros, effects: &mut Effects) {
        let mut out = Output::default();
        self.raft.on_timer(now, &mut out);
        self.time_out_forwarded(now, effects);
        self.time_out_proposals(now, effects);
        self.apply_output(now, out, effects);
    }

    /// Handles a message of consensus from another node.
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

    /// Notes that all writes up to `sequence` are on disk and stay there.
    pub fn on_persisted(&mut self, now: Micros, sequence: u64, effects: &mut Effects) {
        let mut out = Output::default();
        self.raft.on_persisted(now, sequence, &mut out);
        self.apply_output(now, out, effects);
    }
}
