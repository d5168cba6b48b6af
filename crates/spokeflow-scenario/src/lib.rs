//! What a run is made of, the same whether it is played on sockets or in simulated time: sizes, traffic, builds
//! and faults; the models of hosts, host list and release controller; what is observed of a run, the checker that
//! decides the five rules from that alone, and the report. No I/O; time is handed in; chance comes from seeds.

pub mod active_faults;
pub mod check;
pub mod endpoint_registry;
pub mod flags;
pub mod host;
pub mod observation;
pub mod release_controller;
pub mod report;
pub mod router_picker;
pub mod scenario;
pub mod traffic;

/// Microseconds since the start of the run.
pub type Micros = i64;
/// A millisecond.
pub const MS: Micros = 1000;
/// A second.
pub const SECOND: Micros = 1_000_000;
