//! Log compaction, which every node does, and the activation of the pending revision by the leader.

use spokeflow_core::Micros;
use spokeflow_raft::{Output, Term};

use super::{Activation, Coordinator};
use crate::{LeaseConfig, LeaseGranter, LogCommand, RevisionNumber};

/// Number of log entries after the snapshot above which the log is compacted.
const COMPACT_AFTER_ENTRIES: usize = 500;

/// The term in which the node is leader, and the granter of leases in that term.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    term: Term,
    pub(super) granter: LeaseGranter,
}

impl Leadership {
    /// Returns the granter of this term; replaces that of an earlier term by a new one.
    pub(super) fn granter_of(
        leadership: &mut Option<Leadership>,
        term: Term,
        lease: LeaseConfig,
        now: Micros,
    ) -> &mut LeaseGranter {
        leadership.take_if(|leadership| leadership.term != term);
        let new_leadership = || Leadership {
            term,
            granter: LeaseGranter::new(lease, now),
        };
        &mut leadership.get_or_insert_with(new_leadership).granter
    }
}

impl Coordinator {
    /// Compacts the log, or proposes to put a revision in force, if either is due. Returns whether `out` has new
    /// output.
    pub(super) fn compact_or_activate(&mut self, now: Micros, out: &mut Output) -> bool {
        if self.raft.log_len() > COMPACT_AFTER_ENTRIES && self.last_applied.0 > 0 {
            let state = self.config.encode();
            self.raft.compact(self.last_applied, state, out);
            if !out.persist_requests.is_empty() {
                return true;
            }
        }
        if !self.raft.has_leader_lease(now) {
            if !self.raft.is_leader() {
                self.end_leadership();
            }
            return false;
        }
        self.activate_ready_revision(now, out)
    }

    /// Discards the state of this node's leadership, including the leases: another leader may grant further ones from
    /// now on, so the known leases are no longer complete.
    fn end_leadership(&mut self) {
        self.leadership = None;
        self.list_update_pending = false;
        self.rejected_update = None;
        self.queued_list_updates.clear();
    }

    fn activate_ready_revision(&mut self, now: Micros, out: &mut Output) -> bool {
        let term = self.raft.term();
        let lease = self.settings.lease;
        let granter = Leadership::granter_of(&mut self.leadership, term, lease, now);
        let Some(revision) = granter.ready_revision(now, &self.config) else {
            return false;
        };
        let activation = Activation { term, revision };
        if self.activation == Some(activation) || !self.propose_activation(now, revision, out) {
            return false;
        }
        self.activation = Some(activation);
        true
    }

    fn propose_activation(
        &mut self,
        now: Micros,
        revision: RevisionNumber,
        out: &mut Output,
    ) -> bool {
        let command = LogCommand::PutInForce {
            revision,
            at_s: self.wall_clock_s,
        };
        self.raft.propose(now, command.encode(), out).is_ok()
    }
}
