//! The state of a router, without decision logic: operations, commands, sticky assignments, hosts
//! and sliding windows.

mod candidates;
mod command;
mod hosts;
mod operation;
mod ready;
mod sticky;
mod window;

pub use candidates::CandidateSet;
pub use command::{Command, Delivery};
pub use hosts::{Hosts, StartSpans};
pub use operation::{LatencyCount, OperationState};
pub use ready::{BoundedPositions, ReadyHost, ReadyHosts, RecentStarts, WarmHosts};
pub use sticky::StickyAssignment;
pub use window::Window;
