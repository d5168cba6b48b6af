//! Outbound traffic of a node: messages to other nodes and responses to its callers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use spokeflow_coordination::wire::{Caller, FromNode, ToNode};
use spokeflow_raft::NodeId;
use spokeflow_runtime::Backoff;
use tokio::sync::{mpsc, watch};

use crate::node_event::NodeEvent;
use crate::peers::{PeerLink, MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY};

/// Maximum number of messages queued for one other node; further ones are dropped, since Raft allows any message to be
/// lost.
const PEER_QUEUE: usize = 256;

/// The queue of the link to one other node.
struct PeerQueue {
    address: SocketAddr,
    messages: mpsc::Sender<ToNode>,
}

/// The links that this node opens to other nodes, and the connections of its callers.
pub(crate) struct Outbound {
    caller: Caller,
    seed: u64,
    events: mpsc::Sender<NodeEvent>,
    connections: HashMap<u64, mpsc::Sender<FromNode>>,
    peers: BTreeMap<NodeId, PeerQueue>,
    addresses: watch::Sender<Vec<(NodeId, String)>>,
}

impl Outbound {
    /// `caller` is sent in the opening message to other nodes; `events` takes what the links receive.
    pub(crate) fn new(caller: Caller, seed: u64, events: mpsc::Sender<NodeEvent>) -> Self {
        Outbound {
            caller,
            seed,
            events,
            connections: HashMap::new(),
            peers: BTreeMap::new(),
            addresses: watch::Sender::new(Vec::new()),
        }
    }

    pub(crate) fn add_connection(&mut self, connection: u64, responses: mpsc::Sender<FromNode>) {
        self.connections.insert(connection, responses);
    }

    pub(crate) fn remove_connection(&mut self, connection: u64) {
        self.connections.remove(&connection);
    }

    /// Queues a response. If the queue is full, since the caller does not read its responses, the queue is dropped: the
    /// task of the connection then closes it.
    pub(crate) fn respond(&mut self, connection: u64, response: FromNode) {
        let has_failed = self
            .connections
            .get(&connection)
            .is_some_and(|responses| responses.try_send(response).is_err());
        if has_failed {
            self.connections.remove(&connection);
        }
    }

    /// Sets the node addresses that are sent in the opening message from the next connection on.
    pub(crate) fn set_known_addresses(&self, known: Vec<(NodeId, String)>) {
        self.addresses.send_if_modified(|addresses| {
            let changed = *addresses != known;
            *addresses = known;
            changed
        });
    }

    /// Queues a message. It is dropped if the queue is full: the other node does not read, or cannot be reached.
    pub(crate) fn send(&mut self, id: NodeId, address: SocketAddr, message: ToNode) {
        let _ = self.open_link(id, address).try_send(message);
    }

    /// Opens the link to a node at this address if there is none, and returns its queue.
    pub(crate) fn open_link(&mut self, id: NodeId, address: SocketAddr) -> &mpsc::Sender<ToNode> {
        let is_open = self
            .peers
            .get(&id)
            .is_some_and(|peer| peer.address == address && !peer.messages.is_closed());
        if !is_open {
            let messages = self.spawn_link(id, address);
            self.peers.insert(id, PeerQueue { address, messages });
        }
        &self.peers[&id].messages
    }

    fn spawn_link(&self, id: NodeId, address: SocketAddr) -> mpsc::Sender<ToNode> {
        let (messages, queue) = mpsc::channel(PEER_QUEUE);
        let link = PeerLink {
            id,
            address,
            caller: self.caller.clone(),
            addresses: self.addresses.subscribe(),
            backoff: Backoff::new(
                self.seed,
                u64::from(id.0),
                MIN_RECONNECT_DELAY,
                MAX_RECONNECT_DELAY,
            ),
            events: self.events.clone(),
            queue,
        };
        tokio::spawn(link.run());
        messages
    }
}
