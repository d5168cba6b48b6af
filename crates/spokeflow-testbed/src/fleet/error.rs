//! Why a run of the fleet rig could not be set up.

use std::path::PathBuf;

use crate::routers::StartError;

/// A failure to set the rig up; what goes wrong later is part of the report.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The directory of the nodes' stores cannot be created.
    #[error("cannot create {}: {source}", directory.display())]
    CreateDirectory {
        /// The directory.
        directory: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// No loopback port can be had.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[source] std::io::Error),
    /// A node of the first configuration does not start.
    #[error("node {node} does not start: {source}")]
    StartNode {
        /// Its number.
        node: u32,
        /// The cause.
        source: StartError,
    },
}
