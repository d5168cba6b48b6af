//! Message types, one module per link, and the hello that opens every connection.

pub(crate) mod client;
pub(crate) mod controller;
pub(crate) mod hello;
pub(crate) mod host;
pub(crate) mod list;
