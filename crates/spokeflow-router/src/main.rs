use std::process::ExitCode;

use clap::Parser;
use spokeflow_config::adopt_former_variables;
use spokeflow_platform::PlatformProgram;

/// `platform` as the first argument: the platform's protocol, with flags of its own. Else the project's.
fn main() -> ExitCode {
    adopt_former_variables();
    if std::env::args().nth(1).as_deref() == Some("platform") {
        return spokeflow_platform::main_with(PlatformProgram::parse_from(
            std::env::args().skip(1),
        ));
    }
    spokeflow_router::main_with(spokeflow_router::RouterProgram::parse())
}
