//! The commands in the log that change the replicated configuration. The order of variants and fields is their
//! encoding.

use serde::{Deserialize, Serialize};
use spokeflow_raft::NodeId;

use crate::{Proposal, RevisionNumber, SourceUpdate};

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogCommand {
    /// Makes a proposal the pending revision, where that can be.
    Propose(Proposal),
    /// By the leader, once no router can act on an earlier revision in a way that contradicts this one.
    PutInForce {
        /// The pending revision.
        revision: RevisionNumber,
        /// Seconds since 1970 by the leader's clock.
        at_s: u64,
    },
    /// What the source of the endpoint list said, as far as it differs from the list.
    UpdateList(SourceUpdate),
    /// The source of the endpoint list may begin again from any version.
    TrustList,
    /// Registers the address of a control-plane node, before it is added as a voter.
    SetAddress {
        /// The node.
        node: NodeId,
        /// Its address with a port.
        address: String,
    },
}

impl LogCommand {
    /// The encoded command.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a command. `None` where it is not one of this version; it then changes nothing.
    pub fn decode(bytes: &[u8]) -> Option<LogCommand> {
        postcard::from_bytes(bytes).ok()
    }
}
