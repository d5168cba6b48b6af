//! The state that a node keeps on disk, and the writes that change it.

use crate::log::LogPosition;
use crate::{Entry, LogIndex, NodeId, Snapshot, Term};

/// One write. Writes must be atomic, and must reach the disk in the order of their sequence numbers.
///
/// The snapshot, if any, replaces the entries that it includes; then the log is cut after `truncate_after` and
/// `entries` are appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PersistRequest {
    /// Number of the write, counted from 1 at the start of the process.
    pub sequence: u64,
    /// The node's term.
    pub term: Term,
    /// The candidate that has the node's vote in that term; `None` if it has not voted.
    pub voted_for: Option<NodeId>,
    /// A newer snapshot than the stored one; `None` if the stored one stays.
    pub snapshot: Option<Snapshot>,
    /// Index of the last stored entry to keep.
    pub truncate_after: LogIndex,
    /// Entries to append after `truncate_after`.
    pub entries: Vec<Entry>,
}

/// The state that a node starts from: the result of all writes that were synced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// The latest term that the node has seen.
    pub term: Term,
    /// The candidate that has the node's vote in that term; `None` if it has not voted.
    pub voted_for: Option<NodeId>,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub log: Vec<Entry>,
}

impl PersistentState {
    /// Applies one write.
    pub fn apply(&mut self, write: &PersistRequest) {
        self.term = write.term;
        self.voted_for = write.voted_for;
        if let Some(snapshot) = &write.snapshot {
            let included = self.offset(snapshot.last_included_index);
            self.log.drain(..included.min(self.log.len()));
            self.snapshot = snapshot.clone();
        }
        let remaining = self.offset(write.truncate_after);
        self.log.truncate(remaining);
        self.log.extend_from_slice(&write.entries);
    }

    /// Returns the number of entries of `log` up to and including `index`, which must not be before the snapshot.
    pub(crate) fn offset(&self, index: LogIndex) -> usize {
        (index.0 - self.snapshot.last_included_index.0) as usize
    }

    /// Returns the position of the last entry.
    pub(crate) fn last_position(&self) -> LogPosition {
        let index = LogIndex(self.snapshot.last_included_index.0 + self.log.len() as u64);
        let term = self
            .log
            .last()
            .map_or(self.snapshot.term, |entry| entry.term);
        LogPosition::new(term, index)
    }

    /// Returns the index of the last entry.
    pub(crate) fn last_index(&self) -> LogIndex {
        self.last_position().index
    }

    /// Returns the term of the entry at `index`; `None` if the index is before the snapshot or after the log.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index < self.snapshot.last_included_index {
            return None;
        }
        match self.offset(index) {
            0 => Some(self.snapshot.term),
            offset => self.log.get(offset - 1).map(|entry| entry.term),
        }
    }
}
