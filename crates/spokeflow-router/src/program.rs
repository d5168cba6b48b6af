//! The router as a program: its command line, its runtime and its exit codes.

use std::process::ExitCode;

use clap::Parser;
use spokeflow_runtime::{init_logging, shutdown_signal};

use crate::error::ServeError;
use crate::{serve, Listening, RouterFlags};

/// Exit code of flags that are invalid.
const BAD_FLAGS: u8 = 2;

/// Sends commands to hosts, keeps every key at one build while a release is rolled out, and votes to promote or roll
/// back.
#[derive(Debug, Parser)]
#[command(name = "spokeflow-router", version)]
#[command(
    after_help = "On the platform, `spokeflow-router platform` serves its protocol; see `spokeflow-router platform --help`."
)]
pub struct RouterProgram {
    /// The router's configuration.
    #[command(flatten)]
    pub flags: RouterFlags,
}

/// Runs the router until SIGTERM or SIGINT. Exit code 0: ended by a signal; 1: an error kept it from running; 2: invalid
/// flags.
pub fn main_with(program: RouterProgram) -> ExitCode {
    let flags = program.flags;
    if let Err(errors) = flags.check() {
        for line in errors.lines() {
            eprintln!("spokeflow-router: {line}");
        }
        return ExitCode::from(BAD_FLAGS);
    }
    if let Err(error) = init_logging(&flags.log, flags.log_form) {
        eprintln!("spokeflow-router: {error}");
        return ExitCode::from(BAD_FLAGS);
    }
    // One thread: the engine is one task, and waking it from other threads would cost more than handling the frames.
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("spokeflow-router: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spokeflow-router: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: RouterFlags) -> Result<(), ServeError> {
    let listening = Listening::open(&flags).await?;
    println!("listening on {}", listening.address());
    serve(flags, listening, shutdown_signal()).await
}
