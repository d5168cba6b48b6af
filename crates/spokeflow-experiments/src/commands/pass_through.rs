//! `pass`: a pass-through that forwards commands to hosts in turn, the baseline that `load` compares a router with.

use std::net::SocketAddr;

use clap::Args;
use spokeflow_testbed::load::pass_through;

use super::{CommandError, Outcome};

/// Flags of the hidden subcommand `pass`.
#[derive(Args)]
pub(crate) struct PassThroughFlags {
    /// Addresses of the hosts
    #[arg(long)]
    host: Vec<SocketAddr>,
}

/// Forwards each command to the next host in turn until the process is stopped.
///
/// # Errors
/// The tokio runtime could not be started, a host cannot be reached, or the listener failed.
pub(crate) fn serve_pass_through(flags: &PassThroughFlags) -> Result<Outcome, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime
        .block_on(pass_through(&flags.host))
        .map_err(CommandError::testbed)?;
    Ok(Outcome::Success)
}
