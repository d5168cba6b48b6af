//! Disk writes: the queue of unsynced writes, the messages deferred until they are synced, and log compaction.

use super::{LogIndex, Message, NodeId, Output, Payload, RaftNode, Snapshot};
use crate::{Entry, PersistRequest};

/// Maximum number of unsynced writes. At this limit the disk is assumed to hang, and the node drops messages and
/// refuses commands, as either could cause further writes.
const MAX_UNSYNCED_WRITES: usize = 1024;

/// A write that is not synced yet.
#[derive(Clone, Debug)]
pub(super) struct UnsyncedWrite {
    sequence: u64,
    /// Index of the last entry that the write leaves in place.
    truncate_after: LogIndex,
    /// Index of the last entry of the log after the write.
    last_index: LogIndex,
}

/// A message that must not be sent before a write is synced.
#[derive(Clone, Debug)]
pub(super) struct DeferredMessage {
    /// Sequence number of the last write that the message waits for.
    after_write: u64,
    to: NodeId,
    message: Message,
}

impl RaftNode {
    /// Replaces the log up to `last_included_index` by a snapshot; `state` is the caller's state after that entry.
    ///
    /// Does nothing if the index is not after the current snapshot, or is after the last entry that was returned to the
    /// caller as committed.
    pub fn compact(&mut self, last_included_index: LogIndex, state: Vec<u8>, out: &mut Output) {
        if last_included_index <= self.state.snapshot.last_included_index
            || last_included_index > self.last_applied
        {
            return;
        }
        let included = &self.state.log[..self.state.offset(last_included_index)];
        let snapshot = Snapshot {
            last_included_index,
            term: included[included.len() - 1].term,
            voters: self.voters_after(included),
            state,
        };
        self.persist(Some(snapshot), self.state.last_index(), Vec::new(), out);
    }

    /// Appends an entry of the current term and sends it to the other voters. Returns its index.
    pub(super) fn append_to_log(&mut self, payload: Payload, out: &mut Output) -> LogIndex {
        let entry = Entry {
            term: self.term(),
            payload,
        };
        self.persist(None, self.state.last_index(), vec![entry], out);
        self.broadcast_append(out);
        self.state.last_index()
    }

    /// Persists the term and the vote.
    pub(super) fn persist_vote(&mut self, out: &mut Output) {
        self.persist(None, self.state.last_index(), Vec::new(), out);
    }

    /// Persists the term, the vote, the snapshot if there is a new one, and `entries` in place of the log after
    /// `truncate_after`.
    pub(super) fn persist(
        &mut self,
        snapshot: Option<Snapshot>,
        truncate_after: LogIndex,
        entries: Vec<Entry>,
        out: &mut Output,
    ) {
        self.last_write += 1;
        let request = PersistRequest {
            sequence: self.last_write,
            term: self.state.term,
            voted_for: self.state.voted_for,
            snapshot,
            truncate_after,
            entries,
        };
        self.state.apply(&request);
        self.update_voters();
        self.durable_index = self.durable_index.min(truncate_after);
        self.unsynced_writes.push_back(UnsyncedWrite {
            sequence: request.sequence,
            truncate_after,
            last_index: self.state.last_index(),
        });
        out.persist_requests.push(request);
    }

    /// Whether the number of unsynced writes has reached the maximum.
    pub(super) fn write_queue_is_full(&self) -> bool {
        self.unsynced_writes.len() >= MAX_UNSYNCED_WRITES
    }

    /// Sends a message once all writes so far are synced, which is at once if none is open.
    pub(super) fn send_when_synced(&mut self, to: NodeId, message: Message, out: &mut Output) {
        if self.unsynced_writes.is_empty() {
            return out.send(to, message);
        }
        self.deferred_messages.push_back(DeferredMessage {
            after_write: self.last_write,
            to,
            message,
        });
    }

    /// Records that all writes up to `sequence` are synced, and sends the messages that waited for them.
    pub(super) fn confirm_writes(&mut self, sequence: u64, out: &mut Output) {
        let is_synced = |write: &mut UnsyncedWrite| write.sequence <= sequence;
        while let Some(write) = self.unsynced_writes.pop_front_if(is_synced) {
            self.durable_index = write.last_index;
        }
        // A later write may have truncated entries that the confirmed writes appended.
        let truncated = self
            .unsynced_writes
            .iter()
            .map(|write| write.truncate_after);
        self.durable_index = truncated.fold(self.durable_index, LogIndex::min);
        let is_due = |deferred: &mut DeferredMessage| deferred.after_write <= sequence;
        while let Some(deferred) = self.deferred_messages.pop_front_if(is_due) {
            out.send(deferred.to, deferred.message);
        }
    }
}
