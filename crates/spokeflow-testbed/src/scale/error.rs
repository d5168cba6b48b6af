//! Why a scale run cannot begin, or ends before its last phase.

use std::path::PathBuf;

use super::bounds::ExceededBounds;
use super::flags::FlagsError;
use crate::routers::StartError;

/// Why a run cannot begin; nothing was started.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The flags do not fit together.
    #[error(transparent)]
    Flags(#[from] FlagsError),
    /// The system does not tell its memory.
    #[error("/proc/meminfo: {0}")]
    Memory(#[from] procfs::ProcError),
    /// The system does not tell how many descriptors a process may have.
    #[error("ulimit -n: {0}")]
    Descriptors(#[from] nix::Error),
    /// The run is too large for this machine.
    #[error("this run needs {0}")]
    Exceeded(#[from] ExceededBounds),
    /// This program cannot be started once more.
    #[error("cannot find this program: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// The runtime cannot be built.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// A path that a flag names cannot be used.
    #[error("{flag} {}: {source}", path.display())]
    Path {
        /// The flag.
        flag: &'static str,
        /// The path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The directory of the stores cannot be created.
    #[error("{}: {source}", directory.display())]
    CreateStores {
        /// The directory.
        directory: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// No loopback port can be had.
    #[error("no port on loopback: {0}")]
    Listen(#[source] std::io::Error),
    /// The report cannot be encoded.
    #[error("cannot write the report: {0}")]
    Report(#[from] serde_json::Error),
}

/// Why a run ends before its last phase.
#[derive(Debug, thiserror::Error)]
pub(super) enum RunError {
    #[error("{name} cannot be started: {source}")]
    Start { name: String, source: StartError },
    #[error("{name} cannot be started: it did not say that its routers start, but '{line}'")]
    StartHollow { name: String, line: String },
    #[error("{name}: {source}")]
    SendCommand {
        name: String,
        source: std::io::Error,
    },
    #[error("{starting} of {routers} routers were not ready in time")]
    NotReady { starting: usize, routers: u32 },
}
