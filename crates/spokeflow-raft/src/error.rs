//! Why a node refuses a proposal.

use crate::NodeId;

/// Why a command was not appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The node may not act as leader.
    #[error("this node may not act as leader")]
    NotLeader {
        /// The leader, where the node knows another one.
        leader: Option<NodeId>,
    },
    /// As many writes wait for the disk as may.
    #[error("too many writes wait for the disk")]
    WriteQueueFull,
}
