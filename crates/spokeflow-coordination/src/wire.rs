//! What crosses the sockets of keepers, in the frames of `spokeflow-proto`. The order of variants and fields is the
//! wire form.

use serde::{Deserialize, Serialize};
use spokeflow_raft::{LogIndex, Message, NodeId, Term};

use crate::{Asked, Grant, Offer, Record, Rejection, Revision, Verdict};

pub const MAGIC: [u8; 4] = *b"SPKK";
pub const VERSION: u16 = 1;
/// Longest frame, in bytes: a snapshot of the ledger, or 64 entries.
pub const LIMIT: usize = 8 << 20;

/// What all keepers of a fleet must be told alike.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Common {
    pub fleet: u64,
    pub silence_us: u64,
    pub lease_us: u64,
    pub drift: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Caller {
    Keeper {
        id: NodeId,
        /// Counted on its disk at each start.
        start: u64,
        /// Numbers that its latest processes drew and kept on that disk, the present one last. A disk that lacks a
        /// process which was met has lost what that one promised, however often it has been started since.
        processes: Vec<u64>,
        common: Common,
        /// Where it knows keepers to be found: one that joins has no ledger yet to find the leader by.
        addresses: Vec<(NodeId, String)>,
    },
    Router {
        index: u32,
    },
    Person,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Lease(Asked),
    Offer(Offer),
    View,
    /// Where a keeper is to be found; then it may be taken in.
    SetAddress {
        keeper: NodeId,
        address: String,
    },
    /// The list's source may begin anew, from any version.
    TrustList,
    /// Who votes from now on: one more or one less.
    Members(Vec<NodeId>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Granted(Box<Grant>),
    /// Nobody leads, as far as this keeper knows: nothing was done.
    NoLeader,
    Offered(Verdict),
    /// It may have been done or not; asking again with the same token tells.
    Unclear,
    /// It was refused for what it says.
    Bad(String),
    View(Box<View>),
    /// Laid down; whether it stands is seen in the view.
    Begun,
}

/// The state at one instant, as the leading keeper holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub leader: NodeId,
    pub term: Term,
    pub committed: LogIndex,
    pub in_force: Revision,
    pub announced: Option<Revision>,
    /// The newest last.
    pub history: Vec<Record>,
    pub members: Vec<NodeId>,
    /// Where keepers are to be found; under its earlier name in JSON, which scripts read.
    #[serde(rename = "seats")]
    pub addresses: Vec<(NodeId, String)>,
    /// Leases that this leader has given and that hold, and how many of them act on the newest revision.
    pub leases: u64,
    /// Version of the list, the source's version behind it, hosts that are there, and why newer news is rejected.
    pub list: u64,
    pub list_source: u64,
    pub hosts: u64,
    /// Under its earlier name in JSON, which scripts read.
    #[serde(rename = "list_doubt")]
    pub list_rejection: Option<Rejection>,
    pub acting: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToKeeper {
    Hello {
        magic: [u8; 4],
        version: u16,
        caller: Caller,
    },
    Quorum(Message),
    Ask {
        number: u64,
        ask: Ask,
    },
}

impl ToKeeper {
    pub fn hello(caller: Caller) -> Self {
        ToKeeper::Hello {
            magic: MAGIC,
            version: VERSION,
            caller,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    Version,
    OutOfOrder,
    /// Keepers that are not told alike.
    Terms,
    /// The caller's disk is older than one that this keeper has met.
    OldDisk,
    /// As many callers as there is room for.
    Full,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromKeeper {
    Welcome { keeper: NodeId, common: Common },
    Refused { why: Refusal, text: String },
    Answer { number: u64, answer: Answer },
}
