//! The router on the platform: its protocol on sockets around `spokeflow-engine`. `docs/platform.md` says what each
//! exchange becomes and why.
//!
//! One task owns the engine (`serve.rs`); tasks of connections only read and write. All that is decided on commands
//! and deliveries is decided by the module inside the engine.

mod acceptor;
mod client_connection;
mod configuration;
mod connection_state;
mod derived;
mod discovery;
mod endpoint_table;
mod engine_state;
mod engine_task;
mod event;
mod idle_connections;
mod idle_lifetime;
mod limits;
mod listener_context;
mod listing_decoder;
mod program;
mod release_controller;
mod reload;
mod request_schema;
mod request_wait;
mod rollout_line;
mod send_latency;
mod serve;
mod shutdown;
mod transport;
mod unread;
mod upstream;

pub use program::{main_with, PlatformProgram};
