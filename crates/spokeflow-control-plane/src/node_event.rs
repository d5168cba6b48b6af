//! The events that connection tasks and the persistence thread send to the task that owns the coordinator.

use spokeflow_coordination::wire::{FromNode, Request, Response};
use spokeflow_coordination::SourceUpdate;
use spokeflow_raft::{Message, NodeId};
use tokio::sync::{mpsc, oneshot};

use crate::admission::StaleStoreError;
use crate::StoreError;

/// What reaches the node task.
pub(crate) enum NodeEvent {
    /// A caller was admitted; its responses go to the sender.
    Connected {
        connection: u64,
        responses: mpsc::Sender<FromNode>,
    },
    /// The connection of a caller was closed.
    Disconnected { connection: u64 },
    /// A request of a caller; `forwarded` where another node passes it on.
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
    /// Another node connects and is to be admitted.
    PeerHello(PeerHello),
    /// Another node has refused this one, whose store is an older copy.
    StaleStore(String),
    /// All writes up to this sequence number are on the disk, and so are all starts that were recorded by then.
    Persisted { sequence: u64 },
    /// The store could not be written.
    PersistFailed(StoreError),
    /// The source of the host list has an update.
    HostList(SourceUpdate),
}

/// How another node introduces itself.
pub(crate) struct PeerHello {
    pub(crate) id: NodeId,
    /// Starts that its store has counted.
    pub(crate) start: u64,
    /// Numbers of its latest processes, the present one last.
    pub(crate) processes: Vec<u64>,
    /// Where it knows nodes to be.
    pub(crate) addresses: Vec<(NodeId, String)>,
    /// Gets whether the node is admitted, once its start is on the disk.
    pub(crate) admission: oneshot::Sender<Result<(), StaleStoreError>>,
}
