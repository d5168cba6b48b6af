//! What is to come, and the numbers of the connections that answers go to.

use spokeflow_coordination::wire::{Request, Response};
use spokeflow_raft::{Message, PersistRequest};

/// Whom an answer goes to, as the number of a connection: a keeper that passed on, a router's process, a person.
pub(super) const PERSON: u64 = 0;

pub(super) fn router_conn(router: usize, start: u32) -> u64 {
    1 | (router as u64) << 1 | u64::from(start) << 32
}

pub(super) fn keeper_conn(keeper: usize, start: u32) -> u64 {
    2 | (keeper as u64) << 2 | u64::from(start) << 32 | 1 << 63
}

pub(super) enum What {
    /// Also of a process that is dead by now.
    Quorum {
        to: usize,
        from: usize,
        message: Message,
    },
    Asks {
        to: usize,
        conn: u64,
        number: u64,
        ask: Request,
    },
    Answers {
        conn: u64,
        number: u64,
        answer: Response,
    },
    Synced {
        keeper: usize,
        start: u32,
        write: Box<PersistRequest>,
    },
    Wake {
        keeper: usize,
        start: u32,
    },
    RouterAsks {
        router: usize,
        start: u32,
    },
    Acts {
        router: usize,
        start: u32,
    },
    Offers,
    Fault,
    Mend(u64),
    KeeperGoes {
        keeper: usize,
        start: u32,
    },
    RouterGoes {
        router: usize,
        start: u32,
    },
    Start {
        keeper: usize,
    },
    Change,
}
