//! `day`: runs a scenario on loopback sockets.

use std::io::IsTerminal;
use std::path::PathBuf;

use clap::Args;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_testbed::day::play;
use spokeflow_testbed::{Micros, SECOND};

use super::{exit_code, runtime, write_trace, CommandResult, LogFlags};

/// Interval between two lines of progress where standard error is not a terminal.
const PROGRESS_SECONDS: Micros = 10;

/// Flags of `day`.
#[derive(Args)]
pub(crate) struct DayFlags {
    #[command(flatten)]
    scenario: ScenarioFlags,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    /// Writes all observations of the tap to this file, one JSON value per line
    #[arg(long)]
    trace: Option<PathBuf>,
    #[command(flatten)]
    logs: LogFlags,
}

pub(crate) fn run_day(flags: &DayFlags) -> CommandResult {
    let scenario = flags.scenario.to_scenario()?;
    let starting = flags.logs.starting()?;
    let runtime = runtime(2)?;
    let is_terminal = std::io::stderr().is_terminal();
    let progress = |elapsed: Micros| {
        let seconds = elapsed / SECOND;
        let total = flags.scenario.seconds;
        if is_terminal {
            eprint!("\r{seconds} s of {total} s and the last answers ");
        } else if seconds % PROGRESS_SECONDS == 0 {
            eprintln!("{seconds} s of {total} s");
        }
    };
    let run = runtime.block_on(play(scenario, starting, progress))?;
    if is_terminal {
        eprintln!();
    }
    if let Some(path) = &flags.trace {
        let lines: Result<Vec<String>, _> =
            run.observations.iter().map(serde_json::to_string).collect();
        write_trace(path, lines?.into_iter())?;
    }
    match flags.json {
        true => println!("{}", serde_json::to_string_pretty(&run.report)?),
        false => print!("{}", run.report.text()),
    }
    // Does not wait for the tasks of the fake peers, whose connections may still be open.
    runtime.shutdown_background();
    Ok(exit_code(run.report.passed()))
}
