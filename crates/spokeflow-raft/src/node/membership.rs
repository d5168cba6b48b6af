//! Who votes: the voters that the log names, majorities of them, and changes by one node at a time.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use spokeflow_core::Micros;

use super::{LogIndex, NodeId, Output, Payload, RaftNode};
use crate::{Entry, MembershipError};

impl RaftNode {
    /// Adds or removes one voter; `voters` are all that vote from then on.
    ///
    /// One change at a time: any two majorities of the voters before and after have a node in common, so that no two
    /// leaders can be elected in one term. Returns the index of the entry; the change counts from there on.
    ///
    /// # Errors
    ///
    /// The node cannot change the voters now, or not to these.
    pub fn propose_membership(
        &mut self,
        now: Micros,
        mut voters: Vec<NodeId>,
        out: &mut Output,
    ) -> Result<LogIndex, MembershipError> {
        self.now = now;
        voters.sort_unstable();
        voters.dedup();
        // An earlier leader's change that is not committed may still be lost or kept: an own entry settles it.
        if !self.has_leader_lease(now) {
            return Err(MembershipError::NotReady);
        }
        if self.has_uncommitted_change() {
            return Err(MembershipError::ChangeInProgress);
        }
        if self.difference(&voters) != 1 || voters.is_empty() {
            return Err(MembershipError::NotOneNode);
        }
        Ok(self.append_to_log(Payload::Membership(voters), out))
    }

    fn has_uncommitted_change(&self) -> bool {
        let committed = self.state.offset(self.commit_index);
        self.state.log[committed..]
            .iter()
            .any(|entry| matches!(entry.payload, Payload::Membership(_)))
    }

    /// How many nodes are to be added and removed until `voters` vote.
    fn difference(&self, voters: &[NodeId]) -> usize {
        let added = voters.iter().filter(|node| !self.voters.contains(node));
        let removed = self.voters.iter().filter(|node| !voters.contains(node));
        added.count() + removed.count()
    }

    /// Adopts the voters that the log names.
    pub(super) fn update_voters(&mut self) {
        self.voters = self.voters_after(&self.state.log);
    }

    /// The voters after these first entries of the log: as the newest of them says, else the snapshot, else the
    /// configuration.
    pub(super) fn voters_after(&self, entries: &[Entry]) -> Vec<NodeId> {
        let in_log = entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Membership(voters) => Some(voters),
            _ => None,
        });
        let in_snapshot = Some(&self.state.snapshot.voters).filter(|voters| !voters.is_empty());
        in_log
            .or(in_snapshot)
            .unwrap_or(&self.config.voters)
            .clone()
    }

    pub(super) fn is_voter(&self) -> bool {
        self.voters.contains(&self.id)
    }

    /// The voters but this node.
    pub(super) fn peers(&self) -> Vec<NodeId> {
        let others = self.voters.iter().filter(|node| **node != self.id);
        others.copied().collect()
    }

    /// The least number of voters that are a majority.
    pub(super) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The greatest value that a majority of voters has reached, by the values known of the others and the node's
    /// own. `None` where fewer than a majority have any.
    pub(super) fn majority_value<T: Ord + Copy>(
        &self,
        of_peers: &BTreeMap<NodeId, T>,
        own: T,
    ) -> Option<T> {
        let known = self.voters.iter().filter_map(|node| of_peers.get(node));
        let mut values: Vec<T> = known.copied().collect();
        values.extend(self.is_voter().then_some(own));
        values.sort_unstable_by_key(|value| Reverse(*value));
        values.get(self.majority() - 1).copied()
    }
}
