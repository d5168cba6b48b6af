//! What a host is given to do, what becomes of it, and what faults do to a host.

use std::collections::HashMap;

use crate::Micros;

/// Keys remembered before those past their memory are dropped.
const DEDUPLICATION_SWEEP: usize = 100_000;

/// A delivery as the host holds it. `from` is any number that leads back to who sent it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The connection it came by.
    pub from: u64,
    /// The router's number of the delivery.
    pub delivery: u64,
    /// The client's attempt.
    pub attempt: u64,
    /// The client's command.
    pub command: u64,
    /// Index of the operation.
    pub op: usize,
    /// The sticky key, 0 for none.
    pub key: u64,
    /// The idempotency key, 0 for none.
    pub idempotency_key: u64,
    /// When nobody waits for it any more.
    pub expires: Micros,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    /// Acknowledged.
    Acked {
        /// The answer is wrong.
        wrong: bool,
    },
    /// An error.
    Error,
    /// Nothing is said: the host hangs.
    Silent,
}

/// The idempotency keys that all hosts together remember, and when each last came.
#[derive(Default)]
pub struct DeduplicationTable {
    last_seen: HashMap<u64, Micros>,
}

impl DeduplicationTable {
    /// Whether this is the first of its idempotency key within its memory.
    pub(super) fn first(&mut self, key: u64, memory: Micros, now: Micros) -> bool {
        if self.last_seen.len() > DEDUPLICATION_SWEEP {
            self.last_seen.retain(|_, at| now - *at < memory);
        }
        let before = self.last_seen.insert(key, now);
        before.is_none_or(|at| now - at >= memory)
    }
}

/// What troubles do to a host.
#[derive(Clone, Copy, Debug)]
pub struct HostFault {
    /// It takes commands and says nothing.
    pub hangs: bool,
    /// Factor on all work.
    pub slower: f64,
    /// Probability of an error, at once.
    pub fails: f64,
    /// An op type that needs more work, and how much.
    pub slow_op: (usize, f64),
    /// What a build that slows all hosts does.
    pub shared_slowdown: f64,
    /// What busy hosts on the same machine do.
    pub neighbours: f64,
}

impl Default for HostFault {
    fn default() -> Self {
        HostFault {
            hangs: false,
            slower: 1.0,
            fails: 0.0,
            slow_op: (usize::MAX, 1.0),
            shared_slowdown: 1.0,
            neighbours: 1.0,
        }
    }
}

/// What beginning a job has led to, for the tap.
#[derive(Debug, PartialEq)]
pub struct StartedJob {
    /// The client's attempt.
    pub attempt: u64,
    /// The client's command.
    pub command: u64,
    /// Index of the operation.
    pub op: usize,
    /// False where a repeat was dropped.
    pub effect: bool,
}
