//! All terms as flags and environment variables, checked against each other at start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use spokeflow_config::{parse_duration, ConfigErrors, GateFlag, OperationFlag, ServiceFlags};
use spokeflow_coordination::{EffectiveConfig, Revision};
use spokeflow_core::{Gate, Micros, OperationConfig, Repeat, ServiceConfig, ZoneId};
use spokeflow_engine::EngineConfig;
use spokeflow_runtime::LogFormat;

fn micros(span: Duration) -> Micros {
    span.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

/// One router of the deployment.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "This router")]
pub struct RouterFlags {
    /// Where clients connect; port 0 takes a free one, told on standard output
    #[arg(long, env = "SPOKEFLOW_LISTEN", default_value = "127.0.0.1:7400")]
    pub listen: SocketAddr,
    /// The host list
    #[arg(long, env = "SPOKEFLOW_LIST")]
    pub list: SocketAddr,
    /// The release controller
    #[arg(long, alias = "desk", env = "SPOKEFLOW_RELEASE_CONTROLLER")]
    pub release_controller: SocketAddr,
    /// A control-plane node, whose revisions of the service flags this router then follows; repeat the flag for each. Without any
    /// the router goes by its flags alone
    #[arg(
        long = "control-plane",
        alias = "keeper",
        env = "SPOKEFLOW_CONTROL_PLANE",
        value_delimiter = ','
    )]
    pub control_plane: Vec<SocketAddr>,
    /// The host list comes from the control plane, on which all routers agree; the list named by --list then only takes hosts
    /// away
    #[arg(long, alias = "agreed-list", env = "SPOKEFLOW_REPLICATED_LIST")]
    pub replicated_list: bool,
    /// Has no effect any more: routers tell each other nothing
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
    /// Number of the site that it stands in
    #[arg(long, env = "SPOKEFLOW_SITE", default_value_t = 0)]
    pub site: u16,
    /// Starts the router's chance; drawn at start where not given
    #[arg(long, env = "SPOKEFLOW_SEED")]
    pub seed: Option<u64>,
    /// Kept back from each client's patience for the way of the answer
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
    /// Pause after the first failed connection, doubled with each, with jitter
    #[arg(long, env = "SPOKEFLOW_RECONNECT_FIRST", default_value = "50ms", value_parser = parse_duration)]
    pub reconnect_first: Duration,
    /// Longest such pause
    #[arg(long, env = "SPOKEFLOW_RECONNECT_MOST", default_value = "2s", value_parser = parse_duration)]
    pub reconnect_most: Duration,
    /// A connection to a host without work is closed after this time
    #[arg(long, env = "SPOKEFLOW_CONNECTION_IDLE", default_value = "30s", value_parser = parse_duration)]
    pub connection_idle: Duration,
    /// A connection to a host on which nothing has come for this time, a ping unanswered, is dropped with all
    /// that has not arrived; shorter than every memory= of a deduplicated op type
    #[arg(long, alias = "way-timeout", env = "SPOKEFLOW_PING_TIMEOUT", default_value = "1s", value_parser = parse_duration)]
    pub ping_timeout: Duration,
    /// The watch on the list is renewed where nothing has come for this time, and made anew after three
    #[arg(long, env = "SPOKEFLOW_LIST_RENEW", default_value = "5s", value_parser = parse_duration)]
    pub list_renew: Duration,
    /// Where the last list is kept, for a start while the list cannot be reached
    #[arg(long, env = "SPOKEFLOW_LIST_FILE")]
    pub list_file: Option<PathBuf>,
    /// After SIGTERM all held commands are answered and the program ends within this time
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
    #[command(flatten)]
    pub service: ServiceFlags,
}

