//! Experiments: plays many scenarios in simulated time, stores the results, and presents them as tables and charts.

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
