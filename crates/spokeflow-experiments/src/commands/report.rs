//! `report`: writes tables and charts of stored results without playing any run.

use std::path::PathBuf;

use clap::Args;
use spokeflow_experiments::store::{Store, StoredResult};
use spokeflow_experiments::sweep;

use super::{CommandError, Outcome};

/// The most broken rules to print for a run.
const MAX_BROKEN_RULES: usize = 2;

/// The most messages to print for a broken rule.
const MAX_MESSAGES: usize = 6;

/// Flags of `report`.
#[derive(Args)]
pub(crate) struct ReportFlags {
    /// File of the result store
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_STORE",
        default_value = "lab-out/results.redb"
    )]
    store: PathBuf,
    /// Label of the build to report; required if the store has results of several builds
    #[arg(long, env = "SPOKEFLOW_LAB_LABEL")]
    label: Option<String>,
    /// Folder for tables and charts
    #[arg(long, env = "SPOKEFLOW_LAB_OUT", default_value = "lab-out")]
    out: PathBuf,
    /// Name of the files, without extension
    #[arg(long, default_value = "report")]
    name: String,
    /// Lists every run in which a rule was broken, with the first messages
    #[arg(long)]
    broken: bool,
}

/// Writes the tables and charts of one build's results.
///
/// # Errors
/// The store does not exist or fails, it has results of several builds and no label is given, or a file cannot be
/// written.
pub(crate) fn report(flags: &ReportFlags) -> Result<Outcome, CommandError> {
    if !flags.store.exists() {
        return Err(CommandError::NoStore(flags.store.clone()));
    }
    let mut results = Store::open(&flags.store)?.all()?;
    if let Some(label) = &flags.label {
        results.retain(|stored| stored.build == *label);
    }
    require_one_build(&results)?;
    print!("{}", sweep::write_out(&results, &flags.out, &flags.name)?);
    if flags.broken {
        results
            .iter()
            .filter(|stored| !stored.report.broken.is_empty())
            .for_each(print_broken);
    }
    Ok(Outcome::Success)
}

fn require_one_build(results: &[StoredResult]) -> Result<(), CommandError> {
    let mut builds: Vec<&str> = results.iter().map(|stored| stored.build.as_str()).collect();
    builds.sort_unstable();
    builds.dedup();
    if builds.len() > 1 {
        return Err(CommandError::SeveralBuilds(builds.join(", ")));
    }
    Ok(())
}

fn print_broken(stored: &StoredResult) {
    println!(
        "{} seed {} size {} terms {} by {}",
        stored.scenario, stored.seed, stored.size, stored.overrides, stored.strategy
    );
    for broken in stored.report.broken.iter().take(MAX_BROKEN_RULES) {
        println!(
            "  rule {} at {:.3} s: {}",
            broken.rule, broken.at_s, broken.what
        );
        for message in broken.messages.iter().take(MAX_MESSAGES) {
            println!("    {message}");
        }
    }
}
