use std::process::ExitCode;

use clap::Parser;
use spokeflow_control_plane::{main_with, KeeperProgram};

fn main() -> ExitCode {
    main_with(KeeperProgram::parse())
}
