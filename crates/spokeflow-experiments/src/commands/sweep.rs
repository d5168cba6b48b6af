//! `sweep`: plays a whole plan, stores the results, and writes their tables and charts.

use std::path::PathBuf;

use clap::Args;
use spokeflow_experiments::plan::PlanFlags;
use spokeflow_experiments::store::{Store, StoredResult};
use spokeflow_experiments::sweep;

use super::results::ResultsFlags;
use super::{CommandError, Outcome};

/// Flags of `sweep`.
#[derive(Args)]
pub(crate) struct SweepFlags {
    #[command(flatten)]
    plan: PlanFlags,
    #[command(flatten)]
    results: ResultsFlags,
    /// Folder for tables and charts
    #[arg(long, env = "SPOKEFLOW_LAB_OUT", default_value = "lab-out")]
    out: PathBuf,
    /// Name of the files, without extension
    #[arg(long, default_value = "sweep")]
    name: String,
}

/// Plays the runs of the plan that the store lacks. Prints the runs in which the engine broke a rule to standard error;
/// the other strategies are baselines that need not keep the rules.
///
/// # Errors
/// A flag is invalid, the store fails, or a file cannot be written.
pub(crate) fn sweep(flags: &SweepFlags) -> Result<Outcome, CommandError> {
    let runs = flags.plan.runs()?;
    let store = Store::open(&flags.results.store)?;
    let label = flags.results.label();
    let results = sweep::sweep(&store, &label, &runs, flags.results.jobs())?;
    print!("{}", sweep::write_out(&results, &flags.out, &flags.name)?);
    let broken: Vec<&StoredResult> = results
        .iter()
        .filter(|stored| stored.strategy == "engine" && !stored.report.broken.is_empty())
        .collect();
    for stored in &broken {
        eprintln!(
            "the engine broke a rule: {} seed {} size {} terms {}",
            stored.scenario, stored.seed, stored.size, stored.overrides
        );
    }
    Ok(Outcome::from_rules_held(broken.is_empty()))
}
