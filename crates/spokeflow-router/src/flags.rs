//! The flags and environment variables of a router, checked against each other at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use spokeflow_config::{parse_duration, ConfigErrors, GateFlag, OperationFlag, ServiceFlags};
use spokeflow_coordination::{EffectiveConfig, Revision};
use spokeflow_core::{Gate, Micros, OperationConfig, Repeat, ServiceConfig, ZoneId};
use spokeflow_engine::EngineConfig;
use spokeflow_runtime::LogFormat;

/// Minimum ratio of a command's timeout to the answer margin, so that most of the time is left for the command itself.
const MIN_TIMEOUT_PER_ANSWER_MARGIN: u32 = 4;
/// The `tick` of [`ServiceConfig`], in microseconds.
const TICK: Micros = 1000;

/// Converts a duration to microseconds, capped at a quarter of the largest number so that small sums do not overflow.
fn micros(duration: Duration) -> Micros {
    duration.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

/// The configuration of one router.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "This router")]
pub struct RouterFlags {
    /// Address on which to listen for clients; with port 0 the system chooses a free port, which is printed
    #[arg(long, env = "SPOKEFLOW_LISTEN", default_value = "127.0.0.1:7400")]
    pub listen: SocketAddr,
    /// Address of the host list
    #[arg(long, env = "SPOKEFLOW_LIST")]
    pub list: SocketAddr,
    /// Address of the release controller
    #[arg(long, alias = "desk", env = "SPOKEFLOW_RELEASE_CONTROLLER")]
    pub release_controller: SocketAddr,
    /// Address of a control-plane node; repeat the flag for each node. The router then applies the control plane's
    /// revisions of the service flags; without this flag it uses its own flags only
    #[arg(
        long = "control-plane",
        alias = "keeper",
        env = "SPOKEFLOW_CONTROL_PLANE",
        value_delimiter = ','
    )]
    pub control_plane: Vec<SocketAddr>,
    /// Takes the host list from the control plane, so that all routers use the same one; the list at --list then
    /// only removes hosts
    #[arg(long, alias = "agreed-list", env = "SPOKEFLOW_REPLICATED_LIST")]
    pub replicated_list: bool,
    /// No effect: routers exchange no messages
    #[arg(
        long = "peer",
        env = "SPOKEFLOW_PEER",
        value_delimiter = ',',
        hide = true
    )]
    pub peers: Vec<String>,
    /// Number of this router in the deployment, from 0
    #[arg(long, env = "SPOKEFLOW_INDEX", default_value_t = 0)]
    pub index: u32,
    /// Number of the site that this router runs in
    #[arg(long, env = "SPOKEFLOW_SITE", default_value_t = 0)]
    pub site: u16,
    /// Seed of the router's random numbers [default: random]
    #[arg(long, env = "SPOKEFLOW_SEED")]
    pub seed: Option<u64>,
    /// Time subtracted from each client's timeout, so that the answer arrives before the client gives up
    #[arg(long, env = "SPOKEFLOW_ANSWER_MARGIN", default_value = "30ms", value_parser = parse_duration)]
    pub answer_margin: Duration,
    /// Maximum number of waiting commands; any further command is nacked immediately
    #[arg(
        long,
        alias = "held-at-most",
        env = "SPOKEFLOW_MAX_WAITING",
        default_value_t = 20_000
    )]
    pub max_waiting: usize,
    /// Maximum number of client connections; any further connection is closed immediately
    #[arg(
        long,
        alias = "clients-at-most",
        env = "SPOKEFLOW_MAX_CLIENTS",
        default_value_t = 12_000
    )]
    pub max_clients: usize,
    /// Maximum number of answers queued for one client; when the queue is full, the connection is closed
    #[arg(long, env = "SPOKEFLOW_CLIENT_QUEUE", default_value_t = 1024)]
    pub client_queue: usize,
    /// Maximum number of messages queued for one host; further deliveries go to other hosts
    #[arg(long, env = "SPOKEFLOW_HOST_QUEUE", default_value_t = 256)]
    pub host_queue: usize,
    /// Longest time to connect to a host and receive its welcome; after that the connection counts as refused
    #[arg(long, env = "SPOKEFLOW_CONNECT_TIMEOUT", default_value = "250ms", value_parser = parse_duration)]
    pub connect_timeout: Duration,
    /// Delay after the first failed connection attempt; it doubles with each further failure and has jitter
    #[arg(long, env = "SPOKEFLOW_RECONNECT_FIRST", default_value = "50ms", value_parser = parse_duration)]
    pub reconnect_first: Duration,
    /// Longest delay between two connection attempts
    #[arg(long, env = "SPOKEFLOW_RECONNECT_MOST", default_value = "2s", value_parser = parse_duration)]
    pub reconnect_most: Duration,
    /// Time after which an idle connection to a host is closed
    #[arg(long, env = "SPOKEFLOW_CONNECTION_IDLE", default_value = "30s", value_parser = parse_duration)]
    pub connection_idle: Duration,
    /// Time without a message, or an answer to a ping, after which a connection to a host is dropped with everything
    /// that has not arrived; must be shorter than the memory= of every deduplicated operation
    #[arg(long, alias = "way-timeout", env = "SPOKEFLOW_PING_TIMEOUT", default_value = "1s", value_parser = parse_duration)]
    pub ping_timeout: Duration,
    /// Time without a message after which the watch on the host list is renewed; after three renewals without a message
    /// the router reconnects
    #[arg(long, env = "SPOKEFLOW_LIST_RENEW", default_value = "5s", value_parser = parse_duration)]
    pub list_renew: Duration,
    /// File that caches the last host list received; used if the list cannot be reached when the router starts
    #[arg(long, env = "SPOKEFLOW_LIST_FILE")]
    pub list_file: Option<PathBuf>,
    /// Longest time from SIGTERM until all waiting commands are answered and the program exits
    #[arg(long, env = "SPOKEFLOW_SHUTDOWN_WITHIN", default_value = "15s", value_parser = parse_duration)]
    pub shutdown_within: Duration,
    /// File in which all inputs are recorded for replay
    #[arg(long, env = "SPOKEFLOW_RECORD")]
    pub record: Option<PathBuf>,
    /// Log filter in the syntax of the tracing library, such as info or debug
    #[arg(long, env = "SPOKEFLOW_LOG", default_value = "info")]
    pub log: String,
    /// Format of the log lines
    #[arg(long, env = "SPOKEFLOW_LOG_FORM", value_enum, default_value = "text")]
    pub log_form: LogFormat,
    /// The flags that all routers of the service share.
    #[command(flatten)]
    pub service: ServiceFlags,
}

