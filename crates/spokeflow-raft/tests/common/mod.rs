//! What the tests of the node share: the timing and the configuration of a cluster.

use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, RaftConfig};

/// Shortest time without a leader after which a node may vote for another one.
pub(crate) const ELECTION_TIMEOUT: Micros = 300_000;

/// The configuration of a cluster with these voters.
pub(crate) fn config(voters: impl IntoIterator<Item = u32>) -> RaftConfig {
    RaftConfig {
        voters: voters.into_iter().map(NodeId).collect(),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: 60_000,
        max_clock_drift: 0.01,
    }
}
