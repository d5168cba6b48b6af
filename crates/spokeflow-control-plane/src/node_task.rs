//! The task that owns the coordinator: takes events one after the other and carries out their effects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use spokeflow_coordination::wire::FromNode;
use spokeflow_coordination::{ClientResponse, Coordinator, Effects, NodeMessage, RequestOrigin};
use spokeflow_raft::NodeId;
use spokeflow_runtime::{shutdown_signal, Clock};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;
use tracing::{info, warn};

use crate::admission::PeerStarts;
use crate::crash_point::{CrashInjector, CrashPoint};
use crate::error::NodeError;
use crate::node_event::{NodeEvent, PeerHello};
use crate::outbound::Outbound;
use crate::persistence::Persistence;

/// Maximum number of events that are handled before the timer is checked again.
const EVENTS_PER_BATCH: usize = 256;

/// The coordinator and the parts that carry out its effects.
pub(crate) struct NodeTask {
    pub(crate) clock: Arc<Clock>,
    pub(crate) coordinator: Coordinator,
    pub(crate) event_queue: mpsc::Receiver<NodeEvent>,
    pub(crate) outbound: Outbound,
    pub(crate) peer_starts: PeerStarts,
    pub(crate) persistence: Persistence,
    pub(crate) crash_injector: Arc<CrashInjector>,
    /// Whether this node reads the source of the replicated list: true while it holds the leader lease.
    pub(crate) reads_list: watch::Sender<bool>,
    /// The state that was logged last; `None` before the first log line.
    pub(crate) logged: Option<LoggedState>,
}

/// The part of the Raft state that is logged when it changes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct LoggedState {
    term: u64,
    has_leader_lease: bool,
    leader: Option<NodeId>,
}

impl NodeTask {
    /// Runs until the process gets a shutdown signal.
    ///
    /// # Errors
    ///
    /// The store cannot be written or is an older copy, or the replicated state cannot be applied.
    pub(crate) async fn run(mut self) -> Result<(), NodeError> {
        self.connect_voters();
        let mut shutdown = std::pin::pin!(shutdown_signal());
        let mut batch = Vec::with_capacity(EVENTS_PER_BATCH);
        loop {
            let now = self.clock.now();
            let wake = self.clock.instant_at(self.coordinator.next_wake(now));
            tokio::select! {
                biased;
                _ = &mut shutdown => return Ok(()),
                _ = sleep_until(wake) => {}
                _ = self.event_queue.recv_many(&mut batch, EVENTS_PER_BATCH) => {}
            }
            for event in batch.drain(..) {
                self.on_event(event)?;
            }
            self.on_batch_end();
        }
    }

    fn on_event(&mut self, event: NodeEvent) -> Result<(), NodeError> {
        self.coordinator.wall_clock_s = seconds_since_epoch();
        let now = self.clock.now();
        let mut effects = Effects::default();
        match event {
            NodeEvent::Connected {
                connection,
                responses,
            } => self.outbound.add_connection(connection, responses),
            NodeEvent::Disconnected { connection } => self.outbound.remove_connection(connection),
            NodeEvent::Request {
                connection,
                number,
                forwarded,
                request,
            } => {
                let origin = RequestOrigin {
                    connection,
                    number,
                    forwarded,
                };
                self.coordinator
                    .on_request(now, origin, request, &mut effects);
            }
            NodeEvent::PeerMessage { from, message } => {
                self.coordinator
                    .on_message(now, from, message, &mut effects);
            }
            NodeEvent::ForwardResponse { number, response } => {
                self.coordinator
                    .on_forward_response(number, response, &mut effects);
            }
            NodeEvent::PeerHello(hello) => self.on_peer_hello(hello),
            NodeEvent::Persisted { sequence } => {
                self.coordinator.on_persisted(now, sequence, &mut effects);
            }
            NodeEvent::HostList(update) => {
                self.coordinator.on_source_update(now, update, &mut effects);
            }
            NodeEvent::StaleStore(text) => return Err(NodeError::StaleStore(text)),
            NodeEvent::PersistFailed(source) => {
                let file = self.persistence.file().to_path_buf();
                return Err(NodeError::Store { file, source });
            }
        }
        if let Some(cause) = effects.fatal {
            return Err(NodeError::ReplicatedState(cause.to_string()));
        }
        self.apply(effects);
        Ok(())
    }

