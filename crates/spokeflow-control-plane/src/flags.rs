//! The flags of a control-plane node and their check at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use spokeflow_config::{check_overrides, ConfigErrors};
use spokeflow_coordination::wire::ClusterParameters;
use spokeflow_coordination::{CoordinatorConfig, LeaseConfig};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, RaftConfig};
use spokeflow_runtime::LogFormat;

use crate::CrashTarget;

/// Maximum number of voters: more make each commit slower and survive hardly more failures.
const MAX_VOTERS: usize = 7;

/// Largest fraction by which a clock may run fast or slow: far above the drift of any clock in working order.
const MAX_CLOCK_DRIFT: f64 = 0.1;

/// Minimum number of heartbeats within an election timeout, so that one lost message does not start an election.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

/// Minimum number of election timeouts within a lease. An election takes two of them and a round trip; if a lease
/// expired before that, all routers would lose theirs.
const MIN_ELECTIONS_PER_LEASE: u32 = 4;

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|error| format!("{error}; use a duration with a unit, such as 250ms or 2s"))
}

/// A node of the fleet's initial set of nodes, as given with `--member`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberFlag {
    /// Id of the node.
    pub id: u32,
    /// Address on which the node listens.
    pub address: SocketAddr,
}

impl MemberFlag {
    /// Parses `ID=ADDRESS`. A value parser for clap.
    fn parse(text: &str) -> Result<Self, String> {
        let (id, address) = text.split_once('=').ok_or("expected ID=ADDRESS")?;
        let id = id
            .parse()
            .map_err(|_| format!("the id '{id}' is not a number"))?;
        let address = address
            .parse()
            .map_err(|_| format!("'{address}' is not an IP address with a port"))?;
        Ok(MemberFlag { id, address })
    }
}

/// Everything that a node is configured with.
#[derive(Clone, Debug, Args)]
pub struct ControlPlaneFlags {
    /// Number of this node; must never be used for another node, not even for its replacement
    #[arg(long, env = "SPOKEFLOW_NODE_ID")]
    pub id: u32,
    /// Address on which to listen for routers, operators and other nodes; with port 0 the system chooses a free port,
    /// which is printed
    #[arg(long, env = "SPOKEFLOW_LISTEN", default_value = "127.0.0.1:7500")]
    pub listen: SocketAddr,
    /// A node of the fleet's initial set: ID=ADDRESS; repeat the flag for each node. The set has one, three, five or
    /// seven nodes, including this one, and must be the same on all nodes. With --join: an existing node, which this
    /// one asks for the others while it waits to be added
    #[arg(long = "member", env = "SPOKEFLOW_MEMBER", value_delimiter = ',', value_parser = MemberFlag::parse)]
    pub members: Vec<MemberFlag>,
    /// Starts as a new node, which waits until it is added to the fleet
    #[arg(long, env = "SPOKEFLOW_JOIN")]
    pub join: bool,
    /// File of the durable store; created if it does not exist
    #[arg(long, env = "SPOKEFLOW_STORE")]
    pub store: PathBuf,
    /// Address of the host list; the leader reads it for the routers that run with --replicated-list
    #[arg(long, env = "SPOKEFLOW_LIST")]
    pub list: Option<SocketAddr>,
    /// Number of the fleet; nodes and stores of another fleet are refused
    #[arg(long, env = "SPOKEFLOW_FLEET", default_value_t = 0)]
    pub fleet: u64,
    /// Time without a message from the leader after which another node may be elected
    #[arg(long, alias = "silence", env = "SPOKEFLOW_ELECTION_TIMEOUT", default_value = "500ms", value_parser = parse_duration)]
    pub election_timeout: Duration,
    /// Interval between two heartbeats of the leader
    #[arg(long, alias = "beat", env = "SPOKEFLOW_HEARTBEAT_INTERVAL", default_value = "100ms", value_parser = parse_duration)]
    pub heartbeat_interval: Duration,
    /// Time for which a router may act on the configuration that it received last
    #[arg(long, env = "SPOKEFLOW_LEASE", default_value = "3s", value_parser = parse_duration)]
    pub lease: Duration,
    /// Maximum clock drift: the fraction by which any clock of the fleet may run fast or slow
    #[arg(
        long,
        alias = "drift",
        env = "SPOKEFLOW_MAX_CLOCK_DRIFT",
        default_value_t = 0.01
    )]
    pub max_clock_drift: f64,
    /// Maximum number of connections from routers, operators and other nodes
    #[arg(
        long,
        alias = "callers-at-most",
        env = "SPOKEFLOW_MAX_CONNECTIONS",
        default_value_t = 4096
    )]
    pub max_connections: usize,
    /// Log filter in the syntax of the tracing library, such as info or debug
    #[arg(long, env = "SPOKEFLOW_LOG", default_value = "info")]
    pub log: String,
    /// Format of the log lines
    #[arg(long, env = "SPOKEFLOW_LOG_FORM", value_enum, default_value = "text")]
    pub log_form: LogFormat,
    /// For tests: crashes at this point; POINT:NTH
    #[arg(long, alias = "die-at", hide = true, value_parser = CrashTarget::parse)]
    pub crash_at: Option<CrashTarget>,
    /// For tests: number of the write from which on all writes fail
    #[arg(long, hide = true)]
    pub fail_writes_from: Option<u64>,
}

