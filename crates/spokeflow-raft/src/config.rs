//! Settings of a node: the initial voters and the timing that all nodes of a cluster share.

use spokeflow_core::Micros;

use crate::NodeId;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Voters where the log does not name others; empty for a node that is yet to be added.
    pub voters: Vec<NodeId>,
    /// Shortest time without contact from a leader, in microseconds of a node's own clock, after which it may vote
    /// for another one.
    pub election_timeout: Micros,
    /// Time between two rounds of a leader, in microseconds.
    pub heartbeat_interval: Micros,
    /// How much faster or slower than true time a clock may run, as a fraction.
    pub max_clock_drift: f64,
}

impl RaftConfig {
    /// For how long after the sending of a round that a majority has answered no other leader can be elected, in
    /// microseconds of the leader's own clock.
    ///
    /// A voter whose clock runs fast waits for less than the election timeout of true time, and a leader whose clock
    /// runs slow measures more: both are taken off.
    pub(crate) fn leader_lease(&self) -> Micros {
        let lease = self.election_timeout as f64 * (1.0 - self.max_clock_drift)
            / (1.0 + self.max_clock_drift);
        lease as Micros
    }
}
