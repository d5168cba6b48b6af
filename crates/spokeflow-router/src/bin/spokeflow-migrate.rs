use std::process::ExitCode;

use clap::Parser;
use spokeflow_router::migrate::{carry, MigrateProgram};

/// Exit code 0: carried over, or it would be; 2: nothing written, each fault on a line of standard error.
fn main() -> ExitCode {
    let program = MigrateProgram::parse();
    match carry(&program) {
        Ok((text, notes)) => {
            if program.check {
                print!("{text}");
            }
            notes
                .iter()
                .for_each(|note| eprintln!("spokeflow-migrate: {note}"));
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults
                .0
                .iter()
                .for_each(|fault| eprintln!("spokeflow-migrate: {fault}"));
            ExitCode::from(2)
        }
    }
}
