//! Messages that cross the sockets of control-plane nodes, in the frames of `spokeflow-proto`. The order of variants and
//! fields is their encoding.

use serde::{Deserialize, Serialize};
use spokeflow_raft::{LogIndex, Message, NodeId, Term};

use crate::{
    LeaseGrant, LeaseRequest, Proposal, ProposalOutcome, Rejection, Revision, RevisionRecord,
};

/// The first bytes of a connection.
pub const MAGIC: [u8; 4] = *b"SPKK";
/// Version of this protocol.
pub const VERSION: u16 = 1;
/// Longest frame, in bytes: a snapshot of the state, or 64 entries.
pub const LIMIT: usize = 8 << 20;

/// Settings that all control-plane nodes of a fleet must have in common.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterParameters {
    /// Id of the fleet.
    pub fleet: u64,
    /// Election timeout, in microseconds.
    pub election_timeout_us: u64,
    /// Duration of routers' leases, in microseconds.
    pub lease_us: u64,
    /// How much faster or slower than true time a clock may run, as a fraction.
    pub max_clock_drift: f64,
}

/// Who opens a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Caller {
    /// Another control-plane node.
    Node {
        /// Its id.
        id: NodeId,
        /// Number of the start of its process, counted on its disk.
        start: u64,
        /// Random numbers of its latest processes, from its disk, the present one last. A disk that lacks a process
        /// which was met before has lost what that process promised, however often it has been started since.
        processes: Vec<u64>,
        /// Its settings.
        parameters: ClusterParameters,
        /// Addresses of nodes that it knows: one that joins has no state yet to find the leader by.
        addresses: Vec<(NodeId, String)>,
    },
    /// A router.
    Router {
        /// Its index in the fleet.
        index: u32,
    },
    /// An operator's command line.
    Operator,
}

/// What a control-plane node is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A lease, by a router.
    Lease(LeaseRequest),
    /// A new revision.
    Propose(Proposal),
    /// The state of the cluster.
    Status,
    /// To register the address of a node, which may then be added as a voter.
    SetAddress {
        /// The node.
        node: NodeId,
        /// Its address with a port.
        address: String,
    },
    /// To let the source of the endpoint list begin again from any version.
    TrustList,
    /// To add or remove one voter; names all that vote from then on.
    ChangeVoters(Vec<NodeId>),
}

/// Answers a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// A lease.
    Granted(Box<LeaseGrant>),
    /// No leader is known to the node: nothing was done.
    NoLeader,
    /// What became of a proposal.
    Proposed(ProposalOutcome),
    /// It may have been done or not; the same request with the same token tells.
    Indeterminate,
    /// The request was refused for its content.
    Invalid(String),
    /// The state of the cluster.
    Status(Box<ClusterStatus>),
    /// The command is in the log; whether it is committed is seen in the status.
    Accepted,
}

/// The state at one instant, as the leader has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The leader.
    pub leader: NodeId,
    /// Its term.
    pub term: Term,
    /// Index of the last committed entry.
    pub committed: LogIndex,
    /// The revision in force.
    pub in_force: Revision,
    /// The pending revision. Under its earlier name in JSON, which scripts read.
    #[serde(rename = "announced")]
    pub pending: Option<Revision>,
    /// The newest last.
    pub history: Vec<RevisionRecord>,
    /// The voters. Under its earlier name in JSON, which scripts read.
    #[serde(rename = "members")]
    pub voters: Vec<NodeId>,
    /// Registered addresses of nodes. Under its earlier name in JSON, which scripts read.
    #[serde(rename = "seats")]
    pub addresses: Vec<(NodeId, String)>,
    /// Live leases that this leader has granted.
    pub leases: u64,
    /// Version of the endpoint list.
    pub list: u64,
    /// The source's version behind it.
    pub list_source: u64,
    /// Hosts of the list that are not gone.
    pub hosts: u64,
    /// Why a newer update of the list is rejected. Under its earlier name in JSON, which scripts read.
    #[serde(rename = "list_doubt")]
    pub list_rejection: Option<Rejection>,
    /// Live leases of routers that have applied the newest revision. Under its earlier name in JSON, which scripts read.
    #[serde(rename = "acting")]
    pub up_to_date_leases: u64,
}

/// A message to a control-plane node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToNode {
    /// Opens the connection.
    Hello {
        /// [`MAGIC`].
        magic: [u8; 4],
        /// [`VERSION`].
        version: u16,
        /// Who calls.
        caller: Caller,
    },
    /// Consensus, between nodes.
    Raft(Message),
    /// A request, forwarded or the caller's own.
    Request {
        /// The caller's number of it, repeated in the response.
        number: u64,
        /// The request.
        request: Request,
    },
}

impl ToNode {
    /// The message that opens a connection.
    pub fn hello(caller: Caller) -> Self {
        ToNode::Hello {
            magic: MAGIC,
            version: VERSION,
            caller,
        }
    }
}

/// Why a connection is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another protocol or version.
    Version,
    /// A message that may not come here.
    OutOfOrder,
    /// The nodes have different [`ClusterParameters`].
    ConfigMismatch,
    /// The caller's disk is older than one that this node has met.
    StaleStore,
    /// As many connections are open as may.
    TooManyConnections,
}

/// A message from a control-plane node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    /// Answers [`ToNode::Hello`].
    Welcome {
        /// The node.
        node: NodeId,
        /// Its settings.
        parameters: ClusterParameters,
    },
    /// The connection is refused and closed.
    Refused {
        /// Why.
        why: Refusal,
        /// More of it, for operators.
        text: String,
    },
    /// Answers [`ToNode::Request`].
    Response {
        /// The caller's number of the request.
        number: u64,
        /// The answer.
        response: Response,
    },
}
