//! `pass`: runs the pass-through that `load` compares a router with.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use spokeflow_testbed::load::pass_through;

/// Flags of `pass`.
#[derive(Args)]
pub(crate) struct PassFlags {
    /// Address of a host; may be repeated
    #[arg(long)]
    host: Vec<SocketAddr>,
}

/// Runs the pass-through until it fails. The exit code then is 1, not that of invalid arguments.
pub(crate) fn run_pass_through(flags: &PassFlags) -> ExitCode {
    let run = || -> Result<(), Box<dyn Error>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Ok(runtime.block_on(pass_through(&flags.host))?)
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spokeflow-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
