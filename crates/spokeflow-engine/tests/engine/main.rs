//! The engine alone, driven through its inputs with a transport that only logs.

mod commands;
#[path = "../common/mod.rs"]
mod common;
mod deliveries;
mod endpoint_list;
mod recording;
mod rollout;
