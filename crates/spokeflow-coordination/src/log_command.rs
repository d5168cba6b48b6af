//! Log commands, which change the replicated configuration. The binary encoding depends on the order of variants and
//! fields, which must not change.

use serde::{Deserialize, Serialize};
use spokeflow_raft::NodeId;

use crate::{Proposal, RevisionNumber, SourceUpdate};

/// A command in the log that changes the replicated configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogCommand {
    /// Makes a proposal the pending revision, if it is based on the newest revision and none is pending.
    Propose(Proposal),
    /// Puts the pending revision in force. Proposed by the leader once no router can act on an earlier revision in a
    /// way that contradicts this one.
    PutInForce {
        /// The pending revision.
        revision: RevisionNumber,
        /// Seconds since 1970 by the leader's clock.
        at_s: u64,
    },
    /// The part of an update from the source of the endpoint list that differs from the list.
    UpdateList(SourceUpdate),
    /// Accepts any version as the next one from the source of the endpoint list.
    TrustList,
    /// Registers the address of a control-plane node, before it is added as a voter.
    SetAddress {
        /// The node.
        node: NodeId,
        /// Address of the node, with a port.
        address: String,
    },
}

impl LogCommand {
    /// Encodes the command.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a command. Returns `None` if this version does not know the command, which then has no effect.
    pub fn decode(bytes: &[u8]) -> Option<LogCommand> {
        postcard::from_bytes(bytes).ok()
    }
}
