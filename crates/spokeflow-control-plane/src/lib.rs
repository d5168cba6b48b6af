//! The control-plane server: one of the few processes that hold the replicated configuration of a fleet.
//!
//! This crate is the I/O around `spokeflow-coordination`: sockets, the durable store and timers. One task owns the
//! coordinator (`node_task`); connection tasks and the persistence thread reach it by events. `docs/agreement.md` is
//! the design note, `docs/operate/fleet.md` the operators' page.

pub mod client;

mod admission;
mod crash_point;
mod error;
mod flags;
mod inbound;
mod link;
mod list;
mod node_event;
mod node_task;
mod outbound;
mod peers;
mod persistence;
mod program;
mod startup;
mod store;

pub use crash_point::{CrashPoint, CrashTarget, CRASH_POINTS};
pub use flags::{ControlPlaneFlags, MemberFlag};
pub use program::{main_with, ControlPlaneProgram};
pub use store::{OpenedStore, ProcessStart, Store, StoreError};
