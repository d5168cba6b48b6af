//! What a run is made of: sizes, traffic, builds and faults. Plain data, drawn from one seed; nothing in it
//! says whether it runs on sockets or in simulated time.

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
    /// A repeat does no harm.
    Redeliverable,
    /// All hosts drop a repeat within this time.
    Deduplicated(Micros),
    /// A repeat would have its effect again.
    AtMostOnce,
}

/// An operation that clients ask for.
#[derive(Clone, Debug, Serialize)]
pub struct Op {
    /// Its name on the wire and in reports.
    pub name: &'static str,
    /// Weight among all operations.
    pub share: f64,
    /// Mean work on a host that is warm and well.
    pub work: Micros,
    /// The latency objective.
    pub target: Micros,
    /// How long its client waits in all, retries included.
    pub timeout: Micros,
    /// Priority weight.
    pub importance: f64,
    /// How it may be repeated.
    pub repeat: Repeat,
}

/// A tenant of the service.
#[derive(Clone, Debug, Serialize)]
pub struct Tenant {
    /// Its name.
    pub name: &'static str,
    /// Commands a second that it is allowed, all routers together.
    pub allowed: f64,
    /// What it sends, as a part of that.
    pub usage: f64,
}

/// Whose votes move a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Gate {
    /// One router's vote is enough.
    Single,
    /// A share of all routers must vote.
    Majority,
}

/// All that is fixed about a run before it starts.
#[derive(Clone, Debug, Serialize)]
pub struct Scenario {
    /// For reports.
    pub name: String,
    /// What all chance of the run comes from.
    pub seed: u64,
    /// How long commands are sent.
    pub length: Micros,
    /// Sites that routers, hosts and clients are spread over.
    pub sites: u16,
    /// Hosts.
    pub hosts: u32,
    /// Routers.
    pub routers: u32,
    /// Cores of each host.
    pub cores: u32,
    /// Commands a second.
    pub rate: f64,
    /// The operations, by index.
    pub ops: Vec<Op>,
    /// The tenants, by index.
    #[serde(rename = "customers")]
    pub tenants: Vec<Tenant>,
    /// Distinct sticky keys.
    pub keys: u64,
    /// Builds in the order of their offers; the first is there from the start.
    pub builds: Vec<Build>,
    /// By stage, the fraction of hosts that run the new build.
    #[serde(rename = "stage_shares")]
    pub stage_fractions: Vec<f64>,
    /// How much more than its fraction of hosts a stage's exposure cap allows, a factor.
    pub slack: f64,
    /// Whose votes move a rollout.
    pub gate: Gate,
    /// How long a stage lasts at least.
    pub bake: Micros,
    /// Deliveries in each window that the exposure cap does not count.
    pub exposure_free: f64,
    /// The window over which exposure is counted.
    pub exposure_span: Micros,
    /// Whether a key stays with the newest build that has answered it.
    pub forward_only: bool,
    /// How long after it learned of a drain a router may still send to the host.
    pub drain_grace: Micros,
    /// How long a drained host goes on with what it has.
    pub drain: Micros,
    /// How long a host takes to start, the least and the most.
    pub boot: [Micros; 2],
    /// Fraction of its capacity that a host has when it starts.
    pub cold_from: f64,
    /// How long a host takes to reach all of its capacity.
    pub warm_within: Micros,
    /// A cold host falls when sent more than so many times its capacity,
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// over this time.
    #[serde(rename = "fall_span")]
    pub overload_window: Micros,
    /// Retries of a client, at most.
    pub retries: u32,
    /// A try is given up after this part of the command timeout, at random in between.
    pub try_part: [f64; 2],
    /// How late the host list learns of a change, the least and the most.
    pub list_late: [Micros; 2],
    /// How late a router is told of the rollout, the least and the most.
    #[serde(rename = "news_late")]
    pub rollout_delay: [Micros; 2],
    /// How often the release controller repeats its state.
    #[serde(rename = "news_every")]
    pub rollout_interval: Micros,
    /// Part of the wrong answers that clients report.
    pub reported: f64,
    /// Routers tell each other what they see.
    #[serde(rename = "tells")]
    pub may_gossip: bool,
    /// How uneven keys are asked for, the exponent of Zipf's law.
    pub key_skew: f64,
    /// The wave of the traffic: how much of the rate, and how long.
    pub wave: f64,
    /// The period of the wave.
    pub wave_span: Micros,
    /// Bursts of a second, now and then: how much more of the rate.
    pub burst: f64,
    /// Keys whose data a host keeps at hand; 0: all. Others cost so many times the work.
    pub cache_keys: u32,
    /// The factor on the work of a key that is not cached.
    pub miss_cost: f64,
    /// With more than two waiting for each core, each further one slows all by this part.
    pub thrash: f64,
    /// What hosts do with a cancelled command.
    pub cancel: CancelPolicy,
    /// Hosts that share a machine, and how much a busy neighbour slows a host.
    pub neighbours: u32,
    /// Part of its speed that a host loses to busy neighbours.
    pub steal: f64,
    /// Scheduled faults, in the order of their times.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// What a host does with a cancelled command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelPolicy {
    /// Drops it wherever it is.
    Stops,
    /// Drops it where it has not begun.
    Waiting,
    /// Goes on.
    Ignored,
}

impl Scenario {
    /// The exposure cap of a stage, 0 to 1.
    pub fn cap(&self, stage: usize) -> f64 {
        (self.stage_fractions[stage] * self.slack).min(1.0)
    }
}
