//! `hunt`: searches drawn scenarios for the worst ones, and shrinks them.

use clap::Args;
use spokeflow_experiments::hunt::{self, Candidate, Finding};
use spokeflow_experiments::plan::Seeds;
use spokeflow_scenario::flags::SizeFlags;
use spokeflow_scenario::scenario::{FleetSize, Scenario};
use spokeflow_scenario::{Micros, SECOND};

use super::{CommandError, Outcome};

/// Shortest scenario, in seconds in which commands are sent: drawn faults need time to show.
const LEAST_SECONDS: u64 = 10;

/// Flags of `hunt`.
#[derive(Args)]
pub(crate) struct HuntFlags {
    /// Seeds of the drawn days
    #[arg(long, env = "SPOKEFLOW_LAB_SEEDS", default_value = "1-200")]
    seeds: Seeds,
    /// Seconds in which commands are sent
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 90)]
    seconds: u64,
    /// Size of the deployment
    #[arg(long, env = "SPOKEFLOW_DAY_SIZE", value_enum, default_value = "small")]
    size: FleetSize,
    /// A share of all routers must vote, and routers tell each other what they see
    #[arg(long, env = "SPOKEFLOW_LAB_MAJORITY")]
    majority: bool,
    /// Days kept and shrunk
    #[arg(long, default_value_t = 3)]
    worst: usize,
    /// Days played at most to shrink one
    #[arg(value_name = "TRIES", long = "tries", default_value_t = 80)]
    most_played: usize,
    /// Days played at a time [default: as many as there are cores]
    #[arg(long, env = "SPOKEFLOW_LAB_JOBS")]
    jobs: Option<usize>,
}

/// Plays every drawn scenario, and prints the worst with the flags that play their shrunk forms.
///
/// # Errors
/// A flag is wrong.
pub(crate) fn hunt(flags: &HuntFlags) -> Result<Outcome, CommandError> {
    if flags.seconds < LEAST_SECONDS {
        return Err(CommandError::TooShort(LEAST_SECONDS));
    }
    let size = SizeFlags {
        size: Some(flags.size),
        majority: flags.majority,
        ..SizeFlags::default()
    };
    let length = flags.seconds as Micros * SECOND;
    let draw = |seed: u64| size.apply(Scenario::drawn(seed, length));
    // Flags that are wrong are so for the first already.
    draw(flags.seeds.first).map_err(CommandError::scenario)?;
    let scenarios: Vec<Scenario> = flags
        .seeds
        .iter()
        .filter_map(|seed| draw(seed).ok())
        .collect();
    let candidates = hunt::search(&scenarios, super::jobs_or_cores(flags.jobs));
    let broken = print_totals(&candidates);
    for candidate in candidates.iter().take(flags.worst) {
        print_shrunk(candidate, flags.most_played);
    }
    Ok(Outcome::from_soundness(broken == 0))
}

/// Prints how many were played, and what they lost. Answers in how many a rule is broken.
fn print_totals(candidates: &[Candidate]) -> usize {
    let mut broken = 0;
    let mut losses = Vec::new();
    for candidate in candidates {
        match candidate.finding {
            Finding::Rule(_) => broken += 1,
            Finding::Loss(loss) => losses.push(loss),
        }
    }
    println!(
        "{} days: {broken} with a rule broken, mean loss against full sight {:.4}",
        candidates.len(),
        losses.iter().fold(0.0, |sum, loss| sum + loss) / losses.len().max(1) as f64
    );
    broken
}

fn print_shrunk(candidate: &Candidate, most_played: usize) {
    let Candidate { scenario, finding } = candidate;
    let small = hunt::shrink(scenario, *finding, most_played);
    println!(
        "seed {}: {finding:?}, {}",
        scenario.seed,
        hunt::summary(scenario)
    );
    println!(
        "  shrunk to {}, {:?}",
        hunt::summary(&small),
        hunt::evaluate(&small)
    );
    println!("  spokeflow-experiments run {}", hunt::run_flags(&small));
}
