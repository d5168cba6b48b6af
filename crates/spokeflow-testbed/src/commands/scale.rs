//! `scale`: measures the control plane at a given size.

use std::process::ExitCode;

use spokeflow_testbed::scale::{scale, Outcome, ScaleFlags};

use super::CommandResult;

pub(crate) fn run_scale(flags: &ScaleFlags) -> CommandResult {
    let report = scale(flags)?;
    println!("{}", report.text());
    Ok(match report.outcome {
        Outcome::Kept => ExitCode::SUCCESS,
        Outcome::Exceeded => ExitCode::FAILURE,
    })
}
