//! Many drawn days of keepers and routers in simulated time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use clap::Args;
use comfy_table::Table;
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::{play_agreement, ControlPlaneRun, ControlPlaneScenario};

#[derive(Args)]
pub struct AgreementFlags {
    /// Sizes of the fleet, each played equally often
    #[arg(long, value_delimiter = ',', default_values_t = [3, 24, 150, 600])]
    routers: Vec<u32>,
    /// Keepers that vote at first
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5])]
    keepers: Vec<u32>,
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
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(2, |n| n.get()))]
    jobs: usize,
}

fn part(sorted: &[Micros], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .map_or(0.0, |w| *w as f64 / SECOND as f64)
}

/// Plays them and prints a table. `false`: something did not hold, told with the day.
pub fn agreement(flags: &AgreementFlags) -> bool {
    let days: Vec<ControlPlaneScenario> = (0..flags.days)
        .map(|n| ControlPlaneScenario {
            routers: flags.routers[n as usize % flags.routers.len()],
            keepers: flags.keepers[n as usize / flags.routers.len() % flags.keepers.len()],
            seed: flags.seed + n,
            length: flags.seconds * SECOND,
            lease: 3 * SECOND,
            silence: SECOND / 2,
            drift: 0.01,
            faulty: !flags.peace,
        })
        .collect();
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|s| {
        for _ in 0..flags.jobs.max(1) {
            s.spawn(|| {
                while let Some(day) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = play_agreement(*day);
                    if let Some(what) = &played.broken {
                        eprintln!(
                            "seed {} ({} routers, {} keepers): {what}",
                            day.seed, day.routers, day.keepers
                        );
                    }
                    all.lock().expect("no holder panics").push((*day, played));
                }
            });
        }
    });
    let all = all.into_inner().expect("no holder panics");
    let mut table = Table::new();
    table.set_header([
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
    ]);
    for &routers in &flags.routers {
        let of: Vec<&ControlPlaneRun> = all
            .iter()
            .filter(|d| d.0.routers == routers)
            .map(|d| &d.1)
            .collect();
        let mut waits: Vec<Micros> = of.iter().flat_map(|p| p.waits.iter().copied()).collect();
        waits.sort_unstable();
        let sum = |f: fn(&ControlPlaneRun) -> u64| of.iter().map(|p| f(p)).sum::<u64>();
        let longest = of
            .iter()
            .map(|p| p.longest_contradiction)
            .max()
            .unwrap_or(0);
        let (leased, not) = (sum(|p| p.leased), sum(|p| p.unleased));
        table.add_row([
            routers.to_string(),
            of.len().to_string(),
            of.iter().filter(|p| p.broken.is_some()).count().to_string(),
            sum(|p| p.faults.into()).to_string(),
            sum(|p| p.terms).to_string(),
            waits.len().to_string(),
            format!("{:.2}", part(&waits, 0.5)),
            format!("{:.2}", part(&waits, 0.99)),
            format!("{:.3}", longest as f64 / SECOND as f64),
            format!(
                "{:.1}%",
                100.0 * leased as f64 / (leased + not).max(1) as f64
            ),
            of.iter()
                .map(|p| p.kept_entries)
                .max()
                .unwrap_or(0)
                .to_string(),
            of.iter()
                .map(|p| p.kept_state)
                .max()
                .unwrap_or(0)
                .to_string(),
        ]);
    }
    println!("{table}");
    println!("simulated; a lease is 3 s, and bounds every contradiction");
    all.iter().all(|d| d.1.broken.is_none())
}
