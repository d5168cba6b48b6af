//! The messages that connection tasks and the disk's thread send to the task that owns the keeper.

use spokeflow_coordination::wire::{Request, Response};
use spokeflow_coordination::SourceUpdate;
use spokeflow_raft::{Message, NodeId};
use tokio::sync::{mpsc, oneshot};

/// What reaches the task that owns the keeper.
pub enum NodeEvent {
    /// A caller is admitted; its answers, with the numbers of its requests, go to the sender.
    Came(u64, mpsc::Sender<(u64, Response)>),
    /// The connection of a caller is closed.
    Left(u64),
    /// A request of a caller. `keeper`: another keeper passes it on.
    Asked {
        conn: u64,
        number: u64,
        keeper: bool,
        ask: Request,
    },
    /// A message between keepers.
    Heard(NodeId, Message),
    /// Another keeper has answered the request that was passed on to it under this number.
    PassedBack(u64, Response),
    /// A keeper calls; answered `Err` where its disk is older than one that was met.
    Met {
        id: NodeId,
        start: u64,
        processes: Vec<u64>,
        addresses: Vec<(NodeId, String)>,
        answer: oneshot::Sender<Result<(), String>>,
    },
    /// Another keeper says that this one's disk is old.
    OldDisk(String),
    /// All writes up to this number are on the disk, and all starts that were to be kept by then.
    Synced(u64),
    /// The disk fails, as the text says.
    DiskFails(String),
    /// From the host list.
    List(SourceUpdate),
}
