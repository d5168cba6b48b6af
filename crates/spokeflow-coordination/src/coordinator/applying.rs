//! Handling of the Raft node's output: snapshots to restore, committed commands to apply, writes and messages to pass
//! on.

use spokeflow_core::Micros;
use spokeflow_raft::{CommittedEntry, Output, Payload, Snapshot};

use super::{Coordinator, Effects, NodeMessage};
use crate::wire::ToNode;
use crate::{ConfigState, LogCommand};

impl Coordinator {
    /// Carries out the Raft node's output, then compacts the log and activates a revision if due, until neither
    /// produces further output.
    pub(super) fn apply_output(&mut self, now: Micros, mut out: Output, effects: &mut Effects) {
        loop {
            if let Some(snapshot) = out.restored.take() {
                self.restore(now, &snapshot, effects);
            }
            for committed in std::mem::take(&mut out.committed) {
                self.apply(now, committed, effects);
            }
            effects.persist_requests.append(&mut out.persist_requests);
            let messages = out.messages.drain(..).map(|sent| NodeMessage {
                to: sent.to,
                message: ToNode::Raft(sent.message),
            });
            effects.messages.extend(messages);
            if !self.compact_or_activate(now, &mut out) {
                break;
            }
        }
        self.handle_queued_update(now, effects);
        self.update_voter_addresses();
        self.answer_decided_proposals(effects);
    }

    fn restore(&mut self, now: Micros, snapshot: &Snapshot, effects: &mut Effects) {
        // The node that wrote the snapshot could decode it. If this node cannot, it must not continue with a state that
        // does not match the log.
        match ConfigState::decode(&snapshot.state) {
            Ok(config) => self.config = config,
            Err(error) => effects.fatal = Some(error),
        }
        self.last_applied = snapshot.last_included_index;
        effects.config_changed = true;
        self.record_applied_hosts(now);
    }

    fn apply(&mut self, now: Micros, committed: CommittedEntry, effects: &mut Effects) {
        self.last_applied = committed.index;
        effects.config_changed = true;
        let Payload::Command(bytes) = committed.entry.payload else {
            return;
        };
        let Some(command) = LogCommand::decode(&bytes) else {
            return;
        };
        let changes_list = matches!(command, LogCommand::UpdateList(_) | LogCommand::TrustList);
        self.config.apply(command);
        if changes_list {
            self.list_update_pending = false;
            self.record_applied_hosts(now);
        }
    }
}
