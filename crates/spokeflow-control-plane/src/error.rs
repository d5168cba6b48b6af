//! Errors that prevent a node from starting or that end it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::StoreError;

/// Why a node ends without a shutdown signal.
#[derive(Debug, Error)]
pub(crate) enum NodeError {
    /// The node cannot listen on the address.
    #[error("--listen {address}: cannot listen: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The store cannot be opened, read or written.
    #[error("--store {}: {source}", file.display())]
    Store { file: PathBuf, source: StoreError },
    /// The async runtime cannot be built.
    #[error("cannot build the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Another node has seen a later start of this node's store: this node may have voted since and lost the record of
    /// it, and must not vote again. Carries the other node's reason.
    #[error("{0}")]
    StaleStore(String),
    /// The replicated state cannot be read or applied. Leases must not be granted on an empty state in its place.
    #[error("{0}")]
    ReplicatedState(String),
}