    /// Runs the timer if it is due, logs a change of the Raft state, and starts or stops reading of the list source.
    fn on_batch_end(&mut self) {
        let now = self.clock.now();
        if now >= self.coordinator.next_wake(now) {
            let mut effects = Effects::default();
            self.coordinator.on_timer(now, &mut effects);
            self.apply(effects);
        }
        self.log_state_change();
        let has_leader_lease = self.coordinator.raft().has_leader_lease(now);
        self.reads_list.send_if_modified(|reads_list| {
            let changed = *reads_list != has_leader_lease;
            *reads_list = has_leader_lease;
            changed
        });
    }

    /// Admits a node that has connected, or refuses it if its store is an older copy.
    fn on_peer_hello(&mut self, hello: PeerHello) {
        self.coordinator.learn_addresses(&hello.addresses);
        match self.peer_starts.admit(&hello) {
            Ok(start) => self
                .persistence
                .record_start(hello.id, start, hello.admission),
            Err(error) => {
                warn!(%error, "peer refused");
                // The send fails if the peer has disconnected in the meantime.
                let _ = hello.admission.send(Err(error));
            }
        }
        self.connect_voters();
    }

    fn apply(&mut self, effects: Effects) {
        if let Some(rejection) = effects.rejection {
            warn!(?rejection, "host list update rejected");
        }
        if effects.config_changed {
            self.crash_injector.pass(CrashPoint::Applied);
            self.connect_voters();
        }
        if !effects.persist_requests.is_empty() {
            self.persistence.write(effects.persist_requests);
        }
        self.send_messages(effects.messages);
        self.send_responses(effects.responses);
    }

    fn send_messages(&mut self, messages: Vec<NodeMessage>) {
        if messages.is_empty() {
            return;
        }
        self.crash_injector.pass(CrashPoint::BeforeSending);
        let half = messages.len().div_ceil(2);
        for (sent, outgoing) in messages.into_iter().enumerate() {
            if sent == half {
                self.crash_injector.pass(CrashPoint::WithinSending);
            }
            if let Some(address) = self.address(outgoing.to) {
                self.outbound.send(outgoing.to, address, outgoing.message);
            }
        }
    }

    fn send_responses(&mut self, responses: Vec<ClientResponse>) {
        if responses.is_empty() {
            return;
        }
        self.crash_injector.pass(CrashPoint::BeforeAnswering);
        for client_response in responses {
            let response = FromNode::Response {
                number: client_response.number,
                response: client_response.response,
            };
            self.outbound.respond(client_response.connection, response);
        }
    }

    /// Opens links to all voters at once, not when there is something to send: if only a few voters had seen a start of
    /// this node, a later start with an older copy of its store could go unnoticed.
    fn connect_voters(&mut self) {
        self.outbound
            .set_known_addresses(self.coordinator.addresses());
        let raft = self.coordinator.raft();
        let own = raft.id();
        let others: Vec<NodeId> = raft
            .voters()
            .iter()
            .copied()
            .filter(|voter| *voter != own)
            .collect();
        for id in others {
            if let Some(address) = self.address(id) {
                self.outbound.open_link(id, address);
            }
        }
    }

    /// Returns the address on which a node listens, or `None` if this node does not know it.
    fn address(&self, id: NodeId) -> Option<SocketAddr> {
        self.coordinator.address(id)?.parse().ok()
    }

    fn log_state_change(&mut self) {
        let raft = self.coordinator.raft();
        let state = LoggedState {
            term: raft.term().0,
            has_leader_lease: raft.has_leader_lease(self.clock.now()),
            leader: raft.leader(),
        };
        if self.logged.replace(state) != Some(state) {
            info!(
                term = state.term,
                has_leader_lease = state.has_leader_lease,
                leader = state.leader.map(|leader| leader.0),
                applied = self.coordinator.last_applied().0,
                "raft state changed"
            );
        }
    }
}

fn seconds_since_epoch() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
