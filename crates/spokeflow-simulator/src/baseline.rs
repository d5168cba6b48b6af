//! Baselines: routers that keep drains, proof, caps and forward-only keys as told, and choose hosts by a plain
//! rule. They learn nothing of hosts and vote for every build, but for the one with full sight.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use spokeflow_core::{BuildId, HostId, Micros, Repeat, Rng};
use spokeflow_engine::{EngineConfig, Input, TransportFailure};
use spokeflow_proto::{
    Command, EndpointPhase, EndpointRecord, FromController, FromHost, FromList, RolloutPhase,
    RolloutUpdate, ToClient, ToController, ToHost, ToList, VoteChoice,
};

use crate::strategy::{RoutingStrategy, StrategyKind, Wiring};

const TIMER_INTERVAL: Micros = 50_000;
const RETRY_MARGIN: Micros = 100_000;
const MAX_DELIVERIES: usize = 4;
const VOTE_INTERVAL: Micros = 2_000_000;
/// Hosts that full sight weighs for one command.
const FULL_SIGHT_CANDIDATES: usize = 96;

struct Known {
    build: u16,
    incarnation: u64,
    ready: bool,
    in_flight: u32,
}

struct Held {
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
    commands: HashMap<u64, Held>,
    /// By delivery: command, host and when sent.
    deliveries: HashMap<u64, (u64, u32, Micros)>,
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

    fn on_trial(&self, build: u16) -> bool {
        match &self.rollout {
            None => self.hosts.values().any(|h| h.ready && h.build < build),
            Some(n) => build > n.build || build == n.build && n.phase != RolloutPhase::Released,
        }
    }

    fn sent_back(&self, build: u16) -> bool {
        let back = |n: &RolloutUpdate| {
            matches!(n.phase, RolloutPhase::RollingBack | RolloutPhase::Withdrawn)
        };
        self.rollout
            .as_ref()
            .is_some_and(|n| n.build == build && back(n))
    }

    fn room(&mut self, build: u16) -> bool {
        let from = self.now - self.config.service.exposure_window;
        while self.accepted.pop_front_if(|at| *at <= from).is_some() {}
        while self.exposed.pop_front_if(|at| *at <= from).is_some() {}
        let first = self
            .config
            .service
            .stage_caps
            .first()
            .copied()
            .unwrap_or(0.0);
        let cap = self
            .rollout
            .as_ref()
            .filter(|n| n.build == build)
            .map_or(first, |n| f64::from(n.exposure_cap));
        let may = self.config.service.exposure_allowance + cap * self.accepted.len() as f64;
        cap > 0.0 && self.exposed.len() as f64 + 1.0 <= may
    }

