//! Why a router cannot run.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// Why a router cannot run, in one line that names the flag.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address for clients cannot be listened on.
    #[error("--listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The recording cannot be written.
    #[error("--record {}: {source}", .file.display())]
    Record {
        /// The file of the recording.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
}
