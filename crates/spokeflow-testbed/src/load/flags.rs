//! Flags of `load`, and the measurements that they select.

use std::time::Duration;

use super::{Follows, Load};

/// Flags of `load`.
#[derive(Clone, Debug, clap::Args)]
pub struct LoadFlags {
    /// Number of hosts, which answer after --answer-after
    #[arg(long, default_value_t = 20)]
    pub hosts: u32,
    /// Commands sent per second, over all connections
    #[arg(long, default_value_t = 2000)]
    pub rate: u64,
    /// Seconds measured, after a warm-up of four seconds
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Client connections that send commands
    #[arg(long, default_value_t = 20)]
    pub connections: u32,
    /// Client connections that are open and send nothing
    #[arg(long, default_value_t = 0)]
    pub idle: u32,
    /// Milliseconds from a delivery to the answer of a host
    #[arg(long, default_value_t = 2)]
    pub answer_after: u64,
    /// Number of runs of the pass-through and of each form of the router, in turn
    #[arg(long, default_value_t = 3)]
    pub runs: u32,
    /// Adds a client that sends commands of 60 kB and never reads its answers
    #[arg(long)]
    pub stalled: bool,
    /// Runs a canary build on a quarter of the hosts
    #[arg(long = "canary", alias = "trial")]
    pub canary: bool,
    /// Makes hosts hang, answer with errors, reset connections or slow down in turn, a fifth of them at a time. Runs of
    /// the pass-through have no faulty hosts
    #[arg(long = "faulty-hosts", alias = "bad")]
    pub faulty_hosts: bool,
    /// Also measures the router with a control-plane node, and with one that sends nothing
    #[arg(long = "nodes", alias = "keepers")]
    pub nodes: bool,
    /// Prints one JSON value per run instead of the table
    #[arg(long)]
    pub json: bool,
}

/// What the load of one run is sent through.
#[derive(Clone, Copy)]
pub(super) enum Target {
    PassThrough,
    Router(Follows),
}

impl LoadFlags {
    /// Returns the targets to measure, in turn.
    pub(super) fn targets(&self) -> Vec<Target> {
        let mut targets = vec![Target::PassThrough, Target::Router(Follows::Nothing)];
        if self.nodes {
            targets.push(Target::Router(Follows::Node));
            targets.push(Target::Router(Follows::UnresponsiveNode));
        }
        targets
    }

    /// Returns the load of one run.
    pub(super) fn load(&self, target: Target) -> Load {
        let (pass, follows) = match target {
            Target::PassThrough => (true, Follows::Nothing),
            Target::Router(follows) => (false, follows),
        };
        Load {
            hosts: self.hosts,
            rate: self.rate,
            seconds: self.seconds,
            connections: self.connections,
            idle: self.idle,
            answer_after: Duration::from_millis(self.answer_after),
            pass,
            follows,
            stalled: self.stalled,
            canary: self.canary,
            faulty_hosts: self.faulty_hosts && !pass,
        }
    }
}
