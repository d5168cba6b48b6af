//! The router as a program: sockets, time and connections around `spokeflow-engine`.
//!
//! One task owns the engine ([`serve`]); connection tasks only move frames over bounded channels. Nothing on the
//! path of a command takes a lock, writes to disk or waits for a peer.

mod cached_list;
mod clients;
mod control_plane;
mod event;
mod flags;
mod hosts;
mod links;
mod list;
pub mod migrate;
mod program;
mod release_controller;
mod serve;

pub use control_plane::ControlPlaneLink;
pub use event::EngineEvent;
pub use flags::RouterFlags;
pub use program::{main_with, RouterProgram};
pub use serve::{serve, Listening};
