//! Errors of proposals.

use crate::NodeId;

/// Why a command was not appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The node may not act as leader.
    #[error("command not proposed: this node may not act as leader")]
    NotLeader {
        /// The leader, if the node knows another node to be it.
        leader: Option<NodeId>,
    },
    /// The number of unsynced writes has reached the maximum.
    #[error("command not proposed: too many writes wait for this node's disk")]
    WriteQueueFull,
}

/// Why a change of voters was not appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The node may not act as leader, or has not committed an entry of its own term yet.
    #[error("voters not changed: this node may not act as leader, or has not committed an entry of its term yet")]
    NotReady,
    /// An earlier change of voters is not committed yet.
    #[error("voters not changed: an earlier change is not committed yet")]
    ChangeInProgress,
    /// The proposed voters do not differ from the current ones by exactly one node, or there are none.
    #[error(
        "voters not changed: one voter has to be added or removed at a time, and one must remain"
    )]
    NotOneNode,
}
