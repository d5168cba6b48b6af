//! The leader's lease: for how long after a round that a majority has answered no other leader can be elected.

use spokeflow_core::Micros;

use super::replication::LeaderState;
use super::{RaftNode, Role};

impl RaftNode {
    /// Whether the node may act as leader at this moment of its own clock.
    ///
    /// A majority has answered a round that was sent less than the election timeout ago, less what clocks may differ
    /// by, so nobody else can have been elected. To be asked before each act.
    pub fn has_recent_quorum(&self, now: Micros) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        self.last_quorum(leader, now)
            .is_some_and(|sent_at| now < sent_at + self.config.leader_lease())
    }

    /// Whether the node may act as leader and holds every entry that was ever committed, so that what was handed to
    /// the caller is the present state.
    pub fn has_leader_lease(&self, now: Micros) -> bool {
        self.has_recent_quorum(now) && self.state.term_at(self.commit_index) == Some(self.term())
    }

    /// Whether a leader has had no answer from a majority for too long. It could not commit, and would keep the
    /// others from electing a new leader.
    pub(super) fn has_lost_quorum(&self, leader: &LeaderState) -> bool {
        self.last_quorum(leader, self.now)
            .is_none_or(|sent_at| self.now - sent_at > 2 * self.config.election_timeout)
    }

    /// When the latest round was sent that a majority has answered.
    fn last_quorum(&self, leader: &LeaderState, now: Micros) -> Option<Micros> {
        self.majority_value(&leader.answered_round_sent_at, now)
    }
}
