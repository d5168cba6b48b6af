//! Seeded random scenarios: a router and hosts that start, drain, stop and return with other
//! builds, under canary rollouts, rollbacks, outages and overload. All outputs are hashed in their
//! order, so that two versions of the decision module with equal digests have made the same
//! choices.

#![allow(dead_code)] // each test program uses only some of the items

mod events;
mod random;
mod recorder;
mod setup;

use std::collections::BTreeSet;

use spokeflow_core::*;

pub(crate) use random::Random;
pub(crate) use recorder::Counts;
use recorder::Recorder;
use setup::{initial_endpoint, service_config};

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MS;
const FIRST_BUILD: u16 = 3;
const ZONES: u16 = 3;
const CELLS: u16 = 5;
const KEYS: u64 = 400;
const TENANTS: u32 = 4;
/// Dyadic fractions, whose sums are exact in any order.
const SIZES: [f64; 4] = [0.5, 1.0, 1.0, 4.0];

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) seed: u64,
    pub(crate) hosts: u32,
    pub(crate) fleet_size: u32,
    pub(crate) gate: Gate,
    pub(crate) forward_only: bool,
    pub(crate) rolling: bool,
    pub(crate) commands_per_second: u32,
    pub(crate) length: Micros,
}

/// A fault that lasts for a while, in addition to the changes of single hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// No connection to the hosts of one zone can be made.
    ZoneUnreachable(u16),
    /// Every fifth host does not answer.
    Hangs,
    /// One operation takes ten times as long at all hosts.
    SlowOperation(usize),
    /// No connection to any host can be made.
    AllUnreachable,
    /// Builds after the first one answer half of their commands with an error.
    BadBuild,
}

/// The planned end of an open delivery, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlannedEnd {
    at: Micros,
    command: u32,
    delivery: u8,
    host: u32,
}

/// A router and the hosts, clients and release controller around it.
pub(crate) struct Simulation {
    setting: Setting,
    random: Random,
    now: Micros,
    pub(crate) router: Router,
    out: Recorder,
    config: ServiceConfig,
    endpoints: Vec<Endpoint>,
    /// The operation of each command, by command id less 1.
    operations: Vec<usize>,
    /// The planned ends of the open deliveries.
    planned_ends: BTreeSet<PlannedEnd>,
    status: Option<RolloutStatus>,
    fault: Fault,
    commands: u32,
}

impl Simulation {
    pub(crate) fn new(setting: Setting) -> Self {
        let now = 50 * SECOND;
        let config = service_config(&setting);
        let mut out = Recorder::default();
        let router = Router::new(&config, setting.seed, now, &mut out);
        let mut random = Random::new(setting.seed);
        let endpoints = (0..setting.hosts)
            .map(|host| initial_endpoint(host, &mut random))
            .collect();
        Simulation {
            setting,
            random,
            now,
            router,
            out,
            config,
            endpoints,
            operations: Vec::new(),
            planned_ends: BTreeSet::new(),
            status: None,
            fault: Fault::None,
            commands: 0,
        }
    }

    /// Runs to the end and returns the digest of all outputs.
    pub(crate) fn run(&mut self) -> (u64, Counts) {
        self.run_watched(|_| ())
    }

    /// Runs like [`Simulation::run`] and calls `watch` after each step.
    pub(crate) fn run_watched(&mut self, mut watch: impl FnMut(&Simulation)) -> (u64, Counts) {
        let endpoints = self.endpoints.clone();
        self.router
            .set_time(self.now)
            .on_endpoints(ListKind::Cached, &endpoints, &mut self.out);
        let to = self.now + self.setting.length;
        while self.now < to {
            self.step();
            watch(self);
        }
        (self.out.hash, self.out.counts)
    }

    /// Number of open deliveries at a host.
    pub(crate) fn open_at(&self, host: HostId) -> usize {
        self.planned_ends
            .iter()
            .filter(|end| end.host == host.0)
            .count()
    }

    fn step(&mut self) {
        let gap = Micros::from(2 * SECOND as u32 / self.setting.commands_per_second);
        let until = self.now + self.random.between(1, gap + 1);
        while let Some(&end) = self.planned_ends.first().filter(|end| end.at <= until) {
            self.planned_ends.pop_first();
            self.now = self.now.max(end.at);
            self.end_delivery(CommandId(end.command), end.delivery, end.host);
        }
        while let Some(at) = self.out.wake_at.filter(|at| *at <= until) {
            self.out.wake_at = None;
            self.now = self.now.max(at);
            self.router.set_time(self.now).on_timer(&mut self.out);
            self.answer_outputs();
        }
        self.now = until;
        self.send_command();
        let per_second = u64::from(self.setting.commands_per_second);
        if self.random.one_in(per_second / 4) {
            self.change_hosts();
        }
        // One to five seconds for each stage: some canaries end before the canary fraction has
        // grown, some after.
        if self.random.one_in(per_second * (1 + self.setting.seed % 5)) {
            self.announce_next_status();
        }
        if self.random.one_in(2 * per_second) {
            self.fault = self.draw_fault();
        }
        if self.random.one_in(10) {
            self.send_other_event();
        }
        self.answer_outputs();
    }

