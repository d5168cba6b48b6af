//! Baselines to compare the engine with: routers that respect drains, exposure caps, repeat rules and forward-only
//! keys, and choose hosts by a simple rule. They measure nothing about hosts and vote to promote every build; only
//! the one with full sight knows which builds are defective.

mod choice;
mod rollout;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use spokeflow_core::{HostId, Micros, Repeat, Rng};
use spokeflow_engine::{EngineConfig, Input, TransportFailure};
use spokeflow_proto::{
    Command, EndpointPhase, EndpointRecord, FromController, FromHost, FromList, RolloutUpdate,
    ToClient, ToHost, ToList,
};

use crate::strategy::{OracleTransport, RoutingStrategy, StrategyKind};

/// How often a baseline checks whether to vote.
const TIMER_INTERVAL: Micros = 50_000;
/// A command is only redelivered while more time than this is left.
const RETRY_MARGIN: Micros = 100_000;
/// The most deliveries of one command.
const MAX_DELIVERIES: usize = 4;
/// Limit for the time left of a command, in microseconds, so that sums of times do not overflow.
const MAX_LEFT_US: u64 = 1 << 40;
/// The retry-after of a command that was refused before it was routed.
const REFUSED_RETRY_AFTER_US: u64 = 1_000_000;
/// The retry-after of a command whose deliveries have ended without an ack.
const FAILED_RETRY_AFTER_US: u64 = 200_000;

/// A host as the host list shows it.
struct KnownHost {
    build: u16,
    incarnation: u64,
    is_ready: bool,
    in_flight: u32,
}

/// A delivery without an answer.
struct OpenDelivery {
    command: u64,
    host: u32,
    sent_at: Micros,
}

/// A command that was accepted and is not yet answered.
struct OpenCommand {
    conn: u64,
    command: Command,
    /// When the command is answered without an ack.
    deadline: Micros,
    /// The hosts that it was sent to, in order.
    hosts: Vec<u32>,
    first_sent_at: Micros,
    may_have_run: bool,
}

/// A routing strategy that is simpler than the engine.
pub(crate) struct BaselineStrategy {
    kind: StrategyKind,
    config: EngineConfig,
    now: Micros,
    rng: Rng,
    hosts: BTreeMap<u32, KnownHost>,
    commands: HashMap<u64, OpenCommand>,
    deliveries: HashMap<u64, OpenDelivery>,
    /// Deadline and id of each open command.
    deadlines: BTreeSet<(Micros, u64)>,
    next_delivery: u64,
    round_robin_index: usize,
    rollout: Option<RolloutUpdate>,
    stage_began_at: Micros,
    /// When the router last voted in the current stage.
    voted_at: Micros,
    /// When commands were accepted within the exposure window.
    accepted_at: VecDeque<Micros>,
    /// When deliveries were sent to a canary within the exposure window.
    exposed_at: VecDeque<Micros>,
    /// By sticky key, the newest build that has acked it.
    answered_by: HashMap<u64, u16>,
    is_closing: bool,
    wake_at: Micros,
    /// The version of the host list, `None` before the first.
    list_version: Option<u64>,
}

impl BaselineStrategy {
    pub(crate) fn new(
        kind: StrategyKind,
        config: EngineConfig,
        seed: u64,
        now: Micros,
    ) -> BaselineStrategy {
        BaselineStrategy {
            kind,
            config,
            now,
            rng: Rng::new(seed),
            hosts: BTreeMap::new(),
            commands: HashMap::new(),
            deliveries: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_delivery: 1,
            round_robin_index: 0,
            rollout: None,
            stage_began_at: now,
            voted_at: Micros::MIN / 2,
            accepted_at: VecDeque::new(),
            exposed_at: VecDeque::new(),
            answered_by: HashMap::new(),
            is_closing: false,
            wake_at: now + TIMER_INTERVAL,
            list_version: None,
        }
    }

    fn route(&mut self, id: u64, transport: &mut dyn OracleTransport) {
        let Some(host) = self.choose(id, transport) else {
            return self.end_without_ack(id, transport);
        };
        let build = self.hosts[&host].build;
        if self.is_canary(build) {
            self.exposed_at.push_back(self.now);
        }
        let delivery = self.next_delivery;
        self.next_delivery += 1;
        let Some(request) = self.commands.get_mut(&id) else {
            return;
        };
        if request.hosts.is_empty() {
            request.first_sent_at = self.now;
        }
        request.hosts.push(host);
        let command = &request.command;
        let message = ToHost::Deliver {
            delivery,
            op: command.op,
            tenant: command.tenant,
            key: command.key,
            idempotency_key: command.idempotency_key,
            left_us: (request.deadline - self.now).max(0) as u64,
            body: command.body.clone(),
        };
        let deadline = request.deadline;
        let open = OpenDelivery {
            command: id,
            host,
            sent_at: self.now,
        };
        self.deliveries.insert(delivery, open);
        self.hosts
            .entry(host)
            .and_modify(|known| known.in_flight += 1);
        if !transport.to_host(HostId(host), message, deadline) {
            self.on_delivery_ended(delivery, false, transport);
        }
    }

