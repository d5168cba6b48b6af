//! `compare`: plays the same scenarios with two strategies or sets of overrides, and prints the paired differences.

use clap::Args;
use spokeflow_experiments::compare::Difference;
use spokeflow_experiments::plan::{PlanFlags, PlannedRun};
use spokeflow_experiments::store::{Store, StoredResult};
use spokeflow_experiments::{compare, sweep, tables};

use super::results::ResultsFlags;
use super::{CommandError, Outcome};

/// Flags of `compare`.
#[derive(Args)]
pub(crate) struct CompareFlags {
    #[command(flatten)]
    plan: PlanFlags,
    #[command(flatten)]
    results: ResultsFlags,
    /// The first side: WHO, or WHO:TERMS (strategy and overrides); runs that the store lacks are played now
    #[arg(long, default_value = "engine")]
    first: String,
    /// The second side, in the same form
    #[arg(long, default_value = "random")]
    second: String,
    /// Takes the first side from the stored results of this build, which must have played the same runs
    #[arg(long)]
    first_label: Option<String>,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

impl CompareFlags {
    /// Returns the runs of the plan with the strategy and overrides of one side, given as `WHO` or `WHO:TERMS`.
    fn runs_of(&self, side: &str) -> Result<Vec<PlannedRun>, CommandError> {
        let (strategy, overrides) = side.split_once(':').unwrap_or((side, "usual"));
        let mut plan = self.plan.clone();
        plan.strategies = vec![strategy.parse().map_err(CommandError::scenario)?];
        plan.overrides = vec![overrides.parse()?];
        Ok(plan.runs()?)
    }
}

/// Plays the runs of both sides that the store lacks, and prints the differences, the second side minus the first.
///
/// # Errors
/// A flag is invalid, the store fails or lacks results of another build, or the sides have not played the same runs.
pub(crate) fn compare(flags: &CompareFlags) -> Result<Outcome, CommandError> {
    let store = Store::open(&flags.results.store)?;
    let label = flags.results.label();
    let side = |text: &str, build: &str| -> Result<Vec<StoredResult>, CommandError> {
        let runs = flags.runs_of(text)?;
        if build != label {
            // This program cannot play as another build, so all results of that build must be in the store.
            require_stored(&store, build, &runs)?;
        }
        Ok(sweep::sweep(&store, build, &runs, flags.results.jobs())?)
    };
    let first = side(&flags.first, flags.first_label.as_deref().unwrap_or(&label))?;
    let second = side(&flags.second, &label)?;
    let differences = compare::compare(&first, &second)?;
    if flags.json {
        println!("{}", json(&differences)?);
    } else {
        print!(
            "{}",
            tables::text(&compare::HEAD, &compare::rows(&differences))
        );
    }
    Ok(Outcome::Success)
}

fn require_stored(store: &Store, build: &str, runs: &[PlannedRun]) -> Result<(), CommandError> {
    for run in runs {
        if !store.has(build, &run.key())? {
            return Err(CommandError::MissingResult {
                build: build.to_string(),
                scenario: run.scenario_name.clone(),
                seed: run.seed,
            });
        }
    }
    Ok(())
}

fn json(differences: &[Difference]) -> serde_json::Result<String> {
    let objects: Vec<_> = differences
        .iter()
        .map(|difference| {
            serde_json::json!({
                "figure": difference.figure,
                "days": difference.runs,
                "first": difference.first,
                "second": difference.second,
                "difference": difference.mean,
                "from": difference.interval.low,
                "to": difference.interval.high,
            })
        })
        .collect();
    serde_json::to_string_pretty(&objects)
}
