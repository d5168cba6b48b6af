//! What a call to a node asks its caller to do.

use crate::{Entry, LogIndex, Message, NodeId, PersistRequest, Snapshot};

/// What one call asks for.
///
/// Messages may be sent at once: those that promise a write are handed out once it is synced.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send.
    pub messages: Vec<OutgoingMessage>,
    /// Writes to sync, in order; each is confirmed by [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).
    pub persist_requests: Vec<PersistRequest>,
    /// Replaces the caller's state, before `committed` is applied.
    pub restored: Option<Snapshot>,
    /// Entries to apply, in the order of the log.
    pub committed: Vec<CommittedEntry>,
}

impl Output {
    /// Asks for a message to be sent.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.messages.push(OutgoingMessage { to, message });
    }
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// An entry that is committed: every later leader has it too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedEntry {
    /// Its index.
    pub index: LogIndex,
    /// The entry.
    pub entry: Entry,
}
