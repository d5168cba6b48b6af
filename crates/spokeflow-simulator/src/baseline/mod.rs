//! Baselines: routers that keep drains, proof, caps and forward-only keys as told, and choose hosts by a plain
//! rule. They learn nothing of hosts and vote for every build, but for the one with full sight.

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

use crate::strategy::{RoutingStrategy, StrategyKind, Wiring};

/// How often a baseline looks whether to vote.
const TIMER_INTERVAL: Micros = 50_000;
/// A command with less time left than this is not sent again.
const RETRY_MARGIN: Micros = 100_000;
/// Deliveries of one command at most.
const MAX_DELIVERIES: usize = 4;
/// Longer times left are taken for this, so that sums of times stay in range.
const MAX_LEFT_US: u64 = 1 << 40;
/// When a client may come back that was refused before its command was routed.
const REFUSED_RETRY_AFTER_US: u64 = 1_000_000;

/// A host as the list shows it.
struct Known {
    build: u16,
    incarnation: u64,
    ready: bool,
    in_flight: u32,
}

/// A delivery without an answer.
struct OpenDelivery {
    command: u64,
    host: u32,
    sent: Micros,
}

/// A command that is owed an answer.
struct OpenRequest {
    conn: u64,
    command: Command,
    until: Micros,
    hosts: Vec<u32>,
    first_sent: Micros,
    may_have_run: bool,
}

pub struct BaselineStrategy {
    kind: StrategyKind,
    config: EngineConfig,
    now: Micros,
    rng: Rng,
    hosts: BTreeMap<u32, Known>,
    commands: HashMap<u64, OpenRequest>,
    deliveries: HashMap<u64, OpenDelivery>,
    deadlines: BTreeSet<(Micros, u64)>,
    next_delivery: u64,
    turn: usize,
    rollout: Option<RolloutUpdate>,
    stage_began: Micros,
    voted_at: Micros,
    accepted: VecDeque<Micros>,
    exposed: VecDeque<Micros>,
    answered_by: HashMap<u64, u16>,
    closing: bool,
    wake_at: Micros,
    version: Option<u64>,
}

impl BaselineStrategy {
    pub fn new(who: StrategyKind, terms: EngineConfig, seed: u64, now: Micros) -> BaselineStrategy {
        BaselineStrategy {
            kind: who,
            config: terms,
            now,
            rng: Rng::new(seed),
            hosts: BTreeMap::new(),
            commands: HashMap::new(),
            deliveries: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_delivery: 1,
            turn: 0,
            rollout: None,
            stage_began: now,
            voted_at: Micros::MIN / 2,
            accepted: VecDeque::new(),
            exposed: VecDeque::new(),
            answered_by: HashMap::new(),
            closing: false,
            wake_at: now + TIMER_INTERVAL,
            version: None,
        }
    }

    fn route(&mut self, id: u64, wiring: &mut dyn Wiring) {
        let Some(host) = self.choose(id, wiring) else {
            return self.give_up(id, wiring);
        };
        let build = self.hosts[&host].build;
        if self.on_trial(build) {
            self.exposed.push_back(self.now);
        }
        let delivery = self.next_delivery;
        self.next_delivery += 1;
        let Some(held) = self.commands.get_mut(&id) else {
            return;
        };
        if held.hosts.is_empty() {
            held.first_sent = self.now;
        }
        held.hosts.push(host);
        let c = &held.command;
        let message = ToHost::Deliver {
            delivery,
            op: c.op,
            tenant: c.tenant,
            key: c.key,
            idempotency_key: c.idempotency_key,
            left_us: (held.until - self.now).max(0) as u64,
            body: c.body.clone(),
        };
        let until = held.until;
        let sent = OpenDelivery {
            command: id,
            host,
            sent: self.now,
        };
        self.deliveries.insert(delivery, sent);
        self.hosts.entry(host).and_modify(|h| h.in_flight += 1);
        if !wiring.to_host(HostId(host), message, until) {
            self.ended(delivery, false, wiring);
        }
    }

    fn close(&mut self, delivery: u64) -> Option<u64> {
        let OpenDelivery { command, host, .. } = self.deliveries.remove(&delivery)?;
        self.hosts
            .entry(host)
            .and_modify(|h| h.in_flight = h.in_flight.saturating_sub(1));
        self.commands.contains_key(&command).then_some(command)
    }

