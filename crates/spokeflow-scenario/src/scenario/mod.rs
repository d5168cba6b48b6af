//! Scenarios: the sizes, traffic, builds and faults of a run. A scenario is plain data drawn from one seed and can
//! be run on sockets or in simulated time.

mod build;
mod built_in;
mod fault;
mod setting;
mod size;

use serde::Serialize;

pub use build::{Build, BuildDefect};
pub use fault::{Fault, FaultKind};
pub use size::FleetSize;

use crate::Micros;

/// Whether a command that may have run may be delivered again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Repeat {
    /// A repeat has no additional effect.
    Redeliverable,
    /// Every host drops a repeat that arrives within this time.
    Deduplicated(Micros),
    /// A repeat would take effect again.
    AtMostOnce,
}

/// An operation that clients request.
#[derive(Clone, Debug, Serialize)]
pub struct Op {
    /// Name in settings and reports.
    pub name: &'static str,
    /// Relative share of the commands.
    pub share: f64,
    /// Mean work of a command on a host that is warm and has no fault.
    pub work: Micros,
    /// Latency objective.
    pub target: Micros,
    /// Total time that a client waits, including retries.
    pub timeout: Micros,
    /// Priority weight.
    pub importance: f64,
    /// Whether a command may be repeated.
    pub repeat: Repeat,
}

/// A tenant of the service.
#[derive(Clone, Debug, Serialize)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: &'static str,
    /// Quota over all routers, in commands a second.
    pub allowed: f64,
    /// Traffic of the tenant as a fraction of its quota.
    pub usage: f64,
}

/// The number of votes that move a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Gate {
    /// One router's vote is enough.
    Single,
    /// A share of all routers must vote.
    Majority,
}

/// Everything about a run that is fixed before it starts. Result stores identify runs by a hash of the serialized form,
/// so that names and order of the fields must not change in it.
#[derive(Clone, Debug, Serialize)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Time during which commands are sent.
    pub length: Micros,
    /// Number of sites (zones) that routers, hosts and clients are spread over.
    pub sites: u16,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of routers.
    pub routers: u32,
    /// Number of cores of each host.
    pub cores: u32,
    /// Mean rate of commands, in commands a second.
    pub rate: f64,
    /// The operations, by index.
    pub ops: Vec<Op>,
    /// The tenants, by index.
    #[serde(rename = "customers")]
    pub tenants: Vec<Tenant>,
    /// Number of distinct sticky keys.
    pub keys: u64,
    /// Builds in the order in which they are offered; all hosts run the first from the start.
    pub builds: Vec<Build>,
    /// By stage, the fraction of hosts that run the new build.
    #[serde(rename = "stage_shares")]
    pub stage_fractions: Vec<f64>,
    /// Exposure cap of a stage divided by the stage's fraction of hosts.
    pub slack: f64,
    /// Number of votes that move a rollout.
    pub gate: Gate,
    /// Minimum duration of a stage.
    pub bake: Micros,
    /// Deliveries in each window that are allowed beyond the exposure cap.
    pub exposure_free: f64,
    /// Window over which exposure is counted.
    pub exposure_span: Micros,
    /// Whether a key must not go to a build earlier than the newest one that has answered it.
    pub forward_only: bool,
    /// Time after a router has learned of a drain during which it may still send to the host.
    pub drain_grace: Micros,
    /// Time that a draining host has to finish its commands.
    pub drain: Micros,
    /// Minimum and maximum time that a host takes to start.
    pub boot: [Micros; 2],
    /// Fraction of its full capacity that a host has when it starts.
    pub cold_from: f64,
    /// Time that a host takes to reach its full capacity.
    pub warm_within: Micros,
    /// A cold host crashes when it is sent more than this multiple of its capacity over `overload_window`.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Time over which the work sent to a cold host is counted.
    #[serde(rename = "fall_span")]
    pub overload_window: Micros,
    /// Maximum number of retries of a client.
    pub retries: u32,
    /// Minimum and maximum timeout of an attempt, as a fraction of the command timeout.
    pub try_part: [f64; 2],
    /// Minimum and maximum delay until a change reaches the endpoint list.
    pub list_late: [Micros; 2],
    /// Minimum and maximum delay of a rollout update to a router.
    #[serde(rename = "news_late")]
    pub rollout_delay: [Micros; 2],
    /// Interval at which the release controller repeats the rollout state.
    #[serde(rename = "news_every")]
    pub rollout_interval: Micros,
    /// Fraction of the wrong answers that clients report.
    pub reported: f64,
    /// Whether routers exchange their observations.
    #[serde(rename = "tells")]
    pub may_gossip: bool,
    /// Skew of the keys: exponent of a Zipf distribution.
    pub key_skew: f64,
    /// Amplitude of the periodic change of the rate, as a fraction of the rate.
    pub wave: f64,
    /// Period of the change of the rate.
    pub wave_span: Micros,
    /// Additional rate during occasional bursts of one second, as a fraction of the rate; 0 for no bursts.
    pub burst: f64,
    /// Number of keys whose data a host caches; 0 for all.
    pub cache_keys: u32,
    /// Factor on the work of a command whose key is not cached.
    pub miss_cost: f64,
    /// Relative slowdown of a host for each waiting command beyond two per core.
    pub thrash: f64,
    /// How hosts handle a cancelled command.
    pub cancel: CancelPolicy,
    /// Number of hosts that share a machine; 0 for none.
    pub neighbours: u32,
    /// Fraction of its speed that a host loses to busy hosts on the same machine.
    pub steal: f64,
    /// Scheduled faults, in the order of their times.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// How a host handles a cancelled command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelPolicy {
    /// Drops it whether it is waiting or running.
    Stops,
    /// Drops it only if it is still waiting.
    Waiting,
    /// Ignores the cancellation.
    Ignored,
}

impl Scenario {
    /// Returns the exposure cap of a stage, 0 to 1.
    pub fn cap(&self, stage: usize) -> f64 {
        (self.stage_fractions[stage] * self.slack).min(1.0)
    }
}
