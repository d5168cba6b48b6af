//! Flags of the load command, and the runs that they stand for.

use std::time::Duration;

use super::{Follows, Load};

/// Flags of the load command.
#[derive(Clone, Debug, clap::Args)]
pub struct LoadFlags {
    /// Hosts, each answering after --answer-after
    #[arg(long, default_value_t = 20)]
    pub hosts: u32,
    /// Commands a second
    #[arg(long, default_value_t = 2000)]
    pub rate: u64,
    /// Seconds measured, after four that are not
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Connections that send
    #[arg(long, default_value_t = 20)]
    pub connections: u32,
    /// Client connections that are only open
    #[arg(long, default_value_t = 0)]
    pub idle: u32,
    /// Milliseconds until a host answers
    #[arg(long, default_value_t = 2)]
    pub answer_after: u64,
    /// Runs of each, in turn
    #[arg(long, default_value_t = 3)]
    pub runs: u32,
    /// One more client sends 60 kB commands and never reads
    #[arg(long)]
    pub stalled: bool,
    /// A quarter of the hosts run a canary build
    #[arg(long = "canary", alias = "trial")]
    pub canary: bool,
    /// Hosts hang, err, reset or slow down in turn, a fifth of them at a time; the pass-through's stay well
    #[arg(long = "faulty-hosts", alias = "bad")]
    pub faulty_hosts: bool,
    /// Runs the router also with a control-plane node to follow and with an unresponsive one, in turn
    #[arg(long = "nodes", alias = "keepers")]
    pub nodes: bool,
    /// Prints one JSON value for each run
    #[arg(long)]
    pub json: bool,
}

/// What one run is put on.
#[derive(Clone, Copy)]
pub(super) enum Target {
    PassThrough,
    Router(Follows),
}

impl LoadFlags {
    /// What the runs are put on, in turn.
    pub(super) fn targets(&self) -> Vec<Target> {
        let mut targets = vec![Target::PassThrough, Target::Router(Follows::Nothing)];
        if self.nodes {
            targets.push(Target::Router(Follows::Node));
            targets.push(Target::Router(Follows::UnresponsiveNode));
        }
        targets
    }

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