    fn draw_fault(&mut self) -> Fault {
        let zone = self.random.below(ZONES.into()) as u16;
        let operation = self.random.below(4) as usize;
        let faults = [
            Fault::None,
            Fault::None,
            Fault::ZoneUnreachable(zone),
            Fault::Hangs,
            Fault::SlowOperation(operation),
            Fault::AllUnreachable,
            Fault::BadBuild,
        ];
        self.random.pick(&faults)
    }

    fn send_command(&mut self) {
        self.commands += 1;
        let operation = self.random.below(4) as usize;
        let key = if self.random.one_in(8) {
            0
        } else {
            1 + self.random.below(KEYS)
        };
        let time_left = self.random.between(100 * MS, 3 * SECOND);
        let tenant = TenantId(self.random.below(u64::from(TENANTS) + 1) as u32);
        let id = CommandId(self.commands);
        let op = OpType(operation as u16);
        self.operations.push(operation);
        self.router.set_time(self.now).on_command(
            id,
            op,
            tenant,
            Key(key),
            time_left,
            &mut self.out,
        );
        self.answer_outputs();
    }

    /// Plans when each new delivery ends, and answers cancels and votes.
    fn answer_outputs(&mut self) {
        for delivered in std::mem::take(&mut self.out.delivered) {
            let end = PlannedEnd {
                at: self.now + self.delivery_duration(delivered.command, delivered.host),
                command: delivered.command.0,
                delivery: delivered.delivery,
                host: delivered.host.0,
            };
            self.planned_ends.insert(end);
        }
        for cancelled in std::mem::take(&mut self.out.cancelled) {
            let id = cancelled.command;
            let delivery = cancelled.delivery;
            let open = self
                .planned_ends
                .iter()
                .find(|end| end.command == id.0 && end.delivery == delivery)
                .copied();
            let Some(open) = open.filter(|_| self.random.one_in(2)) else {
                continue;
            };
            self.planned_ends.remove(&open);
            let elapsed = self.random.between(10 * MS, 300 * MS);
            let outcome = AttemptOutcome::Cancelled;
            self.router.set_time(self.now).on_attempt_outcome(
                id,
                delivery,
                outcome,
                elapsed,
                false,
                &mut self.out,
            );
        }
        for _ in 0..std::mem::take(&mut self.out.voted) {
            use VoteOutcome::*;
            let answer = self.random.pick(&[
                Counted,
                Counted,
                Counted,
                Stale,
                RateLimited,
                Refused,
                NoResponse,
            ]);
            self.router.set_time(self.now).on_vote_outcome(answer);
        }
    }

    fn is_unreachable(&self, host: u32) -> bool {
        match self.fault {
            Fault::ZoneUnreachable(zone) => self.endpoints[host as usize].zone.0 == zone,
            Fault::AllUnreachable => true,
            _ => self.endpoints[host as usize].state == EndpointState::Gone,
        }
    }

    fn delivery_duration(&mut self, id: CommandId, host: HostId) -> Micros {
        let latency = self.random.between(20 * MS, 140 * MS);
        let operation = self.operations[id.0 as usize - 1];
        match self.fault {
            _ if self.is_unreachable(host.0) => 2 * MS,
            Fault::Hangs if host.0.is_multiple_of(5) => 2 * SECOND,
            Fault::SlowOperation(slow) if slow == operation => 10 * latency,
            _ => latency,
        }
    }

    fn end_delivery(&mut self, id: CommandId, delivery: u8, host: u32) {
        use AttemptOutcome::*;
        let is_later_build = self.endpoints[host as usize].build > Some(BuildId(FIRST_BUILD));
        let outcome = match self.fault {
            _ if self.is_unreachable(host) => {
                self.random.pick(&[NotConnected, NotConnected, Reset])
            }
            Fault::Hangs if host.is_multiple_of(5) => TimedOut,
            Fault::BadBuild if is_later_build && self.random.one_in(2) => Error,
            _ if self.random.one_in(30) => self
                .random
                .pick(&[Error, Rejected, TimedOut, Reset, NotSent, Error]),
            _ => Acked,
        };
        let elapsed =
            self.random.between(20 * MS, 140 * MS) * if outcome == TimedOut { 20 } else { 1 };
        self.router.set_time(self.now).on_attempt_outcome(
            id,
            delivery,
            outcome,
            elapsed,
            outcome == Acked,
            &mut self.out,
        );
        self.answer_outputs();
    }
}
