//! Event is to come, and the numbers of the connections that answers go to.

use spokeflow_coordination::wire::{Request, Response};
use spokeflow_raft::{Message, PersistRequest};

/// Whom an answer goes to, as the number of a connection: a keeper that passed on, a router's process, a person.
pub(super) const OPERATOR: u64 = 0;

pub(super) fn router_conn(router: usize, start: u32) -> u64 {
    1 | (router as u64) << 1 | u64::from(start) << 32
}

pub(super) fn keeper_conn(keeper: usize, start: u32) -> u64 {
    2 | (keeper as u64) << 2 | u64::from(start) << 32 | 1 << 63
}

pub(super) enum Event {
    /// Also of a process that is dead by now.
    RaftMessage {
        to: usize,
        from: usize,
        message: Message,
    },
    RequestArrives {
        to: usize,
        conn: u64,
        number: u64,
        ask: Request,
    },
    ResponseArrives {
        conn: u64,
        number: u64,
        answer: Response,
    },
    Persisted {
        keeper: usize,
        start: u32,
        write: Box<PersistRequest>,
    },
    NodeTimer {
        keeper: usize,
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
    Fault,
    CutEnds(u64),
    NodeResumes {
        keeper: usize,
        start: u32,
    },
    RouterResumes {
        router: usize,
        start: u32,
    },
    NodeStarts {
        keeper: usize,
    },
    MembershipChange,
}
