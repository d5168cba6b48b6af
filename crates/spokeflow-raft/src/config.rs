//! Settings of a node: the initial voters and the timing that all nodes of a cluster share.

use spokeflow_core::Micros;

use crate::NodeId;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Voters for as long as the log names none; empty for a node that is yet to be added.
    pub voters: Vec<NodeId>,
    /// Shortest time without contact from a leader, in microseconds of a node's own clock, after which the node may
    /// vote for another leader.
    pub election_timeout: Micros,
    /// Time between two rounds of append messages of a leader, in microseconds.
    pub heartbeat_interval: Micros,
    /// Largest deviation of a clock's rate from true time, in either direction, as a fraction.
    pub max_clock_drift: f64,
}

impl RaftConfig {
    /// Returns for how long after sending a round that a majority has answered no other leader can be elected, in
    /// microseconds of the leader's own clock.
    ///
    /// Shorter than the election timeout for two reasons: a voter whose clock runs fast waits less than the timeout in
    /// true time, and a leader whose clock runs slow takes more true time to measure the same duration.
    pub(crate) fn leader_lease(&self) -> Micros {
        let lease = self.election_timeout as f64 * (1.0 - self.max_clock_drift)
            / (1.0 + self.max_clock_drift);
        lease as Micros
    }
}
