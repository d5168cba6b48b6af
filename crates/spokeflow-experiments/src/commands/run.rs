//! `run`: plays one scenario in simulated time and prints its report.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Args;
use spokeflow_experiments::charts;
use spokeflow_experiments::plan::ConfigOverrides;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_scenario::report::Report;
use spokeflow_scenario::SECOND;
use spokeflow_simulator::{play, ScenarioRun, StrategyKind};

use super::{CommandError, Outcome};

/// Flags of `run`.
#[derive(Args)]
pub(crate) struct RunFlags {
    #[command(flatten)]
    scenario: ScenarioFlags,
    /// Routing strategy: engine, random, round-robin, two-choices or full-sight
    #[arg(
        value_name = "WHO",
        long = "who",
        env = "SPOKEFLOW_LAB_WHO",
        default_value = "engine"
    )]
    strategy: StrategyKind,
    /// Overrides of settings: usual (none), or NAME=VALUE joined by +
    #[arg(
        value_name = "TERMS",
        long = "terms",
        env = "SPOKEFLOW_LAB_TERMS",
        default_value = "usual"
    )]
    overrides: ConfigOverrides,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    /// Writes charts of the run over time into this folder, as SVG and PNG
    #[arg(long)]
    charts: Option<PathBuf>,
    /// Prints the speed of the simulation and its peak numbers of objects to standard error
    #[arg(long)]
    cost: bool,
}

/// Plays the scenario, writes its charts if `--charts` is set, and prints its report.
///
/// # Errors
/// A flag is invalid, or the charts cannot be written.
pub(crate) fn run(flags: &RunFlags) -> Result<Outcome, CommandError> {
    let mut scenario = flags
        .scenario
        .to_scenario()
        .map_err(CommandError::scenario)?;
    flags.overrides.apply(&mut scenario);
    let started_at = Instant::now();
    let played = play(&scenario, flags.strategy, true);
    if flags.cost {
        print_cost(&played, started_at.elapsed());
    }
    let report = &played.report;
    if let Some(folder) = &flags.charts {
        write_charts(folder, report, flags.strategy)?;
    }
    if flags.json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{}", report.text());
    }
    Ok(Outcome::from_rules_held(report.passed()))
}

/// Prints the speed of the simulation to standard error, with the peak numbers of scheduled events, open attempts and
/// host slots.
fn print_cost(played: &ScenarioRun, elapsed: Duration) {
    let elapsed_seconds = elapsed.as_secs_f64();
    let simulated_seconds = played.span as f64 / SECOND as f64;
    let [scheduled, attempts, hosts] = played.most_kept;
    eprintln!(
        "simulated {simulated_seconds:.0} s in {elapsed_seconds:.2} s: {:.1} simulated seconds per second, {} events, \
         {:.0} per second; peak {scheduled} scheduled events, {attempts} open attempts, {hosts} host slots",
        simulated_seconds / elapsed_seconds,
        played.events,
        played.events as f64 / elapsed_seconds
    );
}

fn write_charts(
    folder: &Path,
    report: &Report,
    strategy: StrategyKind,
) -> Result<(), CommandError> {
    std::fs::create_dir_all(folder).map_err(|source| CommandError::ChartsFolder {
        folder: folder.to_path_buf(),
        source,
    })?;
    let scenario = report.scenario.replace(' ', "-");
    let name = format!("{scenario}-{}-{strategy}", report.seed);
    charts::draw_over_time(folder, &name, report)?;
    Ok(())
}
