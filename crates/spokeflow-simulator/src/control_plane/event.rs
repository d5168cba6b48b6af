//! Scheduled events, and the connection numbers that responses are sent to.

use spokeflow_coordination::wire::{Request, Response};
use spokeflow_raft::{Message, PersistRequest};

/// The connection number of the operator. Bit 63 is set in that of a node that forwarded a request, and bit 0 in
/// that of a router; both carry the index of the process and which of its starts the connection belongs to.
pub(super) const OPERATOR: u64 = 0;

pub(super) fn router_connection(router: usize, start: u32) -> u64 {
    1 | (router as u64) << 1 | u64::from(start) << 32
}

pub(super) fn node_connection(node: usize, start: u32) -> u64 {
    2 | (node as u64) << 2 | u64::from(start) << 32 | 1 << 63
}

/// What happens when an event is due. `start` tells which start of the process an event is for: one for an earlier
/// start is dropped.
pub(super) enum Event {
    /// A Raft message arrives, also one that was sent by a process that has ended since.
    RaftMessage {
        to: usize,
        from: usize,
        message: Message,
    },
    RequestArrives {
        to: usize,
        connection: u64,
        number: u64,
        request: Request,
    },
    ResponseArrives {
        connection: u64,
        number: u64,
        response: Response,
    },
    Persisted {
        node: usize,
        start: u32,
        write: Box<PersistRequest>,
    },
    NodeTimer {
        node: usize,
        start: u32,
    },
    LeaseRenewal {
        router: usize,
        start: u32,
    },
    RouterActs {
        router: usize,
        start: u32,
    },
    ProposalDue,
    FaultDue,
    CutEnds(u64),
    NodeResumes {
        node: usize,
        start: u32,
    },
    RouterResumes {
        router: usize,
        start: u32,
    },
    NodeStarts {
        node: usize,
    },
    MembershipChange,
}
