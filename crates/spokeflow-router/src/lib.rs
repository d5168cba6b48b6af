//! The router as a program: sockets, time and connections around `spokeflow-engine`.
//!
//! One task owns the engine ([`serve`]); connection tasks only move frames over bounded channels. Nothing on the
//! path of a command takes a lock, writes to disk or waits for a peer.

mod arrival;
mod clients;
mod desk;
mod hosts;
mod keepers;
mod links;
mod list;
pub mod migrate;
mod program;
mod serve;
mod terms;

pub use arrival::Arrival;
pub use keepers::KeeperLink;
pub use program::{main_with, RouterProgram};
pub use serve::{serve, Listening};
pub use terms::RouterTerms;
