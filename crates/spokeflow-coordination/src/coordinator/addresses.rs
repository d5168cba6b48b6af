//! Addresses of control-plane nodes: by the flags, the replicated state, and what other nodes have named.

use std::collections::BTreeSet;

use spokeflow_raft::NodeId;

use super::Coordinator;
use crate::VoterAddresses;

/// Addresses that are kept of those that other nodes have named, whoever names more.
const MAX_LEARNED_ADDRESSES: usize = 32;

impl Coordinator {
    /// The address of a node: as the flags say, else the replicated state, else another node.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        self.settings
            .addresses
            .get(&id)
            .or_else(|| self.config.addresses.get(&id))
            .or_else(|| self.learned_addresses.get(&id))
            .map(String::as_str)
    }

    /// All addresses that it knows.
    pub fn addresses(&self) -> Vec<(NodeId, String)> {
        let ids: BTreeSet<NodeId> = self
            .settings
            .addresses
            .keys()
            .chain(self.config.addresses.keys())
            .chain(self.learned_addresses.keys())
            .copied()
            .collect();
        ids.into_iter()
            .filter_map(|id| Some((id, self.address(id)?.to_string())))
            .collect()
    }

    /// Notes addresses that another node has named.
    pub fn learn_addresses(&mut self, addresses: &[(NodeId, String)]) {
        let named = addresses.iter().take(MAX_LEARNED_ADDRESSES);
        self.learned_addresses.extend(named.cloned());
        while self.learned_addresses.len() > MAX_LEARNED_ADDRESSES {
            self.learned_addresses.pop_first();
        }
    }

    /// Brings up to date what routers are told of the voters: those whose first nodes have all been replaced would
    /// find none otherwise.
    pub(super) fn update_voter_addresses(&mut self) {
        let addresses: Vec<String> = self
            .raft
            .voters()
            .iter()
            .filter_map(|id| self.address(*id))
            .map(str::to_string)
            .collect();
        if addresses != self.voter_addresses.addresses {
            self.voter_addresses = VoterAddresses::from(addresses);
        }
    }
}
