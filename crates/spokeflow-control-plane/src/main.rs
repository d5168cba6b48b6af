use std::process::ExitCode;

use clap::Parser;
use spokeflow_control_plane::{main_with, ControlPlaneProgram};

fn main() -> ExitCode {
    main_with(ControlPlaneProgram::parse())
}
