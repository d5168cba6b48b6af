//! The subcommands: one module each, with its flags and the function that executes it.

mod agree;
mod compare;
mod error;
mod hunt;
mod pass_through;
mod report;
mod results;
mod run;
mod sweep;

pub(crate) use agree::{agree, AgreeFlags};
pub(crate) use compare::{compare, CompareFlags};
pub(crate) use error::CommandError;
pub(crate) use hunt::{hunt, HuntFlags};
pub(crate) use pass_through::{serve_pass_through, PassThroughFlags};
pub(crate) use report::{report, ReportFlags};
pub(crate) use run::{run, RunFlags};
pub(crate) use sweep::{sweep, SweepFlags};

/// The outcome of a subcommand that was executed without error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// All rules held: exit code 0.
    Success,
    /// A rule was broken: exit code 1.
    RuleBroken,
}

impl Outcome {
    /// Returns [`Outcome::Success`] if all rules held, else [`Outcome::RuleBroken`].
    pub(crate) fn from_rules_held(have_rules_held: bool) -> Self {
        if have_rules_held {
            Outcome::Success
        } else {
            Outcome::RuleBroken
        }
    }
}

/// Returns the number of jobs given by a flag, or the number of cores if the flag is not set.
fn jobs_or_cores(jobs: Option<usize>) -> usize {
    jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |cores| cores.get()))
}
