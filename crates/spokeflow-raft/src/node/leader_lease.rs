//! The leader's lease. `RaftConfig::leader_lease` is its duration: the time after a round that a majority has answered
//! in which no other leader can be elected. `has_recent_quorum` says whether the lease runs, `has_leader_lease`
//! whether, in addition, the leader has committed an entry of its own term.

use spokeflow_core::Micros;

use super::replication::LeaderState;
use super::{RaftNode, Role};

impl RaftNode {
    /// Whether the node may act as leader at `now` by its own clock.
    ///
    /// This holds while a majority has answered a round that was sent less than `RaftConfig::leader_lease` ago: no
    /// other leader can have been elected since. The caller must check it before each action as leader.
    pub fn has_recent_quorum(&self, now: Micros) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        self.last_quorum(leader, now)
            .is_some_and(|sent_at| now < sent_at + self.config.leader_lease())
    }

    /// Whether [`RaftNode::has_recent_quorum`] holds and the node has committed an entry of its own term. The caller's
    /// state then includes every entry that was committed under earlier leaders.
    pub fn has_leader_lease(&self, now: Micros) -> bool {
        self.has_recent_quorum(now) && self.state.term_at(self.commit_index) == Some(self.term())
    }

    /// Whether no majority has answered a round that this leader sent within the last two election timeouts. Such a
    /// leader cannot commit, and its heartbeats would keep the other voters from electing a new leader.
    pub(super) fn has_lost_quorum(&self, leader: &LeaderState) -> bool {
        self.last_quorum(leader, self.now)
            .is_none_or(|sent_at| self.now - sent_at > 2 * self.config.election_timeout)
    }

    /// Returns when the latest round was sent that a majority has answered; `None` if there is no such round.
    fn last_quorum(&self, leader: &LeaderState, now: Micros) -> Option<Micros> {
        self.majority_value(&leader.answered_round_sent_at, now)
    }
}
