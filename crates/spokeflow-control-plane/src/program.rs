//! The keeper's flags, checked at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser};
use rand::RngExt;
use spokeflow_config::check_overrides;
use spokeflow_coordination::wire::ClusterParameters;
use spokeflow_coordination::{CoordinatorConfig, LeaseConfig};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, RaftConfig};
use spokeflow_runtime::{init_logging, LogFormat};

use crate::{serve, CrashPoint, Store, CRASH_POINTS};

fn span(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|e| format!("{e}; a time with its unit, such as 250ms or 2s"))
}

fn member(text: &str) -> Result<(u32, SocketAddr), String> {
    let (id, address) = text.split_once('=').ok_or("not ID=ADDRESS")?;
    let id = id.parse().map_err(|_| format!("'{id}' is not a number"))?;
    Ok((
        id,
        address
            .parse()
            .map_err(|_| format!("'{address}' is not an address with a port"))?,
    ))
}

fn place(text: &str) -> Result<(CrashPoint, u64), String> {
    let (name, nth) = text.split_once(':').unwrap_or((text, "1"));
    let known = CRASH_POINTS.iter().find(|w| w.0 == name).map(|w| w.1);
    Ok((
        known.ok_or("no such place")?,
        nth.parse().map_err(|_| "not PLACE:NTH")?,
    ))
}

#[derive(Clone, Debug, Args)]
pub struct ControlPlaneFlags {
    /// Number of this node, never given to another one, not even in its place
    #[arg(long, env = "SPOKEFLOW_NODE_ID")]
    pub id: u32,
    /// CrashPoint routers, operators and other nodes connect; port 0 takes a free one, told on standard output
    #[arg(long, env = "SPOKEFLOW_LISTEN", default_value = "127.0.0.1:7500")]
    pub listen: SocketAddr,
    /// A node of the fleet's first set: ID=ADDRESS; three, five or seven, this one among them, told to all alike.
    /// With --join those that may know more: this one then waits to be added
    #[arg(long = "member", env = "SPOKEFLOW_MEMBER", value_delimiter = ',', value_parser = member)]
    pub members: Vec<(u32, SocketAddr)>,
    /// Starts as one that is yet to be added
    #[arg(long, env = "SPOKEFLOW_JOIN")]
    pub join: bool,
    /// File of its store, made where it is not there
    #[arg(long, env = "SPOKEFLOW_STORE")]
    pub store: PathBuf,
    /// The host list that routers with --replicated-list follow: the leader reads it
    #[arg(long, env = "SPOKEFLOW_LIST")]
    pub list: Option<SocketAddr>,
    /// Number of the fleet: a node of another one is refused, and so is its store
    #[arg(long, env = "SPOKEFLOW_FLEET", default_value_t = 0)]
    pub fleet: u64,
    /// After this time without word of the leader another may be elected
    #[arg(long, alias = "silence", env = "SPOKEFLOW_ELECTION_TIMEOUT", default_value = "500ms", value_parser = span)]
    pub election_timeout: Duration,
    /// How often the leader sends a heartbeat
    #[arg(long, alias = "beat", env = "SPOKEFLOW_HEARTBEAT_INTERVAL", default_value = "100ms", value_parser = span)]
    pub heartbeat_interval: Duration,
    /// For how long a router may act on what it was told last
    #[arg(long, env = "SPOKEFLOW_LEASE", default_value = "3s", value_parser = span)]
    pub lease: Duration,
    /// How much faster or slower than true any clock of the fleet may run, as a share
    #[arg(
        long,
        alias = "drift",
        env = "SPOKEFLOW_MAX_CLOCK_DRIFT",
        default_value_t = 0.01
    )]
    pub max_clock_drift: f64,
    /// Routers, operators and other nodes that are connected at most
    #[arg(
        long,
        alias = "callers-at-most",
        env = "SPOKEFLOW_MAX_CONNECTIONS",
        default_value_t = 4096
    )]
    pub max_connections: usize,
    /// Which lines are logged, in the form of the tracing library, such as info or debug
    #[arg(long, env = "SPOKEFLOW_LOG", default_value = "info")]
    pub log: String,
    /// Form of the log
    #[arg(long, env = "SPOKEFLOW_LOG_FORM", value_enum, default_value = "text")]
    pub log_form: LogFormat,
    /// For tests: dies at this place, PLACE:NTH
    #[arg(long, alias = "die-at", hide = true, value_parser = place)]
    pub crash_at: Option<(CrashPoint, u64)>,
    /// For tests: the disk fails from this write on
    #[arg(long, hide = true)]
    pub fail_writes_from: Option<u64>,
}

