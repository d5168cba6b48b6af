//! The router as a program: sockets, time and connections around `spokeflow-engine`.
//!
//! One task owns the engine ([`serve`]); connection tasks only move frames over bounded channels. Nothing on the
//! path of a command takes a lock, writes to disk or waits for a peer.

mod acceptor;
mod cached_list;
mod client_connection;
mod control_plane;
mod engine_state;
mod error;
mod event;
mod flags;
mod host_connection;
mod host_link;
mod link_config;
mod links;
mod list;
pub mod migrate;
mod program;
mod recorder;
mod release_controller;
mod serve;
mod shutdown;
mod transport;

pub use acceptor::Listening;
pub use control_plane::ControlPlaneLink;
pub use error::ServeError;
pub use event::EngineEvent;
pub use flags::RouterFlags;
pub use program::{main_with, RouterProgram};
pub use serve::serve;
