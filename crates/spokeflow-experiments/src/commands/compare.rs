//! `compare`: plays the same scenarios in two ways, and prints their paired differences.

use clap::Args;
use spokeflow_experiments::compare::Difference;
use spokeflow_experiments::plan::{Cell, PlanFlags};
use spokeflow_experiments::store::{Store, Stored};
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
    /// The first: WHO, or WHO:TERMS; played now where the store does not have it
    #[arg(long, default_value = "engine")]
    first: String,
    /// The second, compared with the first
    #[arg(long, default_value = "random")]
    second: String,
    /// The first is of this build, which played the same days into the store before
    #[arg(long)]
    first_label: Option<String>,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

impl CompareFlags {
    /// The plan with one side's `WHO` or `WHO:TERMS` in place of its own.
    fn cells_of(&self, side: &str) -> Result<Vec<Cell>, CommandError> {
        let (strategy, overrides) = side.split_once(':').unwrap_or((side, "usual"));
        let mut plan = self.plan.clone();
        plan.strategies = vec![strategy.parse().map_err(CommandError::scenario)?];
        plan.overrides = vec![overrides.parse()?];
        Ok(plan.cells()?)
    }
}

/// Plays both sides as far as the store lacks them, and prints the second less the first.
///
/// # Errors
/// A flag is wrong, the store fails or lacks results of another build, or the sides differ in what they played.
pub(crate) fn compare(flags: &CompareFlags) -> Result<Outcome, CommandError> {
    let store = Store::open(&flags.results.store)?;
    let label = flags.results.label();
    let side = |text: &str, build: &str| -> Result<Vec<Stored>, CommandError> {
        let cells = flags.cells_of(text)?;
        if build != label {
            // This program cannot play for another build: its results must be there.
            require_stored(&store, build, &cells)?;
        }
        Ok(sweep::sweep(&store, build, &cells, flags.results.jobs())?)
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

fn require_stored(store: &Store, build: &str, cells: &[Cell]) -> Result<(), CommandError> {
    for cell in cells {
        if !store.has(build, &cell.key())? {
            return Err(CommandError::MissingResult {
                build: build.to_string(),
                scenario: cell.scenario_name.clone(),
                seed: cell.seed,
            });
        }
    }
    Ok(())
}

fn json(differences: &[Difference]) -> serde_json::Result<String> {
    let list: Vec<_> = differences
        .iter()
        .map(|difference| {
            serde_json::json!({
                "figure": difference.figure,
                "days": difference.days,
                "first": difference.first,
                "second": difference.second,
                "difference": difference.mean,
                "from": difference.interval.low,
                "to": difference.interval.high,
            })
        })
        .collect();
    serde_json::to_string_pretty(&list)
}
