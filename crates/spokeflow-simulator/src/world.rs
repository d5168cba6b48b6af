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
use spokeflow_scenario::active_faults::{ActiveFaults, LinkDirection, CONTROL_SITE};
use spokeflow_scenario::endpoint_registry::EndpointRegistry;
use spokeflow_scenario::host::DeduplicationTable;
use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::release_controller::ReleaseController;
use spokeflow_scenario::report::RunRecorder;
use spokeflow_scenario::router_picker::RouterPicker;
use spokeflow_scenario::scenario::{Build, Fault, Scenario};
use spokeflow_scenario::traffic::Traffic;
use spokeflow_scenario::{Micros, MS, SECOND};

use self::clients::{Asking, Trying};
use self::event::{Due, What};
use self::hosts::Seat;
use self::routers::RouterSeat;
use crate::brain::StrategyKind;
use crate::pair::HostLink;
use crate::play::{ScenarioRun, Watch};

/// Before the first command, so that routers have a list and news.
const LEAD: Micros = SECOND;
/// One way within a site, and between a client and its router.
const LOCAL_WAY: Micros = 60;
const DESK_TICK: Micros = 10 * MS;
const SLOW_TICK: Micros = 50 * MS;

pub struct World {
    day: Scenario,
    who: StrategyKind,
    now: Micros,
    start: Micros,
    end: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<Due>>,
    /// What has met a cut, until it ends.
    blocked: Vec<What>,
    faults: ActiveFaults,
    rng: StdRng,
    number: u64,
    routers: Vec<RouterSeat>,
    seats: Slab<Seat>,
    seat_of: HashMap<u32, usize>,
    /// By seat and router.
    pairs: Vec<HostLink>,
    marks: DeduplicationTable,
    board: EndpointRegistry,
    desk: ReleaseController,
    offers: Vec<Build>,
    front: RouterPicker,
    traffic: Traffic,
    clients: Slab<Asking>,
    tries: Slab<Trying>,
    struck: BTreeMap<usize, Vec<u32>>,
    lasting: Vec<(usize, Fault)>,
    record: Option<RunRecorder>,
    seen: Vec<(Micros, Observation)>,
    most: [usize; 3],
}

impl World {
    pub fn new(day: Scenario, who: StrategyKind) -> World {
        let start = LEAD;
        let longest = day.ops.iter().map(|op| op.timeout).max().unwrap_or(0);
        let offers = day
            .builds
            .iter()
            .copied()
            .filter(|b| b.number > 1)
            .collect();
        World {
            who,
            now: 0,
            start,
            end: start + day.length + longest + SECOND,
            seq: 0,
            queue: BinaryHeap::new(),
            blocked: Vec::new(),
            faults: ActiveFaults::default(),
            rng: StdRng::seed_from_u64(day.seed ^ 0x57a6e),
            number: 0,
            routers: Vec::new(),
            seats: Slab::new(),
            seat_of: HashMap::new(),
            pairs: Vec::new(),
            marks: DeduplicationTable::default(),
            board: EndpointRegistry::default(),
            desk: ReleaseController::new(&day),
            offers,
            front: RouterPicker::new(&day),
            traffic: Traffic::new(&day, start),
            clients: Slab::new(),
            tries: Slab::new(),
            struck: BTreeMap::new(),
            lasting: Vec::new(),
            record: Some(RunRecorder::new(&day, start)),
            seen: Vec::new(),
            most: [0; 3],
            day,
        }
    }

    pub fn run(mut self, watch: &mut dyn Watch) -> ScenarioRun {
        for host in 0..self.day.hosts {
            self.seat(host, 1, None);
            self.run_host(host);
        }
        self.board.tick(self.now);
        for router in 0..self.day.routers {
            let site = (router % u32::from(self.day.sites)) as u16;
            self.routers.push(RouterSeat::new(router, site));
        }
        for router in 0..self.day.routers {
            self.start_router(router);
        }
        self.plan(DESK_TICK, What::DeskTick);
        self.plan(SLOW_TICK, What::SlowTick);
        for (n, trouble) in self.day.faults.clone().iter().enumerate() {
            self.plan_at(self.start + trouble.at, What::Begin(n));
        }
        let first = self.traffic.next(&self.day, &self.faults);
        self.plan_at(first.due, What::Ask(first));
        let (mut events, mut told) = (0, 0);
        while let Some(Reverse(Due { at, what, .. })) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            events += 1;
            self.happen(what);
            for (at, seen) in std::mem::take(&mut self.seen) {
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
            record.see(self.now, &seen);
        }
        self.seen.push((self.now, seen));
    }

