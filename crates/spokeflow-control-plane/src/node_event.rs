//! The events that connection tasks and the persistence thread send to the task that owns the coordinator.

use spokeflow_coordination::wire::{FromNode, Request, Response};
use spokeflow_coordination::SourceUpdate;
use spokeflow_raft::{Message, NodeId};
use tokio::sync::{mpsc, oneshot};

use crate::admission::StaleStoreError;
use crate::StoreError;

/// An event for the node task.
pub(crate) enum NodeEvent {
    /// A caller was admitted; `responses` takes the responses to it.
    Connected {
        connection: u64,
        responses: mpsc::Sender<FromNode>,
    },
    /// The connection of a caller was closed.
    Disconnected { connection: u64 },
    /// A request of a caller; `forwarded` if the caller is another node that passes it on.
    Request {
        connection: u64,
        number: u64,
        forwarded: bool,
        request: Request,
    },
    /// A message between nodes.
    PeerMessage { from: NodeId, message: Message },
    /// Another node has answered the request that was forwarded to it under this number.
    ForwardResponse { number: u64, response: Response },
    /// Another node has connected and waits for admission.
    PeerHello(PeerHello),
    /// Another node has refused this one because its store is an older copy; carries the reason given.
    StaleStore(String),
    /// All writes up to this sequence number are on the disk, and so are all starts that were recorded by then.
    Persisted { sequence: u64 },
    /// A write to the store failed.
    PersistFailed(StoreError),
    /// The source of the host list has sent an update.
    HostList(SourceUpdate),
}

/// The opening message of another node.
pub(crate) struct PeerHello {
    pub(crate) id: NodeId,
    /// Number of starts that its store has counted.
    pub(crate) start: u64,
    /// Random numbers of its latest processes, the current one last.
    pub(crate) processes: Vec<u64>,
    /// The addresses of nodes that it knows.
    pub(crate) addresses: Vec<(NodeId, String)>,
    /// Receives the decision; an admission only once the start is on the disk.
    pub(crate) admission: oneshot::Sender<Result<(), StaleStoreError>>,
}
