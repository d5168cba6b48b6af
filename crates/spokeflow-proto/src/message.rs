//! The messages, one module for each link.

pub(crate) mod client;
pub(crate) mod controller;
pub(crate) mod hello;
pub(crate) mod host;
pub(crate) mod list;
