//! The replicated log: the numbers that identify nodes, terms and entries, the entries themselves, and the snapshot
//! that replaces a prefix of the log.

use serde::{Deserialize, Serialize};

/// Id of a node of the cluster; must never be reused for another node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u32);

/// Number of an election; each term has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Index of an entry in the log. The first entry has index 1; 0 is the position before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the index after this one.
    pub(crate) fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }
}

/// Index of an entry in the log, and the term in which it was created.
///
/// Ordered as section 5.4.1 of the Raft paper compares logs: by the term of the last entry, then by the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
}

impl LogPosition {
    pub(crate) fn new(term: Term, index: LogIndex) -> Self {
        LogPosition { term, index }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader's term. Committing it commits all entries of earlier terms.
    Noop,
    /// A proposed command, in the caller's encoding.
    Command(Vec<u8>),
    /// The voters from this entry on, in effect even before the entry is committed.
    Membership(Vec<NodeId>),
}

/// Replaces the log up to an index: the caller's state and the voters after that entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot replaces.
    pub last_included_index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Voters as of that entry; empty if the log has not named any.
    pub voters: Vec<NodeId>,
    /// The caller's state after that entry, in the caller's encoding.
    pub state: Vec<u8>,
}

impl Snapshot {
    /// Returns the position of the last entry that the snapshot replaces.
    pub(crate) fn last_included(&self) -> LogPosition {
        LogPosition::new(self.term, self.last_included_index)
    }
}
