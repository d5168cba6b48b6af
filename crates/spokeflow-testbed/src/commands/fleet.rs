//! `fleet`: runs the fleet rig.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use spokeflow_testbed::fleet::{self, Fault, FleetConfig, ScriptedFault};
use spokeflow_testbed::Micros;

use super::{exit_code, runtime, write_trace, CommandResult, LogFlags};

/// Sizes of the control plane: odd, and with a quorum that survives a failure.
const NODE_COUNTS: [u32; 3] = [3, 5, 7];
/// How long a killed leader is away.
const LEADER_DOWN: Duration = Duration::from_millis(1500);
/// Between two kills of leaders.
const LEADER_KILL_INTERVAL: Duration = Duration::from_secs(3);
/// Election timeouts within a lease: the fleet elects a leader well before the leases of the last one are over.
const ELECTION_TIMEOUTS_PER_LEASE: u32 = 5;

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Plan {
    /// Revisions of settings under faults of nodes, routers and the links between them
    Settings,
}

/// Flags of `fleet`.
#[derive(Args)]
pub(crate) struct FleetFlags {
    /// What is tried
    #[arg(long, value_enum, default_value = "settings")]
    plan: Plan,
    /// Real routers
    #[arg(long, default_value_t = 24)]
    routers: u32,
    /// Control-plane nodes at the beginning: 3, 5 or 7
    #[arg(long, alias = "keepers", default_value_t = 5)]
    nodes: u32,
    /// Draws the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// For how long faults begin
    #[arg(long, alias = "lasts", default_value = "40s", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// The routers' lease, which bounds every contradiction
    #[arg(long, default_value = "1500ms", value_parser = humantime::parse_duration)]
    lease: Duration,
    /// Routers get the endpoint list from its source, not from the nodes
    #[arg(long)]
    own_list: bool,
    /// Nothing fails; each revision is proposed as soon as the one before is in force
    #[arg(long, alias = "peace")]
    fault_free: bool,
    /// The leader is killed so often, every three seconds, and nothing else fails
    #[arg(long, default_value_t = 0)]
    kill_leaders: u32,
    /// Between two commands of each router's client
    #[arg(long, alias = "pace", default_value = "20ms", value_parser = humantime::parse_duration)]
    command_interval: Duration,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    logs: LogFlags,
    /// Keeps the nodes' stores in this directory
    #[arg(long)]
    stores: Option<PathBuf>,
    /// Writes all frames that crossed the switchboard to this file, one a line
    #[arg(long)]
    trace: Option<PathBuf>,
}

/// Flags that do not go together with a fleet.
#[derive(Debug, thiserror::Error)]
enum FlagError {
    #[error("--nodes {0}: 3, 5 or 7")]
    NodeCount(u32),
    #[error("--routers: at least 1")]
    NoRouters,
}

impl FleetFlags {
    fn config(&self) -> Result<FleetConfig, FlagError> {
        let Plan::Settings = self.plan;
        if !NODE_COUNTS.contains(&self.nodes) {
            return Err(FlagError::NodeCount(self.nodes));
        }
        if self.routers == 0 {
            return Err(FlagError::NoRouters);
        }
        let kill_leader = ScriptedFault {
            fault: Fault::KillLeader { down: LEADER_DOWN },
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
    // Not waited for: connections of the fake peers may still be open.
    runtime.shutdown_background();
    Ok(exit_code(run.report.sound()))
}
