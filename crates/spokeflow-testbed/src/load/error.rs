//! Why a load cannot be measured.

use spokeflow_proto::{FrameError, ToClient};

use crate::routers::StartError;

/// Why a load cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A count that must not be 0 is.
    #[error("--hosts, --rate, --connections, --seconds: at least 1")]
    ZeroCount,
    /// This program cannot be started once more.
    #[error("cannot find this program: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// The runtime cannot be built.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// No loopback port can be had.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[source] std::io::Error),
    /// A process does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A connection cannot be made.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// A frame cannot be sent or read.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The router ended a client's connection before its welcome.
    #[error("no welcome: the connection ended")]
    Disconnected,
    /// The router sent something else than its welcome.
    #[error("no welcome but {0:?}")]
    NotWelcome(Box<ToClient>),
    /// The router sent no welcome in time.
    #[error("no welcome in time")]
    WelcomeTimedOut,
    /// A report cannot be written.
    #[error("cannot write the report: {0}")]
    Report(#[from] serde_json::Error),
}
