//! Runs real router processes against fake hosts, a fake endpoint registry, a fake release controller and fake clients
//! on loopback sockets, with scripted faults. A tap records the messages on the sockets and the commands that run at the
//! hosts, and a checker evaluates the five rules from that record alone: it shares no code with the router's own
//! accounting.
//!
//! The models of hosts, registry, release controller and clients, the checker and the report come from
//! `spokeflow-scenario`; this crate serves the models on sockets. It also contains the fleet rig, which injects faults
//! between real control-plane nodes and routers, and the measurements of load, scale and commits.

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

/// Locks a mutex whose holders never panic.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
