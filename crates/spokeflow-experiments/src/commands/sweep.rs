//! `sweep`: plays a whole plan into the store, and writes its tables and charts.

use std::path::PathBuf;

use clap::Args;
use spokeflow_experiments::plan::PlanFlags;
use spokeflow_experiments::store::{Store, Stored};
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
    /// Where tables and charts go
    #[arg(long, env = "SPOKEFLOW_LAB_OUT", default_value = "lab-out")]
    out: PathBuf,
    /// Name of these files
    #[arg(long, default_value = "sweep")]
    name: String,
}

/// Plays what the store lacks of the plan. A rule broken by the engine is named on standard error; the other
/// strategies are baselines that need not keep the rules.
///
/// # Errors
/// A flag is wrong, the store fails, or a file cannot be written.
pub(crate) fn sweep(flags: &SweepFlags) -> Result<Outcome, CommandError> {
    let cells = flags.plan.cells()?;
    let store = Store::open(&flags.results.store)?;
    let label = flags.results.label();
    let results = sweep::sweep(&store, &label, &cells, flags.results.jobs())?;
    print!("{}", sweep::write_out(&results, &flags.out, &flags.name)?);
    let broken: Vec<&Stored> = results
        .iter()
        .filter(|stored| stored.strategy == "engine" && !stored.report.broken.is_empty())
        .collect();
    for stored in &broken {
        eprintln!(
            "a rule is broken: {} seed {} size {} terms {}",
            stored.scenario, stored.seed, stored.size, stored.overrides
        );
    }
    Ok(Outcome::from_soundness(broken.is_empty()))
}
