//! The report of a run: service, answers, what became of each build, rules. It is drawn up while the run goes on,
//! so that a long run needs no more memory than a short one.

mod builds;
mod recorder;
mod text;

use serde::{Deserialize, Serialize};

pub use recorder::RunRecorder;

use crate::{Micros, SECOND};

/// How a command went, retries and all.
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
    /// When it was due.
    pub due: Micros,
    /// Attempts made.
    pub tries: u32,
    /// How it ended.
    pub end: End,
    /// From when the command was due to its end.
    pub took: Micros,
    /// The build that answered, 0 for none.
    pub build: u16,
}

/// How a command ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// Acknowledged, and right as far as is known.
    Acked,
    /// Acked, and found wrong.
    Wrong,
    /// Refused by a router.
    Nacked,
    /// The host answered with an error, or the connection broke.
    Failed,
    /// The client went before an answer came.
    GivenUp,
    /// Never written to a router.
    Unreachable,
}

/// What happened in one interval of the run.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Interval {
    /// Its beginning, in seconds.
    pub at_s: f64,
    /// By operation, priority weight of the commands due.
    pub asked_by_op: Vec<f64>,
    /// By operation, priority weight answered within the latency objective.
    pub good_by_op: Vec<f64>,
    /// By tenant, priority weight of the commands due.
    #[serde(rename = "asked_by_customer")]
    pub asked_by_tenant: Vec<f64>,
    /// By tenant, priority weight answered within the latency objective.
    #[serde(rename = "good_by_customer")]
    pub good_by_tenant: Vec<f64>,
    /// Deliveries to hosts.
    pub deliveries: u64,
    /// Of these, to the build in its canary by the release controller's own state.
    pub at_trial: u64,
    /// Votes to promote.
    pub votes_on: u64,
    /// Votes to roll back.
    pub votes_back: u64,
    /// The rollout's stage.
    pub stage: u8,
    /// The most commands that hosts held, as last reported.
    pub in_flight: u64,
    /// The most hosts that were warming up, as last reported.
    pub cold_hosts: u64,
}

/// What became of a run.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The seed that drew it.
    pub seed: u64,
    /// Its length.
    pub seconds: f64,
    /// Routers.
    pub routers: u32,
    /// Hosts.
    pub hosts: u32,
    /// Commands that ended.
    pub commands: u64,
    /// Of these, acknowledged and right.
    pub acked: u64,
    /// Refused.
    pub nacked: u64,
    /// Failed.
    pub failed: u64,
    /// Abandoned by their clients.
    pub given_up: u64,
    /// Never written to a router.
    pub unreachable: u64,
    /// Acknowledged, and found wrong.
    pub wrong: u64,
    /// Attempts that clients wrote to routers.
    pub tries: u64,
    /// Deliveries that hosts read.
    pub deliveries: u64,
    /// Priority weight answered within the latency objective over priority weight due.
    pub service: f64,
    /// The same over the worst ten seconds.
    pub worst_ten_seconds: f64,
    /// By name of the operation, its service.
    pub by_op: Vec<(String, f64)>,
    /// By name of the tenant, its service.
    #[serde(rename = "by_customer")]
    pub by_tenant: Vec<(String, f64)>,
    /// Median time of the acknowledged, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// What became of each build after the first.
    pub builds: Vec<BuildSummary>,
    /// Good builds that were rolled back by votes.
    pub false_backs: u32,
    /// Defective builds that were offered and not rolled back.
    pub misses: u32,
    /// The scheduled faults, as `--script` writes them.
    pub troubles: Vec<String>,
    /// Breaks of the rules.
    pub broken: Vec<BrokenRule>,
    /// What went wrong with the run itself.
    pub faults: Vec<String>,
    /// The run in intervals.
    pub over_time: Vec<Interval>,
}

/// One break of a rule, for the report.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BrokenRule {
    /// 1 to 5, as in `docs/rules.md`.
    pub rule: u8,
    /// When, in seconds.
    pub at_s: f64,
    /// What happened.
    pub what: String,
    /// The messages that concern it, for the first breaks.
    pub messages: Vec<String>,
}

/// What became of a build.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BuildSummary {
    /// Its number.
    pub build: u16,
    /// Its defect.
    pub flaw: String,
    /// When it was offered, in seconds from the first command.
    pub offered_s: f64,
    /// What became of it.
    pub end: String,
    /// Seconds from the offer to the end.
    pub after_s: Option<f64>,
}

impl Report {
    /// Whether no rule was broken and nothing went wrong with the run itself.
    pub fn passed(&self) -> bool {
        self.broken.is_empty() && self.faults.is_empty()
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
