//! The error of a load measurement.

use std::net::SocketAddr;

use spokeflow_proto::{FrameError, ToClient};

use super::clients::WELCOME_TIMEOUT;
use crate::routers::StartError;

/// A load cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// One of the counts that must be at least 1 is 0.
    #[error("--hosts, --rate, --connections, --seconds: at least 1")]
    ZeroCount,
    /// The path of this program, which starts itself again, cannot be determined.
    #[error("cannot determine the path of this program: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// A loopback port cannot be bound, or accepting a connection failed.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[source] std::io::Error),
    /// A process cannot be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A connection to a host or to the router cannot be opened.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the host or router.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A frame cannot be sent or read.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The router closed a client's connection before its welcome.
    #[error("the router closed the client connection before its welcome")]
    Disconnected,
    /// The router sent another message than its welcome.
    #[error("expected the router's welcome, got {0:?}")]
    NotWelcome(Box<ToClient>),
    /// The client got no welcome in time.
    #[error("no welcome from the router within {WELCOME_TIMEOUT:?}")]
    WelcomeTimedOut,
    /// A report cannot be written.
    #[error("cannot write the report: {0}")]
    Report(#[from] serde_json::Error),
}