    fn choose(&mut self, id: u64, wiring: &dyn Wiring) -> Option<u32> {
        let held = &self.commands[&id];
        let (key, op) = (held.command.key, usize::from(held.command.op));
        let floor = self
            .answered_by
            .get(&key)
            .copied()
            .filter(|b| key != 0 && !self.sent_back(*b));
        let one_way = self.config.service.forward_only;
        let tried = held.hosts.clone();
        let newest = self
            .hosts
            .values()
            .filter(|h| h.ready)
            .map(|h| h.build)
            .max()?;
        let open = !self.on_trial(newest) || !self.sent_back(newest) && self.room(newest);
        // At its rounds' ends the cap is nearly used up: what cannot go there goes to the earlier build.
        let fits = |h: &Known| {
            h.ready
                && (open || !self.on_trial(h.build))
                && (!one_way || floor.is_none_or(|f| h.build >= f))
        };
        let mut pool: Vec<u32> = self
            .hosts
            .iter()
            .filter(|(n, h)| fits(h) && !tried.contains(n))
            .map(|(n, _)| *n)
            .collect();
        if pool.is_empty() {
            return None;
        }
        let flight = |h: u32| self.hosts[&h].in_flight;
        match self.kind {
            StrategyKind::RoundRobin => {
                self.turn += 1;
                Some(pool[self.turn % pool.len()])
            }
            StrategyKind::TwoChoices => {
                let (a, b) = (
                    pool[self.rng.below(pool.len())],
                    pool[self.rng.below(pool.len())],
                );
                Some(if flight(b) < flight(a) { b } else { a })
            }
            StrategyKind::FullSight => {
                while pool.len() > FULL_SIGHT_CANDIDATES {
                    let at = self.rng.below(pool.len());
                    pool.swap_remove(at);
                }
                let weigh = |h: &u32| {
                    let look = wiring.look(HostId(*h));
                    let way = look.delay? as f64;
                    let sound = look.up && look.has_headroom && look.speed > 0.0;
                    let bad = wiring.is_bad(BuildId(self.hosts[h].build)) && floor.is_none();
                    let own = 200_000.0 * self.config.service.ops[op].latency_objective as f64
                        / 1_200_000.0;
                    let wait = (look.work_before + own) / look.speed + 2.0 * way;
                    sound.then_some(wait + 4e6 * look.failure_rate + if bad { 2e6 } else { 0.0 })
                };
                let best = pool.iter().filter_map(|h| Some((weigh(h)?, *h)));
                let best = best.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
                // Event would be late anyway is refused, so that it does not make others late.
                let target = self.config.service.ops[op].latency_objective as f64;
                best.filter(|b| !tried.is_empty() || floor.is_some() || b.0 <= target)
                    .map(|b| b.1)
            }
            _ => Some(pool[self.rng.below(pool.len())]),
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
        self.deliveries.insert(delivery, (id, host, self.now));
        self.hosts.entry(host).and_modify(|h| h.in_flight += 1);
        if !wiring.to_host(HostId(host), message, until) {
            self.ended(delivery, false, wiring);
        }
    }

    fn close(&mut self, delivery: u64) -> Option<u64> {
        let (id, host, _) = self.deliveries.remove(&delivery)?;
        self.hosts
            .entry(host)
            .and_modify(|h| h.in_flight = h.in_flight.saturating_sub(1));
        self.commands.contains_key(&id).then_some(id)
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
        let out = self.deliveries.values().any(|o| o.0 == id);
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

    fn vote(&mut self, wiring: &mut dyn Wiring) {
        let Some(news) = self.rollout else { return };
        let bad = self.kind == StrategyKind::FullSight && wiring.is_bad(BuildId(news.build));
        let on = news.phase == RolloutPhase::Canary;
        let baked = self.now - self.stage_began > self.config.service.stage_bake + 1_000_000;
        let verdict = match (bad, on) {
            (true, _) if on || news.phase == RolloutPhase::Released => VoteChoice::RollBack,
            (false, true) if baked => VoteChoice::Promote,
            _ => return,
        };
        if self.now - self.voted_at > VOTE_INTERVAL {
            self.voted_at = self.now;
            let (build, stage) = (news.build, news.stage);
            wiring.to_controller(ToController::Vote {
                ballot: self.next_delivery,
                build,
                stage,
                choice: verdict,
            });
            self.next_delivery += 1;
        }
    }
}

impl RoutingStrategy for BaselineStrategy {
    fn take(&mut self, now: Micros, input: Input, wiring: &mut dyn Wiring) {
        self.now = self.now.max(now);
        match input {
            Input::Command { conn, command } => {
                let left = command.left_us.min(1 << 40) as Micros - self.config.answer_margin;
                let id = command.id;
                if self.closing || left <= 0 {
                    return wiring.to_client(
                        conn,
                        ToClient::Nacked {
                            id,
                            retry_after_us: Some(1_000_000),
                        },
                    );
                }
                self.accepted.push_back(self.now);
                let until = self.now + left;
                self.deadlines.insert((until, id));
                let held = Held {
                    conn,
                    command,
                    until,
                    hosts: vec![],
                    first_sent: self.now,
                    may_have_run: false,
                };
                self.commands.insert(id, held);
                self.route(id, wiring);
            }
            Input::Abandon { id, .. } => {
                if let Some(held) = self.commands.remove(&id) {
                    self.deadlines.remove(&(held.until, id));
                }
            }
            Input::FromHost { host, message } => match message {
                FromHost::Acked { delivery, body } => {
                    let Some(&(_, _, sent)) = self.deliveries.get(&delivery) else {
                        return;
                    };
                    let Some(id) = self.close(delivery) else {
                        return;
                    };
                    let build = self.hosts.get(&host).map_or(0, |h| h.build);
                    let key = self.commands[&id].command.key;
                    if key != 0 && !self.sent_back(build) {
                        let newest = self.answered_by.entry(key).or_insert(build);
                        *newest = build.max(*newest);
                    }
                    let receipt = u64::from(host) << 32 | (sent as u64 / 1000) & 0xffff_ffff;
                    self.answer(
                        id,
                        ToClient::Acked {
                            id,
                            build,
                            receipt,
                            body,
                        },
                        wiring,
                    );
                }
                FromHost::Error { delivery } => self.ended(delivery, true, wiring),
                FromHost::Full { delivery } => self.ended(delivery, false, wiring),
                FromHost::Welcome {
                    build, incarnation, ..
                } => {
                    if let Some(known) = self
                        .hosts
                        .get_mut(&host)
                        .filter(|h| h.incarnation < incarnation)
                    {
                        (known.build, known.incarnation) = (build, incarnation);
                    }
                }
                _ => {}
            },
            Input::DeliveryFailed {
                delivery,
                failure: end,
                ..
            } => {
                self.ended(
                    delivery,
                    matches!(
                        end,
                        TransportFailure::Reset | TransportFailure::Unresponsive
                    ),
                    wiring,
                );
            }
            Input::FromList(FromList::Complete {
                version,
                endpoints: lines,
            }) => {
                self.version = Some(version);
                self.list(true, &lines, wiring);
            }
            Input::FromList(FromList::Changes {
                version,
                endpoints: lines,
            }) => {
                self.version = Some(version);
                self.list(false, &lines, wiring);
            }
            Input::ListUnavailable => drop(wiring.to_list(ToList::Watch { have: self.version })),
            Input::FromController(FromController::RolloutUpdate(news)) => {
                let same = self
                    .rollout
                    .is_some_and(|n| (n.build, n.stage) == (news.build, news.stage));
                if !same {
                    (self.stage_began, self.voted_at) =
                        (self.now - news.age_us as Micros, Micros::MIN / 2);
                }
                if matches!(
                    news.phase,
                    RolloutPhase::RollingBack | RolloutPhase::Withdrawn
                ) {
                    self.answered_by.retain(|_, b| *b != news.build);
                }
                self.rollout = Some(news);
            }
            Input::Close => self.closing = true,
            Input::Timer => {
                while let Some((_, id)) =
                    self.deadlines.first().copied().filter(|d| d.0 <= self.now)
                {
                    self.give_up(id, wiring);
                }
                if self.now >= self.wake_at {
                    self.wake_at = self.now + TIMER_INTERVAL;
                    self.vote(wiring);
                }
            }
            _ => {}
        }
    }

    fn next_wake(&self) -> Micros {
        self.deadlines
            .first()
            .map_or(self.wake_at, |d| d.0.min(self.wake_at))
    }

    fn held(&self) -> usize {
        self.commands.len()
    }
}
