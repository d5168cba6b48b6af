//! The control-plane server as a program.

use std::process::ExitCode;

use clap::Parser;
use spokeflow_config::adopt_former_variables;
use spokeflow_control_plane::{main_with, ControlPlaneProgram};

fn main() -> ExitCode {
    adopt_former_variables();
    main_with(ControlPlaneProgram::parse())
}
