//! Which nodes are admitted: those whose store is not older than one that was seen before.

use std::collections::BTreeMap;

use spokeflow_raft::NodeId;
use thiserror::Error;

use crate::node_event::PeerHello;
use crate::store::{ProcessStart, MAX_PROCESSES};

/// A node calls with an older copy of its store, or under the number of this node.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "the store of node {node}, at start {start}, does not know of its start {known}, which was seen: it is an older copy \
     and may not vote; remove this node, and add one with a new number and an empty store"
)]
pub(crate) struct StaleStoreError {
    node: u32,
    start: u64,
    known: u64,
}

/// The newest start that each other node was seen with.
pub(crate) struct PeerStarts {
    own: NodeId,
    known: BTreeMap<NodeId, ProcessStart>,
}

impl PeerStarts {
    pub(crate) fn new(own: NodeId, known: BTreeMap<NodeId, ProcessStart>) -> Self {
        PeerStarts { own, known }
    }

    /// Records the start that a node calls with. It must be on the disk before the node is welcomed, so that this one
    /// does not forget it either.
    ///
    /// # Errors
    ///
    /// The store that the node calls with lacks a start that was seen.
    pub(crate) fn admit(&mut self, hello: &PeerHello) -> Result<ProcessStart, StaleStoreError> {
        let known = self.known.get(&hello.id).copied().unwrap_or_default();
        if hello.id == self.own || is_older_copy(hello, known) {
            return Err(StaleStoreError {
                node: hello.id.0,
                start: hello.start,
                known: known.count,
            });
        }
        let start = ProcessStart {
            count: hello.start,
            process: hello.processes.last().copied().unwrap_or(0),
        };
        self.known.insert(hello.id, start);
        Ok(start)
    }
}

fn is_older_copy(hello: &PeerHello, known: ProcessStart) -> bool {
    if known == ProcessStart::default() {
        return false;
    }
    // A store that was started often since has dropped the number of that process by now.
    let may_have_dropped = hello.start.saturating_sub(known.count) >= MAX_PROCESSES as u64;
    let remembers = may_have_dropped || hello.processes.contains(&known.process);
    hello.start < known.count || !remembers
}
