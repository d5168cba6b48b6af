use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    spokeflow_router::main_with(spokeflow_router::RouterProgram::parse())
}