    /// Removes an open delivery. Returns its command if that is still unanswered.
    fn close_delivery(&mut self, delivery: u64) -> Option<u64> {
        let OpenDelivery { command, host, .. } = self.deliveries.remove(&delivery)?;
        self.hosts
            .entry(host)
            .and_modify(|known| known.in_flight = known.in_flight.saturating_sub(1));
        self.commands.contains_key(&command).then_some(command)
    }

    /// Handles a delivery that ended without an ack: redelivers the command where that is allowed.
    fn on_delivery_ended(
        &mut self,
        delivery: u64,
        may_have_run: bool,
        transport: &mut dyn OracleTransport,
    ) {
        let Some(id) = self.close_delivery(delivery) else {
            return;
        };
        let Some(request) = self.commands.get_mut(&id) else {
            return;
        };
        request.may_have_run |= may_have_run;
        let op = &self.config.service.ops[usize::from(request.command.op)];
        let may_repeat = match op.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => {
                !request.may_have_run
                    || self.now + TIMER_INTERVAL < request.first_sent_at + op.deduplication_window
            }
            Repeat::AtMostOnce => !request.may_have_run,
        };
        if may_repeat
            && request.hosts.len() < MAX_DELIVERIES
            && request.deadline - self.now > RETRY_MARGIN
        {
            self.route(id, transport);
        } else {
            self.end_without_ack(id, transport);
        }
    }

    /// Answers a command with a nack where it is safe to repeat, else with a failure.
    fn end_without_ack(&mut self, id: u64, transport: &mut dyn OracleTransport) {
        let Some(request) = self.commands.get(&id) else {
            return;
        };
        let is_repeatable =
            self.config.service.ops[usize::from(request.command.op)].repeat != Repeat::AtMostOnce;
        let is_in_flight = self
            .deliveries
            .values()
            .any(|delivery| delivery.command == id);
        let id = request.command.id;
        let message = if is_repeatable || !request.may_have_run && !is_in_flight {
            ToClient::Nacked {
                id,
                retry_after_us: Some(FAILED_RETRY_AFTER_US),
            }
        } else {
            ToClient::Failed { id }
        };
        self.answer(id, message, transport);
    }

    fn answer(&mut self, id: u64, message: ToClient, transport: &mut dyn OracleTransport) {
        let Some(request) = self.commands.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(request.deadline, id));
        transport.to_client(request.conn, message);
    }

    fn apply_list(
        &mut self,
        is_complete: bool,
        endpoints: &[EndpointRecord],
        transport: &mut dyn OracleTransport,
    ) {
        if is_complete {
            let listed: BTreeSet<u32> = endpoints.iter().map(|endpoint| endpoint.host).collect();
            for (host, known) in self
                .hosts
                .iter_mut()
                .filter(|(host, _)| !listed.contains(host))
            {
                known.is_ready = false;
                transport.host_closed(HostId(*host), true);
            }
        }
        for endpoint in endpoints {
            let known = self.hosts.entry(endpoint.host).or_insert(KnownHost {
                build: 0,
                incarnation: 0,
                is_ready: false,
                in_flight: 0,
            });
            known.build = endpoint.build.unwrap_or(known.build);
            known.incarnation = known.incarnation.max(endpoint.incarnation);
            known.is_ready = endpoint.phase == EndpointPhase::Ready;
            if known.is_ready {
                transport.host_open(HostId(endpoint.host), &endpoint.address, known.incarnation);
            } else {
                transport.host_closed(HostId(endpoint.host), endpoint.phase == EndpointPhase::Gone);
            }
        }
        self.hosts
            .retain(|_, known| known.is_ready || known.in_flight > 0);
    }
}