/// Holds, with a few others, what routers agree on.
#[derive(Debug, Parser)]
#[command(name = "spokeflow-control-plane", version)]
pub struct ControlPlaneProgram {
    #[command(flatten)]
    pub flags: ControlPlaneFlags,
}

impl ControlPlaneFlags {
    /// Errors: every fault, naming its flag.
    pub fn check(&self) -> Result<(), Vec<String>> {
        let mut faults = Vec::new();
        let mut when = |wrong: bool, fault: String| {
            if wrong {
                faults.push(fault);
            }
        };
        let n = self.members.len();
        let mut ids: Vec<u32> = self.members.iter().map(|m| m.0).collect();
        ids.sort_unstable();
        ids.dedup();
        when(ids.len() != n, "--member: a number is given twice".into());
        if self.join {
            when(
                ids.contains(&self.id),
                format!("--member: {} is this one, which joins", self.id),
            );
        } else {
            when(
                n.is_multiple_of(2) || n > 7,
                format!("--member: {n} of them, not 1, 3, 5 or 7"),
            );
            when(
                !ids.contains(&self.id),
                format!("--member: keeper {} itself is not among them", self.id),
            );
        }
        when(
            self.heartbeat_interval.is_zero(),
            "--heartbeat-interval: above 0s".into(),
        );
        when(
            self.heartbeat_interval * 3 > self.election_timeout,
            format!(
                "--heartbeat-interval: over a third of --election-timeout {:?}",
                self.election_timeout
            ),
        );
        let drift = self.max_clock_drift;
        when(
            !(0.0..=0.1).contains(&drift),
            format!("--max-clock-drift: {drift} is not between 0 and 0.1"),
        );
        // An election takes two silences and a round trip; a lease that it outlasts would be lost by all routers.
        when(
            self.lease < self.election_timeout * 4,
            format!(
                "--lease: under four times --election-timeout {:?}",
                self.election_timeout
            ),
        );
        when(
            self.max_connections == 0,
            "--max-connections: at least 1".into(),
        );
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    pub fn coordinator_config(&self) -> CoordinatorConfig {
        let micros = |span: Duration| span.as_micros() as Micros;
        let members: Vec<NodeId> = self.members.iter().map(|m| NodeId(m.0)).collect();
        CoordinatorConfig {
            id: NodeId(self.id),
            raft: RaftConfig {
                voters: if self.join { Vec::new() } else { members },
                election_timeout: micros(self.election_timeout),
                heartbeat_interval: micros(self.heartbeat_interval),
                max_clock_drift: self.max_clock_drift,
            },
            lease: LeaseConfig {
                duration: micros(self.lease),
                max_clock_drift: self.max_clock_drift,
            },
            addresses: self
                .members
                .iter()
                .map(|m| (NodeId(m.0), m.1.to_string()))
                .collect(),
            check: |values| Ok(check_overrides(values)?),
        }
    }

    pub fn cluster_parameters(&self) -> ClusterParameters {
        ClusterParameters {
            fleet: self.fleet,
            election_timeout_us: self.election_timeout.as_micros() as u64,
            lease_us: self.lease.as_micros() as u64,
            max_clock_drift: self.max_clock_drift,
        }
    }
}

/// Runs the keeper until SIGTERM or SIGINT. Exit code 0: ended as asked; 1: could not go on; 2: bad terms.
pub fn main_with(program: ControlPlaneProgram) -> ExitCode {
    let flags = program.flags;
    if let Err(faults) = flags.check() {
        faults
            .iter()
            .for_each(|fault| eprintln!("spokeflow-control-plane: {fault}"));
        return ExitCode::from(2);
    }
    if let Err(fault) = init_logging(&flags.log, flags.log_form) {
        eprintln!("spokeflow-control-plane: {fault}");
        return ExitCode::from(2);
    }
    let process = rand::rng().random();
    let own = NodeId(flags.id);
    let opened = Store::open(
        &flags.store,
        flags.fleet,
        own,
        flags.fail_writes_from,
        process,
    );
    let (store, saved, start, processes) = match opened {
        Ok(opened) => opened,
        Err(fault) => {
            eprintln!(
                "spokeflow-control-plane: --store {}: {fault}",
                flags.store.display()
            );
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("spokeflow-control-plane: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(serve(flags, store, saved, (start, processes))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("spokeflow-control-plane: {what}");
            ExitCode::FAILURE
        }
    }
}
