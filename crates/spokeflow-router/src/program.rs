use std::process::ExitCode;

use clap::Parser;

use spokeflow_runtime::{init_logging, shutdown_signal};

use crate::{serve, Listening, RouterFlags};

/// Sends commands to hosts, keeps every key at one build while a release is rolled out, and votes it on or back.
#[derive(Debug, Parser)]
#[command(name = "spokeflow-router", version)]
#[command(
    after_help = "On the platform, `spokeflow-router platform` speaks its protocol; see `spokeflow-router platform --help`."
)]
pub struct RouterProgram {
    #[command(flatten)]
    pub terms: RouterFlags,
}

/// Runs the router until SIGTERM or SIGINT. Exit code 0: ended as asked; 1: could not go on; 2: bad terms.
pub fn main_with(program: RouterProgram) -> ExitCode {
    let terms = program.terms;
    if let Err(errors) = terms.check() {
        errors
            .lines()
            .iter()
            .for_each(|fault| eprintln!("spokeflow-router: {fault}"));
        return ExitCode::from(2);
    }
    if let Err(fault) = init_logging(&terms.log, terms.log_form) {
        eprintln!("spokeflow-router: {fault}");
        return ExitCode::from(2);
    }
    // One thread: the engine is one task, and waking it across threads costs more than its peers' frames.
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("spokeflow-router: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    let ended = runtime.block_on(async {
        let listening = Listening::open(&terms).await?;
        println!("listening on {}", listening.address());
        serve(terms, listening, shutdown_signal()).await
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spokeflow-router: {error}");
            ExitCode::FAILURE
        }
    }
}
