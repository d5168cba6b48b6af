//! A harness around one engine: it logs what the engine sends, acts as the hosts and keeps the recording.

mod config;

use std::collections::BTreeMap;
use std::fmt::Write;

use spokeflow_core::*;
use spokeflow_engine::{Engine, Input, Recording, Transport, TransportFailure};
use spokeflow_proto::*;

pub(crate) use config::config;

pub(crate) const SECOND: Micros = 1_000_000;
/// The answer margin of [`config`].
pub(crate) const MARGIN: Micros = 20_000;

/// Indexes of the operations in [`config`].
pub(crate) const IDEMPOTENT: u16 = 0;
pub(crate) const DEDUPLICATED: u16 = 1;
pub(crate) const AT_MOST_ONCE: u16 = 2;

/// The build that is released, and the one that is being rolled out.
pub(crate) const STABLE: u16 = 7;
pub(crate) const CANARY: u16 = 8;

/// A delivery that the engine has started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentDelivery {
    pub(crate) host: u32,
    pub(crate) delivery: u64,
    /// Its send deadline.
    pub(crate) send_deadline: Micros,
}

/// An answer to a client.
pub(crate) struct SentAnswer {
    pub(crate) at: Micros,
    pub(crate) conn: u64,
    pub(crate) message: ToClient,
}

/// A call of `host_closed`.
#[derive(Debug, PartialEq)]
pub(crate) struct ClosedHost {
    pub(crate) host: u32,
    pub(crate) gone: bool,
}

/// A call of `recall`.
#[derive(Debug, PartialEq)]
pub(crate) struct Recall {
    pub(crate) host: u32,
    pub(crate) delivery: Option<u64>,
}

/// A transport that stores what the engine sends.
#[derive(Default)]
pub(crate) struct TransportLog {
    pub(crate) now: Micros,
    /// Deliveries that no test has ended.
    pub(crate) open: Vec<SentDelivery>,
    /// All deliveries, in order.
    pub(crate) deliveries: Vec<SentDelivery>,
    pub(crate) answers: Vec<SentAnswer>,
    pub(crate) votes: Vec<ToController>,
    pub(crate) closed: Vec<ClosedHost>,
    pub(crate) recalled: Vec<Recall>,
    /// A host whose send queue is full.
    pub(crate) full_host: Option<u32>,
    /// All messages, and the hosts opened and closed, in order, one line each.
    pub(crate) text: String,
}

impl TransportLog {
    fn log(&mut self, message: impl std::fmt::Debug) {
        writeln!(self.text, "{} {message:?}", self.now).unwrap();
    }

    /// Whether the engine has recalled this one delivery.
    pub(crate) fn has_recalled(&self, sent: SentDelivery) -> bool {
        let expected = Recall {
            host: sent.host,
            delivery: Some(sent.delivery),
        };
        self.recalled.contains(&expected)
    }

    /// Checks that each of the commands numbered from 1 was answered exactly once.
    pub(crate) fn assert_one_answer_each(&self, commands: u64) {
        let mut count = BTreeMap::new();
        for answer in &self.answers {
            *count.entry(id_of(&answer.message)).or_insert(0) += 1;
        }
        assert!(
            (1..=commands).all(|id| count.get(&id) == Some(&1)),
            "expected one answer to each of commands 1 to {commands}, got {count:?}"
        );
    }
}

/// Returns the id of the command that a final answer belongs to.
pub(crate) fn id_of(answer: &ToClient) -> u64 {
    match answer {
        ToClient::Acked { id, .. } | ToClient::Nacked { id, .. } | ToClient::Failed { id } => *id,
        other => panic!("expected a final answer, got {other:?}"),
    }
}

