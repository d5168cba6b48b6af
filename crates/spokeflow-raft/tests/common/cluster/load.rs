//! Load on the acting leader of a cluster: proposed commands and changes of voters.

use rand::RngExt;
use spokeflow_raft::{LogIndex, NodeId, Term};

use super::{Cluster, Event, MS};

/// A command that an acting leader has accepted.
pub(crate) struct AcceptedCommand {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) number: u64,
}

impl Cluster {
    /// Whether the node may act as leader and is not paused.
    pub(super) fn acts_now(&self, index: usize) -> bool {
        !self.nodes[index].paused && self.may_act(index)
    }

    pub(super) fn propose(&mut self, number: u64) {
        self.schedule(20 * MS, Event::Propose(number + 1));
        for index in 0..self.nodes.len() {
            if !self.acts_now(index) {
                continue;
            }
            let mut accepted = None;
            self.call(index, |raft, now, out| {
                let proposed = raft.propose(now, number.to_be_bytes().to_vec(), out);
                accepted = proposed.ok().map(|index| AcceptedCommand {
                    index,
                    term: raft.term(),
                    number,
                });
            });
            self.accepted.extend(accepted);
        }
    }

    /// Draws a node. The acting leader adds it if it is not a voter and there are fewer than five voters, else removes
    /// it if there are more than three.
    pub(super) fn change_voters(&mut self) {
        self.schedule(900 * MS, Event::ChangeVoters);
        let drawn = NodeId(self.rng.random_range(0..self.nodes.len() as u32));
        for index in 0..self.nodes.len() {
            if !self.acts_now(index) {
                continue;
            }
            let mut changed = false;
            self.call(index, |raft, now, out| {
                let mut voters = raft.voters().to_vec();
                if !voters.contains(&drawn) && voters.len() < 5 {
                    voters.push(drawn);
                } else if voters.len() > 3 {
                    voters.retain(|voter| *voter != drawn);
                }
                changed = raft.propose_membership(now, voters, out).is_ok();
            });
            self.voter_changes += usize::from(changed);
        }
    }
}
