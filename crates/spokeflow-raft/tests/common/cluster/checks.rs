//! Invariants of a cluster that are checked at each step.

use spokeflow_raft::{CommittedEntry, Snapshot};

use super::Cluster;

impl Cluster {
    pub(super) fn check_elected(&mut self, index: usize) {
        let leader = self.nodes[index].raft.as_ref();
        let Some(leader) = leader.filter(|raft| raft.is_leader()) else {
            return;
        };
        let known = *self.leaders.entry(leader.term()).or_insert(leader.id());
        assert_eq!(known, leader.id(), "two leaders in {:?}", leader.term());
    }

    pub(super) fn check_acting_leader(&self) {
        let leaders: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.may_act(*index))
            .collect();
        assert!(
            leaders.len() < 2,
            "more than one node may act as leader at {} us: {leaders:?}",
            self.now
        );
    }

    pub(super) fn restore(&mut self, index: usize, snapshot: &Snapshot) {
        let node = &mut self.nodes[index];
        let last_included = snapshot.last_included_index.0;
        let state = self.states[&last_included];
        assert!(
            last_included > node.applied,
            "node {index} was given a snapshot up to {last_included} and had applied up to {} before",
            node.applied
        );
        assert_eq!(
            snapshot.state,
            state.to_be_bytes(),
            "node {index} was given a snapshot with another state at index {last_included}"
        );
        node.applied = last_included;
        node.state = state;
        self.snapshots_restored += 1;
    }

    pub(super) fn apply(&mut self, index: usize, committed: CommittedEntry) {
        let node = &mut self.nodes[index];
        let at = committed.index.0;
        assert_eq!(
            at,
            node.applied + 1,
            "committed entries of node {index} are out of order"
        );
        node.applied = at;
        node.state = node
            .state
            .wrapping_mul(31)
            .wrapping_add(at ^ committed.entry.term.0);
        let known = self
            .committed
            .entry(at)
            .or_insert_with(|| committed.entry.clone());
        assert_eq!(
            *known, committed.entry,
            "two different entries are committed at index {at}"
        );
        assert_eq!(
            *self.states.entry(at).or_insert(node.state),
            node.state,
            "node {index} has another state at index {at}"
        );
    }
}
