//! Stand-ins for what surrounds the routers: hosts, list, desk and clients, with faults on a script; a tap that
//! notes what crosses the sockets and what runs at the hosts; and a checker that decides the five rules from
//! that alone. It shares no code with the module's own accounting.
//!
//! The models of hosts, list, desk and clients, the checker and the report are those of `spokeflow-scenario`;
//! this crate puts them on loopback sockets.

pub mod clients;
pub mod commits;
pub mod day;
pub mod fleet;
pub mod hosts;
pub mod load;
pub mod office;
pub mod routers;
pub mod scale;
pub mod tap;

pub use spokeflow_scenario as scenario;
pub use spokeflow_scenario::{Micros, MS, SECOND};
