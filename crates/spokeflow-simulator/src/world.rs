//! The deployment: events in the order of their times, and those of one microsecond in the order in which they
//! were planned. Each part of the deployment has a module of its own.

mod clients;
mod connections;
mod event;
mod faults;
mod host_list;
mod hosts;
mod links;
mod release_controller;
mod routers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::SeedableRng;
use slab::Slab;
use spokeflow_engine::Input;
use spokeflow_proto::FromController;
use spokeflow_scenario::active_faults::{ActiveFaults, LinkKind, CONTROL_SITE};
use spokeflow_scenario::endpoint_registry::EndpointRegistry;
use spokeflow_scenario::host::DeduplicationTable;
use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::release_controller::ReleaseController;
use spokeflow_scenario::report::RunRecorder;
use spokeflow_scenario::router_picker::RouterPicker;
use spokeflow_scenario::scenario::{Build, Fault, Scenario};
use spokeflow_scenario::traffic::Traffic;
use spokeflow_scenario::{Micros, MS, SECOND};

use self::clients::{OpenAttempt, OpenCommand};
use self::event::{Event, ScheduledEvent};
use self::hosts::HostSlot;
use self::routers::RouterSlot;
use crate::host_link::HostLink;
use crate::play::{ScenarioRun, Watch};
use crate::strategy::StrategyKind;

/// Before the first command, so that routers have a list and news.
const WARM_UP: Micros = SECOND;
/// One way within a site, and between a client and its router.
const LOCAL_DELAY: Micros = 60;
const CONTROLLER_TICK: Micros = 10 * MS;
const SLOW_TICK: Micros = 50 * MS;

pub(crate) struct World {
    day: Scenario,
    strategy: StrategyKind,
    now: Micros,
    start: Micros,
    end: Micros,
    last_sequence: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Event has met a cut, until it ends.
    blocked: Vec<Event>,
    faults: ActiveFaults,
    rng: StdRng,
    number: u64,
    routers: Vec<RouterSlot>,
    host_slots: Slab<HostSlot>,
    slot_of: HashMap<u32, usize>,
    /// By seat and router.
    host_links: Vec<HostLink>,
    deduplication: DeduplicationTable,
    registry: EndpointRegistry,
    controller: ReleaseController,
    offers: Vec<Build>,
    router_picker: RouterPicker,
    traffic: Traffic,
    clients: Slab<OpenCommand>,
    attempts: Slab<OpenAttempt>,
    affected: BTreeMap<usize, Vec<u32>>,
    active: Vec<(usize, Fault)>,
    record: Option<RunRecorder>,
    observations: Vec<(Micros, Observation)>,
    most: [usize; 3],
}

impl World {
    pub(crate) fn new(day: Scenario, who: StrategyKind) -> World {
        let start = WARM_UP;
        let longest = day.ops.iter().map(|op| op.timeout).max().unwrap_or(0);
        let offers = day
            .builds
            .iter()
            .copied()
            .filter(|b| b.number > 1)
            .collect();
        World {
            strategy: who,
            now: 0,
            start,
            end: start + day.length + longest + SECOND,
            last_sequence: 0,
            queue: BinaryHeap::new(),
            blocked: Vec::new(),
            faults: ActiveFaults::default(),
            rng: StdRng::seed_from_u64(day.seed ^ 0x57a6e),
            number: 0,
            routers: Vec::new(),
            host_slots: Slab::new(),
            slot_of: HashMap::new(),
            host_links: Vec::new(),
            deduplication: DeduplicationTable::default(),
            registry: EndpointRegistry::default(),
            controller: ReleaseController::new(&day),
            offers,
            router_picker: RouterPicker::new(&day),
            traffic: Traffic::new(&day, start),
            clients: Slab::new(),
            attempts: Slab::new(),
            affected: BTreeMap::new(),
            active: Vec::new(),
            record: Some(RunRecorder::new(&day, start)),
            observations: Vec::new(),
            most: [0; 3],
            day,
        }
    }

    pub(crate) fn run(mut self, watch: &mut dyn Watch) -> ScenarioRun {
        for host in 0..self.day.hosts {
            self.seat(host, 1, None);
            self.run_host(host);
        }
        self.registry.tick(self.now);
        for router in 0..self.day.routers {
            let site = (router % u32::from(self.day.sites)) as u16;
            self.routers.push(RouterSlot::new(router, site));
        }
        for router in 0..self.day.routers {
            self.start_router(router);
        }
        self.plan(CONTROLLER_TICK, Event::ControllerTick);
        self.plan(SLOW_TICK, Event::SlowTick);
        for (n, trouble) in self.day.faults.clone().iter().enumerate() {
            self.plan_at(self.start + trouble.at, Event::FaultBegins(n));
        }
        let first = self.traffic.next(&self.day, &self.faults);
        self.plan_at(first.due, Event::CommandDue(first));
        let (mut events, mut told) = (0, 0);
        while let Some(Reverse(ScheduledEvent {
            at, event: what, ..
        })) = self.queue.pop()
        {
            if at > self.end {
                break;
            }
            self.now = at;
            events += 1;
            self.handle(what);
            for (at, seen) in std::mem::take(&mut self.observations) {
                watch.seen(at, &seen);
            }
            if self.now >= told + SECOND {
                told = self.now;
                watch.passed(self.now - self.start);
            }
            self.most[0] = self.most[0].max(self.queue.len());
        }
        let record = self.record.take().expect("there until the end");
        let report = record.finish(Vec::new(), None);
        ScenarioRun {
            report,
            events,
            span: self.end,
            most_kept: self.most,
        }
    }

