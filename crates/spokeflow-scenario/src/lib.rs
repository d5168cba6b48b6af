//! Everything that a run on sockets and a run in simulated time have in common: the scenario (sizes, traffic, builds
//! and faults), the models of hosts, endpoint list and release controller, the observations of a run, the checker
//! that evaluates the five rules from the observations alone, and the report. There is no I/O: the caller passes the
//! time in, and all random draws come from seeds.

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
/// One millisecond.
pub const MS: Micros = 1000;
/// One second.
pub const SECOND: Micros = 1_000_000;
