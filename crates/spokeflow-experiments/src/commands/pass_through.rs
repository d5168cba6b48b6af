//! `pass`: the plain pass-through that `load` compares a router with.

use std::net::SocketAddr;

use clap::Args;
use spokeflow_testbed::load::pass_through;

use super::{CommandError, Outcome};

/// Flags of the hidden subcommand `pass`.
#[derive(Args)]
pub(crate) struct PassThroughFlags {
    #[arg(long)]
    host: Vec<SocketAddr>,
}

/// Forwards connections to the hosts until the process is ended.
///
/// # Errors
/// No runtime could be started, or the listener failed.
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
