//! A rig around one engine: it notes what the engine sends, plays hosts and keeps the recording.

use std::collections::BTreeMap;
use std::fmt::Write;

use spokeflow_core::*;
use spokeflow_engine::{Engine, EngineConfig, Input, Recording, Transport, TransportFailure};
use spokeflow_proto::*;

pub(crate) const SECOND: Micros = 1_000_000;
pub(crate) const MARGIN: Micros = 20_000;

#[derive(Default)]
pub(crate) struct Noted {
    pub(crate) now: Micros,
    /// Deliveries that the rig's hosts have not ended: host, number, op type.
    pub(crate) sent: Vec<(u32, u64, u16)>,
    /// Hosts of all deliveries, in order, and by when each has to leave.
    pub(crate) hosts: Vec<u32>,
    pub(crate) leave_by: Vec<(u32, Micros)>,
    pub(crate) answers: Vec<(Micros, u64, ToClient)>,
    pub(crate) votes: Vec<ToController>,
    pub(crate) closed: Vec<(u32, bool)>,
    pub(crate) recalled: Vec<(u32, Option<u64>)>,
    /// A host whose queue has no room.
    pub(crate) stuffed: Option<u32>,
    /// All that was sent, in order.
    pub(crate) text: String,
}

impl Noted {
    fn note(&mut self, what: impl std::fmt::Debug) {
        writeln!(self.text, "{} {what:?}", self.now).unwrap();
    }

    pub(crate) fn one_answer_each(&self, commands: u64) {
        let mut count = BTreeMap::new();
        self.answers
            .iter()
            .for_each(|a| *count.entry(id_of(&a.2)).or_insert(0) += 1);
        assert!(
            (1..=commands).all(|id| count.get(&id) == Some(&1)),
            "{count:?}"
        );
    }
}

pub(crate) fn id_of(answer: &ToClient) -> u64 {
    match answer {
        ToClient::Acked { id, .. } | ToClient::Nacked { id, .. } | ToClient::Failed { id } => *id,
        other => panic!("{other:?}"),
    }
}

impl Transport for Noted {
    fn to_client(&mut self, conn: u64, message: ToClient) {
        self.note((conn, &message));
        self.answers.push((self.now, conn, message));
    }
    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool {
        self.note((host, &message, leave_by));
        if let ToHost::Deliver { delivery, op, .. } = message {
            if self.stuffed == Some(host.0) {
                return false;
            }
            self.sent.push((host.0, delivery, op));
            self.hosts.push(host.0);
            self.leave_by.push((host.0, leave_by));
        }
        true
    }
    fn to_list(&mut self, message: ToList) -> bool {
        self.note(message);
        true
    }
    fn to_controller(&mut self, message: ToController) -> bool {
        self.note(&message);
        self.votes.push(message);
        true
    }
    fn to_routers(&mut self, router: Option<u32>, text: &[u8]) {
        self.note((router, text));
    }
    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64) {
        self.note((host, address, incarnation));
    }
    fn recall(&mut self, host: HostId, delivery: Option<u64>) {
        self.recalled.push((host.0, delivery));
    }
    fn host_closed(&mut self, host: HostId, gone: bool) {
        self.note((host, gone));
        self.closed.push((host.0, gone));
    }
}

pub(crate) struct Rig {
    pub(crate) engine: Engine,
    pub(crate) links: Noted,
    pub(crate) now: Micros,
    pub(crate) recording: Vec<u8>,
    chance: Rng,
    version: u64,
}

pub(crate) fn terms() -> EngineConfig {
    let op = |repeat, repeat_scope| OperationConfig {
        repeat,
        deduplication_scope: repeat_scope,
        deduplication_window: 800_000,
        latency_objective: 600_000,
        command_timeout: 2 * SECOND,
        priority_weight: 1.0,
        streaming: false,
    };
    let service = ServiceConfig {
        ops: vec![
            op(Repeat::Idempotent, DeduplicationScope::Unknown),
            op(Repeat::Deduplicated, DeduplicationScope::All),
            op(Repeat::AtMostOnce, DeduplicationScope::Unknown),
        ],
        tenant_quotas: vec![20.0, 5.0],
        own_zone: ZoneId(0),
        own_index: 0,
        fleet_size: 1,
        tick: 5_000,
        list_requires_subscription: false,
        list_refresh_within: 10 * SECOND,
        delivery_cap: 4,
        may_hedge: true,
        may_cancel: true,
        may_probe: false,
        may_gossip: false,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: 250_000,
        slow_start_from: 0.4,
        warm_up_time: 4 * SECOND,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        gate: Gate::Single,
        stage_caps: vec![0.1, 0.4, 1.0],
        stage_shares: vec![0.1, 0.4, 1.0],
        exposure_allowance: 2.0,
        exposure_window: 4 * SECOND,
        exposure_by_op: false,
        guarded_stages: 0,
        forward_only: true,
        rolling: true,
        stage_bake: SECOND,
        vote_lifetime: 6 * SECOND,
        vote_timeout: SECOND,
        complaint_share: 0.2,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    };
    EngineConfig {
        service,
        answer_margin: MARGIN,
        max_waiting: 1000,
    }
}

