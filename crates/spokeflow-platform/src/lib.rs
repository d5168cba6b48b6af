//! The router on the platform: its protocol on sockets around `spokeflow-engine`. `docs/platform.md` tells what each
//! exchange becomes and why.
//!
//! One task owns the engine ([`serve`]); tasks of connections only read and write. All that is decided on commands
//! and deliveries is decided by the module inside the engine.

mod arrival;
mod clients;
mod configuration;
mod deployer;
mod discovery;
mod engine_links;
mod hosts;
mod program;
mod reuse;
mod roster;
mod serve;
mod shutdown;

pub use configuration::Configuration;
pub use program::{main_with, PlatformProgram, Signals};
pub use serve::serve;
