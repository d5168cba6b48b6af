//! Experiments: many scenarios in simulated time, kept in a store, as tables and as charts.

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
