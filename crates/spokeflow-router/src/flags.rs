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

/// Shortest timeout of a command, in answer margins: most of the time is left for the command itself.
const MIN_TIMEOUT_PER_ANSWER_MARGIN: u32 = 4;
/// The `tick` of [`ServiceConfig`], in microseconds.
const TICK: Micros = 1000;

/// In microseconds, and far enough from the largest number that sums of a few do not overflow.
fn micros(duration: Duration) -> Micros {
    duration.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

/// Everything that one router is configured with.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "This router")]
pub struct RouterFlags {
    /// Where clients connect; port 0 takes a free one, which is printed
    #[arg(long, env = "SPOKEFLOW_LISTEN", default_value = "127.0.0.1:7400")]
    pub listen: SocketAddr,
    /// The host list
    #[arg(long, env = "SPOKEFLOW_LIST")]
    pub list: SocketAddr,
    /// The release controller
    #[arg(long, alias = "desk", env = "SPOKEFLOW_RELEASE_CONTROLLER")]
    pub release_controller: SocketAddr,
    /// A control-plane node, whose revisions of the service flags this router then follows; repeat the flag for
    /// each. Without any the router follows its flags alone
    #[arg(
        long = "control-plane",
        alias = "keeper",
        env = "SPOKEFLOW_CONTROL_PLANE",
        value_delimiter = ','
    )]
    pub control_plane: Vec<SocketAddr>,
    /// The host list comes from the control plane, alike for all routers; the list named by --list then only removes
    /// hosts
    #[arg(long, alias = "agreed-list", env = "SPOKEFLOW_REPLICATED_LIST")]
    pub replicated_list: bool,
    /// Without effect: routers exchange no messages
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
    /// Number of the site that it runs in
    #[arg(long, env = "SPOKEFLOW_SITE", default_value_t = 0)]
    pub site: u16,
    /// Seed of the router's random numbers; drawn at start where not given
    #[arg(long, env = "SPOKEFLOW_SEED")]
    pub seed: Option<u64>,
    /// Subtracted from the time that each client waits, for the way of the answer
    #[arg(long, env = "SPOKEFLOW_ANSWER_MARGIN", default_value = "30ms", value_parser = parse_duration)]
    pub answer_margin: Duration,
    /// Commands that wait at most; more are nacked at once
    #[arg(
        long,
        alias = "held-at-most",
        env = "SPOKEFLOW_MAX_WAITING",
        default_value_t = 20_000
    )]
    pub max_waiting: usize,
    /// Client connections at most; more are closed at once
    #[arg(
        long,
        alias = "clients-at-most",
        env = "SPOKEFLOW_MAX_CLIENTS",
        default_value_t = 12_000
    )]
    pub max_clients: usize,
    /// Answers that wait for one client at most; one that does not read them is closed
    #[arg(long, env = "SPOKEFLOW_CLIENT_QUEUE", default_value_t = 1024)]
    pub client_queue: usize,
    /// Messages that wait for one host at most; a delivery beyond that goes elsewhere
    #[arg(long, env = "SPOKEFLOW_HOST_QUEUE", default_value_t = 256)]
    pub host_queue: usize,
    /// A connection to a host that is not made within this time counts as refused
    #[arg(long, env = "SPOKEFLOW_CONNECT_TIMEOUT", default_value = "250ms", value_parser = parse_duration)]
    pub connect_timeout: Duration,
    /// Delay after the first failed connection, doubled with each, with jitter
    #[arg(long, env = "SPOKEFLOW_RECONNECT_FIRST", default_value = "50ms", value_parser = parse_duration)]
    pub reconnect_first: Duration,
    /// Longest such delay
    #[arg(long, env = "SPOKEFLOW_RECONNECT_MOST", default_value = "2s", value_parser = parse_duration)]
    pub reconnect_most: Duration,
    /// A connection to a host without work is closed after this time
    #[arg(long, env = "SPOKEFLOW_CONNECTION_IDLE", default_value = "30s", value_parser = parse_duration)]
    pub connection_idle: Duration,
    /// A connection to a host on which nothing has come for this time, a ping unanswered, is dropped with all
    /// that has not arrived; shorter than every memory= of a deduplicated op type
    #[arg(long, alias = "way-timeout", env = "SPOKEFLOW_PING_TIMEOUT", default_value = "1s", value_parser = parse_duration)]
    pub ping_timeout: Duration,
    /// The watch on the list is renewed where nothing has come for this time, and the connection opened anew after
    /// three renewals
    #[arg(long, env = "SPOKEFLOW_LIST_RENEW", default_value = "5s", value_parser = parse_duration)]
    pub list_renew: Duration,
    /// File that caches the last list, for a start while the list cannot be reached
    #[arg(long, env = "SPOKEFLOW_LIST_FILE")]
    pub list_file: Option<PathBuf>,
    /// After SIGTERM all waiting commands are answered and the program ends within this time
    #[arg(long, env = "SPOKEFLOW_SHUTDOWN_WITHIN", default_value = "15s", value_parser = parse_duration)]
    pub shutdown_within: Duration,
    /// Writes all inputs to this file, for replay
    #[arg(long, env = "SPOKEFLOW_RECORD")]
    pub record: Option<PathBuf>,
    /// Which lines are logged, in the form of the tracing library, such as info or debug
    #[arg(long, env = "SPOKEFLOW_LOG", default_value = "info")]
    pub log: String,
    /// Form of the log
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
    /// Every fault, one a line, naming its flag.
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
            format!("{} is not below --fleet-size {fleet_size}", self.index),
        );
        errors.add_if(
            self.replicated_list && self.control_plane.is_empty(),
            "replicated-list",
            "needs --control-plane",
        );
    }

    fn check_connections(&self, errors: &mut ConfigErrors) {
        let ops = &self.service.ops;
        let timeouts = || ops.iter().map(|op| op.timeout);
        let shortest = timeouts().min().unwrap_or_default();
        errors.add_if(
            self.answer_margin * MIN_TIMEOUT_PER_ANSWER_MARGIN > shortest,
            "answer-margin",
            format!("over a quarter of timeout= {shortest:?}"),
        );
        errors.add_if(
            self.connect_timeout.is_zero(),
            "connect-timeout",
            "above 0s",
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
            format!("not shorter than memory= {shortest_memory:?}"),
        );
        errors.add_if(self.ping_timeout.is_zero(), "ping-timeout", "above 0s");
        let longest = timeouts().max().unwrap_or_default();
        errors.add_if(
            self.shutdown_within < longest,
            "shutdown-within",
            format!("shorter than timeout= {longest:?}"),
        );
        let first_delay = self.reconnect_first;
        errors.add_if(first_delay.is_zero(), "reconnect-first", "above 0s");
        errors.add_if(
            self.reconnect_most < first_delay,
            "reconnect-most",
            format!("shorter than --reconnect-first {first_delay:?}"),
        );
        errors.add_if(self.list_renew.is_zero(), "list-renew", "above 0s");
    }

    fn check_limits(&self, errors: &mut ConfigErrors) {
        for (limit, flag) in [
            (self.max_waiting, "max-waiting"),
            (self.max_clients, "max-clients"),
            (self.client_queue, "client-queue"),
            (self.host_queue, "host-queue"),
        ] {
            errors.add_if(limit == 0, flag, "at least 1");
        }
    }

    /// The configuration of the engine.
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

    /// What this router may act on while `in_force` is in force and `pending` may be acted on by others.
    ///
    /// # Errors
    ///
    /// One of both does not fit this router: every fault, one a line, naming its flag.
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

    /// These flags with a revision's values in place of their own, checked.
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
