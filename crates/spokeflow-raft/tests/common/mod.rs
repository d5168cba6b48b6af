//! Timing and configuration of a cluster, shared by the tests of this crate.

use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, RaftConfig};

/// Shortest time without contact from a leader, in microseconds, after which a node may vote for another one.
pub(crate) const ELECTION_TIMEOUT: Micros = 300_000;

/// Returns the configuration of a node in a cluster with these voters.
pub(crate) fn config(voters: impl IntoIterator<Item = u32>) -> RaftConfig {
    RaftConfig {
        voters: voters.into_iter().map(NodeId).collect(),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: 60_000,
        max_clock_drift: 0.01,
    }
}
