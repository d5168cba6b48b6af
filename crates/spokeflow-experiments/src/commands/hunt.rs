//! `hunt`: plays drawn scenarios, and shrinks those that break a rule or lose the most service.

use clap::Args;
use spokeflow_experiments::hunt::{self, Candidate, Finding};
use spokeflow_experiments::plan::Seeds;
use spokeflow_scenario::flags::SizeFlags;
use spokeflow_scenario::scenario::{FleetSize, Scenario};
use spokeflow_scenario::{Micros, SECOND};

use super::{CommandError, Outcome};

/// The shortest time in which a scenario sends commands, in seconds: drawn faults need time to take effect.
const MIN_SECONDS: u64 = 10;

/// Flags of `hunt`.
#[derive(Args)]
pub(crate) struct HuntFlags {
    /// Seeds of the drawn scenarios
    #[arg(long, env = "SPOKEFLOW_LAB_SEEDS", default_value = "1-200")]
    seeds: Seeds,
    /// Time in which commands are sent, in seconds
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 90)]
    seconds: u64,
    /// Size of the deployment
    #[arg(long, env = "SPOKEFLOW_DAY_SIZE", value_enum, default_value = "small")]
    size: FleetSize,
    /// A share of all routers must vote, and routers gossip their observations
    #[arg(long, env = "SPOKEFLOW_LAB_MAJORITY")]
    majority: bool,
    /// Worst scenarios to shrink and print
    #[arg(long, default_value_t = 3)]
    worst: usize,
    /// Smaller scenarios tried at most to shrink one
    #[arg(value_name = "TRIES", long = "tries", default_value_t = 80)]
    max_tries: usize,
    /// Scenarios played in parallel [default: the number of cores]
    #[arg(long, env = "SPOKEFLOW_LAB_JOBS")]
    jobs: Option<usize>,
}

/// Plays every drawn scenario, and prints the worst ones with the `run` flags of their shrunk forms.
///
/// # Errors
/// A flag is invalid.
pub(crate) fn hunt(flags: &HuntFlags) -> Result<Outcome, CommandError> {
    if flags.seconds < MIN_SECONDS {
        return Err(CommandError::TooShort {
            actual: flags.seconds,
            minimum: MIN_SECONDS,
        });
    }
    let size = SizeFlags {
        size: Some(flags.size),
        majority: flags.majority,
        ..SizeFlags::default()
    };
    let length = flags.seconds as Micros * SECOND;
    let draw = |seed: u64| size.apply(Scenario::drawn(seed, length));
    // Invalid flags fail for every seed alike, so drawing the first scenario finds them.
    draw(flags.seeds.first).map_err(CommandError::scenario)?;
    let scenarios: Vec<Scenario> = flags
        .seeds
        .iter()
        .filter_map(|seed| draw(seed).ok())
        .collect();
    let candidates = hunt::search(&scenarios, super::jobs_or_cores(flags.jobs));
    let broken = print_totals(&candidates);
    for candidate in candidates.iter().take(flags.worst) {
        print_shrunk(candidate, flags.max_tries);
    }
    Ok(Outcome::from_rules_held(broken == 0))
}

/// Prints the number of scenarios and their mean loss. Returns the number of scenarios in which a rule was broken.
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
        "{} scenarios: {broken} with a rule broken, mean loss of service against full sight {:.4}",
        candidates.len(),
        losses.iter().fold(0.0, |sum, loss| sum + loss) / losses.len().max(1) as f64
    );
    broken
}

fn print_shrunk(candidate: &Candidate, max_tries: usize) {
    let Candidate { scenario, finding } = candidate;
    let small = hunt::shrink(scenario, *finding, max_tries);
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