    fn note(&mut self, seen: Observation) {
        if let Some(record) = &mut self.record {
            record.observe(self.now, &seen);
        }
        self.observations.push((self.now, seen));
    }

    fn plan(&mut self, after: Micros, what: Event) {
        self.plan_at(self.now + after, what);
    }

    fn plan_at(&mut self, at: Micros, what: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event: what,
        }));
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn handle(&mut self, what: Event) {
        match what {
            Event::CommandDue(wanted) => self.ask(wanted),
            Event::RetryDue(client) => self.try_again(client),
            Event::CommandAtRouter { tried, left } => self.at_router(tried, left),
            Event::AnswerAtClient {
                tried,
                end,
                receipt,
            } => self.at_client(tried, end, receipt),
            Event::ClientLeaves { tried } => self.leaves(tried),
            Event::AbandonAtRouter { tried, by } => {
                let conn = u64::from(by.router);
                self.give(by, Input::Abandon { conn, id: tried });
            }
            Event::WrongAnswerAtRouter { by, receipt } => {
                self.give(by, Input::WrongAnswer { conn: 0, receipt })
            }
            Event::RouterTimer { by, at } => {
                let seat = &mut self.routers[by.router as usize];
                if seat.process == by && seat.wake_at == at {
                    seat.wake_at = Micros::MAX;
                    self.give(by, Input::Timer);
                }
            }
            Event::DeliveryFailed {
                by,
                host,
                delivery,
                end,
            } => {
                self.give(
                    by,
                    Input::DeliveryFailed {
                        host,
                        delivery,
                        failure: end,
                    },
                );
            }
            Event::MessageAtHost { pair, epoch, word } => self.reaches_host(pair, epoch, word),
            Event::MessageAtRouter { pair, epoch, word } => self.reaches_router(pair, epoch, word),
            Event::ConnectEnds { pair, epoch, fails } => self.connected(pair, epoch, fails),
            Event::SilenceCheck { pair, epoch } => self.silence(pair, epoch),
            Event::HostTimer {
                seat,
                incarnation,
                at,
            } => self.host_due(seat, incarnation, at),
            Event::HostStarts(host) => self.boot(host),
            Event::HostStops(host) => self.stop(host),
            Event::HostRestarts(host) => {
                let Some(&seat) = self.slot_of.get(&host) else {
                    return;
                };
                if !self.host_slots[seat].draining && self.host_slots[seat].process.is_none() {
                    self.host_slots[seat].started = Some(self.now);
                    self.run_host(host);
                }
            }
            Event::SlotFreed(host) => self.free(host),
            Event::RegistryTick => self.board_tick(),
            Event::ListRequest { by, link, have } => self.list_ask(by, link, have),
            Event::ListAtRouter { by, link, message } => self.list_to(by, link, &message),
            Event::ListReconnects { by, link } => self.list_renew(by, link),
            Event::ListConnected { by, link } => self.list_open(by, link),
            Event::RolloutAtRouter { by, state } => self.news_to(by, state),
            Event::VoteAtController {
                by,
                ballot,
                build,
                stage,
                verdict,
            } => {
                self.vote_at(by, ballot, build, stage, verdict);
            }
            Event::VoteResultAtRouter { by, ballot, result } => {
                let site = self.routers[by.router as usize].site;
                if self
                    .faults
                    .delay(CONTROL_SITE, site, LinkKind::ControlSite)
                    .is_none()
                {
                    return self
                        .blocked
                        .push(Event::VoteResultAtRouter { by, ballot, result });
                }
                self.give(
                    by,
                    Input::FromController(FromController::Voted { ballot, result }),
                );
            }
            Event::GossipAtRouter { by, from, text } => {
                self.give(
                    by,
                    Input::Gossip {
                        router: from,
                        text: text.to_vec(),
                    },
                );
            }
            Event::ControllerTick => self.desk_tick(),
            Event::SlowTick => self.slow_tick(),
            Event::FaultBegins(n) => self.begin(n),
            Event::FaultEnds(n) => self.end_trouble(n),
            Event::RouterRoll {
                routers,
                nth,
                down,
                apart,
            } => self.roll(routers, nth, down, apart),
            Event::RouterEnds {
                router,
                by,
                asked,
                next,
            } => self.router_ended(router, by, asked, next),
            Event::RouterStarts { router, then } => {
                self.start_again(router);
                if let Some((routers, nth, down, apart)) = then {
                    self.plan(
                        (apart - down).max(0),
                        Event::RouterRoll {
                            routers,
                            nth,
                            down,
                            apart,
                        },
                    );
                }
            }
        }
    }
}
