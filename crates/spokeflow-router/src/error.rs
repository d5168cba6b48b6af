//! The errors with which a router ends.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// An error with which a router ends, displayed as one line that names the flag.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address for clients cannot be listened on.
    #[error("--listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The recording cannot be written.
    #[error("--record {}: {source}", .file.display())]
    Record {
        /// The file of the recording.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}