    /// A delivery ended without an ack.
    fn ended(&mut self, delivery: u64, may_have_run: bool, wiring: &mut dyn Wiring) {
        let Some(id) = self.close(delivery) else {
            return;
        };
        let Some(held) = self.commands.get_mut(&id) else {
            return;
        };
        held.may_have_run |= may_have_run;
        let op = &self.config.service.ops[usize::from(held.command.op)];
        let again = match op.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => {
                !held.may_have_run
                    || self.now + TIMER_INTERVAL < held.first_sent + op.deduplication_window
            }
            Repeat::AtMostOnce => !held.may_have_run,
        };
        if again && held.hosts.len() < MAX_DELIVERIES && held.until - self.now > RETRY_MARGIN {
            self.route(id, wiring);
        } else {
            self.give_up(id, wiring);
        }
    }

    fn give_up(&mut self, id: u64, wiring: &mut dyn Wiring) {
        let Some(held) = self.commands.get(&id) else {
            return;
        };
        let harmless =
            self.config.service.ops[usize::from(held.command.op)].repeat != Repeat::AtMostOnce;
        let out = self
            .deliveries
            .values()
            .any(|delivery| delivery.command == id);
        let (id, come_back_us) = (held.command.id, Some(200_000));
        let message = if harmless || !held.may_have_run && !out {
            ToClient::Nacked {
                id,
                retry_after_us: come_back_us,
            }
        } else {
            ToClient::Failed { id }
        };
        self.answer(id, message, wiring);
    }

    fn answer(&mut self, id: u64, message: ToClient, wiring: &mut dyn Wiring) {
        let Some(held) = self.commands.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(held.until, id));
        wiring.to_client(held.conn, message);
    }

    fn list(&mut self, whole: bool, lines: &[EndpointRecord], wiring: &mut dyn Wiring) {
        if whole {
            let named: BTreeSet<u32> = lines.iter().map(|l| l.host).collect();
            for (host, known) in self.hosts.iter_mut().filter(|(h, _)| !named.contains(h)) {
                known.ready = false;
                wiring.host_closed(HostId(*host), true);
            }
        }
        for line in lines {
            let known = self.hosts.entry(line.host).or_insert(Known {
                build: 0,
                incarnation: 0,
                ready: false,
                in_flight: 0,
            });
            known.build = line.build.unwrap_or(known.build);
            known.incarnation = known.incarnation.max(line.incarnation);
            known.ready = line.phase == EndpointPhase::Ready;
            if known.ready {
                wiring.host_open(HostId(line.host), &line.address, known.incarnation);
            } else {
                wiring.host_closed(HostId(line.host), line.phase == EndpointPhase::Gone);
            }
        }
        self.hosts.retain(|_, h| h.ready || h.in_flight > 0);
    }
}

impl BaselineStrategy {
    fn on_command(&mut self, conn: u64, command: Command, wiring: &mut dyn Wiring) {
        let left = command.left_us.min(MAX_LEFT_US) as Micros - self.config.answer_margin;
        let id = command.id;
        if self.closing || left <= 0 {
            let refused = ToClient::Nacked {
                id,
                retry_after_us: Some(REFUSED_RETRY_AFTER_US),
            };
            return wiring.to_client(conn, refused);
        }
        self.accepted.push_back(self.now);
        let until = self.now + left;
        self.deadlines.insert((until, id));
        let open = OpenRequest {
            conn,
            command,
            until,
            hosts: Vec::new(),
            first_sent: self.now,
            may_have_run: false,
        };
        self.commands.insert(id, open);
        self.route(id, wiring);
    }

    fn on_abandoned(&mut self, id: u64) {
        if let Some(open) = self.commands.remove(&id) {
            self.deadlines.remove(&(open.until, id));
        }
    }

    fn on_host_message(&mut self, host: u32, message: FromHost, wiring: &mut dyn Wiring) {
        match message {
            FromHost::Acked { delivery, body } => self.on_acked(host, delivery, body, wiring),
            FromHost::Error { delivery } => self.ended(delivery, true, wiring),
            FromHost::Full { delivery } => self.ended(delivery, false, wiring),
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

    fn on_acked(&mut self, host: u32, delivery: u64, body: Bytes, wiring: &mut dyn Wiring) {
        let Some(sent) = self.deliveries.get(&delivery).map(|known| known.sent) else {
            return;
        };
        let Some(id) = self.close(delivery) else {
            return;
        };
        let build = self.hosts.get(&host).map_or(0, |known| known.build);
        let key = self.commands[&id].command.key;
        if key != 0 && !self.sent_back(build) {
            let newest = self.answered_by.entry(key).or_insert(build);
            *newest = build.max(*newest);
        }
        let receipt = u64::from(host) << 32 | (sent as u64 / 1000) & 0xffff_ffff;
        let message = ToClient::Acked {
            id,
            build,
            receipt,
            body,
        };
        self.answer(id, message, wiring);
    }

    fn on_timer(&mut self, wiring: &mut dyn Wiring) {
        while let Some((_, id)) = self.next_deadline().filter(|(at, _)| *at <= self.now) {
            self.give_up(id, wiring);
        }
        if self.now >= self.wake_at {
            self.wake_at = self.now + TIMER_INTERVAL;
            self.vote(wiring);
        }
    }

    fn next_deadline(&self) -> Option<(Micros, u64)> {
        self.deadlines.first().copied()
    }
}

impl RoutingStrategy for BaselineStrategy {
    fn take(&mut self, now: Micros, input: Input, wiring: &mut dyn Wiring) {
        self.now = self.now.max(now);
        match input {
            Input::Command { conn, command } => self.on_command(conn, command, wiring),
            Input::Abandon { id, .. } => self.on_abandoned(id),
            Input::FromHost { host, message } => self.on_host_message(host, message, wiring),
            Input::DeliveryFailed {
                delivery, failure, ..
            } => {
                let may_have_run = matches!(
                    failure,
                    TransportFailure::Reset | TransportFailure::Unresponsive
                );
                self.ended(delivery, may_have_run, wiring);
            }
            Input::FromList(FromList::Complete { version, endpoints }) => {
                self.version = Some(version);
                self.list(true, &endpoints, wiring);
            }
            Input::FromList(FromList::Changes { version, endpoints }) => {
                self.version = Some(version);
                self.list(false, &endpoints, wiring);
            }
            Input::ListUnavailable => {
                // Where the list cannot be asked now, its next failure asks again.
                let _sent = wiring.to_list(ToList::Watch { have: self.version });
            }
            Input::FromController(FromController::RolloutUpdate(update)) => self.on_rollout(update),
            Input::Close => self.closing = true,
            Input::Timer => self.on_timer(wiring),
            _ => {}
        }
    }

    fn next_wake(&self) -> Micros {
        self.next_deadline()
            .map_or(self.wake_at, |(at, _)| at.min(self.wake_at))
    }

    fn held(&self) -> usize {
        self.commands.len()
    }
}
