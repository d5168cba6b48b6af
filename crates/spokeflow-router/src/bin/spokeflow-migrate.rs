//! The program `spokeflow-migrate`: see [`spokeflow_router::migrate`].

use std::process::ExitCode;

use clap::Parser;
use spokeflow_router::migrate::{migrate, MigrateProgram};

/// Exit code if the file cannot be migrated. Nothing was written, and each reason is a line on standard error.
const CANNOT_MIGRATE: u8 = 2;

fn main() -> ExitCode {
    let program = MigrateProgram::parse();
    match migrate(&program) {
        Ok(migration) => {
            if program.check {
                print!("{}", migration.text);
            }
            for note in migration.notes {
                eprintln!("spokeflow-migrate: {note}");
            }
            ExitCode::SUCCESS
        }
        Err(errors) => {
            for error in errors.0 {
                eprintln!("spokeflow-migrate: {error}");
            }
            ExitCode::from(CANNOT_MIGRATE)
        }
    }
}
