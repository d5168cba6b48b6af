//! Jobs of a host and their outcomes, and the effects of faults on a host.

use std::collections::HashMap;

use crate::Micros;

/// Number of keys above which expired keys are removed.
const DEDUPLICATION_SWEEP: usize = 100_000;

/// A delivery that a host has accepted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number by which the caller identifies the connection that the delivery came from.
    pub from: u64,
    /// Id of the delivery, assigned by the router.
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
    /// Time after which nobody waits for the answer.
    pub expires: Micros,
}

/// The outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    /// The command was executed.
    Acked {
        /// Whether the answer is wrong.
        wrong: bool,
    },
    /// The command failed.
    Error,
    /// The host hangs and does not answer.
    Silent,
}

/// The idempotency keys that all hosts share, with the time at which each was last seen.
#[derive(Default)]
pub struct DeduplicationTable {
    last_seen: HashMap<u64, Micros>,
}

impl DeduplicationTable {
    /// Records the key. Returns whether it was not seen within the time `memory` before `now`.
    pub(super) fn insert(&mut self, key: u64, memory: Micros, now: Micros) -> bool {
        if self.last_seen.len() > DEDUPLICATION_SWEEP {
            self.last_seen.retain(|_, at| now - *at < memory);
        }
        let previous = self.last_seen.insert(key, now);
        previous.is_none_or(|at| now - at >= memory)
    }
}

/// The effects of faults on a host.
#[derive(Clone, Copy, Debug)]
pub struct HostFault {
    /// Whether the host accepts commands and does not answer.
    pub hangs: bool,
    /// Factor on all work.
    pub slowdown: f64,
    /// Probability that a command fails at once.
    pub failure_probability: f64,
    /// Index of an operation that needs more work, and the factor on its work.
    pub slow_op: (usize, f64),
    /// Factor on all work while a build with a shared defect runs on some hosts.
    pub shared_slowdown: f64,
    /// Factor on all work by busy hosts on the same machine.
    pub neighbours: f64,
}

impl Default for HostFault {
    fn default() -> Self {
        HostFault {
            hangs: false,
            slowdown: 1.0,
            failure_probability: 0.0,
            slow_op: (usize::MAX, 1.0),
            shared_slowdown: 1.0,
            neighbours: 1.0,
        }
    }
}

/// A job that has been started, for the observations of the run.
#[derive(Debug, PartialEq)]
pub struct StartedJob {
    /// The client's attempt.
    pub attempt: u64,
    /// The client's command.
    pub command: u64,
    /// Index of the operation.
    pub op: usize,
    /// Whether the command takes effect; false for a repeat that was dropped.
    pub effect: bool,
}
