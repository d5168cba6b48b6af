//! The fleet rig: real control-plane nodes and routers, with every link to a node through a switchboard, faults drawn
//! from a seed, and a checker that reads only what crossed the switchboard, the hosts and the clients.

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