impl Transport for TransportLog {
    fn to_client(&mut self, conn: u64, message: ToClient) {
        self.log((conn, &message));
        let at = self.now;
        self.answers.push(SentAnswer { at, conn, message });
    }
    fn to_host(&mut self, host: HostId, message: ToHost, send_deadline: Micros) -> bool {
        self.log((host, &message, send_deadline));
        if let ToHost::Deliver { delivery, .. } = message {
            if self.full_host == Some(host.0) {
                return false;
            }
            let sent = SentDelivery {
                host: host.0,
                delivery,
                send_deadline,
            };
            self.open.push(sent);
            self.deliveries.push(sent);
        }
        true
    }
    fn to_list(&mut self, message: ToList) -> bool {
        self.log(message);
        true
    }
    fn to_controller(&mut self, message: ToController) -> bool {
        self.log(&message);
        self.votes.push(message);
        true
    }
    fn to_routers(&mut self, router: Option<u32>, text: &[u8]) {
        self.log((router, text));
    }
    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64) {
        self.log((host, address, incarnation));
    }
    fn recall(&mut self, host: HostId, delivery: Option<u64>) {
        let host = host.0;
        self.recalled.push(Recall { host, delivery });
    }
    fn host_closed(&mut self, host: HostId, gone: bool) {
        self.log((host, gone));
        let host = host.0;
        self.closed.push(ClosedHost { host, gone });
    }
}

pub(crate) struct Harness {
    pub(crate) engine: Engine,
    pub(crate) transport: TransportLog,
    pub(crate) now: Micros,
    pub(crate) recording: Vec<u8>,
    random: Rng,
    /// Version of the endpoint list that was sent last.
    list_version: u64,
}

impl Harness {
    /// Creates an engine with `engine_seed`; `random_seed` is for [`Harness::random_below`].
    pub(crate) fn new(random_seed: u64, engine_seed: u64) -> Harness {
        let mut transport = TransportLog::default();
        let now = 100 * SECOND;
        let engine = Engine::new(config(), engine_seed, now, &mut transport);
        let recording = Recording::head(engine_seed, now);
        Harness {
            engine,
            transport,
            now,
            recording,
            random: Rng::new(random_seed),
            list_version: 0,
        }
    }

    /// Replays a recording through a new engine and returns the text of its transport log.
    pub(crate) fn replay(recording: &Recording) -> String {
        let mut transport = TransportLog::default();
        let mut engine = Engine::new(config(), recording.seed, recording.start, &mut transport);
        for recorded in &recording.inputs {
            transport.now = recorded.at;
            engine.on_input(recorded.at, recorded.input.clone(), &mut transport);
        }
        transport.text
    }

    pub(crate) fn input(&mut self, input: Input) {
        self.transport.now = self.now;
        self.recording.extend(Recording::entry(self.now, &input));
        self.engine.on_input(self.now, input, &mut self.transport);
    }

    pub(crate) fn random_below(&mut self, below: usize) -> u64 {
        self.random.below(below) as u64
    }

