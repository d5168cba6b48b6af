//! `day`: runs a scenario on sockets.

use std::io::IsTerminal;
use std::path::PathBuf;

use clap::Args;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_testbed::day::play;
use spokeflow_testbed::{Micros, SECOND};

use super::{exit_code, runtime, write_trace, CommandResult, LogFlags};

/// How often the time is printed where standard error is no terminal.
const PROGRESS_SECONDS: Micros = 10;

/// Flags of `day`.
#[derive(Args)]
pub(crate) struct DayFlags {
    #[command(flatten)]
    scenario: ScenarioFlags,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    /// Writes all that the tap recorded to this file, one JSON value a line
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
    let progress = |at: Micros| {
        let seconds = at / SECOND;
        let total = flags.scenario.seconds;
        if is_terminal {
            eprint!("\r{seconds} s of {total} s and the last answers ");
        } else if seconds % PROGRESS_SECONDS == 0 {
            eprintln!("{seconds} s of {total} s");
        }
    };
    let played = runtime.block_on(play(scenario, starting, progress))?;
    if is_terminal {
        eprintln!();
    }
    if let Some(path) = &flags.trace {
        let lines: Result<Vec<String>, _> = played.seen.iter().map(serde_json::to_string).collect();
        write_trace(path, lines?.into_iter())?;
    }
    match flags.json {
        true => println!("{}", serde_json::to_string_pretty(&played.report)?),
        false => print!("{}", played.report.text()),
    }
    // Not waited for: connections of the fake peers may still be open.
    runtime.shutdown_background();
    Ok(exit_code(played.report.passed()))
}
