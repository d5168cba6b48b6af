//! Messages on the connections of control-plane nodes, in the frames of `spokeflow-proto`. The binary encoding depends
//! on the order of variants and fields, which must not change.

use serde::{Deserialize, Serialize};
use spokeflow_raft::{LogIndex, Message, NodeId, Term};

use crate::{
    LeaseGrant, LeaseRequest, Proposal, ProposalOutcome, Rejection, Revision, RevisionRecord,
};

/// The first bytes of a connection.
pub const MAGIC: [u8; 4] = *b"SPKK";
/// Version of this protocol.
pub const VERSION: u16 = 1;
/// Maximum length of a frame, in bytes. The longest messages hold a snapshot of the state, or 64 log entries.
pub const LIMIT: usize = 8 << 20;

/// Settings that must be the same on all control-plane nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterParameters {
    /// Id of the fleet.
    pub fleet: u64,
    /// Election timeout, in microseconds.
    pub election_timeout_us: u64,
    /// Duration of the routers' leases, in microseconds.
    pub lease_us: u64,
    /// Largest deviation of a clock's rate from true time, in either direction, as a fraction.
    pub max_clock_drift: f64,
}

/// The peer that opens a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Caller {
    /// Another control-plane node.
    Node {
        /// Id of the node.
        id: NodeId,
        /// Number of starts of the node's process, counted on its disk.
        start: u64,
        /// Random numbers of the node's latest processes, from its disk, the current one last. If a process that has
        /// connected before is not among them, the disk has lost the votes and entries which that process confirmed,
        /// however often the node has been started since.
        processes: Vec<u64>,
        /// Settings of the node.
        parameters: ClusterParameters,
        /// Addresses of nodes that the caller knows. A node that joins needs them to reach the leader, as it has no
        /// replicated state yet.
        addresses: Vec<(NodeId, String)>,
    },
    /// A router.
    Router {
        /// Index of the router in the fleet.
        index: u32,
    },
    /// An operator's command line tool.
    Operator,
}

/// A request to a control-plane node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a lease, for a router.
    Lease(LeaseRequest),
    /// Proposes a new revision.
    Propose(Proposal),
    /// Asks for the state of the cluster.
    Status,
    /// Registers the address of a node, which may then be added as a voter.
    SetAddress {
        /// The node.
        node: NodeId,
        /// Address of the node, with a port.
        address: String,
    },
    /// Accepts any version as the next one from the source of the endpoint list.
    TrustList,
    /// Adds or removes one voter; names all voters after the change.
    ChangeVoters(Vec<NodeId>),
}

/// Answers a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The lease is granted.
    Granted(Box<LeaseGrant>),
    /// The request was not carried out, as no leader is known or the leader could not accept it.
    NoLeader,
    /// The outcome of a proposal.
    Proposed(ProposalOutcome),
    /// The request may have been carried out or not. A proposal can be sent again with the same token to find out.
    Indeterminate,
    /// The request was refused because of its content; the text says why.
    Invalid(String),
    /// The state of the cluster.
    Status(Box<ClusterStatus>),
    /// The command is in the leader's log. Whether it is committed can be seen in the status.
    Accepted,
}

/// State of the cluster at one time, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The leader.
    pub leader: NodeId,
    /// Term of the leader.
    pub term: Term,
    /// Index of the last committed entry.
    pub committed: LogIndex,
    /// The revision in force.
    pub in_force: Revision,
    /// The pending revision. The JSON output, which scripts read, keeps the earlier name of this field.
    #[serde(rename = "announced")]
    pub pending: Option<Revision>,
    /// Records of revisions, the newest last.
    pub history: Vec<RevisionRecord>,
    /// The voters. The JSON output, which scripts read, keeps the earlier name of this field.
    #[serde(rename = "members")]
    pub voters: Vec<NodeId>,
    /// Registered addresses of nodes. The JSON output, which scripts read, keeps the earlier name of this field.
    #[serde(rename = "seats")]
    pub addresses: Vec<(NodeId, String)>,
    /// Number of live leases that this leader has granted.
    pub leases: u64,
    /// Version of the endpoint list.
    pub list: u64,
    /// Version that the source gave to the last accepted update of the list.
    pub list_source: u64,
    /// Number of hosts of the list that are not gone.
    pub hosts: u64,
    /// Why the last update of the list was rejected; `None` if it was not. The JSON output, which scripts read, keeps
    /// the earlier name of this field.
    #[serde(rename = "list_doubt")]
    pub list_rejection: Option<Rejection>,
    /// Number of live leases of routers that have applied the newest revision. The JSON output, which scripts read,
    /// keeps the earlier name of this field.
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
        /// The peer that opens the connection.
        caller: Caller,
    },
    /// A Raft message from another node.
    Raft(Message),
    /// A request, of the caller itself or forwarded by it.
    Request {
        /// Number of the request, assigned by the caller and repeated in the response.
        number: u64,
        /// The request.
        request: Request,
    },
}

impl ToNode {
    /// Returns the message that opens a connection.
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
    /// The caller uses another protocol or version.
    Version,
    /// The message is not allowed at this point of the connection.
    OutOfOrder,
    /// The nodes have different [`ClusterParameters`].
    ConfigMismatch,
    /// The caller's disk is older than one that the caller had in an earlier connection to this node.
    StaleStore,
    /// The number of open connections has reached the maximum.
    TooManyConnections,
}

/// A message from a control-plane node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    /// Answers [`ToNode::Hello`].
    Welcome {
        /// The node that answers.
        node: NodeId,
        /// Settings of that node.
        parameters: ClusterParameters,
    },
    /// The connection is refused and closed.
    Refused {
        /// Reason for the refusal.
        why: Refusal,
        /// Details for operators.
        text: String,
    },
    /// Answers [`ToNode::Request`].
    Response {
        /// Number of the request, assigned by the caller.
        number: u64,
        /// The response.
        response: Response,
    },
}
