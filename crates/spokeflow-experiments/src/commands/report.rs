//! `report`: tables and charts of a store, without playing anything.

use std::path::PathBuf;

use clap::Args;
use spokeflow_experiments::store::{Store, Stored};
use spokeflow_experiments::sweep;

use super::{CommandError, Outcome};

/// Broken rules printed of a run, and messages printed of a broken rule.
const BREAKS_SHOWN: usize = 2;
const MESSAGES_SHOWN: usize = 6;

/// Flags of `report`.
#[derive(Args)]
pub(crate) struct ReportFlags {
    /// The results
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_STORE",
        default_value = "lab-out/results.redb"
    )]
    store: PathBuf,
    /// Only of this build
    #[arg(long, env = "SPOKEFLOW_LAB_LABEL")]
    label: Option<String>,
    /// Where tables and charts go
    #[arg(long, env = "SPOKEFLOW_LAB_OUT", default_value = "lab-out")]
    out: PathBuf,
    /// Name of these files
    #[arg(long, default_value = "report")]
    name: String,
    /// Lists every day in which a rule was broken, with the first messages
    #[arg(long)]
    broken: bool,
}

/// Writes the tables and charts of one build's results.
///
/// # Errors
/// There is no store, it fails or holds several builds and none is named, or a file cannot be written.
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

fn require_one_build(results: &[Stored]) -> Result<(), CommandError> {
    let mut builds: Vec<&str> = results.iter().map(|stored| stored.build.as_str()).collect();
    builds.sort_unstable();
    builds.dedup();
    if builds.len() > 1 {
        return Err(CommandError::SeveralBuilds(builds.join(", ")));
    }
    Ok(())
}

fn print_broken(stored: &Stored) {
    println!(
        "{} seed {} size {} terms {} by {}",
        stored.scenario, stored.seed, stored.size, stored.overrides, stored.strategy
    );
    for broken in stored.report.broken.iter().take(BREAKS_SHOWN) {
        println!(
            "  rule {} at {:.3} s: {}",
            broken.rule, broken.at_s, broken.what
        );
        for message in broken.messages.iter().take(MESSAGES_SHOWN) {
            println!("    {message}");
        }
    }
}