impl RouterFlags {
    /// Checks the flags against each other.
    ///
    /// # Errors
    ///
    /// All faults, one line for each, which names its flag.
    pub fn check(&self) -> Result<(), ConfigErrors> {
        let mut errors = ConfigErrors::default();
        self.service.check(&mut errors);
        self.check_fleet(&mut errors);
        self.check_connections(&mut errors);
        self.check_limits(&mut errors);
        errors.or_value(())
    }

    fn check_fleet(&self, errors: &mut ConfigErrors) {
        let fleet_size = self.service.fleet_size;
        errors.add_if(
            self.index >= fleet_size,
            "index",
            format!(
                "must be below --fleet-size {fleet_size}, got {}",
                self.index
            ),
        );
        errors.add_if(
            self.replicated_list && self.control_plane.is_empty(),
            "replicated-list",
            "requires --control-plane",
        );
    }

    fn check_connections(&self, errors: &mut ConfigErrors) {
        let ops = &self.service.ops;
        let timeouts = || ops.iter().map(|op| op.timeout);
        let shortest = timeouts().min().unwrap_or_default();
        errors.add_if(
            self.answer_margin * MIN_TIMEOUT_PER_ANSWER_MARGIN > shortest,
            "answer-margin",
            format!(
                "must be at most a quarter of timeout= {shortest:?}, got {:?}",
                self.answer_margin
            ),
        );
        errors.add_if(
            self.connect_timeout.is_zero(),
            "connect-timeout",
            "must be above 0s",
        );
        let shortest_memory = ops
            .iter()
            .filter(|op| op.repeat == Repeat::Deduplicated)
            .map(|op| op.memory)
            .min()
            .unwrap_or(Duration::MAX);
        errors.add_if(
            self.ping_timeout >= shortest_memory,
            "ping-timeout",
            format!(
                "must be shorter than memory= {shortest_memory:?}, got {:?}",
                self.ping_timeout
            ),
        );
        errors.add_if(
            self.ping_timeout.is_zero(),
            "ping-timeout",
            "must be above 0s",
        );
        let longest = timeouts().max().unwrap_or_default();
        errors.add_if(
            self.shutdown_within < longest,
            "shutdown-within",
            format!(
                "must be at least timeout= {longest:?}, got {:?}",
                self.shutdown_within
            ),
        );
        let first_delay = self.reconnect_first;
        errors.add_if(first_delay.is_zero(), "reconnect-first", "must be above 0s");
        errors.add_if(
            self.reconnect_most < first_delay,
            "reconnect-most",
            format!(
                "must be at least --reconnect-first {first_delay:?}, got {:?}",
                self.reconnect_most
            ),
        );
        errors.add_if(self.list_renew.is_zero(), "list-renew", "must be above 0s");
    }

