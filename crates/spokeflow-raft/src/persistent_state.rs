//! What a node keeps on disk and the writes that bring it there.

use crate::log::LogPosition;
use crate::{Entry, LogIndex, NodeId, Snapshot, Term};

/// One write, to be synced whole or not at all, in the order of the sequence numbers.
///
/// The snapshot, if any, replaces the entries that it includes; then the log is cut after `truncate_after` and
/// `entries` are appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PersistRequest {
    /// Number of the write since the start of the process, from 1.
    pub sequence: u64,
    /// The node's term.
    pub term: Term,
    /// The candidate that has the node's vote in that term.
    pub voted_for: Option<NodeId>,
    /// A newer snapshot than the stored one.
    pub snapshot: Option<Snapshot>,
    /// Index of the last entry that stays.
    pub truncate_after: LogIndex,
    /// Entries that follow it.
    pub entries: Vec<Entry>,
}

/// What a node starts from: the effect of all writes that were synced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// The latest term that the node has seen.
    pub term: Term,
    /// The candidate that has the node's vote in that term.
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

    /// How many entries of the stored log are up to `index`, which is not before the snapshot.
    pub(crate) fn offset(&self, index: LogIndex) -> usize {
        (index.0 - self.snapshot.last_included_index.0) as usize
    }

    /// Position of the last entry.
    pub(crate) fn last_position(&self) -> LogPosition {
        let index = LogIndex(self.snapshot.last_included_index.0 + self.log.len() as u64);
        let term = self
            .log
            .last()
            .map_or(self.snapshot.term, |entry| entry.term);
        LogPosition::new(term, index)
    }

    /// Index of the last entry.
    pub(crate) fn last_index(&self) -> LogIndex {
        self.last_position().index
    }

    /// Term of the entry at `index`; `None` where that is before the snapshot or after the log.
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
