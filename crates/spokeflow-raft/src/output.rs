//! The effects of a call to a node, which the caller has to carry out.

use crate::{Entry, LogIndex, Message, NodeId, PersistRequest, Snapshot};

/// The effects of one call to a node.
///
/// Messages may be sent at once: a message that depends on a write is returned only after that write is synced.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send.
    pub messages: Vec<OutgoingMessage>,
    /// Writes to sync, in order. The caller confirms each with
    /// [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).
    pub persist_requests: Vec<PersistRequest>,
    /// A snapshot that replaces the caller's state before `committed` is applied.
    pub restored: Option<Snapshot>,
    /// Committed entries to apply, in log order.
    pub committed: Vec<CommittedEntry>,
}

impl Output {
    /// Adds a message to send.
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

/// A committed entry: every later leader has it too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedEntry {
    /// Index of the entry.
    pub index: LogIndex,
    /// The entry.
    pub entry: Entry,
}
