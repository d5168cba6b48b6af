//! Why a scale run cannot begin, or ends before its last phase.

use std::path::PathBuf;
use std::time::Duration;

use super::bounds::ExceededBounds;
use super::flags::FlagsError;
use super::hollow::STARTED;
use crate::routers::StartError;

/// Why a run cannot begin; nothing was started.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The flags are invalid.
    #[error(transparent)]
    Flags(#[from] FlagsError),
    /// The memory size of the machine cannot be read.
    #[error("cannot read the memory size from /proc/meminfo: {0}")]
    Memory(#[from] procfs::ProcError),
    /// The limit of open file descriptors cannot be read.
    #[error("cannot read the limit of open file descriptors (ulimit -n): {0}")]
    Descriptors(#[from] nix::Error),
    /// The run is too large for this machine.
    #[error("this run needs {0}")]
    Exceeded(#[from] ExceededBounds),
    /// The path of this program is not known, so that no process of it can be started.
    #[error("cannot find the path of this program: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// The async runtime cannot be built.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// A path that a flag names cannot be used.
    #[error("cannot write to {flag} {}: {source}", path.display())]
    Path {
        /// The flag.
        flag: &'static str,
        /// The path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The directory of the stores cannot be created.
    #[error("cannot create the store directory {}: {source}", directory.display())]
    CreateStores {
        /// The directory.
        directory: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// No loopback port can be opened.
    #[error("cannot listen on a loopback port: {0}")]
    Listen(#[source] std::io::Error),
    /// The report cannot be encoded.
    #[error("cannot encode the report as JSON: {0}")]
    Report(#[from] serde_json::Error),
}

/// Why a run ends before its last phase.
#[derive(Debug, thiserror::Error)]
pub(super) enum RunError {
    #[error("{name} cannot be started: {source}")]
    Start { name: String, source: StartError },
    #[error(
        "{name} cannot be started: expected the line '{STARTED}' on standard output, got '{line}'"
    )]
    StartHollow { name: String, line: String },
    #[error("cannot send a command to {name}: {source}")]
    SendCommand {
        name: String,
        source: std::io::Error,
    },
    #[error("{starting} of {routers} routers were not ready within {within:?}")]
    NotReady {
        starting: usize,
        routers: u32,
        within: Duration,
    },
}
