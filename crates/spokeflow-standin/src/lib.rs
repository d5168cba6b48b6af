//! Stand-ins for what surrounds the routers: hosts, list, desk and clients, with faults on a script; a tap that
//! notes what crosses the sockets and what runs at the hosts; and a checker that decides the five rules from
//! that alone. It shares no code with the module's own accounting.
//!
//! The models (`host`, `desk`, `scenario`, `check`) do no I/O; the rest puts them on loopback sockets.

pub mod check;
pub mod clients;
pub mod day;
pub mod desk;
pub mod host;
pub mod hosts;
pub mod load;
pub mod office;
pub mod report;
pub mod routers;
pub mod scenario;
pub mod tap;

/// Microseconds since the start of the day.
pub type Micros = i64;
pub const MS: Micros = 1000;
pub const SECOND: Micros = 1_000_000;