impl BaselineStrategy {
    fn on_command(&mut self, conn: u64, command: Command, transport: &mut dyn OracleTransport) {
        let left = command.left_us.min(MAX_LEFT_US) as Micros - self.config.answer_margin;
        let id = command.id;
        if self.is_closing || left <= 0 {
            let refused = ToClient::Nacked {
                id,
                retry_after_us: Some(REFUSED_RETRY_AFTER_US),
            };
            return transport.to_client(conn, refused);
        }
        self.accepted_at.push_back(self.now);
        let deadline = self.now + left;
        self.deadlines.insert((deadline, id));
        let open = OpenCommand {
            conn,
            command,
            deadline,
            hosts: Vec::new(),
            first_sent_at: self.now,
            may_have_run: false,
        };
        self.commands.insert(id, open);
        self.route(id, transport);
    }

    fn on_abandoned(&mut self, id: u64) {
        if let Some(open) = self.commands.remove(&id) {
            self.deadlines.remove(&(open.deadline, id));
        }
    }

    fn on_host_message(
        &mut self,
        host: u32,
        message: FromHost,
        transport: &mut dyn OracleTransport,
    ) {
        match message {
            FromHost::Acked { delivery, body } => self.on_acked(host, delivery, body, transport),
            FromHost::Error { delivery } => self.on_delivery_ended(delivery, true, transport),
            FromHost::Full { delivery } => self.on_delivery_ended(delivery, false, transport),
            FromHost::Welcome {
                build, incarnation, ..
            } => {
                let known = self.hosts.get_mut(&host);
                if let Some(known) = known.filter(|known| known.incarnation < incarnation) {
                    known.build = build;
                    known.incarnation = incarnation;
                }
            }
            _ => {}
        }
    }

    fn on_acked(
        &mut self,
        host: u32,
        delivery: u64,
        body: Bytes,
        transport: &mut dyn OracleTransport,
    ) {
        let Some(sent_at) = self.deliveries.get(&delivery).map(|open| open.sent_at) else {
            return;
        };
        let Some(id) = self.close_delivery(delivery) else {
            return;
        };
        let build = self.hosts.get(&host).map_or(0, |known| known.build);
        let key = self.commands[&id].command.key;
        if key != 0 && !self.was_rolled_back(build) {
            let newest = self.answered_by.entry(key).or_insert(build);
            *newest = build.max(*newest);
        }
        let receipt = u64::from(host) << 32 | (sent_at as u64 / 1000) & 0xffff_ffff;
        let message = ToClient::Acked {
            id,
            build,
            receipt,
            body,
        };
        self.answer(id, message, transport);
    }

    fn on_timer(&mut self, transport: &mut dyn OracleTransport) {
        while let Some((_, id)) = self.next_deadline().filter(|(at, _)| *at <= self.now) {
            self.end_without_ack(id, transport);
        }
        if self.now >= self.wake_at {
            self.wake_at = self.now + TIMER_INTERVAL;
            self.vote(transport);
        }
    }

    fn next_deadline(&self) -> Option<(Micros, u64)> {
        self.deadlines.first().copied()
    }
}

impl RoutingStrategy for BaselineStrategy {
    fn on_input(&mut self, now: Micros, input: Input, transport: &mut dyn OracleTransport) {
        self.now = self.now.max(now);
        match input {
            Input::Command { conn, command } => self.on_command(conn, command, transport),
            Input::Abandon { id, .. } => self.on_abandoned(id),
            Input::FromHost { host, message } => self.on_host_message(host, message, transport),
            Input::DeliveryFailed {
                delivery, failure, ..
            } => {
                let may_have_run = matches!(
                    failure,
                    TransportFailure::Reset | TransportFailure::Unresponsive
                );
                self.on_delivery_ended(delivery, may_have_run, transport);
            }
            Input::FromList(FromList::Complete { version, endpoints }) => {
                self.list_version = Some(version);
                self.apply_list(true, &endpoints, transport);
            }
            Input::FromList(FromList::Changes { version, endpoints }) => {
                self.list_version = Some(version);
                self.apply_list(false, &endpoints, transport);
            }
            Input::ListUnavailable => {
                // If the request cannot be sent now, the next `ListUnavailable` sends it again.
                let _sent = transport.to_list(ToList::Watch {
                    have: self.list_version,
                });
            }
            Input::FromController(FromController::RolloutUpdate(update)) => self.on_rollout(update),
            Input::Close => self.is_closing = true,
            Input::Timer => self.on_timer(transport),
            _ => {}
        }
    }

    fn next_wake(&self) -> Micros {
        self.next_deadline()
            .map_or(self.wake_at, |(at, _)| at.min(self.wake_at))
    }

    fn waiting_commands(&self) -> usize {
        self.commands.len()
    }
}
