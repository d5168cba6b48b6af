//! The program's arguments and exit codes.

use std::process::ExitCode;

use clap::Parser;
use rand::RngExt;
use spokeflow_raft::NodeId;
use spokeflow_runtime::init_logging;

use crate::error::NodeError;
use crate::startup::run_node;
use crate::{ControlPlaneFlags, Store};

/// Runs a node of the control plane, which replicates the configuration of all routers of a fleet.
#[derive(Debug, Parser)]
#[command(name = "spokeflow-control-plane", version)]
pub struct ControlPlaneProgram {
    /// The flags of the node.
    #[command(flatten)]
    pub flags: ControlPlaneFlags,
}

/// Runs a node until SIGTERM or SIGINT. Exit code 0: shut down by a signal; 1: ended by an error; 2: invalid flags.
pub fn main_with(program: ControlPlaneProgram) -> ExitCode {
    let flags = program.flags;
    if let Err(errors) = flags.check() {
        for line in errors.lines() {
            eprintln!("spokeflow-control-plane: {line}");
        }
        return ExitCode::from(2);
    }
    if let Err(error) = init_logging(&flags.log, flags.log_form) {
        eprintln!("spokeflow-control-plane: {error}");
        return ExitCode::from(2);
    }
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spokeflow-control-plane: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: ControlPlaneFlags) -> Result<(), NodeError> {
    let process = rand::rng().random();
    let opened = Store::open(
        &flags.store,
        flags.fleet,
        NodeId(flags.id),
        flags.fail_writes_from,
        process,
    )
    .map_err(|source| NodeError::Store {
        file: flags.store.clone(),
        source,
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    runtime.block_on(run_node(flags, opened))
}
