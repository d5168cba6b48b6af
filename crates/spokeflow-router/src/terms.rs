//! All terms as flags and environment variables, checked against each other at start.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};
use spokeflow_core::{Gate, Micros, OpTerms, Repeat, RepeatScope, ServiceTerms, ZoneId};
use spokeflow_engine::EngineTerms;

use spokeflow_runtime::LogFormat;

pub(crate) fn span(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|e| format!("{e}; a time with its unit, such as 250ms or 1.2s"))
        .or_else(|fault| fraction_of_second(text).ok_or(fault))
}

/// `1.2s`, which the library does not read.
fn fraction_of_second(text: &str) -> Option<Duration> {
    let seconds: f64 = text.strip_suffix('s')?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn micros(span: Duration) -> Micros {
    span.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum GateFlag {
    /// One vote moves a stage on, one sends the build back.
    Single,
    /// Told shares of all routers must stand for it.
    Majority,
    /// Stages move on by themselves unless held.
    Clocked,
}

/// What a deployment promises and allows: the same for all its routers.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "Service terms")]
pub struct ServiceFlags {
    /// An op type: NAME:REPEAT:target=TIME:timeout=TIME:importance=NUMBER[:memory=TIME][:streamed], in the order
    /// of its numbers on the wire. REPEAT is redeliverable, at-most-once, or deduplicated/SCOPE with SCOPE the
    /// hosts that drop a repeat: all, zone, cell or host. Repeat the flag, or split the variable by commas
    #[arg(long = "op", env = "SPOKEFLOW_OP", value_delimiter = ',', required = true, value_parser = op_terms)]
    pub ops: Vec<NamedOp>,
    /// A customer and its share: NAME=COMMANDS_A_SECOND over all routers, in the order of their numbers
    #[arg(long = "customer", env = "SPOKEFLOW_CUSTOMER", value_delimiter = ',', value_parser = customer)]
    pub customers: Vec<(String, f64)>,
    /// Routers in the deployment
    #[arg(long, env = "SPOKEFLOW_FLEET_SIZE", default_value_t = 1)]
    pub fleet_size: u32,
    /// The list tells changes only to those that ask
    #[arg(long, env = "SPOKEFLOW_LIST_MUST_BE_ASKED")]
    pub list_must_be_asked: bool,
    /// Deliveries for one command at most
    #[arg(long, env = "SPOKEFLOW_DELIVERY_CAP", default_value_t = 4)]
    pub delivery_cap: u32,
    /// Two deliveries of one command may be out at a time
    #[arg(long, env = "SPOKEFLOW_SIDE_BY_SIDE")]
    pub side_by_side: bool,
    /// Routers never cancel a delivery
    #[arg(long, env = "SPOKEFLOW_NO_CANCEL")]
    pub no_cancel: bool,
    /// Hosts may be probed
    #[arg(long, env = "SPOKEFLOW_MAY_PROBE")]
    pub may_probe: bool,
    /// Has no effect any more: routers tell each other nothing
    #[arg(long, env = "SPOKEFLOW_MAY_TELL")]
    pub may_tell: bool,
    /// Longest time that a nack names to come back; 0s names none
    #[arg(long, env = "SPOKEFLOW_LONGEST_RETURN", default_value = "2s", value_parser = span)]
    pub longest_return: Duration,
    /// Nothing new goes to a host this long after it was told to drain or be gone
    #[arg(long, env = "SPOKEFLOW_DRAIN_GRACE", default_value = "1s", value_parser = span)]
    pub drain_grace: Duration,
    /// Part of its capacity that a host has when it starts, 0 to 1
    #[arg(long, env = "SPOKEFLOW_COLD_FROM", default_value_t = 0.3)]
    pub cold_from: f64,
    /// A host is warm this long after its start
    #[arg(long, env = "SPOKEFLOW_WARM_WITHIN", default_value = "4s", value_parser = span)]
    pub warm_within: Duration,
    /// A cold host falls over when it is sent this many times what it can do
    #[arg(long, env = "SPOKEFLOW_FALL_MULTIPLE", default_value_t = 3.0)]
    pub fall_multiple: f64,
    /// for this long
    #[arg(long, env = "SPOKEFLOW_FALL_SPAN", default_value = "3s", value_parser = span)]
    pub fall_span: Duration,
    /// How votes move a build
    #[arg(long, env = "SPOKEFLOW_GATE", value_enum, default_value = "single")]
    pub gate: GateFlag,
    /// Part of the fleet in each stage, 0 to 1, rising
    #[arg(long = "stage-share", env = "SPOKEFLOW_STAGE_SHARE", value_delimiter = ',',
        default_values_t = [0.05, 0.2, 0.5, 1.0])]
    pub stage_shares: Vec<f64>,
    /// Cap of each stage, 0 to 1, rising
    #[arg(long = "stage-cap", env = "SPOKEFLOW_STAGE_CAP", value_delimiter = ',',
        default_values_t = [0.07, 0.28, 0.7, 1.0])]
    pub stage_caps: Vec<f64>,
    /// Deliveries at a build on trial that are free in each span
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_FREE", default_value_t = 1.0)]
    pub exposure_free: f64,
    /// The span over which the cap counts
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_SPAN", default_value = "4s", value_parser = span)]
    pub exposure_span: Duration,
    /// The cap counts for each op type by itself
    #[arg(long, env = "SPOKEFLOW_EXPOSURE_BY_OP")]
    pub exposure_by_op: bool,
    /// Stages in which a build on trial gets redeliverable op types only
    #[arg(long, env = "SPOKEFLOW_GUARDED_STAGES", default_value_t = 0)]
    pub guarded_stages: u8,
    /// A key that a new build has answered goes to no earlier one
    #[arg(long, env = "SPOKEFLOW_FORWARD_ONLY")]
    pub forward_only: bool,
    /// Earlier hosts stay until the new build is released, and are not drained one by one
    #[arg(long, env = "SPOKEFLOW_BESIDE")]
    pub beside: bool,
    /// A stage runs this long at least
    #[arg(long, env = "SPOKEFLOW_STAGE_BAKE", default_value = "2s", value_parser = span)]
    pub stage_bake: Duration,
    /// A vote stands this long
    #[arg(long, env = "SPOKEFLOW_VOTE_LIFE", default_value = "10s", value_parser = span)]
    pub vote_life: Duration,
    /// A vote without an answer is given up after this time
    #[arg(long, env = "SPOKEFLOW_VOTE_WAIT", default_value = "2s", value_parser = span)]
    pub vote_wait: Duration,
    /// Part of the wrong answers that clients report, 0 to 1
    #[arg(long, env = "SPOKEFLOW_COMPLAINT_SHARE", default_value_t = 0.0)]
    pub complaint_share: f64,
    /// Routers whose votes send a build back; 0 where the desk does not say
    #[arg(long, env = "SPOKEFLOW_BACK_VOTES", default_value_t = 0)]
    pub back_votes: u32,
    /// Votes that the desk takes a second from all routers together; inf where it does not say
    #[arg(long, env = "SPOKEFLOW_VOTES_A_SECOND", default_value_t = f64::INFINITY)]
    pub votes_a_second: f64,
    /// Asks hosts for load reports (protocol version 2); an older host refuses the connection
    #[arg(long, env = "SPOKEFLOW_HOST_REPORTS")]
    pub host_reports: bool,
    /// Asks the desk for its counts of all routers' deliveries (protocol version 2); an older desk refuses
    #[arg(long, env = "SPOKEFLOW_DESK_COUNTS")]
    pub desk_counts: bool,
    /// Asks the list for the sizes of hosts (protocol version 2); an older list refuses
    #[arg(long, env = "SPOKEFLOW_HOST_SIZES")]
    pub host_sizes: bool,
}

