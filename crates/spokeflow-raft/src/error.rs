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

/// Why a change of the voters was not appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The node may not act as leader, or has not committed an entry of its own term yet.
    #[error("this node may not act as leader, or has committed nothing in its term")]
    NotReady,
    /// An earlier change is not committed yet.
    #[error("another change of the voters is not committed yet")]
    ChangeInProgress,
    /// The voters do not differ from the present ones by one node, or there are none.
    #[error("the voters do not differ by one node")]
    NotOneNode,
}
