//! Why a node cannot start or go on.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::StoreError;

/// What ends a node other than a shutdown signal.
#[derive(Debug, Error)]
pub(crate) enum NodeError {
    /// The address cannot be listened on.
    #[error("--listen {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The store cannot be opened, read or written.
    #[error("--store {}: {source}", file.display())]
    Store { file: PathBuf, source: StoreError },
    /// The runtime cannot be built.
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
    /// Another node knows a later state of this one's store: this one may have voted and forgotten it, and must not
    /// vote again.
    #[error("{0}")]
    StaleStore(String),
    /// The replicated state cannot be read or applied. Leases must not be granted on an empty one in its place.
    #[error("{0}")]
    ReplicatedState(String),
}
