use std::process::ExitCode;

use clap::Parser;
use spokeflow_keeper::{main_with, KeeperProgram};

fn main() -> ExitCode {
    main_with(KeeperProgram::parse())
}
