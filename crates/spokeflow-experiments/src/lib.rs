//! Experiments: plays many scenarios in simulated time, stores the results, and presents them as tables and charts.
//!
//! The measure of a run is its *service*: the weight of the commands acked within the latency objective, divided by the
//! weight of the commands due, where a command weighs by its priority. The strategy *full sight* routes on the true
//! state of hosts and builds, which no real router knows; its service is the upper bound that other strategies are
//! compared with.

pub mod agree;
pub mod agreement;
pub mod capacity;
pub mod charts;
pub mod compare;
pub mod hunt;
pub mod plan;
pub mod solo_evidence;
pub mod store;
pub mod sweep;
pub mod tables;
