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
    /// Who decides: engine, random, round-robin, two-choices or full-sight
    #[arg(
        value_name = "WHO",
        long = "who",
        env = "SPOKEFLOW_LAB_WHO",
        default_value = "engine"
    )]
    strategy: StrategyKind,
    /// Changes of the terms, NAME=VALUE joined by +
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
    /// Writes the curves of the day into this folder, as SVG and PNG
    #[arg(long)]
    charts: Option<PathBuf>,
    /// Prints events a second and what was kept at most, to standard error
    #[arg(long)]
    cost: bool,
}

/// Plays the scenario, draws its charts where asked, and prints its report.
///
/// # Errors
/// A flag is wrong, or the charts cannot be written.
pub(crate) fn run(flags: &RunFlags) -> Result<Outcome, CommandError> {
    let mut scenario = flags
        .scenario
        .to_scenario()
        .map_err(CommandError::scenario)?;
    flags.overrides.apply(&mut scenario);
    let began = Instant::now();
    let played = play(&scenario, flags.strategy, true);
    if flags.cost {
        print_cost(&played, began.elapsed());
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
    Ok(Outcome::from_soundness(report.passed()))
}

/// Prints to standard error how fast the run was played and the most that it held at a time.
fn print_cost(played: &ScenarioRun, elapsed: Duration) {
    let took = elapsed.as_secs_f64();
    let span = played.span as f64 / SECOND as f64;
    let [events, tries, hosts] = played.most_kept;
    eprintln!(
        "{span:.0} s in {took:.2} s: {:.1} simulated seconds a second, {} events, {:.0} a second; kept at most \
         {events} events, {tries} tries, {hosts} hosts",
        span / took,
        played.events,
        played.events as f64 / took
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
    charts::over_time(folder, &name, report)?;
    Ok(())
}
