//! Errors of setting up a run of the fleet rig.

use std::path::PathBuf;

use crate::routers::StartError;

/// Why the rig could not be set up. Failures after the set-up are part of the report.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The directory of the nodes' stores cannot be created.
    #[error("cannot create store directory {}: {source}", directory.display())]
    CreateDirectory {
        /// The directory.
        directory: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// No loopback port is available.
    #[error("cannot listen on a loopback port: {0}")]
    Listen(#[source] std::io::Error),
    /// A control-plane node did not start.
    #[error("control-plane node {node} did not start: {source}")]
    StartNode {
        /// Number of the node.
        node: u32,
        /// Why its process did not start.
        source: StartError,
    },
}
