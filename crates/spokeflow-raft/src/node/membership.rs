//! Cluster membership: the voters that the log names, majorities of them, and changes of one voter at a time.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use spokeflow_core::Micros;

use super::{LogIndex, NodeId, Output, Payload, RaftNode};
use crate::{Entry, MembershipError};

impl RaftNode {
    /// Adds or removes one voter; `voters` is the complete set of voters after the change.
    ///
    /// With one change at a time, any majority of the voters before and any majority of the voters after have a node
    /// in common, so no two leaders can be elected in one term. Returns the index of the entry; the change takes
    /// effect when the entry is appended.
    ///
    /// # Errors
    ///
    /// The node cannot change the voters now, or `voters` does not differ from the current voters by one node.
    pub fn propose_membership(
        &mut self,
        now: Micros,
        mut voters: Vec<NodeId>,
        out: &mut Output,
    ) -> Result<LogIndex, MembershipError> {
        self.now = now;
        voters.sort_unstable();
        voters.dedup();
        // An uncommitted change of an earlier leader may still be kept or lost. Committing an entry of the own term
        // decides it.
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

    /// Counts the nodes that have to be added to or removed from the current voters to get `voters`.
    fn difference(&self, voters: &[NodeId]) -> usize {
        let added = voters.iter().filter(|node| !self.voters.contains(node));
        let removed = self.voters.iter().filter(|node| !voters.contains(node));
        added.count() + removed.count()
    }

    /// Sets the voters to those that the log names.
    pub(super) fn update_voters(&mut self) {
        self.voters = self.voters_after(&self.state.log);
    }

    /// Returns the voters after `entries`, a prefix of the log: from the newest membership entry among them, else from
    /// the snapshot, else from the configuration.
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

    /// Returns the voters other than this node.
    pub(super) fn peers(&self) -> Vec<NodeId> {
        let others = self.voters.iter().filter(|node| **node != self.id);
        others.copied().collect()
    }

    /// Returns the smallest number of voters that is a majority.
    pub(super) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the greatest value that a majority of voters has reached, given the known values of the peers and this
    /// node's own; `None` if fewer than a majority have a value.
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
