//! `fleet`: runs the fleet rig.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use spokeflow_testbed::fleet::{self, Fault, FleetConfig, ScriptedFault};
use spokeflow_testbed::Micros;

use super::{exit_code, runtime, write_trace, CommandResult, LogFlags};

/// Allowed numbers of control-plane nodes: odd, and with a quorum that survives the failure of a node.
const ALLOWED_NODE_COUNTS: [u32; 3] = [3, 5, 7];
/// How long a killed leader stays down.
const LEADER_DOWN_DURATION: Duration = Duration::from_millis(1500);
/// Time between two kills of leaders.
const LEADER_KILL_INTERVAL: Duration = Duration::from_secs(3);
/// Election timeouts within a lease, so that a new leader is elected well before the leases of the last one expire.
const ELECTION_TIMEOUTS_PER_LEASE: u32 = 5;

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Plan {
    /// Revisions of settings under faults of nodes, routers and the links between them
    Settings,
}

/// Flags of `fleet`.
#[derive(Args)]
pub(crate) struct FleetFlags {
    /// What the run exercises
    #[arg(long, value_enum, default_value = "settings")]
    plan: Plan,
    /// Number of router processes
    #[arg(long, default_value_t = 24)]
    routers: u32,
    /// Number of control-plane nodes at the start: 3, 5 or 7
    #[arg(long, alias = "keepers", default_value_t = 5)]
    nodes: u32,
    /// Seed from which faults, proposals and drains are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time during which new faults are injected
    #[arg(long, alias = "lasts", default_value = "40s", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// Lease of the routers: the bound on how long a router may act against a newer revision
    #[arg(long, default_value = "1500ms", value_parser = humantime::parse_duration)]
    lease: Duration,
    /// Routers get the endpoint list from the endpoint registry instead of the control-plane nodes
    #[arg(long)]
    own_list: bool,
    /// Injects no faults, and proposes each revision as soon as the one before is in force
    #[arg(long, alias = "peace")]
    fault_free: bool,
    /// Kills the leader this many times, every three seconds, in place of drawn faults; 0: faults are drawn
    #[arg(long, default_value_t = 0)]
    kill_leaders: u32,
    /// Time between two commands of each router's client
    #[arg(long, alias = "pace", default_value = "20ms", value_parser = humantime::parse_duration)]
    command_interval: Duration,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    logs: LogFlags,
    /// Directory for the stores of the nodes, which are kept. Without it they go to a temporary directory that is
    /// removed at the end
    #[arg(long)]
    stores: Option<PathBuf>,
    /// Writes all frames that passed the switchboard to this file, one per line
    #[arg(long)]
    trace: Option<PathBuf>,
}

/// A flag with a value that the fleet run does not accept.
#[derive(Debug, thiserror::Error)]
enum FlagError {
    #[error("--nodes: expected 3, 5 or 7, got {0}")]
    NodeCount(u32),
    #[error("--routers: expected at least 1, got 0")]
    NoRouters,
}

impl FleetFlags {
    fn config(&self) -> Result<FleetConfig, FlagError> {
        let Plan::Settings = self.plan;
        if !ALLOWED_NODE_COUNTS.contains(&self.nodes) {
            return Err(FlagError::NodeCount(self.nodes));
        }
        if self.routers == 0 {
            return Err(FlagError::NoRouters);
        }
        let kill_leader = ScriptedFault {
            fault: Fault::KillLeader {
                down: LEADER_DOWN_DURATION,
            },
            pause: LEADER_KILL_INTERVAL,
        };
        Ok(FleetConfig {
            routers: self.routers,
            nodes: self.nodes,
            seed: self.seed,
            duration: self.duration,
            script: vec![kill_leader; self.kill_leaders as usize],
            lease: self.lease,
            election_timeout: self.lease / ELECTION_TIMEOUTS_PER_LEASE,
            store_directory: self.stores.clone().unwrap_or_else(temporary_directory),
            keep_stores: self.stores.is_some(),
            replicated_list: !self.own_list,
            fault_free: self.fault_free,
            command_interval: self.command_interval,
        })
    }
}

fn temporary_directory() -> PathBuf {
    std::env::temp_dir().join(format!("spokeflow-testbed-fleet-{}", std::process::id()))
}

pub(crate) fn run_fleet(flags: &FleetFlags) -> CommandResult {
    let config = flags.config()?;
    let starting = flags.logs.starting()?;
    let runtime = runtime(3)?;
    let progress = |at: Micros, what: &str| eprintln!("{:>7} ms  {what}", at / 1000);
    let run = runtime.block_on(fleet::run(config, starting, progress))?;
    if let Some(path) = &flags.trace {
        let lines = run.frames.iter().map(|frame| format!("{frame:?}"));
        write_trace(path, lines)?;
    }
    match flags.json {
        true => println!("{}", serde_json::to_string_pretty(&run.report)?),
        false => println!("{}", run.report.text()),
    }
    // Does not wait for tasks: connections of the peers may still be open.
    runtime.shutdown_background();
    Ok(exit_code(run.report.passed()))
}
