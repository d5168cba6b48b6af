//! Reads the beginning of a frame on a link to a keeper, as far as the tap needs it. A grant may carry a list of thousands
//! of hosts: it is not decoded. Postcard writes a variant as its number and fields one after the other, so that
//! the leading fields of a message are read as a tuple; `tests/scale_wire.rs` holds this against the messages.

use serde::Deserialize;
use spokeflow_coordination::{LeaseRequest, RevisionRef, VoterAddresses};

/// Numbers of variants, in the order of `spokeflow_coordination::wire` and `spokeflow_raft::Message`.
const TO_KEEPER_QUORUM: u32 = 1;
const TO_KEEPER_ASK: u32 = 2;
const ASK_LEASE: u32 = 0;
const MESSAGE_APPEND: u32 = 3;
const MESSAGE_INSTALL: u32 = 5;
const FROM_KEEPER_ANSWER: u32 = 2;
const ANSWER_GRANTED: u32 = 0;

/// What a caller sends to a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToKeeperHead {
    /// A router asks for a lease and names the revision that it has in force.
    Lease {
        number: u64,
        in_force: u64,
    },
    /// Only the leader of a term sends this.
    Leads {
        term: u64,
    },
    Other,
}

/// What a keeper sends to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FromKeeperHead {
    /// A lease, the revision in force, and whether a part of the host list comes with it.
    Granted {
        number: u64,
        in_force: u64,
        with_list: bool,
    },
    Other,
}

fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<(T, &'a [u8])> {
    postcard::take_from_bytes(bytes).ok()
}

/// Reads a frame's body that a caller sent, after its opening message.
pub fn to_keeper(body: &[u8]) -> ToKeeperHead {
    read_to_keeper(body).unwrap_or(ToKeeperHead::Other)
}

fn read_to_keeper(body: &[u8]) -> Option<ToKeeperHead> {
    let (kind, rest) = take::<u32>(body)?;
    if kind == TO_KEEPER_QUORUM {
        let ((message, term), _) = take::<(u32, u64)>(rest)?;
        let leads = [MESSAGE_APPEND, MESSAGE_INSTALL].contains(&message);
        return leads.then_some(ToKeeperHead::Leads { term });
    }
    if kind != TO_KEEPER_ASK {
        return None;
    }
    let ((number, ask), rest) = take::<(u64, u32)>(rest)?;
    if ask != ASK_LEASE {
        return None;
    }
    let (asked, _) = take::<LeaseRequest>(rest)?;
    Some(ToKeeperHead::Lease {
        number,
        in_force: asked.known_revisions.in_force.0,
    })
}

/// Reads a frame's body that a keeper sent.
pub fn from_keeper(body: &[u8]) -> FromKeeperHead {
    read_from_keeper(body).unwrap_or(FromKeeperHead::Other)
}

fn read_from_keeper(body: &[u8]) -> Option<FromKeeperHead> {
    let (kind, rest) = take::<u32>(body)?;
    if kind != FROM_KEEPER_ANSWER {
        return None;
    }
    let ((number, answer), rest) = take::<(u64, u32)>(rest)?;
    if answer != ANSWER_GRANTED {
        return None;
    }
    type Head = (
        RevisionRef,
        Option<RevisionRef>,
        Option<VoterAddresses>,
        bool,
    );
    let ((in_force, _, _, with_list), _) = take::<Head>(rest)?;
    Some(FromKeeperHead::Granted {
        number,
        in_force: in_force.number.0,
        with_list,
    })
}
