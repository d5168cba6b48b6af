//! Many drawn runs of control-plane nodes and routers in simulated time, and whether any contradicted each other.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use clap::Args;
use comfy_table::Table;
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play_control_plane, ControlPlaneRun, ControlPlaneScenario};

/// Of every scenario; it bounds every contradiction.
const LEASE: Micros = 3 * SECOND;

/// Time without a leader's message after which a voter seeks election.
const ELECTION_TIMEOUT: Micros = SECOND / 2;

/// Part by which clocks run too fast or too slow at most.
const MAX_CLOCK_DRIFT: f64 = 0.01;

const HEAD: [&str; 12] = [
    "routers",
    "days",
    "broken",
    "faults",
    "terms",
    "revisions",
    "in force p50 s",
    "p99 s",
    "longest contradiction s",
    "acts under a lease",
    "entries kept",
    "state bytes",
];

/// Flags of `agreement`.
#[derive(Args)]
pub struct AgreementFlags {
    /// Numbers of routers, each played equally often
    #[arg(long, value_delimiter = ',', default_values_t = [3, 24, 150, 600])]
    routers: Vec<u32>,
    /// Control-plane nodes that vote at first
    #[arg(long, alias = "keepers", value_delimiter = ',', default_values_t = [3, 5])]
    voters: Vec<u32>,
    /// Days in all
    #[arg(long, default_value_t = 200)]
    days: u64,
    /// The first day's seed
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Simulated seconds of each
    #[arg(long, default_value_t = 40)]
    seconds: Micros,
    /// Nothing fails
    #[arg(long)]
    peace: bool,
    /// Days played at a time
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(2, |cores| cores.get()))]
    jobs: usize,
}

impl AgreementFlags {
    /// Every number of routers with every number of voters in turn.
    fn scenarios(&self) -> Vec<ControlPlaneScenario> {
        let sizes = self.routers.len();
        (0..self.days)
            .map(|index| ControlPlaneScenario {
                routers: self.routers[index as usize % sizes],
                voters: self.voters[index as usize / sizes % self.voters.len()],
                seed: self.seed + index,
                length: self.seconds * SECOND,
                lease: LEASE,
                election_timeout: ELECTION_TIMEOUT,
                drift: MAX_CLOCK_DRIFT,
                faulty: !self.peace,
            })
            .collect()
    }
}

/// A scenario and what came of it.
struct Played {
    scenario: ControlPlaneScenario,
    run: ControlPlaneRun,
}

/// Plays the scenarios and prints a table. `false`: something did not hold, named on standard error with the seed.
pub fn agreement(flags: &AgreementFlags) -> bool {
    let played = play_all(&flags.scenarios(), flags.jobs);
    let mut table = Table::new();
    table.set_header(HEAD);
    for &routers in &flags.routers {
        let runs: Vec<&ControlPlaneRun> = played
            .iter()
            .filter(|played| played.scenario.routers == routers)
            .map(|played| &played.run)
            .collect();
        table.add_row(row(routers, &runs));
    }
    println!("{table}");
    println!("simulated; a lease is 3 s, and bounds every contradiction");
    played.iter().all(|played| played.run.broken.is_none())
}

/// Plays on `jobs` threads, in no stated order.
fn play_all(scenarios: &[ControlPlaneScenario], jobs: usize) -> Vec<Played> {
    let next = AtomicUsize::new(0);
    let played = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(scenario) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let run = play_control_plane(*scenario);
                    print_broken(scenario, &run);
                    played.lock().expect("no holder panics").push(Played {
                        scenario: *scenario,
                        run,
                    });
                }
            });
        }
    });
    played.into_inner().expect("no holder panics")
}

fn print_broken(scenario: &ControlPlaneScenario, run: &ControlPlaneRun) {
    if let Some(broken) = &run.broken {
        eprintln!(
            "seed {} ({} routers, {} voters): {broken}",
            scenario.seed, scenario.routers, scenario.voters
        );
    }
}

/// Figures of the runs with one number of routers, under [`HEAD`].
fn row(routers: u32, runs: &[&ControlPlaneRun]) -> [String; HEAD.len()] {
    let mut waits: Vec<Micros> = runs
        .iter()
        .flat_map(|run| run.waits.iter().copied())
        .collect();
    waits.sort_unstable();
    let sum = |figure: fn(&ControlPlaneRun) -> u64| runs.iter().map(|run| figure(run)).sum::<u64>();
    let longest = runs.iter().map(|run| run.longest_contradiction).max();
    let leased = sum(|run| run.leased);
    let acts = leased + sum(|run| run.unleased);
    let most_entries = runs.iter().map(|run| run.max_log_entries).max();
    let most_state = runs.iter().map(|run| run.max_snapshot_bytes).max();
    let broken = runs.iter().filter(|run| run.broken.is_some()).count();
    [
        routers.to_string(),
        runs.len().to_string(),
        broken.to_string(),
        sum(|run| run.faults.into()).to_string(),
        sum(|run| run.terms).to_string(),
        waits.len().to_string(),
        format!("{:.2}", quantile_seconds(&waits, 0.5)),
        format!("{:.2}", quantile_seconds(&waits, 0.99)),
        format!("{:.3}", longest.unwrap_or(0) as f64 / SECOND as f64),
        format!("{:.1}%", 100.0 * leased as f64 / acts.max(1) as f64),
        most_entries.unwrap_or(0).to_string(),
        most_state.unwrap_or(0).to_string(),
    ]
}

/// The value below which this fraction of the sorted ones lies, in seconds; 0 where there are none.
fn quantile_seconds(sorted: &[Micros], fraction: f64) -> f64 {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .map_or(0.0, |value| *value as f64 / SECOND as f64)
}
