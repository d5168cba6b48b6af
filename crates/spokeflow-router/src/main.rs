//! The program `spokeflow-router`: a router of the project's own protocol. With `platform` as the first argument it is a
//! router of the platform's protocol, which has its own flags.

use std::process::ExitCode;

use clap::Parser;
use spokeflow_config::adopt_former_variables;
use spokeflow_platform::PlatformProgram;
use spokeflow_router::RouterProgram;

fn main() -> ExitCode {
    adopt_former_variables();
    if std::env::args().nth(1).as_deref() == Some("platform") {
        let arguments = std::env::args().skip(1);
        return spokeflow_platform::main_with(PlatformProgram::parse_from(arguments));
    }
    spokeflow_router::main_with(RouterProgram::parse())
}
