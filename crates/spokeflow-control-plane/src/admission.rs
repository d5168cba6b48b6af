//! Admission of other nodes: a node is refused if its store is an older copy of the one that it was seen with before.
//! It may have voted since that copy was made, and could vote a second time in the same term.

use std::collections::BTreeMap;

use spokeflow_raft::NodeId;
use thiserror::Error;

use crate::node_event::PeerHello;
use crate::store::{ProcessStart, MAX_PROCESSES};

/// Another node connected with an older copy of its store, or with the id of this node. The text is sent to that node.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "the store of node {node}, at start {start}, does not know of its start {known}, which was seen: it is an older copy \
     and may not vote; remove this node, and add one with a new number and an empty store"
)]
pub(crate) struct StaleStoreError {
    node: u32,
    /// The number of starts that its store has counted.
    start: u64,
    /// The newest start of the node that was seen before; 0 if none was.
    known: u64,
}

/// The newest start of each other node that was seen.
pub(crate) struct PeerStarts {
    own: NodeId,
    known: BTreeMap<NodeId, ProcessStart>,
}

impl PeerStarts {
    pub(crate) fn new(own: NodeId, known: BTreeMap<NodeId, ProcessStart>) -> Self {
        PeerStarts { own, known }
    }

    /// Records the start that a node connects with. The returned start must be on the disk before the node is welcomed,
    /// so that this node does not lose it in a crash.
    ///
    /// # Errors
    ///
    /// The store of the node lacks a start that was seen, or the node has the id of this node.
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
    // A store records the latest MAX_PROCESSES processes only: after that many more starts it has dropped the one known
    // here.
    let may_have_dropped = hello.start.saturating_sub(known.count) >= MAX_PROCESSES as u64;
    let may_know_process = may_have_dropped || hello.processes.contains(&known.process);
    hello.start < known.count || !may_know_process
}
