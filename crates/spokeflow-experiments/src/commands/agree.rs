//! `agree`: plays the same scenarios on sockets and in simulated time, and compares the reports.

use clap::Args;
use spokeflow_experiments::plan::{ScenarioChoice, Seeds};
use spokeflow_experiments::{agree, tables};
use spokeflow_scenario::report::Report;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play, StrategyKind};
use spokeflow_testbed::routers::Starting;
use tokio::runtime::Runtime;

use super::{CommandError, Outcome};

/// Runtime threads for the fake peers. The routers need none, since they run as separate processes.
const PEER_THREADS: usize = 2;

/// Flags of `agree`.
#[derive(Args)]
pub(crate) struct AgreeFlags {
    /// Scenarios: plain, bad-day, drawn or only:KIND, separated by commas
    #[arg(
        value_name = "DAYS",
        long = "days",
        env = "SPOKEFLOW_LAB_DAYS",
        value_delimiter = ',',
        default_value = "bad-day"
    )]
    scenarios: Vec<ScenarioChoice>,
    /// Seeds of each scenario: one, or FIRST-LAST
    #[arg(long, env = "SPOKEFLOW_LAB_SEEDS", default_value = "1-3")]
    seeds: Seeds,
    /// Time in which commands are sent, in seconds
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 40)]
    seconds: u64,
    /// Runs played on sockets in parallel
    #[arg(value_name = "BESIDE", long = "beside", default_value_t = 3)]
    concurrency: usize,
}

/// Plays each scenario on sockets and in simulated time, and prints the figures side by side.
///
/// # Errors
/// A flag is invalid, or a run on sockets cannot be started or fails.
pub(crate) fn agree(flags: &AgreeFlags) -> Result<Outcome, CommandError> {
    if flags.seconds < 5 || flags.concurrency == 0 {
        return Err(CommandError::AgreeBounds {
            seconds: flags.seconds,
            concurrency: flags.concurrency,
        });
    }
    let length = flags.seconds as Micros * SECOND;
    let scenarios: Vec<Scenario> = flags
        .scenarios
        .iter()
        .flat_map(|choice| flags.seeds.iter().map(|seed| choice.scenario(seed, length)))
        .collect();
    let starting = Starting::own().map_err(CommandError::testbed)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(PEER_THREADS)
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    let mut pairs = Vec::new();
    for batch in scenarios.chunks(flags.concurrency) {
        let on_sockets = play_on_sockets(&runtime, &starting, batch);
        for (scenario, sockets) in batch.iter().zip(on_sockets) {
            eprintln!("{} seed {}", scenario.name, scenario.seed);
            pairs.push(agree::Pair {
                sockets: sockets?,
                simulated: play(scenario, StrategyKind::Engine, false).report,
            });
        }
    }
    print!("{}", tables::text(&agree::HEAD, &agree::rows(&pairs)));
    runtime.shutdown_background();
    Ok(Outcome::Success)
}

/// Plays the scenarios in parallel. Returns the reports in the order of the scenarios.
fn play_on_sockets(
    runtime: &Runtime,
    starting: &Starting,
    scenarios: &[Scenario],
) -> Vec<Result<Report, CommandError>> {
    runtime.block_on(async {
        let tasks: Vec<_> = scenarios
            .iter()
            .map(|scenario| {
                let playing =
                    spokeflow_testbed::day::play(scenario.clone(), starting.clone(), |_| {});
                tokio::spawn(playing)
            })
            .collect();
        let mut reports = Vec::new();
        for task in tasks {
            let played = task.await.map_err(CommandError::Task);
            reports
                .push(played.and_then(|played| {
                    played.map(|run| run.report).map_err(CommandError::testbed)
                }));
        }
        reports
    })
}
