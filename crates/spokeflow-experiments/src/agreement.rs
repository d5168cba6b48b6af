//! Plays many drawn scenarios of control-plane nodes and routers in simulated time, and checks their invariants: above
//! all, that no two routers contradict each other for longer than a lease. The module `agree` compares simulated runs
//! with runs on sockets instead.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use clap::Args;
use comfy_table::Table;
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play_control_plane, ControlPlaneRun, ControlPlaneScenario};

/// The lease of every scenario, which is also the upper bound for every contradiction.
const LEASE: Micros = 3 * SECOND;

/// The time without a message of the leader after which a voter starts an election.
const ELECTION_TIMEOUT: Micros = SECOND / 2;

/// The largest rate error of a clock in either direction, as a fraction.
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
    /// Numbers of control-plane nodes that vote at the start, each played equally often
    #[arg(long, alias = "keepers", value_delimiter = ',', default_values_t = [3, 5])]
    voters: Vec<u32>,
    /// Number of scenarios
    #[arg(long, default_value_t = 200)]
    days: u64,
    /// Seed of the first scenario; each next one has the next seed
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Length of each scenario, in simulated seconds
    #[arg(long, default_value_t = 40)]
    seconds: Micros,
    /// Injects no faults
    #[arg(long)]
    peace: bool,
    /// Runs played in parallel
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(2, |cores| cores.get()))]
    jobs: usize,
}

impl AgreementFlags {
    /// Returns the scenarios, cycling through the numbers of routers and, for each, through the numbers of voters.
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

/// A scenario and the result of its run.
struct Played {
    scenario: ControlPlaneScenario,
    run: ControlPlaneRun,
}

/// Plays the scenarios and prints a table. Prints each broken invariant with its seed to standard error. Returns
/// whether all invariants held.
pub fn check_agreement(flags: &AgreementFlags) -> bool {
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
    println!("simulated; the lease is 3 s, the upper bound for every contradiction");
    played.iter().all(|played| played.run.broken.is_none())
}

/// Plays the scenarios on `jobs` threads. The order of the results is not defined.
fn play_all(scenarios: &[ControlPlaneScenario], jobs: usize) -> Vec<Played> {
    let next = AtomicUsize::new(0);
    let played = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(scenario) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let run = play_control_plane(*scenario);
                    print_broken(scenario, &run);
                    played
                        .lock()
                        .expect("a thread panicked while holding the lock on the results")
                        .push(Played {
                            scenario: *scenario,
                            run,
                        });
                }
            });
        }
    });
    played
        .into_inner()
        .expect("a thread panicked while holding the lock on the results")
}

fn print_broken(scenario: &ControlPlaneScenario, run: &ControlPlaneRun) {
    if let Some(broken) = &run.broken {
        eprintln!(
            "invariant broken: seed {} ({} routers, {} voters): {broken}",
            scenario.seed, scenario.routers, scenario.voters
        );
    }
}

/// Formats the figures of the runs with one number of routers as a row under [`HEAD`].
fn row(routers: u32, runs: &[&ControlPlaneRun]) -> [String; HEAD.len()] {
    let mut waits: Vec<Micros> = runs
        .iter()
        .flat_map(|run| run.waits.iter().copied())
        .collect();
    waits.sort_unstable();
    let sum = |figure: fn(&ControlPlaneRun) -> u64| runs.iter().map(|run| figure(run)).sum::<u64>();
    let longest_contradiction = runs.iter().map(|run| run.longest_contradiction).max();
    let leased = sum(|run| run.leased);
    let actions = leased + sum(|run| run.unleased);
    let max_entries = runs.iter().map(|run| run.max_log_entries).max();
    let max_state_bytes = runs.iter().map(|run| run.max_snapshot_bytes).max();
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
        format!(
            "{:.3}",
            longest_contradiction.unwrap_or(0) as f64 / SECOND as f64
        ),
        format!("{:.1}%", 100.0 * leased as f64 / actions.max(1) as f64),
        max_entries.unwrap_or(0).to_string(),
        max_state_bytes.unwrap_or(0).to_string(),
    ]
}

/// Returns the quantile of the sorted times at this fraction, in seconds; 0 if there are none.
fn quantile_seconds(sorted: &[Micros], fraction: f64) -> f64 {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .map_or(0.0, |value| *value as f64 / SECOND as f64)
}