    fn check_limits(&self, errors: &mut ConfigErrors) {
        for (limit, flag) in [
            (self.max_waiting, "max-waiting"),
            (self.max_clients, "max-clients"),
            (self.client_queue, "client-queue"),
            (self.host_queue, "host-queue"),
        ] {
            errors.add_if(limit == 0, flag, "must be at least 1");
        }
    }

    /// Returns the configuration of the engine.
    pub fn engine_config(&self) -> EngineConfig {
        EngineConfig {
            service: self.service_config(),
            answer_margin: micros(self.answer_margin),
            max_waiting: self.max_waiting,
        }
    }

    fn service_config(&self) -> ServiceConfig {
        let service = &self.service;
        ServiceConfig {
            ops: service.ops.iter().map(operation_config).collect(),
            tenant_quotas: service
                .customers
                .iter()
                .map(|customer| customer.quota)
                .collect(),
            own_zone: ZoneId(self.site),
            own_index: self.index,
            fleet_size: service.fleet_size,
            tick: TICK,
            list_requires_subscription: service.list_must_be_asked,
            list_refresh_within: micros(self.list_renew),
            delivery_cap: service.delivery_cap,
            may_hedge: service.side_by_side,
            may_cancel: !service.no_cancel,
            may_probe: service.may_probe,
            may_gossip: service.may_tell,
            may_name_retry_after: !service.longest_return.is_zero(),
            longest_retry_after: micros(service.longest_return),
            drain_grace: micros(service.drain_grace),
            slow_start_from: service.cold_from,
            warm_up_time: micros(service.warm_within),
            overload_multiple: service.fall_multiple,
            overload_window: micros(service.fall_span),
            gate: gate(service.gate),
            stage_caps: service.stage_caps.clone(),
            stage_shares: service.stage_shares.clone(),
            exposure_allowance: service.exposure_free,
            exposure_window: micros(service.exposure_span),
            exposure_by_op: service.exposure_by_op,
            guarded_stages: service.guarded_stages,
            forward_only: service.forward_only,
            rolling: !service.beside,
            stage_bake: micros(service.stage_bake),
            vote_lifetime: micros(service.vote_lifetime),
            vote_timeout: micros(service.vote_wait),
            complaint_share: service.complaint_share,
            rollback_votes: service.back_votes,
            votes_per_second: service.votes_a_second,
        }
    }

    /// Returns the configuration that this router may act on while `in_force` is in force and other routers may already
    /// act on `pending`.
    ///
    /// # Errors
    ///
    /// One of the revisions does not fit this router: all faults, one line for each, which names its flag.
    pub(crate) fn effective_config(
        &self,
        in_force: &Revision,
        pending: Option<&Revision>,
    ) -> Result<EffectiveConfig, ConfigErrors> {
        let now = self.revised_config(in_force)?;
        Ok(match pending {
            Some(pending) => now.stricter_of(&self.revised_config(pending)?),
            None => now,
        })
    }

    /// Returns the configuration with the revision's values in place of those of the flags, once it has been checked.
    fn revised_config(&self, revision: &Revision) -> Result<EffectiveConfig, ConfigErrors> {
        let revised = RouterFlags {
            service: self.service.revised(&revision.values)?,
            ..self.clone()
        };
        revised.check()?;
        Ok(EffectiveConfig::from(&revised.service_config()))
    }
}

fn operation_config(op: &OperationFlag) -> OperationConfig {
    OperationConfig {
        repeat: op.repeat,
        deduplication_scope: op.scope,
        deduplication_window: micros(op.memory),
        latency_objective: micros(op.target),
        command_timeout: micros(op.timeout),
        priority_weight: op.importance,
        streaming: op.streamed,
    }
}

fn gate(flag: GateFlag) -> Gate {
    match flag {
        GateFlag::Single => Gate::Single,
        GateFlag::Majority => Gate::Majority,
        GateFlag::Clocked => Gate::Clocked,
    }
}