impl Rig {
    pub(crate) fn new(chance: u64, seed: u64) -> Rig {
        let (mut links, now) = (Noted::default(), 100 * SECOND);
        let engine = Engine::new(terms(), seed, now, &mut links);
        let recording = Recording::head(seed, now);
        Rig {
            engine,
            links,
            now,
            recording,
            chance: Rng::new(chance),
            version: 0,
        }
    }

    pub(crate) fn replay(recording: &Recording) -> String {
        let mut links = Noted::default();
        let mut engine = Engine::new(terms(), recording.seed, recording.start, &mut links);
        for recorded in &recording.inputs {
            links.now = recorded.at;
            engine.on_input(recorded.at, recorded.input.clone(), &mut links);
        }
        links.text
    }

    pub(crate) fn input(&mut self, input: Input) {
        self.links.now = self.now;
        self.recording.extend(Recording::entry(self.now, &input));
        self.engine.on_input(self.now, input, &mut self.links);
    }

    pub(crate) fn draw(&mut self, below: usize) -> u64 {
        self.chance.below(below) as u64
    }

    fn line(host: u32, build: u16, phase: LinePhase, incarnation: u64) -> Line {
        let up_us = (incarnation > 1).then_some(1000);
        let address = format!("127.0.0.1:{host}");
        Line {
            host,
            address,
            build: Some(build),
            cell: 0,
            zone: 0,
            phase,
            incarnation,
            up_us,
        }
    }

    pub(crate) fn list(&mut self, hosts: &[u32], build: u16) {
        let lines = hosts
            .iter()
            .map(|h| Self::line(*h, build, LinePhase::Ready, 1))
            .collect();
        self.input(Input::FromList(FromList::Whole { version: 1, lines }));
        let news = News {
            build,
            stage: 2,
            standing: NewsStanding::Released,
            cap: 1.0,
            age_us: 0,
        };
        self.input(Input::FromController(FromController::News(news)));
    }

    pub(crate) fn change(&mut self, host: u32, build: u16, phase: LinePhase, incarnation: u64) {
        self.version += 1;
        let lines = vec![Self::line(host, build, phase, incarnation)];
        self.input(Input::FromList(FromList::Changes {
            version: self.version,
            lines,
        }));
    }

    pub(crate) fn command(&mut self, conn: u64, id: u64, op: u16, key: u64) {
        self.command_within(conn, id, op, key, 2 * SECOND);
    }

    pub(crate) fn command_within(&mut self, conn: u64, id: u64, op: u16, key: u64, left: Micros) {
        let body = Default::default();
        let command = Command {
            id,
            op,
            share: 0,
            key,
            mark: id,
            left_us: left as u64,
            body,
        };
        self.input(Input::Command { conn, command });
    }

    pub(crate) fn host(&mut self, host: u32, message: FromHost) {
        self.input(Input::FromHost { host, message });
    }

    /// The one delivery that is out.
    pub(crate) fn delivered(&mut self) -> (u32, u64) {
        assert_eq!(self.links.sent.len(), 1);
        let (host, delivery, _) = self.links.sent.pop().unwrap();
        (host, delivery)
    }

    pub(crate) fn answers(&self, conn: u64) -> Vec<ToClient> {
        self.links
            .answers
            .iter()
            .filter(|a| a.1 == conn)
            .map(|a| a.2.clone())
            .collect()
    }

    /// Time goes by; the engine is woken when it has asked for it.
    pub(crate) fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.engine.next_wake() <= until {
            self.now = self.engine.next_wake().max(self.now);
            self.input(Input::Timer);
        }
        self.now = until;
    }

    pub(crate) fn answer_some(&mut self) {
        while self.links.sent.len() > 4 {
            let (host, delivery, _) = self.links.sent.remove(0);
            self.host(
                host,
                FromHost::Acked {
                    delivery,
                    body: Default::default(),
                },
            );
        }
    }

    /// Steady commands, each answered at once.
    pub(crate) fn answer_all(&mut self, span: Micros) {
        let until = self.now + span;
        let first = 1_000_000 + self.now as u64;
        for id in first.. {
            if self.now >= until {
                break;
            }
            self.command(99, id, 0, 0);
            self.pass(20_000);
            for (host, delivery, _) in std::mem::take(&mut self.links.sent) {
                self.host(
                    host,
                    FromHost::Acked {
                        delivery,
                        body: Default::default(),
                    },
                );
            }
        }
    }

    pub(crate) fn warm_up(&mut self) {
        self.answer_all(6 * SECOND);
    }

    /// One of the deliveries that are out ends, in any way.
    pub(crate) fn end_one(&mut self) {
        if self.links.sent.is_empty() {
            return;
        }
        let pick = self.draw(self.links.sent.len()) as usize;
        let (host, delivery, _) = self.links.sent.remove(pick);
        match self.draw(6) {
            0 | 1 => self.host(
                host,
                FromHost::Acked {
                    delivery,
                    body: Default::default(),
                },
            ),
            2 => self.host(host, FromHost::Error { delivery }),
            3 => self.host(host, FromHost::Full { delivery }),
            4 => self.input(Input::DeliveryFailed {
                host,
                delivery,
                failure: TransportFailure::Reset,
            }),
            _ => self.input(Input::DeliveryFailed {
                host,
                delivery,
                failure: TransportFailure::NotConnected,
            }),
        }
    }
}