    fn plan(&mut self, after: Micros, what: What) {
        self.plan_at(self.now + after, what);
    }

    fn plan_at(&mut self, at: Micros, what: What) {
        self.seq += 1;
        self.queue.push(Reverse(Due {
            at,
            seq: self.seq,
            what,
        }));
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Ask(wanted) => self.ask(wanted),
            What::Try(client) => self.try_again(client),
            What::AtRouter { tried, left } => self.at_router(tried, left),
            What::AtClient {
                tried,
                end,
                receipt,
            } => self.at_client(tried, end, receipt),
            What::Leaves { tried } => self.leaves(tried),
            What::LeaveAt { tried, by } => {
                let conn = u64::from(by.router);
                self.give(by, Input::Abandon { conn, id: tried });
            }
            What::DisputedAt { by, receipt } => {
                self.give(by, Input::WrongAnswer { conn: 0, receipt })
            }
            What::Wake { by, at } => {
                let seat = &mut self.routers[by.router as usize];
                if seat.process == by && seat.wake_at == at {
                    seat.wake_at = Micros::MAX;
                    self.give(by, Input::Timer);
                }
            }
            What::Lost {
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
            What::ToHost { pair, epoch, word } => self.reaches_host(pair, epoch, word),
            What::FromHost { pair, epoch, word } => self.reaches_router(pair, epoch, word),
            What::Connect { pair, epoch, fails } => self.connected(pair, epoch, fails),
            What::Silence { pair, epoch } => self.silence(pair, epoch),
            What::HostDue {
                seat,
                incarnation,
                at,
            } => self.host_due(seat, incarnation, at),
            What::Boot(host) => self.boot(host),
            What::Stop(host) => self.stop(host),
            What::Revive(host) => {
                let Some(&seat) = self.seat_of.get(&host) else {
                    return;
                };
                if !self.seats[seat].draining && self.seats[seat].process.is_none() {
                    self.seats[seat].started = Some(self.now);
                    self.run_host(host);
                }
            }
            What::Free(host) => self.free(host),
            What::BoardTick => self.board_tick(),
            What::ListAsk { by, link, have } => self.list_ask(by, link, have),
            What::ListTo { by, link, message } => self.list_to(by, link, &message),
            What::ListRenew { by, link } => self.list_renew(by, link),
            What::ListOpen { by, link } => self.list_open(by, link),
            What::NewsTo { by, state } => self.news_to(by, state),
            What::VoteAt {
                by,
                ballot,
                build,
                stage,
                verdict,
            } => {
                self.vote_at(by, ballot, build, stage, verdict);
            }
            What::VotedTo { by, ballot, result } => {
                let site = self.routers[by.router as usize].site;
                if self
                    .faults
                    .delay(CONTROL_SITE, site, LinkDirection::ControlSite)
                    .is_none()
                {
                    return self.blocked.push(What::VotedTo { by, ballot, result });
                }
                self.give(
                    by,
                    Input::FromController(FromController::Voted { ballot, result }),
                );
            }
            What::Told { by, from, text } => {
                self.give(
                    by,
                    Input::Gossip {
                        router: from,
                        text: text.to_vec(),
                    },
                );
            }
            What::DeskTick => self.desk_tick(),
            What::SlowTick => self.slow_tick(),
            What::Begin(n) => self.begin(n),
            What::End(n) => self.end_trouble(n),
            What::Roll {
                routers,
                nth,
                down,
                apart,
            } => self.roll(routers, nth, down, apart),
            What::Ended {
                router,
                by,
                asked,
                next,
            } => self.router_ended(router, by, asked, next),
            What::Start { router, then } => {
                self.start_again(router);
                if let Some((routers, nth, down, apart)) = then {
                    self.plan(
                        (apart - down).max(0),
                        What::Roll {
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
