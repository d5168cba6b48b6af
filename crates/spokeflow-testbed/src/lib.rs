//! Fake peers for what surrounds the routers: hosts, endpoint registry, release controller and clients on loopback
//! sockets, with faults on a script; a tap that records what crosses the sockets and what runs at the hosts; and a
//! checker that decides the five rules from that alone. It shares no code with the router's own accounting.
//!
//! The models of hosts, registry, release controller and clients, the checker and the report are those of
//! `spokeflow-scenario`; this crate puts them on sockets. Beside it: the fleet rig, which injects faults between real
//! control-plane nodes and routers, and the load and scale measurements.

mod client_connection;
mod clients;
pub mod commits;
mod context;
pub mod day;
mod endpoint_registry;
pub mod fleet;
mod hosts;
pub mod load;
mod release_controller;
mod router_flags;
pub mod routers;
pub mod scale;
mod tap;

use std::sync::{Mutex, MutexGuard};

pub use spokeflow_scenario as scenario;
pub use spokeflow_scenario::{Micros, MS, SECOND};

/// The guard of a mutex whose holders never panic.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
