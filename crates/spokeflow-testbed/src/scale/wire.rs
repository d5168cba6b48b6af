//! Decodes the leading fields of a frame on a link to a control-plane node, as far as the tap needs them. The list of a
//! grant is not decoded, as it may have thousands of hosts. Postcard writes a variant as its number followed by its
//! fields, so that the leading fields of a message can be read as a tuple; `tests/scale_wire.rs` checks this against
//! the messages.

use serde::Deserialize;
use spokeflow_coordination::{LeaseRequest, RevisionRef, VoterAddresses};

/// Numbers of variants, in the order of `spokeflow_coordination::wire` and `spokeflow_raft::Message`.
const TO_NODE_RAFT: u32 = 1;
const TO_NODE_REQUEST: u32 = 2;
const REQUEST_LEASE: u32 = 0;
const MESSAGE_APPEND: u32 = 3;
const MESSAGE_INSTALL: u32 = 5;
const FROM_NODE_RESPONSE: u32 = 2;
const RESPONSE_GRANTED: u32 = 0;

/// Leading fields of a message from a caller to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToNodeHead {
    /// A router's request for a lease, which names the revision that it has in force.
    Lease {
        /// Number of the request.
        number: u64,
        /// Number of the revision.
        in_force: u64,
    },
    /// A message that only the leader of a term sends.
    Leads {
        /// The term.
        term: u64,
    },
    /// Any other message.
    Other,
}

/// Leading fields of a message from a node to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FromNodeHead {
    /// A grant of a lease, with the revision in force.
    Granted {
        /// Number of the request.
        number: u64,
        /// Number of the revision.
        in_force: u64,
        /// Whether the grant contains an update of the host list.
        with_list: bool,
    },
    /// Any other message.
    Other,
}

fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<(T, &'a [u8])> {
    postcard::take_from_bytes(bytes).ok()
}

/// Decodes the leading fields of a frame's body that a caller sent after its hello.
pub fn to_node_head(body: &[u8]) -> ToNodeHead {
    read_to_node_head(body).unwrap_or(ToNodeHead::Other)
}

fn read_to_node_head(body: &[u8]) -> Option<ToNodeHead> {
    let (kind, rest) = take::<u32>(body)?;
    if kind == TO_NODE_RAFT {
        let ((message, term), _) = take::<(u32, u64)>(rest)?;
        let leads = [MESSAGE_APPEND, MESSAGE_INSTALL].contains(&message);
        return leads.then_some(ToNodeHead::Leads { term });
    }
    if kind != TO_NODE_REQUEST {
        return None;
    }
    let ((number, request), rest) = take::<(u64, u32)>(rest)?;
    if request != REQUEST_LEASE {
        return None;
    }
    let (lease_request, _) = take::<LeaseRequest>(rest)?;
    Some(ToNodeHead::Lease {
        number,
        in_force: lease_request.known_revisions.in_force.0,
    })
}

/// Decodes the leading fields of a frame's body that a node sent.
pub fn from_node_head(body: &[u8]) -> FromNodeHead {
    read_from_node_head(body).unwrap_or(FromNodeHead::Other)
}

fn read_from_node_head(body: &[u8]) -> Option<FromNodeHead> {
    let (kind, rest) = take::<u32>(body)?;
    if kind != FROM_NODE_RESPONSE {
        return None;
    }
    let ((number, response), rest) = take::<(u64, u32)>(rest)?;
    if response != RESPONSE_GRANTED {
        return None;
    }
    type Head = (
        RevisionRef,
        Option<RevisionRef>,
        Option<VoterAddresses>,
        bool,
    );
    let ((in_force, _, _, with_list), _) = take::<Head>(rest)?;
    Some(FromNodeHead::Granted {
        number,
        in_force: in_force.number.0,
        with_list,
    })
}
