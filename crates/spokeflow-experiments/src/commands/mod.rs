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

/// How a subcommand ended that was used rightly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Everything held: exit code 0.
    Success,
    /// A rule that must hold was broken: exit code 1.
    RuleBroken,
}

impl Outcome {
    /// [`Outcome::Success`] where all rules were kept.
    pub(crate) fn from_soundness(is_sound: bool) -> Self {
        if is_sound {
            Outcome::Success
        } else {
            Outcome::RuleBroken
        }
    }
}

/// As many jobs as flags ask for, else as many as there are cores.
fn jobs_or_cores(jobs: Option<usize>) -> usize {
    jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |cores| cores.get()))
}
