//! The router on the platform: the platform's protocol on sockets around `spokeflow-engine`. `docs/platform.md` maps
//! each exchange of the protocol to the engine's messages and gives the reasons.
//!
//! One task owns the engine (`engine_task.rs`); the tasks of connections only read and write. Every decision on
//! commands and deliveries is made by the decision module inside the engine.

mod acceptor;
mod client_connection;
mod client_link;
mod client_request;
mod configuration;
mod connection_state;
mod derived;
mod discovery;
mod endpoint_table;
mod engine_state;
mod engine_task;
mod event;
mod host_answer;
mod idle_connections;
mod idle_lifetime;
mod limits;
mod listener_context;
mod listing_decoder;
mod memory_limits;
mod memory_pool;
mod message_buffer;
mod program;
mod read_buffer;
mod release_controller;
mod reload;
mod request_ids;
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