/// One router of the deployment.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "This router")]
pub struct RouterTerms {
    /// Where clients connect; port 0 takes a free one, told on standard output
    #[arg(long, env = "SPOKEFLOW_LISTEN", default_value = "127.0.0.1:7400")]
    pub listen: SocketAddr,
    /// The host list
    #[arg(long, env = "SPOKEFLOW_LIST")]
    pub list: SocketAddr,
    /// The release desk
    #[arg(long, env = "SPOKEFLOW_DESK")]
    pub desk: SocketAddr,
    /// A keeper, whose revisions of the service terms this router then follows; repeat the flag for each. Without any
    /// the router goes by its flags alone
    #[arg(long = "keeper", env = "SPOKEFLOW_KEEPER", value_delimiter = ',')]
    pub keepers: Vec<SocketAddr>,
    /// The host list comes from the keepers, on which all routers agree; the list named by --list then only takes hosts
    /// away
    #[arg(long, env = "SPOKEFLOW_AGREED_LIST")]
    pub agreed_list: bool,
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
    #[arg(long, env = "SPOKEFLOW_ANSWER_MARGIN", default_value = "30ms", value_parser = span)]
    pub answer_margin: Duration,
    /// Commands held at most; more are nacked at once
    #[arg(long, env = "SPOKEFLOW_HELD_AT_MOST", default_value_t = 20_000)]
    pub held_at_most: usize,
    /// Client connections at most; more are closed at once
    #[arg(long, env = "SPOKEFLOW_CLIENTS_AT_MOST", default_value_t = 12_000)]
    pub clients_at_most: usize,
    /// Answers that wait for one client at most; one that does not read them is closed
    #[arg(long, env = "SPOKEFLOW_CLIENT_QUEUE", default_value_t = 1024)]
    pub client_queue: usize,
    /// Messages that wait for one host at most; a delivery beyond that goes elsewhere
    #[arg(long, env = "SPOKEFLOW_HOST_QUEUE", default_value_t = 256)]
    pub host_queue: usize,
    /// A connection to a host that is not made within this time counts as refused
    #[arg(long, env = "SPOKEFLOW_CONNECT_TIMEOUT", default_value = "250ms", value_parser = span)]
    pub connect_timeout: Duration,
    /// Pause after the first failed connection, doubled with each, with jitter
    #[arg(long, env = "SPOKEFLOW_RECONNECT_FIRST", default_value = "50ms", value_parser = span)]
    pub reconnect_first: Duration,
    /// Longest such pause
    #[arg(long, env = "SPOKEFLOW_RECONNECT_MOST", default_value = "2s", value_parser = span)]
    pub reconnect_most: Duration,
    /// A connection to a host without work is closed after this time
    #[arg(long, env = "SPOKEFLOW_CONNECTION_IDLE", default_value = "30s", value_parser = span)]
    pub connection_idle: Duration,
    /// A connection to a host on which nothing has come for this time, a ping unanswered, is dropped with all
    /// that has not arrived; shorter than every memory= of a deduplicated op type
    #[arg(long, env = "SPOKEFLOW_WAY_TIMEOUT", default_value = "1s", value_parser = span)]
    pub way_timeout: Duration,
    /// The watch on the list is renewed where nothing has come for this time, and made anew after three
    #[arg(long, env = "SPOKEFLOW_LIST_RENEW", default_value = "5s", value_parser = span)]
    pub list_renew: Duration,
    /// Where the last list is kept, for a start while the list cannot be reached
    #[arg(long, env = "SPOKEFLOW_LIST_FILE")]
    pub list_file: Option<PathBuf>,
    /// After SIGTERM all held commands are answered and the program ends within this time
    #[arg(long, env = "SPOKEFLOW_SHUTDOWN_WITHIN", default_value = "15s", value_parser = span)]
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

#[derive(Clone, Debug, PartialEq)]
pub struct NamedOp {
    pub name: String,
    pub repeat: Repeat,
    pub scope: RepeatScope,
    pub memory: Duration,
    pub target: Duration,
    pub timeout: Duration,
    pub importance: f64,
    pub streamed: bool,
}

fn op_terms(text: &str) -> Result<NamedOp, String> {
    let mut parts = text.split(':');
    let name = parts
        .next()
        .filter(|n| !n.is_empty())
        .ok_or("the name is missing")?
        .to_string();
    let (repeat, scope) = match parts.next().unwrap_or_default() {
        "redeliverable" => (Repeat::Redeliverable, RepeatScope::Unknown),
        "at-most-once" => (Repeat::AtMostOnce, RepeatScope::Unknown),
        "deduplicated/all" => (Repeat::Deduplicated, RepeatScope::All),
        "deduplicated/zone" => (Repeat::Deduplicated, RepeatScope::Zone),
        "deduplicated/cell" => (Repeat::Deduplicated, RepeatScope::Cell),
        "deduplicated/host" => (Repeat::Deduplicated, RepeatScope::Unknown),
        other => {
            return Err(format!(
                "'{other}' is not redeliverable, at-most-once or deduplicated/SCOPE"
            ));
        }
    };
    let (memory, importance, streamed) = (Duration::ZERO, 1.0, false);
    let (target, timeout) = (Duration::ZERO, Duration::ZERO);
    let mut op = NamedOp {
        name,
        repeat,
        scope,
        memory,
        target,
        timeout,
        importance,
        streamed,
    };
    for part in parts {
        let (word, value) = part.split_once('=').unwrap_or((part, ""));
        match word {
            "target" => op.target = span(value)?,
            "timeout" => op.timeout = span(value)?,
            "memory" => op.memory = span(value)?,
            "importance" => {
                op.importance = value
                    .parse()
                    .map_err(|_| format!("'{part}': not a number"))?
            }
            "streamed" if value.is_empty() => op.streamed = true,
            _ => {
                return Err(format!(
                    "'{part}' is not target=, timeout=, memory=, importance= or streamed"
                ))
            }
        }
    }
    Ok(op)
}

/// The op type as the flag's text.
pub fn op_flag(op: &NamedOp) -> String {
    let repeat = match (op.repeat, op.scope) {
        (Repeat::Redeliverable, _) => "redeliverable",
        (Repeat::AtMostOnce, _) => "at-most-once",
        (_, RepeatScope::All) => "deduplicated/all",
        (_, RepeatScope::Zone) => "deduplicated/zone",
        (_, RepeatScope::Cell) => "deduplicated/cell",
        (_, RepeatScope::Unknown) => "deduplicated/host",
    };
    let ms = |t: Duration| format!("{}us", t.as_micros());
    let streamed = if op.streamed { ":streamed" } else { "" };
    let (target, timeout, memory) = (ms(op.target), ms(op.timeout), ms(op.memory));
    let NamedOp {
        name, importance, ..
    } = op;
    format!(
        "{name}:{repeat}:target={target}:timeout={timeout}:memory={memory}:importance={importance}{streamed}"
    )
}

pub(crate) fn customer(text: &str) -> Result<(String, f64), String> {
    let (name, share) = text.split_once('=').ok_or("not NAME=COMMANDS_A_SECOND")?;
    Ok((
        name.to_string(),
        share
            .parse()
            .map_err(|_| format!("'{share}' is not a number"))?,
    ))
}

/// What does not fit, one line each, naming the flag.
#[derive(Debug, Default, PartialEq)]
pub struct Faults(pub Vec<String>);

impl Faults {
    pub(crate) fn when(&mut self, wrong: bool, flag: &str, what: impl fmt::Display) {
        if wrong {
            self.0.push(format!("--{flag}: {what}"));
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

fn part(n: f64) -> bool {
    (0.0..=1.0).contains(&n)
}

impl ServiceFlags {
    pub(crate) fn check(&self, faults: &mut Faults) {
        for op in &self.ops {
            let named = |what: &str| format!("op type '{}': {what}", op.name);
            faults.when(
                op.target.is_zero(),
                "op",
                named("target= is missing or nothing"),
            );
            faults.when(
                op.timeout < op.target,
                "op",
                named("timeout= is shorter than target="),
            );
            faults.when(
                op.importance.is_nan() || op.importance <= 0.0,
                "op",
                named("importance= must be above 0"),
            );
            let keyed = op.repeat == Repeat::Deduplicated;
            faults.when(
                keyed && op.memory.is_zero(),
                "op",
                named("deduplicated needs memory="),
            );
            faults.when(
                !keyed && !op.memory.is_zero(),
                "op",
                named("memory= goes with deduplicated only"),
            );
            let twice = self.ops.iter().filter(|o| o.name == op.name).count() > 1;
            faults.when(twice, "op", named("named twice"));
        }
        for (name, share) in &self.customers {
            let wrong = share.is_nan() || *share <= 0.0;
            faults.when(
                wrong,
                "customer",
                format!("'{name}': the share must be above 0"),
            );
        }
        faults.when(self.fleet_size == 0, "fleet-size", "at least 1");
        faults.when(self.delivery_cap == 0, "delivery-cap", "at least 1");
        faults.when(
            !part(self.cold_from) || self.cold_from == 0.0,
            "cold-from",
            "above 0 and at most 1",
        );
        faults.when(
            self.fall_multiple.is_nan() || self.fall_multiple < 1.0,
            "fall-multiple",
            "at least 1",
        );
        faults.when(self.fall_span.is_zero(), "fall-span", "above 0s");
        faults.when(self.exposure_span.is_zero(), "exposure-span", "above 0s");
        let free = self.exposure_free;
        faults.when(
            !free.is_finite() || free < 0.0,
            "exposure-free",
            "0 or more",
        );
        faults.when(!part(self.complaint_share), "complaint-share", "0 to 1");
        let rises = |list: &[f64]| list.iter().all(|n| part(*n)) && list.is_sorted();
        faults.when(
            !rises(&self.stage_shares),
            "stage-share",
            "each 0 to 1, none below the one before",
        );
        faults.when(
            !rises(&self.stage_caps),
            "stage-cap",
            "each 0 to 1, none below the one before",
        );
        let (caps, shares) = (self.stage_caps.len(), self.stage_shares.len());
        faults.when(
            caps != shares,
            "stage-cap",
            format!("{caps} stages, but --stage-share has {shares}"),
        );
        let guarded = usize::from(self.guarded_stages);
        faults.when(
            guarded > caps,
            "guarded-stages",
            format!("{guarded} of {caps} stages"),
        );
        let votes = self.back_votes;
        faults.when(
            votes > self.fleet_size,
            "back-votes",
            format!("{votes} of {} routers", self.fleet_size),
        );
        faults.when(
            self.votes_a_second.is_nan() || self.votes_a_second <= 0.0,
            "votes-a-second",
            "above 0",
        );
        let life = self.vote_life;
        faults.when(
            self.vote_wait >= life,
            "vote-wait",
            format!("shorter than --vote-life {life:?}"),
        );
    }
}

impl RouterTerms {
    /// Checks all terms. Errors: every fault found.
    pub fn check(&self) -> Result<(), Faults> {
        let mut faults = Faults::default();
        let s = &self.service;
        s.check(&mut faults);
        let fleet = s.fleet_size;
        faults.when(
            self.index >= fleet,
            "index",
            format!("{} is not below --fleet-size {fleet}", self.index),
        );
        faults.when(
            self.agreed_list && self.keepers.is_empty(),
            "agreed-list",
            "needs --keeper",
        );
        let shortest = s.ops.iter().map(|op| op.timeout).min().unwrap_or_default();
        let longest = s.ops.iter().map(|op| op.timeout).max().unwrap_or_default();
        let margin = self.answer_margin;
        faults.when(
            margin * 4 > shortest,
            "answer-margin",
            format!("over a quarter of timeout= {shortest:?}"),
        );
        faults.when(
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
        let (way, least) = (self.way_timeout, memory.unwrap_or(Duration::MAX));
        faults.when(
            way >= least,
            "way-timeout",
            format!("not shorter than memory= {least:?}"),
        );
        faults.when(way.is_zero(), "way-timeout", "above 0s");
        let within = self.shutdown_within;
        faults.when(
            within < longest,
            "shutdown-within",
            format!("shorter than timeout= {longest:?}"),
        );
        let (first, most) = (self.reconnect_first, self.reconnect_most);
        faults.when(first.is_zero(), "reconnect-first", "above 0s");
        faults.when(
            most < first,
            "reconnect-most",
            format!("shorter than --reconnect-first {first:?}"),
        );
        faults.when(self.list_renew.is_zero(), "list-renew", "above 0s");
        let bounds = [
            (self.held_at_most, "held-at-most"),
            (self.clients_at_most, "clients-at-most"),
            (self.client_queue, "client-queue"),
            (self.host_queue, "host-queue"),
        ];
        bounds
            .iter()
            .for_each(|(n, flag)| faults.when(*n == 0, flag, "at least 1"));
        if faults.0.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    pub fn engine(&self) -> EngineTerms {
        let s = &self.service;
        let op = |op: &NamedOp| OpTerms {
            repeat: op.repeat,
            repeat_scope: op.scope,
            repeat_memory: micros(op.memory),
            service_target: micros(op.target),
            command_timeout: micros(op.timeout),
            importance: op.importance,
            streamed: op.streamed,
        };
        let service = ServiceTerms {
            ops: s.ops.iter().map(op).collect(),
            shares: s.customers.iter().map(|c| c.1).collect(),
            own_zone: ZoneId(self.site),
            own_index: self.index,
            fleet_size: s.fleet_size,
            tick: 1000,
            list_must_be_asked: s.list_must_be_asked,
            list_ask_within: micros(self.list_renew),
            delivery_cap: s.delivery_cap,
            side_by_side: s.side_by_side,
            may_cancel: !s.no_cancel,
            may_probe: s.may_probe,
            may_tell: s.may_tell,
            may_name_return: !s.longest_return.is_zero(),
            longest_return: micros(s.longest_return),
            drain_grace: micros(s.drain_grace),
            cold_from: s.cold_from,
            warm_within: micros(s.warm_within),
            fall_multiple: s.fall_multiple,
            fall_span: micros(s.fall_span),
            gate: match s.gate {
                GateFlag::Single => Gate::Single,
                GateFlag::Majority => Gate::Majority,
                GateFlag::Clocked => Gate::Clocked,
            },
            stage_caps: s.stage_caps.clone(),
            stage_shares: s.stage_shares.clone(),
            exposure_free: s.exposure_free,
            exposure_span: micros(s.exposure_span),
            exposure_by_op: s.exposure_by_op,
            guarded_stages: s.guarded_stages,
            forward_only: s.forward_only,
            rolling: !s.beside,
            stage_bake: micros(s.stage_bake),
            vote_life: micros(s.vote_life),
            vote_wait: micros(s.vote_wait),
            complaint_share: s.complaint_share,
            back_votes: s.back_votes,
            votes_a_second: s.votes_a_second,
        };
        EngineTerms {
            service,
            answer_margin: micros(self.answer_margin),
            held_at_most: self.held_at_most,
        }
    }
}

#[cfg(test)]
mod tests {
    use clap::Parser;

    use super::*;

    #[derive(Parser)]
    struct Line {
        #[command(flatten)]
        terms: RouterTerms,
    }

    fn read(more: &[&str]) -> Result<RouterTerms, String> {
        let base = [
            "router",
            "--list=127.0.0.1:1",
            "--desk=127.0.0.1:2",
            "--op=set-threshold:redeliverable:target=1.2s:timeout=4s:importance=2",
            "--op=close-trip:at-most-once:target=2s:timeout=6s:importance=3",
        ];
        let line = Line::try_parse_from(base.iter().chain(more)).map_err(|e| e.to_string())?;
        line.terms
            .check()
            .map(|()| line.terms)
            .map_err(|f| f.to_string())
    }

    #[test]
    fn good_terms_become_the_modules() {
        let terms = read(&[
            "--customer=a=25,b=3.5",
            "--forward-only",
            "--answer-margin=20ms",
        ])
        .unwrap()
        .engine();
        assert_eq!(terms.service.ops[1].repeat, Repeat::AtMostOnce);
        assert_eq!(terms.service.ops[0].service_target, 1_200_000);
        assert_eq!(terms.service.shares, [25.0, 3.5]);
        assert_eq!(terms.answer_margin, 20_000);
        assert!(terms.service.forward_only && terms.service.rolling);
    }

    #[test]
    fn each_fault_is_one_line_that_names_its_flag() {
        let faults = read(&[
            "--stage-cap=0.5,0.2",
            "--cold-from=0",
            "--index=4",
            "--vote-wait=20s",
            "--shutdown-within=1s",
            "--op=odd:deduplicated/zone:target=1s:timeout=500ms",
            "--op=brief:deduplicated/all:target=1s:timeout=2s:memory=800ms",
        ])
        .unwrap_err();
        let lines: Vec<&str> = faults.lines().collect();
        let flags = [
            "op: op type 'odd'",
            "op: op type 'odd'",
            "cold-from",
            "stage-cap",
            "stage-cap",
            "vote-wait",
            "index",
        ];
        for (n, flag) in flags.iter().enumerate() {
            assert!(lines[n].starts_with(&format!("--{flag}")), "{n}: {faults}");
        }
        assert!(
            lines.last().unwrap().starts_with("--shutdown-within"),
            "{faults}"
        );
        assert!(
            faults.contains("--way-timeout: not shorter than memory="),
            "{faults}"
        );
        assert_eq!(lines.len(), 9, "{faults}");
    }

    #[test]
    fn what_cannot_be_read_is_said_at_once() {
        assert!(read(&["--drain-grace=soon"])
            .unwrap_err()
            .contains("--drain-grace"));
        assert!(read(&["--op=x:sometimes"])
            .unwrap_err()
            .contains("'sometimes' is not"));
        assert!(read(&["--customer=x"])
            .unwrap_err()
            .contains("NAME=COMMANDS_A_SECOND"));
    }

    #[test]
    fn an_op_type_survives_its_own_text() {
        for text in [
            "a:redeliverable:target=1.2s:timeout=4s",
            "b:deduplicated/cell:memory=2s:target=1s:timeout=3s",
        ] {
            let op = op_terms(text).unwrap();
            assert_eq!(op_terms(&op_flag(&op)).unwrap(), op);
        }
    }
}
