//! The lab: many days in simulated time, kept in a store, as tables and as charts.

pub mod agree;
pub mod agreement;
pub mod alone;
pub mod capacity;
pub mod charts;
pub mod compare;
pub mod hunt;
pub mod plan;
pub mod store;
pub mod sweep;
pub mod tables;
