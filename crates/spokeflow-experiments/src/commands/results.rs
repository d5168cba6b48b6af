//! Flags of the subcommands that play into a store of results.

use std::path::PathBuf;

use clap::Args;
use spokeflow_experiments::sweep;

/// Where results are kept, under which build, and how many runs are played at a time.
#[derive(Args)]
pub(crate) struct ResultsFlags {
    /// The results
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_STORE",
        default_value = "lab-out/results.redb"
    )]
    pub(crate) store: PathBuf,
    /// Name of this build in the results [default: its version and a sum of the program]
    #[arg(long, env = "SPOKEFLOW_LAB_LABEL")]
    label: Option<String>,
    /// Days played at a time [default: as many as there are cores]
    #[arg(long, env = "SPOKEFLOW_LAB_JOBS")]
    jobs: Option<usize>,
}

impl ResultsFlags {
    pub(crate) fn jobs(&self) -> usize {
        super::jobs_or_cores(self.jobs)
    }

    pub(crate) fn label(&self) -> String {
        self.label.clone().unwrap_or_else(sweep::own_build)
    }
}
