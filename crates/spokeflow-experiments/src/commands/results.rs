//! Flags of the subcommands that play runs and store the results.

use std::path::PathBuf;

use clap::Args;
use spokeflow_experiments::sweep;

/// Flags for the store of results, the label of this build in it, and the number of parallel runs.
#[derive(Args)]
pub(crate) struct ResultsFlags {
    /// File of the result store
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_STORE",
        default_value = "lab-out/results.redb"
    )]
    pub(crate) store: PathBuf,
    /// Label of this build in the results [default: its version and a hash of the program]
    #[arg(long, env = "SPOKEFLOW_LAB_LABEL")]
    label: Option<String>,
    /// Runs played in parallel [default: the number of cores]
    #[arg(long, env = "SPOKEFLOW_LAB_JOBS")]
    jobs: Option<usize>,
}

impl ResultsFlags {
    pub(crate) fn jobs(&self) -> usize {
        super::jobs_or_cores(self.jobs)
    }

    pub(crate) fn label(&self) -> String {
        self.label.clone().unwrap_or_else(sweep::current_build)
    }
}
