//! The replicated log: the numbers that identify nodes, terms and entries, the entries themselves, and the snapshot
//! that stands for a prefix of them.

use serde::{Deserialize, Serialize};

/// Identifies a node of the cluster; never reused for another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u32);

/// Number of an election; each term has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// Index of an entry in the log. The first entry has 1; 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The index after this one.
    pub(crate) fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }
}

/// Where an entry is in the log and the term it was created in.
///
/// Ordered as section 5.4.1 of the paper compares logs: the later last term first, then the longer log.
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
    /// Term of the leader that created it.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader: it commits all entries of earlier terms with itself.
    Noop,
    /// A proposed command; its meaning is the caller's.
    Command(Vec<u8>),
    /// The voters from this entry on, whether it is committed or not.
    Membership(Vec<NodeId>),
}

/// The log up to an index, as the state of the caller's state machine and the voters there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot replaces.
    pub last_included_index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Voters as of that entry; empty where the log has not named any.
    pub voters: Vec<NodeId>,
    /// The caller's state after that entry, in the caller's encoding.
    pub state: Vec<u8>,
}

impl Snapshot {
    /// Position of the last entry that the snapshot replaces.
    pub(crate) fn last_included(&self) -> LogPosition {
        LogPosition::new(self.term, self.last_included_index)
    }
}