impl RouterFlags {
    /// Checks all terms. Errors: every fault found.
    pub fn check(&self) -> Result<(), ConfigErrors> {
        let mut errors = ConfigErrors::default();
        let s = &self.service;
        s.check(&mut errors);
        let fleet = s.fleet_size;
        errors.check(
            self.index >= fleet,
            "index",
            format!("{} is not below --fleet-size {fleet}", self.index),
        );
        errors.check(
            self.replicated_list && self.control_plane.is_empty(),
            "replicated-list",
            "needs --control-plane",
        );
        let shortest = s.ops.iter().map(|op| op.timeout).min().unwrap_or_default();
        let longest = s.ops.iter().map(|op| op.timeout).max().unwrap_or_default();
        let margin = self.answer_margin;
        errors.check(
            margin * 4 > shortest,
            "answer-margin",
            format!("over a quarter of timeout= {shortest:?}"),
        );
        errors.check(
            self.connect_timeout.is_zero(),
            "connect-timeout",
            "above 0s",
        );
        let memory = s
            .ops
            .iter()
            .filter(|op| op.repeat == Repeat::Deduplicated)
            .map(|op| op.memory)
            .min();
        let (way, least) = (self.ping_timeout, memory.unwrap_or(Duration::MAX));
        errors.check(
            way >= least,
            "ping-timeout",
            format!("not shorter than memory= {least:?}"),
        );
        errors.check(way.is_zero(), "ping-timeout", "above 0s");
        let within = self.shutdown_within;
        errors.check(
            within < longest,
            "shutdown-within",
            format!("shorter than timeout= {longest:?}"),
        );
        let (first, most) = (self.reconnect_first, self.reconnect_most);
        errors.check(first.is_zero(), "reconnect-first", "above 0s");
        errors.check(
            most < first,
            "reconnect-most",
            format!("shorter than --reconnect-first {first:?}"),
        );
        errors.check(self.list_renew.is_zero(), "list-renew", "above 0s");
        let bounds = [
            (self.max_waiting, "max-waiting"),
            (self.max_clients, "max-clients"),
            (self.client_queue, "client-queue"),
            (self.host_queue, "host-queue"),
        ];
        bounds
            .iter()
            .for_each(|(n, flag)| errors.check(*n == 0, flag, "at least 1"));
        errors.or_value(())
    }

    pub fn engine(&self) -> EngineConfig {
        let s = &self.service;
        let op = |op: &OperationFlag| OperationConfig {
            repeat: op.repeat,
            deduplication_scope: op.scope,
            deduplication_window: micros(op.memory),
            latency_objective: micros(op.target),
            command_timeout: micros(op.timeout),
            priority_weight: op.importance,
            streaming: op.streamed,
        };
        let service = ServiceConfig {
            ops: s.ops.iter().map(op).collect(),
            tenant_quotas: s.customers.iter().map(|c| c.1).collect(),
            own_zone: ZoneId(self.site),
            own_index: self.index,
            fleet_size: s.fleet_size,
            tick: 1000,
            list_requires_subscription: s.list_must_be_asked,
            list_refresh_within: micros(self.list_renew),
            delivery_cap: s.delivery_cap,
            may_hedge: s.side_by_side,
            may_cancel: !s.no_cancel,
            may_probe: s.may_probe,
            may_gossip: s.may_tell,
            may_name_retry_after: !s.longest_return.is_zero(),
            longest_retry_after: micros(s.longest_return),
            drain_grace: micros(s.drain_grace),
            slow_start_from: s.cold_from,
            warm_up_time: micros(s.warm_within),
            overload_multiple: s.fall_multiple,
            overload_window: micros(s.fall_span),
            gate: match s.gate {
                GateFlag::Single => Gate::Single,
                GateFlag::Majority => Gate::Majority,
                GateFlag::Clocked => Gate::Clocked,
            },
            stage_caps: s.stage_caps.clone(),
            stage_shares: s.stage_shares.clone(),
            exposure_allowance: s.exposure_free,
            exposure_window: micros(s.exposure_span),
            exposure_by_op: s.exposure_by_op,
            guarded_stages: s.guarded_stages,
            forward_only: s.forward_only,
            rolling: !s.beside,
            stage_bake: micros(s.stage_bake),
            vote_lifetime: micros(s.vote_lifetime),
            vote_timeout: micros(s.vote_wait),
            complaint_share: s.complaint_share,
            rollback_votes: s.back_votes,
            votes_per_second: s.votes_a_second,
        };
        EngineConfig {
            service,
            answer_margin: micros(self.answer_margin),
            max_waiting: self.max_waiting,
        }
    }
}

impl RouterFlags {
    /// What this router may act on while `in_force` is in force and `announced` may be acted on by others.
    ///
    /// Errors: one of both does not fit this router, with every fault.
    pub fn agreed(
        &self,
        in_force: &Revision,
        announced: Option<&Revision>,
    ) -> Result<EffectiveConfig, ConfigErrors> {
        let terms = |revision: &Revision| {
            let service = self.service.revised(&revision.values)?;
            let revised = RouterFlags {
                service,
                ..self.clone()
            };
            revised.check()?;
            Ok::<_, ConfigErrors>(EffectiveConfig::from(&revised.engine().service))
        };
        let now = terms(in_force)?;
        Ok(match announced {
            Some(announced) => now.stricter_of(&terms(announced)?),
            None => now,
        })
    }
}