impl ControlPlaneFlags {
    /// Checks each flag, and how the flags fit together.
    ///
    /// # Errors
    ///
    /// All faults, one line each that names the flag.
    pub fn check(&self) -> Result<(), ConfigErrors> {
        let mut errors = ConfigErrors::default();
        self.check_members(&mut errors);
        self.check_timing(&mut errors);
        errors.add_if(
            self.max_connections == 0,
            "max-connections",
            "must be at least 1",
        );
        errors.or_value(())
    }

    fn check_members(&self, errors: &mut ConfigErrors) {
        let count = self.members.len();
        let mut ids: Vec<u32> = self.members.iter().map(|member| member.id).collect();
        ids.sort_unstable();
        ids.dedup();
        let id = self.id;
        let includes_itself = ids.contains(&id);
        errors.add_if(ids.len() != count, "member", "an id is given twice");
        if self.join {
            errors.add_if(
                includes_itself,
                "member",
                format!("must not name this node ({id}), which joins"),
            );
        } else {
            errors.add_if(
                count.is_multiple_of(2) || count > MAX_VOTERS,
                "member",
                format!("names {count} nodes, expected 1, 3, 5 or 7"),
            );
            errors.add_if(
                !includes_itself,
                "member",
                format!("does not name this node ({id})"),
            );
        }
    }

    fn check_timing(&self, errors: &mut ConfigErrors) {
        let election_timeout = self.election_timeout;
        errors.add_if(
            self.heartbeat_interval.is_zero(),
            "heartbeat-interval",
            "must be above 0s",
        );
        errors.add_if(
            self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION > election_timeout,
            "heartbeat-interval",
            format!(
                "must be at most a third of --election-timeout {election_timeout:?}, got {:?}",
                self.heartbeat_interval
            ),
        );
        let drift = self.max_clock_drift;
        errors.add_if(
            !(0.0..=MAX_CLOCK_DRIFT).contains(&drift),
            "max-clock-drift",
            format!("must be 0 to {MAX_CLOCK_DRIFT}, got {drift}"),
        );
        errors.add_if(
            self.lease < election_timeout * MIN_ELECTIONS_PER_LEASE,
            "lease",
            format!(
                "must be at least four times --election-timeout {election_timeout:?}, got {:?}",
                self.lease
            ),
        );
    }

    /// Returns the configuration of the coordinator.
    pub(crate) fn coordinator_config(&self) -> CoordinatorConfig {
        let voters = match self.join {
            true => Vec::new(),
            false => self
                .members
                .iter()
                .map(|member| NodeId(member.id))
                .collect(),
        };
        let addresses = self
            .members
            .iter()
            .map(|member| (NodeId(member.id), member.address.to_string()))
            .collect();
        CoordinatorConfig {
            id: NodeId(self.id),
            raft: RaftConfig {
                voters,
                election_timeout: micros(self.election_timeout),
                heartbeat_interval: micros(self.heartbeat_interval),
                max_clock_drift: self.max_clock_drift,
            },
            lease: LeaseConfig {
                duration: micros(self.lease),
                max_clock_drift: self.max_clock_drift,
            },
            addresses,
            check: |overrides| Ok(check_overrides(overrides)?),
        }
    }

    /// Returns the settings that all nodes of the fleet must have in common.
    pub(crate) fn cluster_parameters(&self) -> ClusterParameters {
        ClusterParameters {
            fleet: self.fleet,
            election_timeout_us: self.election_timeout.as_micros() as u64,
            lease_us: self.lease.as_micros() as u64,
            max_clock_drift: self.max_clock_drift,
        }
    }
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}
