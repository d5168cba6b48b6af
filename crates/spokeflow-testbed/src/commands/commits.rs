//! `commits`: measures the rate and latency of control-plane commits.

use std::process::ExitCode;

use spokeflow_testbed::commits::{commits, CommitFlags};

use super::{runtime, CommandResult};

pub(crate) fn measure_commits(flags: &CommitFlags) -> CommandResult {
    runtime(2)?.block_on(commits(flags))?;
    Ok(ExitCode::SUCCESS)
}
