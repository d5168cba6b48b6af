//! The report of a run: service, answers, outcomes of the builds and violations of the rules. It is compiled while the
//! run goes on, so that a long run needs no more memory than a short one. The text form is for people; tools read the
//! serialized form.

mod builds;
mod recorder;
mod text;

use serde::{Deserialize, Serialize};

pub use recorder::RunRecorder;

use crate::{Micros, SECOND};

/// The outcome of a command over all its attempts.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The command's number.
    pub command: u64,
    /// Index of its operation.
    pub op: usize,
    /// Index of its tenant.
    #[serde(rename = "customer")]
    pub tenant: usize,
    /// The site of its client.
    pub site: u16,
    /// Time at which it was due.
    pub due: Micros,
    /// Number of attempts.
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// How it ended.
    pub end: End,
    /// Time from when the command was due to its end.
    pub took: Micros,
    /// The build that answered, 0 for none.
    pub build: u16,
}

/// The end of a command as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// The command was acked and the client did not find the answer wrong.
    Acked,
    /// The command was acked and the client found the answer wrong.
    Wrong,
    /// The command was nacked.
    Nacked,
    /// The command failed, or the connection was lost.
    Failed,
    /// The client stopped waiting before an answer arrived.
    GivenUp,
    /// No router could be reached, and nothing was sent.
    Unreachable,
}

/// One interval of a run. The weight of a command is the priority weight of its operation.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Interval {
    /// Start of the interval, in seconds from the first command.
    pub at_s: f64,
    /// By operation, weight of the commands due.
    pub asked_by_op: Vec<f64>,
    /// By operation, weight of the commands acked within the latency objective.
    pub good_by_op: Vec<f64>,
    /// By tenant, weight of the commands due.
    #[serde(rename = "asked_by_customer")]
    pub asked_by_tenant: Vec<f64>,
    /// By tenant, weight of the commands acked within the latency objective.
    #[serde(rename = "good_by_customer")]
    pub good_by_tenant: Vec<f64>,
    /// Number of deliveries to hosts.
    pub deliveries: u64,
    /// Deliveries to the build that was in its canary according to the release controller.
    pub at_trial: u64,
    /// Number of votes to promote.
    pub votes_on: u64,
    /// Number of votes to roll back.
    pub votes_back: u64,
    /// Index of the rollout's stage.
    pub stage: u8,
    /// Maximum number of commands held by hosts.
    pub in_flight: u64,
    /// Maximum number of hosts that were warming up.
    pub cold_hosts: u64,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// Number of routers.
    pub routers: u32,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of commands that ended.
    pub commands: u64,
    /// Commands that were acked and not found wrong.
    pub acked: u64,
    /// Commands that were nacked.
    pub nacked: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Commands that were abandoned by their clients.
    pub given_up: u64,
    /// Commands that were not sent because no router could be reached.
    pub unreachable: u64,
    /// Commands that were acked and found wrong.
    pub wrong: u64,
    /// Number of attempts that clients sent to routers.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Number of deliveries to hosts, as [`Observation::Delivered`](crate::observation::Observation::Delivered) records
    /// them.
    pub deliveries: u64,
    /// Service: weight of the commands acked within the latency objective, divided by the weight of the commands due.
    pub service: f64,
    /// Service over the worst ten seconds.
    pub worst_ten_seconds: f64,
    /// Name and service of each operation.
    pub by_op: Vec<(String, f64)>,
    /// Name and service of each tenant.
    #[serde(rename = "by_customer")]
    pub by_tenant: Vec<(String, f64)>,
    /// Median latency of the acked commands, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the acked commands, in milliseconds.
    pub p99_ms: f64,
    /// Summaries of the builds after the first.
    pub builds: Vec<BuildSummary>,
    /// Number of builds without a defect that were rolled back by votes.
    pub false_backs: u32,
    /// Number of defective builds that were offered and not rolled back by votes.
    pub misses: u32,
    /// The scheduled faults, in the form of `--script`.
    pub troubles: Vec<String>,
    /// Violations of the rules.
    pub broken: Vec<ReportedViolation>,
    /// Errors of the run itself, which make its results unreliable.
    pub faults: Vec<String>,
    /// The run in intervals.
    pub over_time: Vec<Interval>,
}

/// A violation of a rule in the report.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ReportedViolation {
    /// Number of the rule, 1 to 5, as in `docs/rules.md`.
    pub rule: u8,
    /// Time of the violation, in seconds.
    pub at_s: f64,
    /// Description of the violation.
    pub what: String,
    /// Messages related to the violation; only for the first violations of a run.
    pub messages: Vec<String>,
}

/// The summary of a build.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BuildSummary {
    /// Number of the build.
    pub build: u16,
    /// Defect of the build.
    pub flaw: String,
    /// Time of the offer, in seconds from the first command.
    pub offered_s: f64,
    /// Outcome of its rollout.
    pub end: String,
    /// Seconds from the offer to the outcome; `None` if the rollout had not ended.
    pub after_s: Option<f64>,
}

impl Report {
    /// Returns whether no rule was violated and the run itself had no error.
    pub fn passed(&self) -> bool {
        self.broken.is_empty() && self.faults.is_empty()
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
