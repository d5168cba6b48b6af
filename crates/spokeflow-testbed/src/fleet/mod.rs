//! The fleet rig: real processes of keepers and routers, every link to a keeper through a switchboard, faults drawn
//! from a seed, and a checker that reads only what crossed the switchboard, the hosts and the clients.

mod check;
pub(crate) mod peers;
mod plan;
mod play;
mod switchboard;

pub use check::{Report, Slack};
pub use plan::{Disk, Fault};
pub use play::{play, FleetTerms};
pub use switchboard::{Crossed, Frame, Node, Way};