    fn endpoint_record(
        host: u32,
        build: u16,
        phase: EndpointPhase,
        incarnation: u64,
    ) -> EndpointRecord {
        let up_us = (incarnation > 1).then_some(1000);
        let address = format!("127.0.0.1:{host}");
        EndpointRecord {
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

    /// Sends a complete list of ready hosts of one build, and announces that the build is released.
    pub(crate) fn list_ready(&mut self, hosts: &[u32], build: u16) {
        let endpoints = hosts
            .iter()
            .map(|&host| Self::endpoint_record(host, build, EndpointPhase::Ready, 1))
            .collect();
        self.input(Input::FromList(FromList::Complete {
            version: 1,
            endpoints,
        }));
        self.release(build);
    }

    /// Sends the release controller's update that this build is released.
    pub(crate) fn release(&mut self, build: u16) {
        let update = RolloutUpdate {
            build,
            stage: 2,
            phase: RolloutPhase::Released,
            exposure_cap: 1.0,
            age_us: 0,
        };
        self.input(Input::FromController(FromController::RolloutUpdate(update)));
    }

    /// Sends a change of one endpoint on the list.
    pub(crate) fn change_endpoint(
        &mut self,
        host: u32,
        build: u16,
        phase: EndpointPhase,
        incarnation: u64,
    ) {
        self.list_version += 1;
        let endpoints = vec![Self::endpoint_record(host, build, phase, incarnation)];
        self.input(Input::FromList(FromList::Changes {
            version: self.list_version,
            endpoints,
        }));
    }

    pub(crate) fn command(&mut self, conn: u64, id: u64, op: u16, key: u64) {
        self.command_within(conn, id, op, key, 2 * SECOND);
    }

    /// Sends a command whose client waits for `left`.
    pub(crate) fn command_within(&mut self, conn: u64, id: u64, op: u16, key: u64, left: Micros) {
        let body = Default::default();
        let command = Command {
            id,
            op,
            tenant: 0,
            key,
            idempotency_key: id,
            left_us: left as u64,
            body,
        };
        self.input(Input::Command { conn, command });
    }

    pub(crate) fn receive_from_host(&mut self, host: u32, message: FromHost) {
        self.input(Input::FromHost { host, message });
    }

    /// Takes the only open delivery, which the test then has to end.
    pub(crate) fn take_delivery(&mut self) -> SentDelivery {
        assert_eq!(self.transport.open.len(), 1);
        self.transport.open.pop().unwrap()
    }

    pub(crate) fn ack(&mut self, sent: SentDelivery) {
        let body = Default::default();
        let delivery = sent.delivery;
        self.receive_from_host(sent.host, FromHost::Acked { delivery, body });
    }

    pub(crate) fn fail_delivery(&mut self, sent: SentDelivery, failure: TransportFailure) {
        self.input(Input::DeliveryFailed {
            host: sent.host,
            delivery: sent.delivery,
            failure,
        });
    }

    /// Returns the answers to the client on connection `conn`.
    pub(crate) fn answers(&self, conn: u64) -> Vec<ToClient> {
        self.transport
            .answers
            .iter()
            .filter(|answer| answer.conn == conn)
            .map(|answer| answer.message.clone())
            .collect()
    }

    /// Advances the time by `span` and runs the engine's timer whenever it is due.
    pub(crate) fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        while self.engine.next_wake() <= until {
            self.now = self.engine.next_wake().max(self.now);
            self.input(Input::Timer);
        }
        self.now = until;
    }

    /// Acks the oldest deliveries, until four are open.
    pub(crate) fn answer_all_but_four(&mut self) {
        while self.transport.open.len() > 4 {
            let oldest = self.transport.open.remove(0);
            self.ack(oldest);
        }
    }

    /// Sends a command every 20 ms for `span`, and acks the open deliveries after each.
    pub(crate) fn serve(&mut self, span: Micros) {
        let until = self.now + span;
        let first = 1_000_000 + self.now as u64;
        for id in first.. {
            if self.now >= until {
                break;
            }
            self.command(99, id, IDEMPOTENT, 0);
            self.advance(20_000);
            for sent in std::mem::take(&mut self.transport.open) {
                self.ack(sent);
            }
        }
    }

    /// Serves commands until the hosts have warmed up.
    pub(crate) fn warm_up(&mut self) {
        self.serve(6 * SECOND);
    }

    /// Ends a random one of the open deliveries in a random way.
    pub(crate) fn end_random_delivery(&mut self) {
        if self.transport.open.is_empty() {
            return;
        }
        let index = self.random_below(self.transport.open.len()) as usize;
        let sent = self.transport.open.remove(index);
        let delivery = sent.delivery;
        match self.random_below(6) {
            0 | 1 => self.ack(sent),
            2 => self.receive_from_host(sent.host, FromHost::Error { delivery }),
            3 => self.receive_from_host(sent.host, FromHost::Full { delivery }),
            4 => self.fail_delivery(sent, TransportFailure::Reset),
            _ => self.fail_delivery(sent, TransportFailure::NotConnected),
        }
    }
}
