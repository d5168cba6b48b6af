//! The fleet rig: runs real control-plane nodes and routers under faults and checks what they did.
//!
//! Every connection to a node passes through the switchboard, a proxy that records frames and disturbs links. Faults
//! come from a script or are drawn from a seed. The checker reads only frames that the switchboard recorded, deliveries
//! that hosts received, and commands and answers of clients.

mod check;
mod clients;
mod error;
mod faults;
mod inject;
mod observations;
pub(crate) mod peers;
mod plan;
mod proposals;
mod pump;
mod report;
mod rig;
mod run;
mod switchboard;

pub use error::FleetError;
pub use faults::{Disk, Fault, ScriptedFault};
pub use report::Report;
pub use rig::FleetConfig;
pub use run::{run, FleetRun};
pub use switchboard::{Frame, FramePayload, Link, LinkCondition, Participant};
