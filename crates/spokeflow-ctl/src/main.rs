//! `spokeflowctl`: the operators' command line for the control plane.

mod args;
mod error;
mod membership;
mod output;
mod revisions;
mod session;

use std::process::ExitCode;

use clap::Parser;
use spokeflow_config::adopt_former_variables;

use crate::args::{Command, Program};
use crate::error::CtlError;
use crate::membership::VoterChange;
use crate::output::Output;
use crate::session::Session;

fn main() -> ExitCode {
    adopt_former_variables();
    match run(Program::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spokeflowctl: {error}");
            error.exit_code()
        }
    }
}

fn run(program: Program) -> Result<(), CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CtlError::Runtime)?;
    let session = Session {
        nodes: program.connection.control_plane,
        within: program.connection.within,
    };
    let output = Output {
        json: program.connection.json,
    };
    runtime.block_on(run_command(program.command, &session, &output))
}

async fn run_command(command: Command, session: &Session, output: &Output) -> Result<(), CtlError> {
    match command {
        Command::Status => {
            let status = session.status().await?;
            output.print(&status, || output::status_text(&status))
        }
        Command::History => {
            let status = session.status().await?;
            output.print(&status.history, || output::history_table(&status.history))
        }
        Command::Propose(flags) => revisions::propose(session, output, flags).await,
        Command::Diff { values } => revisions::diff(session, output, &values).await,
        Command::Check { values } => revisions::check(output, &values),
        Command::Watch { revision } => revisions::wait_for(session, output, revision).await,
        Command::Register { node, address } => membership::register(session, node, address).await,
        Command::AddNode { node } => VoterChange::Add(node).apply(session, output).await,
        Command::RemoveNode { node } => VoterChange::Remove(node).apply(session, output).await,
    }
}
