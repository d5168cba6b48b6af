//! Addresses of control-plane nodes: from the flags, the replicated state, and other nodes.

use std::collections::BTreeSet;

use spokeflow_raft::NodeId;

use super::Coordinator;
use crate::VoterAddresses;

/// Maximum number of addresses reported by other nodes that are kept, which bounds the memory that callers can use.
const MAX_LEARNED_ADDRESSES: usize = 32;

impl Coordinator {
    /// Returns the address of a node: from the flags, else from the replicated state, else as another node reported it.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        self.settings
            .addresses
            .get(&id)
            .or_else(|| self.config.addresses.get(&id))
            .or_else(|| self.learned_addresses.get(&id))
            .map(String::as_str)
    }

    /// Returns the addresses of all nodes for which one is known.
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

    /// Records addresses that another node has reported.
    pub fn learn_addresses(&mut self, addresses: &[(NodeId, String)]) {
        let reported = addresses.iter().take(MAX_LEARNED_ADDRESSES);
        self.learned_addresses.extend(reported.cloned());
        while self.learned_addresses.len() > MAX_LEARNED_ADDRESSES {
            self.learned_addresses.pop_first();
        }
    }

    /// Updates the addresses of the voters that are sent to routers. Without them, a router would find no node once all
    /// nodes that it was started with have been replaced.
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
