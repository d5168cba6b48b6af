//! What crosses the sockets of keepers, in the frames of `spokeflow-proto`. The order of variants and fields is the
//! wire form.

use serde::{Deserialize, Serialize};
use spokeflow_raft::{LogIndex, Message, NodeId, Term};

use crate::{
    LeaseGrant, LeaseRequest, Proposal, ProposalOutcome, Rejection, Revision, RevisionRecord,
};

pub const MAGIC: [u8; 4] = *b"SPKK";
pub const VERSION: u16 = 1;
/// Longest frame, in bytes: a snapshot of the ledger, or 64 entries.
pub const LIMIT: usize = 8 << 20;

/// What all keepers of a fleet must be told alike.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterParameters {
    pub fleet: u64,
    pub election_timeout_us: u64,
    pub lease_us: u64,
    pub max_clock_drift: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Caller {
    Node {
        id: NodeId,
        /// Counted on its disk at each start.
        start: u64,
        /// Numbers that its latest processes drew and kept on that disk, the present one last. A disk that lacks a
        /// process which was met has lost what that one promised, however often it has been started since.
        processes: Vec<u64>,
        parameters: ClusterParameters,
        /// Where it knows keepers to be found: one that joins has no ledger yet to find the leader by.
        addresses: Vec<(NodeId, String)>,
    },
    Router {
        index: u32,
    },
    Operator,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    Lease(LeaseRequest),
    Propose(Proposal),
    Status,
    /// Where a keeper is to be found; then it may be taken in.
    SetAddress {
        node: NodeId,
        address: String,
    },
    /// The list's source may begin anew, from any version.
    TrustList,
    /// Who votes from now on: one more or one less.
    ChangeVoters(Vec<NodeId>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    Granted(Box<LeaseGrant>),
    /// Nobody leads, as far as this keeper knows: nothing was done.
    NoLeader,
    Proposed(ProposalOutcome),
    /// It may have been done or not; asking again with the same token tells.
    Indeterminate,
    /// It was refused for what it says.
    Invalid(String),
    Status(Box<ClusterStatus>),
    /// Laid down; whether it stands is seen in the view.
    Accepted,
}

/// The state at one instant, as the leading keeper holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    pub leader: NodeId,
    pub term: Term,
    pub committed: LogIndex,
    pub in_force: Revision,
    /// Under its earlier name in JSON, which scripts read.
    #[serde(rename = "announced")]
    pub pending: Option<Revision>,
    /// The newest last.
    pub history: Vec<RevisionRecord>,
    /// Under its earlier name in JSON, which scripts read.
    #[serde(rename = "members")]
    pub voters: Vec<NodeId>,
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
    /// Leases of routers that act on the newest revision; under its earlier name in JSON, which scripts read.
    #[serde(rename = "acting")]
    pub up_to_date_leases: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToNode {
    Hello {
        magic: [u8; 4],
        version: u16,
        caller: Caller,
    },
    Raft(Message),
    Request {
        number: u64,
        request: Request,
    },
}

impl ToNode {
    pub fn hello(caller: Caller) -> Self {
        ToNode::Hello {
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
    ConfigMismatch,
    /// The caller's disk is older than one that this keeper has met.
    StaleStore,
    /// As many callers as there is room for.
    TooManyConnections,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    Welcome {
        node: NodeId,
        parameters: ClusterParameters,
    },
    Refused {
        why: Refusal,
        text: String,
    },
    Response {
        number: u64,
        response: Response,
    },
}
