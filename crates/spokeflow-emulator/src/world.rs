//! The deployment: events in the order of their times, and those of one microsecond in the order in which they
//! were planned.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use slab::Slab;
use spokeflow_core::{BuildId, HostId};
use spokeflow_engine::{Input, Links, NoAnswer};
use spokeflow_proto::{
    BallotResult, BallotVerdict, Command, FromDesk, FromHost, FromList, Line, LinePhase, News, NewsStanding,
    ToClient, ToDesk, ToHost, ToList,
};
use spokeflow_scenario::board::{Board, Entry};
use spokeflow_scenario::desk::{Counted, Desk, Order, State, Verdict};
use spokeflow_scenario::faults::{Faults, Way, OFFICE_SITE, RESENT_AFTER};
use spokeflow_scenario::front::Front;
use spokeflow_scenario::host::{Done, Host, Job, Marks};
use spokeflow_scenario::report::{Outcome, Record, Report};
use spokeflow_scenario::scenario::{Build, Flaw, Kind, Repeat, Scenario, Trouble};
use spokeflow_scenario::seen::{AnswerKind, Phase, Process, ReplyKind, Seen, Standing};
use spokeflow_scenario::traffic::{Client, Traffic, TryEnd, Wanted};
use spokeflow_scenario::{Micros, MS, SECOND};

use crate::brain::{Brain, Look, Who, Wiring};
use crate::pair::{pause, Link, Pair, Parcel, CONNECT_TIMEOUT, IDLE, QUEUE, WAY_TIMEOUT};
use crate::terms::engine_terms;

/// Before the first command, so that routers have a list and news.
const LEAD: Micros = SECOND;
/// One way within a site, and between a client and its router.
const LOCAL_WAY: Micros = 60;
const DESK_TICK: Micros = 10 * MS;
const SLOW_TICK: Micros = 50 * MS;
const LIST_RENEW: Micros = 5 * SECOND;
/// What a seat of a host that is gone for good is kept for.
const SEAT_KEPT: Micros = 90 * SECOND;
/// After SIGTERM.
const ENDS_WITHIN: Micros = 15 * SECOND;
/// Low bits of a try's number are its place among those that are open.
const PLACE: u32 = 24;

/// What is told of a day while it is played.
pub trait Watch {
    fn passed(&mut self, _at: Micros) {}
    fn seen(&mut self, _at: Micros, _seen: &Seen) {}
}

impl Watch for () {}

/// Keeps the trace, for the messages beside what is broken.
impl Watch for Vec<(Micros, Seen)> {
    fn seen(&mut self, at: Micros, seen: &Seen) {
        self.push((at, seen.clone()));
    }
}

pub struct Played {
    pub report: Report,
    pub events: u64,
    /// Simulated microseconds, lead and last answers among them.
    pub span: Micros,
    /// The most events, tries and hosts' seats kept at a time.
    pub most_kept: [usize; 3],
}

/// Plays a day to its end. Only the first breaks of a rule carry messages, where `explain` says so: the day is
/// then played a second time, which gives the same.
pub fn play(day: &Scenario, who: Who, explain: bool) -> Played {
    let mut played = play_with(day, who, &mut ());
    if explain && !played.report.broken.is_empty() {
        let mut trace: Vec<(Micros, Seen)> = Vec::new();
        play_with(day, who, &mut trace);
        let mut broken =
            spokeflow_scenario::check::check(&spokeflow_scenario::check::RuleTerms::of(day), &trace);
        for (to, from) in played.report.broken.iter_mut().zip(broken.iter_mut()) {
            to.messages = std::mem::take(&mut from.messages);
        }
    }
    played
}

pub fn play_with(day: &Scenario, who: Who, watch: &mut dyn Watch) -> Played {
    World::new(day.clone(), who).run(watch)
}

#[derive(Clone)]
enum HostWord {
    Deliver(Parcel),
    Cancel(u64),
    Ping,
}

#[derive(Clone, Copy)]
enum RouterWord {
    Acked { delivery: u64, wrong: bool },
    Error(u64),
    Full(u64),
    Pong,
    Broken,
}

/// What is due. Each carries what tells it from one that has been overtaken.
#[derive(Clone)]
enum What {
    Ask(Wanted),
    Try(usize),
    AtRouter { tried: u64, left: Micros },
    AtClient { tried: u64, end: TryEnd, receipt: u64 },
    Leaves { tried: u64 },
    LeaveAt { tried: u64, by: Process },
    DisputedAt { by: Process, receipt: u64 },
    Wake { by: Process, at: Micros },
    Lost { by: Process, host: u32, delivery: u64, end: NoAnswer },
    ToHost { pair: usize, epoch: u32, word: HostWord },
    FromHost { pair: usize, epoch: u32, word: RouterWord },
    Connect { pair: usize, epoch: u32, fails: bool },
    Silence { pair: usize, epoch: u32 },
    HostDue { seat: usize, incarnation: u64, at: Micros },
    Boot(u32),
    Stop(u32),
    Revive(u32),
    Free(u32),
    BoardTick,
    ListAsk { by: Process, link: u32, have: Option<u64> },
    ListTo { by: Process, link: u32, message: Rc<FromList> },
    ListRenew { by: Process, link: u32 },
    ListOpen { by: Process, link: u32 },
    NewsTo { by: Process, state: State },
    VoteAt { by: Process, ballot: u64, build: u16, stage: u8, verdict: Verdict },
    VotedTo { by: Process, ballot: u64, result: BallotResult },
    Told { by: Process, from: u32, text: Rc<Vec<u8>> },
    DeskTick,
    SlowTick,
    Begin(usize),
    End(usize),
    Roll { routers: Rc<Vec<u32>>, nth: usize, down: Micros, apart: Micros },
    Ended { router: u32, by: Process, asked: Micros, next: Option<(Rc<Vec<u32>>, usize, Micros, Micros)> },
    Start { router: u32, then: Option<(Rc<Vec<u32>>, usize, Micros, Micros)> },
}

struct Due {
    at: Micros,
    seq: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.seq == other.seq
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

struct Asking {
    client: Client,
    number: u64,
}

struct Trying {
    tried: u64,
    client: usize,
    by: Process,
    answered: bool,
}

struct RouterSeat {
    process: Process,
    brain: Option<Box<dyn Brain>>,
    site: u16,
    down_since: Option<Micros>,
    closing: bool,
    wake_at: Micros,
    /// The connection to the list: which, whether it stands, failures in a row, when last heard, asked in vain.
    list_link: u32,
    list_up: bool,
    list_failures: u32,
    list_heard: Micros,
    list_unheard: u32,
    list_held: Option<u64>,
    watches: bool,
    told: Option<State>,
    told_at: Micros,
    news_last: Micros,
    office_last: [Micros; 2],
}

struct HostProcess {
    model: Host,
    incarnation: u64,
    began: Micros,
    due: Micros,
}

struct Seat {
    host: u32,
    site: u16,
    build: u16,
    started: Option<Micros>,
    process: Option<HostProcess>,
    draining: bool,
}

struct World {
    day: Scenario,
    who: Who,
    now: Micros,
    start: Micros,
    end: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<Due>>,
    /// What has met a cut, until it ends.
    blocked: Vec<What>,
    faults: Faults,
    rng: StdRng,
    number: u64,
    routers: Vec<RouterSeat>,
    seats: Slab<Seat>,
    seat_of: HashMap<u32, usize>,
    /// By seat and router.
    pairs: Vec<Pair>,
    marks: Marks,
    board: Board,
    desk: Desk,
    offers: Vec<Build>,
    front: Front,
    traffic: Traffic,
    clients: Slab<Asking>,
    tries: Slab<Trying>,
    struck: BTreeMap<usize, Vec<u32>>,
    lasting: Vec<(usize, Trouble)>,
    record: Option<Record>,
    seen: Vec<(Micros, Seen)>,
    most: [usize; 3],
}

fn body(tried: u64, command: u64) -> Bytes {
    let mut body = [0; 16];
    body[..8].copy_from_slice(&tried.to_be_bytes());
    body[8..].copy_from_slice(&command.to_be_bytes());
    Bytes::copy_from_slice(&body)
}

fn read_body(body: &[u8]) -> (u64, u64) {
    let part = |from| body.get(from..from + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes);
    (part(0), part(8))
}

/// The links of one router, for as long as its brain is asked.
struct Wires<'a> {
    world: &'a mut World,
    router: u32,
}

impl World {
    fn new(day: Scenario, who: Who) -> World {
        let start = LEAD;
        let longest = day.ops.iter().map(|op| op.timeout).max().unwrap_or(0);
        let offers = day.builds.iter().copied().filter(|b| b.number > 1).collect();
        World {
            who,
            now: 0,
            start,
            end: start + day.length + longest + SECOND,
            seq: 0,
            queue: BinaryHeap::new(),
            blocked: Vec::new(),
            faults: Faults::default(),
            rng: StdRng::seed_from_u64(day.seed ^ 0x57a6e),
            number: 0,
            routers: Vec::new(),
            seats: Slab::new(),
            seat_of: HashMap::new(),
            pairs: Vec::new(),
            marks: Marks::default(),
            board: Board::default(),
            desk: Desk::new(&day),
            offers,
            front: Front::new(&day),
            traffic: Traffic::new(&day, start),
            clients: Slab::new(),
            tries: Slab::new(),
            struck: BTreeMap::new(),
            lasting: Vec::new(),
            record: Some(Record::new(&day, start)),
            seen: Vec::new(),
            most: [0; 3],
            day,
        }
    }

    fn run(mut self, watch: &mut dyn Watch) -> Played {
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
        for (n, trouble) in self.day.troubles.clone().iter().enumerate() {
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
        Played { report, events, span: self.end, most_kept: self.most }
    }

    fn note(&mut self, seen: Seen) {
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
        self.queue.push(Reverse(Due { at, seq: self.seq, what }));
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
            What::AtClient { tried, end, receipt } => self.at_client(tried, end, receipt),
            What::Leaves { tried } => self.leaves(tried),
            What::LeaveAt { tried, by } => {
                let conn = u64::from(by.router);
                self.give(by, Input::Leave { conn, id: tried });
            }
            What::DisputedAt { by, receipt } => self.give(by, Input::Disputed { conn: 0, receipt }),
            What::Wake { by, at } => {
                let seat = &mut self.routers[by.router as usize];
                if seat.process == by && seat.wake_at == at {
                    seat.wake_at = Micros::MAX;
                    self.give(by, Input::Wake);
                }
            }
            What::Lost { by, host, delivery, end } => {
                self.give(by, Input::NotDelivered { host, delivery, end });
            }
            What::ToHost { pair, epoch, word } => self.reaches_host(pair, epoch, word),
            What::FromHost { pair, epoch, word } => self.reaches_router(pair, epoch, word),
            What::Connect { pair, epoch, fails } => self.connected(pair, epoch, fails),
            What::Silence { pair, epoch } => self.silence(pair, epoch),
            What::HostDue { seat, incarnation, at } => self.host_due(seat, incarnation, at),
            What::Boot(host) => self.boot(host),
            What::Stop(host) => self.stop(host),
            What::Revive(host) => {
                let Some(&seat) = self.seat_of.get(&host) else { return };
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
            What::VoteAt { by, ballot, build, stage, verdict } => {
                self.vote_at(by, ballot, build, stage, verdict);
            }
            What::VotedTo { by, ballot, result } => {
                let site = self.routers[by.router as usize].site;
                if self.faults.way(OFFICE_SITE, site, Way::Office).is_none() {
                    return self.blocked.push(What::VotedTo { by, ballot, result });
                }
                self.give(by, Input::FromDesk(FromDesk::Voted { ballot, result }));
            }
            What::Told { by, from, text } => {
                self.give(by, Input::Told { router: from, text: text.to_vec() });
            }
            What::DeskTick => self.desk_tick(),
            What::SlowTick => self.slow_tick(),
            What::Begin(n) => self.begin(n),
            What::End(n) => self.end_trouble(n),
            What::Roll { routers, nth, down, apart } => self.roll(routers, nth, down, apart),
            What::Ended { router, by, asked, next } => self.router_ended(router, by, asked, next),
            What::Start { router, then } => {
                self.start_again(router);
                if let Some((routers, nth, down, apart)) = then {
                    self.plan((apart - down).max(0), What::Roll { routers, nth, down, apart });
                }
            }
        }
    }

    // ---- Routers ----

    fn start_router(&mut self, router: u32) {
        let day = &self.day;
        let (terms, now) = (engine_terms(day, router), self.now);
        let seed = day.seed.wrapping_mul(31).wrapping_add(u64::from(router));
        let process = self.routers[router as usize].process;
        self.note(Seen::RouterUp(process));
        let who = self.who;
        let brain = who.start(terms, seed, now, &mut Wires { world: self, router });
        let seat = &mut self.routers[router as usize];
        (seat.brain, seat.wake_at, seat.down_since, seat.closing) = (Some(brain), Micros::MAX, None, false);
        self.wake_later(router);
        let link = self.routers[router as usize].list_link;
        self.plan(0, What::ListOpen { by: process, link });
    }

    fn start_again(&mut self, router: u32) {
        let site = self.routers[router as usize].site;
        let start = self.routers[router as usize].process.start + 1;
        let mut fresh = RouterSeat::new(router, site);
        fresh.process.start = start;
        self.routers[router as usize] = fresh;
        self.start_router(router);
    }

    /// The process is no more: connections break, and what waits on it at clients.
    fn stop_router(&mut self, router: u32, seen: Seen) {
        self.note(seen);
        let seat = &mut self.routers[router as usize];
        seat.brain = None;
        seat.down_since = seat.down_since.or(Some(self.now));
        let of_router = self.day.routers as usize;
        for pair in (router as usize..self.pairs.len()).step_by(of_router) {
            self.pairs[pair].reset();
        }
        let open: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, t)| t.by.router == router && !t.answered)
            .map(|(_, t)| t.tried)
            .collect();
        for tried in open {
            self.plan(LOCAL_WAY, What::AtClient { tried, end: TryEnd::Broken, receipt: 0 });
        }
    }

    fn roll(&mut self, routers: Rc<Vec<u32>>, nth: usize, down: Micros, apart: Micros) {
        let Some(&router) = routers.get(nth) else { return };
        let next = Some((routers, nth + 1, down, apart));
        let seat = &mut self.routers[router as usize];
        if seat.brain.is_none() || seat.closing {
            // Another trouble has it.
            return self.plan(
                apart,
                What::Roll { routers: next.map(|n| n.0).unwrap_or_default(), nth: nth + 1, down, apart },
            );
        }
        (seat.closing, seat.down_since) = (true, Some(self.now));
        let by = seat.process;
        self.note(Seen::RouterAsked(by));
        self.give(by, Input::Close);
        self.plan(0, What::Ended { router, by, asked: self.now, next });
    }

    fn router_ended(
        &mut self,
        router: u32,
        by: Process,
        asked: Micros,
        next: Option<(Rc<Vec<u32>>, usize, Micros, Micros)>,
    ) {
        let seat = &self.routers[router as usize];
        let held = seat.brain.as_ref().filter(|_| seat.process == by).map_or(0, |b| b.held());
        if held > 0 && self.now - asked < ENDS_WITHIN {
            return self.plan(20 * MS, What::Ended { router, by, asked, next });
        }
        if seat.process == by && seat.brain.is_some() {
            self.stop_router(router, Seen::RouterEnded(by));
        }
        let down = next.as_ref().map_or(SECOND, |n| n.2);
        self.plan(down, What::Start { router, then: next });
    }

    /// Gives a router what has reached it.
    fn give(&mut self, by: Process, input: Input) {
        let seat = &mut self.routers[by.router as usize];
        if seat.process != by {
            return;
        }
        let Some(mut brain) = seat.brain.take() else { return };
        brain.take(self.now, input, &mut Wires { world: self, router: by.router });
        self.routers[by.router as usize].brain = Some(brain);
        self.wake_later(by.router);
    }

    fn wake_later(&mut self, router: u32) {
        let seat = &mut self.routers[router as usize];
        let Some(brain) = &seat.brain else { return };
        let at = brain.next_wake().max(self.now);
        if at < seat.wake_at {
            seat.wake_at = at;
            let by = seat.process;
            self.plan_at(at, What::Wake { by, at });
        }
    }

    // ---- Clients ----

    fn ask(&mut self, wanted: Wanted) {
        let next = self.traffic.next(&self.day, &self.faults);
        if next.due < self.start + self.day.length {
            self.plan_at(next.due, What::Ask(next));
        }
        let number = self.number();
        let client = self.clients.insert(Asking { client: Client::new(wanted), number });
        self.try_again(client);
    }

    fn try_again(&mut self, key: usize) {
        let Some(asking) = self.clients.get_mut(key) else { return };
        let wanted = asking.client.wanted;
        let Some((patience, waits)) = asking.client.try_again(&self.day, &self.faults, self.now) else {
            return self.command_ended(key, TryEnd::GivenUp);
        };
        let (number, nth) = (asking.number, asking.client.tries - 1);
        let down = |r: usize| self.routers[r].down_since;
        let router = self.front.router_for(wanted.site, wanted.seed, nth, self.now, down);
        let by = self.routers[router].process;
        if self.routers[router].down_since.is_some() {
            return self.ended(key, TryEnd::Unreachable);
        }
        let counted = self.number();
        let entry = self.tries.vacant_entry();
        let tried = counted << PLACE | entry.key() as u64;
        entry.insert(Trying { tried, client: key, by, answered: false });
        self.most[1] = self.most[1].max(self.tries.len());
        let op = wanted.op as u16;
        self.note(Seen::Taken { by, tried, command: number, op, key: wanted.key, patience });
        self.plan(LOCAL_WAY, What::AtRouter { tried, left: patience });
        self.plan(waits, What::Leaves { tried });
    }

    fn trying(&mut self, tried: u64) -> Option<&mut Trying> {
        self.tries.get_mut((tried & ((1 << PLACE) - 1)) as usize).filter(|t| t.tried == tried)
    }

    fn at_router(&mut self, tried: u64, left: Micros) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client) = (t.by, t.client);
        let Some(asking) = self.clients.get(client) else { return };
        let (wanted, number) = (asking.client.wanted, asking.number);
        let dropped = matches!(self.day.ops[wanted.op].repeat, Repeat::Deduplicated(_));
        let command = Command {
            id: tried,
            op: wanted.op as u16,
            share: wanted.customer as u32,
            key: wanted.key,
            mark: if dropped { number } else { 0 },
            left_us: left as u64,
            body: body(tried, number),
        };
        let conn = u64::from(by.router);
        self.give(by, Input::Command { conn, command });
    }

    fn at_client(&mut self, tried: u64, end: TryEnd, receipt: u64) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client) = (t.by, t.client);
        let kind = match end {
            TryEnd::Acked { .. } => Some(AnswerKind::Acked),
            TryEnd::Nacked(_) => Some(AnswerKind::Nacked),
            TryEnd::Failed => Some(AnswerKind::Failed),
            _ => None,
        };
        let again = std::mem::replace(&mut t.answered, true);
        if let Some(kind) = kind {
            let build = if let TryEnd::Acked { build, .. } = end { build } else { 0 };
            self.note(Seen::Answered { by, tried, kind, build });
        }
        if again {
            return;
        }
        if matches!(end, TryEnd::Acked { wrong: true, .. }) && self.rng.random_bool(self.day.reported) {
            self.plan(LOCAL_WAY, What::DisputedAt { by, receipt });
        }
        self.ended(client, end);
    }

    /// The client's patience is over, or it goes before.
    fn leaves(&mut self, tried: u64) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client, answered) = (t.by, t.client, t.answered);
        if answered {
            // Kept until now, so that a second answer would have been seen.
            self.tries.remove((tried & ((1 << PLACE) - 1)) as usize);
            return;
        }
        t.answered = true;
        self.note(Seen::Left { tried });
        self.plan(LOCAL_WAY, What::LeaveAt { tried, by });
        self.plan(SECOND, What::Leaves { tried });
        self.ended(client, TryEnd::GivenUp);
    }

    fn ended(&mut self, key: usize, end: TryEnd) {
        let Some(asking) = self.clients.get_mut(key) else { return };
        match asking.client.after(&self.day, &self.faults, self.now, end) {
            Some(pause) => self.plan(pause, What::Try(key)),
            None => self.command_ended(key, end),
        }
    }

    fn command_ended(&mut self, key: usize, end: TryEnd) {
        let asking = self.clients.remove(key);
        let Wanted { op, customer, site, due, .. } = asking.client.wanted;
        let (end, build) = end.last();
        let (took, tries) = (self.now - due, asking.client.tries);
        let outcome = Outcome { command: asking.number, op, customer, site, due, tries, end, took, build };
        if let Some(record) = &mut self.record {
            record.ended(&outcome);
        }
    }

    // ---- Ways to hosts ----

    fn ends_of(&self, pair: usize) -> (usize, u32) {
        let of_router = self.day.routers as usize;
        (pair / of_router, (pair % of_router) as u32)
    }

    fn pair_of(&self, seat: usize, router: u32) -> usize {
        seat * self.day.routers as usize + router as usize
    }

    fn way(&self, pair: usize) -> Option<Micros> {
        let (seat, router) = self.ends_of(pair);
        let (a, b) = (self.seats[seat].site, self.routers[router as usize].site);
        self.faults.way(a, b, Way::Hosts).map(|way| way.max(LOCAL_WAY))
    }

    /// The delay of one message, with what is lost on it; the cut is met on arrival.
    fn crossing(&mut self, pair: usize) -> Micros {
        let (seat, router) = self.ends_of(pair);
        let between = self.seats[seat].site != self.routers[router as usize].site;
        let mut late = 0;
        while between
            && self.faults.loss > 0.0
            && late < 8 * RESENT_AFTER
            && self.rng.random_bool(self.faults.loss)
        {
            late += RESENT_AFTER.max(late);
        }
        self.way(pair).unwrap_or(2 * MS) + late
    }

    fn send(&mut self, pair: usize, word: HostWord) {
        let at = (self.now + self.crossing(pair)).max(self.pairs[pair].last_to);
        self.pairs[pair].last_to = at;
        let epoch = self.pairs[pair].epoch;
        self.plan_at(at, What::ToHost { pair, epoch, word });
    }

    fn deliver(&mut self, pair: usize, parcel: Parcel) {
        let (seat, router) = self.ends_of(pair);
        let (host, build) = (self.seats[seat].host, self.seats[seat].build);
        let from = self.routers[router as usize].process;
        let p = &mut self.pairs[pair];
        p.used = self.now;
        if p.idle() {
            (p.quiet_since, p.pinged) = (self.now, false);
        }
        p.out.push(parcel.delivery);
        let listens = std::mem::replace(&mut p.listens, true);
        let epoch = p.epoch;
        if !listens {
            self.plan(WAY_TIMEOUT / 2, What::Silence { pair, epoch });
        }
        let (tried, delivery) = (parcel.tried, parcel.delivery);
        self.note(Seen::Delivered { host, build, from, tried, delivery });
        self.send(pair, HostWord::Deliver(parcel));
    }

    fn lose(&mut self, pair: usize, deliveries: impl IntoIterator<Item = u64>, end: NoAnswer) {
        let (seat, router) = self.ends_of(pair);
        let (host, by) = (self.seats[seat].host, self.routers[router as usize].process);
        for delivery in deliveries {
            self.plan(0, What::Lost { by, host, delivery, end });
        }
    }

    fn connect(&mut self, pair: usize) {
        let (seat, _) = self.ends_of(pair);
        let runs = self.seats[seat].process.as_ref().is_some_and(|p| !p.model.fallen);
        let p = &mut self.pairs[pair];
        p.epoch += 1;
        p.link = Link::Connecting;
        let epoch = p.epoch;
        let took = match (self.way(pair), runs) {
            (Some(way), true) => 4 * way + self.faults.slow_connects,
            (Some(way), false) => 2 * way,
            (None, _) => CONNECT_TIMEOUT,
        };
        let fails = took >= CONNECT_TIMEOUT;
        self.plan(took.min(CONNECT_TIMEOUT), What::Connect { pair, epoch, fails });
    }

    fn connected(&mut self, pair: usize, epoch: u32, fails: bool) {
        if self.pairs[pair].epoch != epoch || self.pairs[pair].link != Link::Connecting {
            return;
        }
        let (seat, router) = self.ends_of(pair);
        let process = self.seats[seat].process.as_ref().filter(|p| !p.model.fallen && !fails);
        let (incarnation, began) = process.map_or((0, 0), |p| (p.incarnation, p.began));
        if process.is_none() || self.way(pair).is_none() {
            let drawn = self.rng.random_range(0.5..1.0);
            let now = self.now;
            let p = &mut self.pairs[pair];
            p.not_before = now + pause(p.failures, drawn);
            p.failures += 1;
            let (unsent, _) = p.drop_link();
            return self.lose(pair, unsent.into_iter().map(|w| w.delivery), NoAnswer::NotConnected);
        }
        let (host, build) = (self.seats[seat].host, self.seats[seat].build);
        let p = &mut self.pairs[pair];
        (p.link, p.up_since, p.used) = (Link::Up, self.now, self.now);
        (p.quiet_since, p.pinged, p.listens) = (self.now, false, false);
        let waiting = std::mem::take(&mut p.waiting);
        let known = p.incarnation == incarnation;
        let up_us = (self.now - began) as u64;
        let by = self.routers[router as usize].process;
        // What waits was meant for another process, maybe another build.
        if known {
            for parcel in waiting {
                if self.now >= parcel.leave_by {
                    self.lose(pair, [parcel.delivery], NoAnswer::NotSent);
                } else {
                    self.deliver(pair, parcel);
                }
            }
        } else {
            self.lose(pair, waiting.into_iter().map(|w| w.delivery), NoAnswer::NotConnected);
        }
        let message = FromHost::Welcome { host, build, incarnation, up_us };
        self.give(by, Input::FromHost { host, message });
    }

    fn broken(&mut self, pair: usize, end: NoAnswer) {
        let drawn = self.rng.random_range(0.5..1.0);
        let (unsent, sent) = self.pairs[pair].broken(self.now, drawn);
        self.lose(pair, unsent.into_iter().map(|w| w.delivery), NoAnswer::NotSent);
        self.lose(pair, sent, end);
    }

    fn silence(&mut self, pair: usize, epoch: u32) {
        let p = &mut self.pairs[pair];
        if p.epoch != epoch || p.link != Link::Up {
            return;
        }
        if p.idle() {
            p.listens = false;
            return;
        }
        let until = p.quiet_since + if p.pinged { WAY_TIMEOUT } else { WAY_TIMEOUT / 2 };
        if self.now < until {
            return self.plan_at(until, What::Silence { pair, epoch });
        }
        if p.pinged {
            return self.broken(pair, NoAnswer::Silent);
        }
        p.pinged = true;
        p.pings += 1;
        let until = p.quiet_since + WAY_TIMEOUT;
        self.send(pair, HostWord::Ping);
        self.plan_at(until, What::Silence { pair, epoch });
    }

    fn reaches_host(&mut self, pair: usize, epoch: u32, word: HostWord) {
        if self.pairs[pair].epoch != epoch {
            return;
        }
        if self.way(pair).is_none() {
            return self.blocked.push(What::ToHost { pair, epoch, word });
        }
        let (seat, _) = self.ends_of(pair);
        let Some(process) = self.seats[seat].process.as_mut().filter(|p| !p.model.fallen) else { return };
        let from = (pair as u64) << 32 | u64::from(epoch);
        match word {
            HostWord::Ping => return self.reply(pair, epoch, RouterWord::Pong),
            HostWord::Cancel(delivery) => process.model.cancel(from, delivery),
            HostWord::Deliver(p) => {
                let Parcel { delivery, tried, command, key, mark, left, .. } = p;
                let op = usize::from(p.op).min(self.day.ops.len() - 1);
                let expires = self.now + left;
                let job = Job { from, delivery, tried, command, op, key, mark, expires };
                let taken = process.model.arrive(self.now, job);
                if process.model.fallen {
                    return self.fell(seat);
                }
                if !taken {
                    let host = self.seats[seat].host;
                    self.note(Seen::Replied { host, tried, delivery, kind: ReplyKind::Full });
                    self.reply(pair, epoch, RouterWord::Full(delivery));
                }
            }
        }
        self.pump(seat);
    }

    fn reply(&mut self, pair: usize, epoch: u32, word: RouterWord) {
        if self.pairs[pair].epoch != epoch {
            return;
        }
        let at = (self.now + self.crossing(pair)).max(self.pairs[pair].last_from);
        self.pairs[pair].last_from = at;
        self.plan_at(at, What::FromHost { pair, epoch, word });
    }

    fn reaches_router(&mut self, pair: usize, epoch: u32, word: RouterWord) {
        if self.pairs[pair].epoch != epoch {
            return;
        }
        if self.way(pair).is_none() {
            return self.blocked.push(What::FromHost { pair, epoch, word });
        }
        let (seat, router) = self.ends_of(pair);
        let p = &mut self.pairs[pair];
        (p.quiet_since, p.pinged) = (self.now, false);
        let (delivery, message) = match word {
            RouterWord::Broken => return self.broken(pair, NoAnswer::Reset),
            RouterWord::Pong => {
                p.pong();
                if p.ask() {
                    self.send(pair, HostWord::Ping);
                }
                return;
            }
            RouterWord::Acked { delivery, wrong } => {
                let body = Bytes::from_static(if wrong { b"wrong" } else { b"right" });
                (delivery, FromHost::Acked { delivery, body })
            }
            RouterWord::Error(delivery) => (delivery, FromHost::Error { delivery }),
            RouterWord::Full(delivery) => (delivery, FromHost::Full { delivery }),
        };
        p.used = self.now;
        if let Some(at) = p.out.iter().position(|d| *d == delivery) {
            p.out.remove(at);
        }
        p.cancelled.retain(|c| c.0 != delivery);
        let (host, by) = (self.seats[seat].host, self.routers[router as usize].process);
        self.give(by, Input::FromHost { host, message });
    }

    // ---- Hosts ----

    fn seat(&mut self, host: u32, build: u16, started: Option<Micros>) {
        let site = (host % u32::from(self.day.sites)) as u16;
        let seat = self.seats.insert(Seat { host, site, build, started, process: None, draining: false });
        self.seat_of.insert(host, seat);
        self.most[2] = self.most[2].max(self.seats.len());
        let pairs = (seat + 1) * self.day.routers as usize;
        if self.pairs.len() < pairs {
            self.pairs.resize_with(pairs, Pair::default);
        }
    }

    fn run_host(&mut self, host: u32) {
        let Some(&seat) = self.seat_of.get(&host) else { return };
        let incarnation = self.number();
        let (build, started) = (self.seats[seat].build, self.seats[seat].started);
        let made = self.day.builds.iter().find(|b| b.number == build);
        let (flaw, speed) = made.map_or((Flaw::None, 1.0), |b| (b.flaw, b.speed));
        let seed = self.day.seed ^ u64::from(host) << 20 ^ incarnation << 40;
        let mut model = Host::new(&self.day, flaw, speed, started, seed);
        if let Some((_, t)) = self.lasting.iter().find(|(_, t)| t.kind == Kind::SlowOp) {
            model.ailment.slow_op = (0, t.size.max(1.0));
        }
        let process = HostProcess { model, incarnation, began: self.now, due: Micros::MAX };
        self.seats[seat].process = Some(process);
        let late = if started.is_none() { 0 } else { self.late() };
        self.list(host, Phase::Ready, incarnation, late);
    }

    fn late(&mut self) -> Micros {
        let [least, most] = self.day.list_late;
        self.rng.random_range(least..most) + self.faults.late_list
    }

    fn list(&mut self, host: u32, phase: Phase, incarnation: u64, late: Micros) {
        let Some(&seat) = self.seat_of.get(&host) else { return };
        let Seat { site, build, started, .. } = self.seats[seat];
        let address = String::new();
        let entry = Entry { host, address, site, build, phase, incarnation, started };
        let at = self.board.know_at(self.now + late, entry);
        if at > self.now {
            self.plan_at(at, What::BoardTick);
        }
    }

    fn incarnation(&self, host: u32) -> u64 {
        let seat = self.seat_of.get(&host).map(|s| &self.seats[*s]);
        seat.and_then(|s| s.process.as_ref()).map_or(0, |p| p.incarnation)
    }

    /// The process of a host is no more: its connections break.
    fn kill_host(&mut self, seat: usize) {
        self.seats[seat].process = None;
        for router in 0..self.day.routers {
            let pair = self.pair_of(seat, router);
            if self.pairs[pair].link == Link::Up {
                let epoch = self.pairs[pair].epoch;
                self.reply(pair, epoch, RouterWord::Broken);
            }
        }
    }

    fn fell(&mut self, seat: usize) {
        let host = self.seats[seat].host;
        self.note(Seen::Fell { host });
        for router in 0..self.day.routers {
            let pair = self.pair_of(seat, router);
            if self.pairs[pair].link == Link::Up {
                let epoch = self.pairs[pair].epoch;
                self.reply(pair, epoch, RouterWord::Broken);
            }
        }
    }

    fn boot(&mut self, host: u32) {
        let Some(&seat) = self.seat_of.get(&host) else { return };
        if self.seats[seat].draining {
            return;
        }
        self.seats[seat].started = Some(self.now);
        self.run_host(host);
        let mut orders = Vec::new();
        self.desk.runs(self.now, host, &mut orders);
        self.carry_out(orders);
    }

    fn stop(&mut self, host: u32) {
        let Some(&seat) = self.seat_of.get(&host) else { return };
        // It goes on while it has work, for some time.
        let busy = self.seats[seat].process.as_ref().is_some_and(|p| p.model.held() > 0 && !p.model.fallen);
        if busy {
            return self.plan(100 * MS, What::Stop(host));
        }
        let (incarnation, late) = (self.incarnation(host), self.late());
        self.kill_host(seat);
        self.list(host, Phase::Gone, incarnation, late);
        self.plan(late + SEAT_KEPT, What::Free(host));
    }

    fn free(&mut self, host: u32) {
        let Some(seat) = self.seat_of.remove(&host) else { return };
        self.seats.remove(seat);
        for router in 0..self.day.routers {
            let pair = self.pair_of(seat, router);
            self.pairs[pair].reset();
        }
    }

    fn carry_out(&mut self, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Start { host, build, .. } => {
                    let [least, most] = self.day.boot;
                    self.seat(host, build, Some(self.now));
                    let after = self.rng.random_range(least..most);
                    self.plan(after, What::Boot(host));
                }
                Order::Drain { host } => {
                    let Some(&seat) = self.seat_of.get(&host) else { continue };
                    self.seats[seat].draining = true;
                    if self.seats[seat].process.is_some() {
                        let (incarnation, late) = (self.incarnation(host), self.late());
                        self.list(host, Phase::Draining, incarnation, late);
                        self.plan(late + self.day.drain, What::Stop(host));
                    } else {
                        self.plan(SEAT_KEPT, What::Free(host));
                    }
                }
            }
        }
    }

    /// Ends what has ended and begins what can begin.
    fn pump(&mut self, seat: usize) {
        let (host, build) = (self.seats[seat].host, self.seats[seat].build);
        let Some(process) = self.seats[seat].process.as_mut().filter(|p| !p.model.fallen) else { return };
        let ended = process.model.ended(self.now);
        let begun = process.model.begin(self.now, &mut self.marks);
        let next = process.model.next();
        let incarnation = process.incarnation;
        if let Some(at) = next.filter(|at| *at < process.due) {
            process.due = at;
            self.plan_at(at, What::HostDue { seat, incarnation, at });
        }
        for (job, done) in ended {
            let (delivery, tried) = (job.delivery, job.tried);
            let (word, kind) = match done {
                Done::Acked { wrong } => (RouterWord::Acked { delivery, wrong }, ReplyKind::Acked),
                Done::Error => (RouterWord::Error(delivery), ReplyKind::Error),
                Done::Silent => continue,
            };
            self.note(Seen::Replied { host, tried, delivery, kind });
            self.reply((job.from >> 32) as usize, job.from as u32, word);
        }
        for begun in begun.into_iter().filter(|b| b.effect) {
            let (tried, command, op) = (begun.tried, begun.command, begun.op as u16);
            self.note(Seen::Ran { host, build, tried, command, op });
        }
    }

    fn host_due(&mut self, seat: usize, incarnation: u64, at: Micros) {
        let process = self.seats.get_mut(seat).and_then(|s| s.process.as_mut());
        let Some(process) = process.filter(|p| p.incarnation == incarnation) else { return };
        if process.due == at {
            process.due = Micros::MAX;
        }
        self.pump(seat);
    }

    // ---- The list ----

    fn board_tick(&mut self) {
        let before = self.board.version();
        self.board.tick(self.now);
        if self.board.version() == before {
            return;
        }
        for router in 0..self.routers.len() {
            let seat = &self.routers[router];
            if seat.watches && seat.list_up && seat.list_held.is_some_and(|v| v < self.board.version()) {
                let (by, link, held) = (seat.process, seat.list_link, seat.list_held);
                self.tell_list(by, link, held);
            }
        }
    }

    fn tell_list(&mut self, by: Process, link: u32, have: Option<u64>) {
        let now = self.now;
        let (whole, entries) = self.board.since(have);
        let line = |e: &&Entry| Line {
            host: e.host,
            address: String::new(),
            build: Some(e.build),
            cell: 0,
            zone: e.site,
            phase: match e.phase {
                Phase::Gone => LinePhase::Gone,
                Phase::Ready => LinePhase::Ready,
                Phase::Draining => LinePhase::Draining,
            },
            incarnation: e.incarnation,
            up_us: e.started.map(|at| (now - at).max(0) as u64),
        };
        let (version, lines) = (self.board.version(), entries.iter().map(line).collect());
        let message =
            if whole { FromList::Whole { version, lines } } else { FromList::Changes { version, lines } };
        self.routers[by.router as usize].list_held = Some(version);
        self.tell_router(by, |by| What::ListTo { by, link, message: Rc::new(message) });
    }

    /// From list or desk to a router, in order.
    fn tell_router(&mut self, by: Process, what: impl FnOnce(Process) -> What) {
        let seat = &self.routers[by.router as usize];
        let way = self.faults.way(OFFICE_SITE, seat.site, Way::Office).unwrap_or(2 * MS).max(LOCAL_WAY);
        let at = (self.now + way).max(seat.office_last[0]);
        self.routers[by.router as usize].office_last[0] = at;
        self.plan_at(at, what(by));
    }

    fn ask_office(&mut self, by: Process, what: impl FnOnce(Process) -> What) {
        let seat = &self.routers[by.router as usize];
        let way = self.faults.way(seat.site, OFFICE_SITE, Way::Office).unwrap_or(2 * MS).max(LOCAL_WAY);
        let at = (self.now + way).max(seat.office_last[1]);
        self.routers[by.router as usize].office_last[1] = at;
        self.plan_at(at, what(by));
    }

    fn office_cut(&self, by: Process) -> bool {
        let site = self.routers[by.router as usize].site;
        self.faults.way(OFFICE_SITE, site, Way::Office).is_none()
    }

    fn stale(&self, by: Process, link: u32) -> bool {
        let seat = &self.routers[by.router as usize];
        seat.process != by || seat.list_link != link || seat.brain.is_none()
    }

    fn list_ask(&mut self, by: Process, link: u32, have: Option<u64>) {
        if self.stale(by, link) {
            return;
        }
        if self.office_cut(by) {
            return self.blocked.push(What::ListAsk { by, link, have });
        }
        self.routers[by.router as usize].watches = true;
        self.tell_list(by, link, have);
    }

    fn list_to(&mut self, by: Process, link: u32, message: &Rc<FromList>) {
        if self.stale(by, link) {
            return;
        }
        if self.office_cut(by) {
            return self.blocked.push(What::ListTo { by, link, message: message.clone() });
        }
        let (whole, lines) = match &**message {
            FromList::Whole { lines, .. } => (true, lines),
            FromList::Changes { lines, .. } => (false, lines),
            _ => return,
        };
        let phase = |l: &Line| match l.phase {
            LinePhase::Gone => Phase::Gone,
            LinePhase::Ready => Phase::Ready,
            LinePhase::Draining => Phase::Draining,
        };
        if whole || !lines.is_empty() {
            let lines = lines.iter().map(|l| (l.host, l.build.unwrap_or(0), phase(l))).collect();
            self.note(Seen::Listed { to: by, whole, lines });
        }
        let seat = &mut self.routers[by.router as usize];
        (seat.list_heard, seat.list_unheard) = (self.now, 0);
        let message = FromList::clone(message);
        self.give(by, Input::FromList(message));
    }

    fn list_renew(&mut self, by: Process, link: u32) {
        if self.stale(by, link) {
            return;
        }
        let seat = &mut self.routers[by.router as usize];
        let due = seat.list_heard + LIST_RENEW;
        if self.now < due {
            return self.plan_at(due, What::ListRenew { by, link });
        }
        seat.list_unheard += 1;
        if seat.list_unheard > 3 {
            return self.list_lost(by);
        }
        seat.list_heard = self.now;
        let have = seat.list_held;
        self.ask_office(by, |by| What::ListAsk { by, link, have });
        self.plan(LIST_RENEW, What::ListRenew { by, link });
    }

    fn list_lost(&mut self, by: Process) {
        let drawn = self.rng.random_range(0.5..1.0);
        let seat = &mut self.routers[by.router as usize];
        seat.list_link += 1;
        (seat.list_up, seat.watches) = (false, false);
        seat.list_failures += 1;
        let (link, after) = (seat.list_link, pause(seat.list_failures - 1, drawn));
        self.plan(after, What::ListOpen { by, link });
        self.give(by, Input::ListGone);
    }

    fn list_open(&mut self, by: Process, link: u32) {
        if self.stale(by, link) {
            return;
        }
        if self.faults.list_breaks || self.office_cut(by) {
            return self.list_lost(by);
        }
        let seat = &mut self.routers[by.router as usize];
        (seat.list_up, seat.list_failures) = (true, 0);
        (seat.list_heard, seat.list_unheard) = (self.now, 0);
        let have = seat.list_held;
        self.ask_office(by, |by| What::ListAsk { by, link, have });
        self.plan(LIST_RENEW, What::ListRenew { by, link });
    }

    // ---- The desk ----

    fn desk_tick(&mut self) {
        self.plan(DESK_TICK, What::DeskTick);
        if self.faults.stalled_desk {
            return;
        }
        let mut orders = Vec::new();
        let before = self.desk.state;
        if let Some(next) = self.offers.first().filter(|b| self.now - self.start >= b.offered) {
            if self.desk.offer(self.now, next.number, &mut orders) {
                self.offers.remove(0);
            }
        }
        self.desk.tick(self.now, &mut orders);
        let state = self.desk.state;
        if state != before {
            let State { build, stage, standing, .. } = state;
            self.note(Seen::Desk { build, stage, standing });
        }
        self.carry_out(orders);
        for router in 0..self.routers.len() {
            let seat = &self.routers[router];
            if seat.brain.is_none()
                || seat.told == Some(state) && self.now - seat.told_at < self.day.news_every
            {
                continue;
            }
            // A router that has just connected is told at once, changes some time after.
            let first = seat.told.is_none();
            let [least, most] = self.day.news_late;
            let late = if first { 0 } else { self.rng.random_range(least..most) };
            let seat = &mut self.routers[router];
            let at = (self.now + late + self.faults.late_desk).max(seat.news_last);
            (seat.told, seat.told_at, seat.news_last) = (Some(state), self.now, at);
            let by = seat.process;
            self.plan_at(at, What::NewsTo { by, state });
        }
    }

    fn news_to(&mut self, by: Process, state: State) {
        if self.routers[by.router as usize].process != by {
            return;
        }
        if self.faults.stalled_desk || self.office_cut(by) {
            return self.blocked.push(What::NewsTo { by, state });
        }
        let State { build, stage, standing, cap, since } = state;
        self.note(Seen::News { to: by, build, stage, standing, cap });
        let standing = match standing {
            Standing::OnTrial => NewsStanding::OnTrial,
            Standing::GoingBack => NewsStanding::GoingBack,
            Standing::Released => NewsStanding::Released,
            Standing::Withdrawn => NewsStanding::Withdrawn,
        };
        let age_us = (self.now - since).max(0) as u64;
        let news = News { build, stage, standing, cap: cap as f32, age_us };
        self.give(by, Input::FromDesk(FromDesk::News(news)));
    }

    fn vote_at(&mut self, by: Process, ballot: u64, build: u16, stage: u8, verdict: Verdict) {
        if self.office_cut(by) {
            return self.blocked.push(What::VoteAt { by, ballot, build, stage, verdict });
        }
        self.note(Seen::Voted { from: by, build, stage, verdict: format!("{verdict:?}") });
        let result = if self.faults.refusing_desk {
            BallotResult::Refused
        } else {
            // A desk that stands still loses some votes and answers none.
            let counts = !self.faults.stalled_desk || self.rng.random_bool(0.5);
            if !counts {
                return;
            }
            let counted = self.desk.vote(self.now, by.router, build, stage, verdict);
            if self.faults.stalled_desk {
                return;
            }
            match counted {
                Counted::Counted => BallotResult::Counted,
                Counted::Moot => BallotResult::Moot,
                Counted::TooMany => BallotResult::TooMany,
            }
        };
        self.tell_router(by, |by| What::VotedTo { by, ballot, result });
    }

    // ---- Troubles ----

    fn slow_tick(&mut self) {
        self.plan(SLOW_TICK, What::SlowTick);
        let (mut held, mut cold, mut running) = (0, 0, 0);
        let mut drags = 0.0;
        let flawed = |build: u16| self.day.builds.iter().find(|b| b.number == build).map(|b| b.flaw);
        for (_, seat) in &self.seats {
            let Some(process) = &seat.process else { continue };
            running += 1;
            held += process.model.held() as u64;
            cold += u64::from(seat.started.is_some_and(|at| self.now - at < self.day.warm_within));
            if let Some(Flaw::Shared(times)) = flawed(seat.build) {
                drags += 2.0 * (times - 1.0);
            }
        }
        let drag = (1.0 + drags / f64::from(running.max(1))).min(4.0);
        let group = self.day.neighbours.max(1) as usize;
        let mut busy =
            vec![
                (0.0, 0.0);
                if group > 1 { self.pairs.len() / self.day.routers as usize / group + 1 } else { 0 }
            ];
        if group > 1 {
            for (n, seat) in &self.seats {
                if let Some(process) = &seat.process {
                    let of = &mut busy[n / group];
                    *of = (of.0 + process.model.busy(), of.1 + 1.0);
                }
            }
        }
        for (n, seat) in &mut self.seats {
            let Some(process) = &mut seat.process else { continue };
            process.model.ailment.drag = drag;
            if group > 1 {
                let (all, hosts) = busy[n / group];
                let others = (all - process.model.busy()) / f64::max(hosts - 1.0, 1.0);
                process.model.ailment.neighbours =
                    1.0 / (1.0 - 0.9 * self.day.steal * others.clamp(0.0, 1.0));
            }
        }
        let at = self.now;
        if let Some(record) = self.record.as_mut().filter(|_| at >= LEAD) {
            record.stands(at, held, cold);
        }
    }

    fn strike(&mut self, n: usize, part: f64) -> Vec<u32> {
        let runs = |s: &&Seat| s.process.is_some() && !s.draining;
        let mut running: Vec<u32> = self.seats.iter().map(|s| s.1).filter(runs).map(|s| s.host).collect();
        running.sort_unstable();
        running.shuffle(&mut self.rng);
        running.truncate(((running.len() as f64 * part).round() as usize).max(1));
        self.struck.insert(n, running.clone());
        running
    }

    fn ail(&mut self, hosts: &[u32], ail: impl Fn(&mut spokeflow_scenario::host::Ailment)) {
        for host in hosts {
            let seat = self.seat_of.get(host).copied();
            if let Some(process) = seat.and_then(|s| self.seats[s].process.as_mut()) {
                ail(&mut process.model.ailment);
            }
        }
    }

    fn all_hosts(&self) -> Vec<u32> {
        self.seats.iter().map(|s| s.1.host).collect()
    }

    fn begin(&mut self, n: usize) {
        let trouble = self.day.troubles[n];
        self.note(Seen::Trouble { what: format!("begins: {trouble}") });
        self.lasting.push((n, trouble));
        self.plan(trouble.lasts, What::End(n));
        if self.faults.begin(&self.day, n, &trouble) {
            if self.faults.list_breaks {
                let up: Vec<Process> = self.routers.iter().filter(|r| r.list_up).map(|r| r.process).collect();
                up.into_iter().for_each(|by| self.list_lost(by));
            }
            return;
        }
        let seconds = (trouble.size * SECOND as f64) as Micros;
        match trouble.kind {
            Kind::Kill | Kind::LoneHost => {
                for (nth, host) in self.strike(n, trouble.part).into_iter().enumerate() {
                    let (incarnation, late) = (self.incarnation(host), self.late());
                    if let Some(&seat) = self.seat_of.get(&host) {
                        self.kill_host(seat);
                    }
                    self.list(host, Phase::Gone, incarnation, late);
                    let first = trouble.kind == Kind::LoneHost && nth == 0;
                    self.plan(if first { seconds } else { trouble.lasts }, What::Revive(host));
                }
            }
            Kind::Hang => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.hangs = true);
            }
            Kind::Slow => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.slower = trouble.size.max(1.0));
            }
            Kind::FastErrors => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.fails = trouble.size.clamp(0.0, 1.0));
            }
            Kind::SlowOp => {
                let all = self.all_hosts();
                self.ail(&all, |a| a.slow_op = (0, trouble.size.max(1.0)));
            }
            Kind::RouterKill | Kind::RouterRoll => {
                let mut all: Vec<u32> = (0..self.day.routers).collect();
                all.shuffle(&mut self.rng);
                all.truncate(((all.len() as f64 * trouble.part).round() as usize).max(1));
                if trouble.kind == Kind::RouterRoll {
                    let apart = trouble.lasts / all.len() as Micros;
                    let routers = Rc::new(all);
                    // Of a large fleet many end at a time, so that the roll takes as long as it lasts.
                    return self.happen(What::Roll { routers, nth: 0, down: seconds, apart });
                }
                for router in all {
                    let by = self.routers[router as usize].process;
                    if self.routers[router as usize].brain.is_some() {
                        self.stop_router(router, Seen::RouterKilled(by));
                        self.plan(trouble.lasts, What::Start { router, then: None });
                    }
                }
            }
            _ => {}
        }
    }

    fn end_trouble(&mut self, n: usize) {
        let trouble = self.day.troubles[n];
        self.note(Seen::Trouble { what: format!("ends: {}", trouble.kind.name()) });
        self.lasting.retain(|l| l.0 != n);
        let others = self.lasting.clone();
        let day = std::mem::take(&mut self.day.troubles);
        self.faults.end(&self.day, &trouble, &others);
        self.day.troubles = day;
        let struck = self.struck.remove(&n).unwrap_or_default();
        match trouble.kind {
            Kind::Hang => self.ail(&struck, |a| a.hangs = false),
            Kind::Slow => self.ail(&struck, |a| a.slower = 1.0),
            Kind::FastErrors => self.ail(&struck, |a| a.fails = 0.0),
            Kind::SlowOp => {
                let all = self.all_hosts();
                self.ail(&all, |a| a.slow_op = (usize::MAX, 1.0));
            }
            _ => {}
        }
        // What met a cut or a stall goes on now, or meets the next one.
        for what in std::mem::take(&mut self.blocked) {
            self.plan(LOCAL_WAY, what);
        }
    }
}

impl RouterSeat {
    fn new(router: u32, site: u16) -> RouterSeat {
        RouterSeat {
            process: Process { router, start: 0 },
            brain: None,
            site,
            down_since: None,
            closing: false,
            wake_at: Micros::MAX,
            list_link: 0,
            list_up: false,
            list_failures: 0,
            list_heard: 0,
            list_unheard: 0,
            list_held: None,
            watches: false,
            told: None,
            told_at: 0,
            news_last: 0,
            office_last: [0; 2],
        }
    }
}

impl Wires<'_> {
    fn by(&self) -> Process {
        self.world.routers[self.router as usize].process
    }

    fn pair(&self, host: HostId) -> Option<usize> {
        let seat = self.world.seat_of.get(&host.0)?;
        Some(self.world.pair_of(*seat, self.router))
    }
}

impl Links for Wires<'_> {
    fn to_client(&mut self, _conn: u64, message: ToClient) {
        let (tried, end, receipt) = match message {
            ToClient::Acked { id, build, receipt, body } => {
                (id, TryEnd::Acked { build, wrong: &body[..] == b"wrong" }, receipt)
            }
            ToClient::Nacked { id, come_back_us } => {
                (id, TryEnd::Nacked(come_back_us.map(|t| t as Micros)), 0)
            }
            ToClient::Failed { id } => (id, TryEnd::Failed, 0),
            _ => return,
        };
        self.world.plan(LOCAL_WAY, What::AtClient { tried, end, receipt });
    }

    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool {
        let by = self.by();
        let now = self.world.now;
        let Some(pair) = self.pair(host) else {
            // Gone for long: nothing answers there.
            if let ToHost::Deliver { delivery, .. } = message {
                let end = NoAnswer::NotConnected;
                self.world.plan(0, What::Lost { by, host: host.0, delivery, end });
            }
            return true;
        };
        match message {
            ToHost::Deliver { delivery, op, key, mark, left_us, body, .. } => {
                let (tried, command) = read_body(&body);
                let left = left_us.min(1 << 40) as Micros;
                let parcel = Parcel { delivery, tried, command, op, key, mark, left, leave_by };
                let p = &mut self.world.pairs[pair];
                if p.waiting.len() >= QUEUE {
                    return false;
                }
                if !p.open {
                    self.world.lose(pair, [delivery], NoAnswer::NotSent);
                    return true;
                }
                if p.link == Link::Up && p.idle() && now - p.used > IDLE {
                    p.drop_link();
                }
                match p.link {
                    Link::Up => self.world.deliver(pair, parcel),
                    Link::Connecting => p.waiting.push(parcel),
                    Link::Closed if now < p.not_before => {
                        self.world.lose(pair, [delivery], NoAnswer::NotConnected);
                    }
                    Link::Closed => {
                        p.waiting.push(parcel);
                        self.world.connect(pair);
                    }
                }
            }
            ToHost::Cancel { delivery } => {
                let p = &mut self.world.pairs[pair];
                if let Some(at) = p.waiting.iter().position(|w| w.delivery == delivery) {
                    p.waiting.remove(at);
                    self.world.lose(pair, [delivery], NoAnswer::NotSent);
                } else if let Some(at) = p.out.iter().position(|d| *d == delivery) {
                    p.out.remove(at);
                    p.cancelled.push((delivery, p.pings + 1));
                    let asks = p.ask();
                    self.world.send(pair, HostWord::Cancel(delivery));
                    if asks {
                        self.world.send(pair, HostWord::Ping);
                    }
                }
            }
            _ => {}
        }
        true
    }

    fn to_list(&mut self, message: ToList) -> bool {
        let by = self.by();
        let seat = &self.world.routers[self.router as usize];
        if !seat.list_up {
            return false;
        }
        let link = seat.list_link;
        let have = if let ToList::Watch { have } = message { have } else { None };
        self.world.ask_office(by, |by| What::ListAsk { by, link, have });
        true
    }

    fn to_desk(&mut self, message: ToDesk) -> bool {
        let by = self.by();
        if let ToDesk::Vote { ballot, build, stage, verdict } = message {
            let verdict = match verdict {
                BallotVerdict::None => Verdict::None,
                BallotVerdict::On => Verdict::On,
                BallotVerdict::Hold => Verdict::Hold,
                BallotVerdict::Back => Verdict::Back,
            };
            self.world.ask_office(by, |by| What::VoteAt { by, ballot, build, stage, verdict });
        }
        true
    }

    fn to_routers(&mut self, router: Option<u32>, text: &[u8]) {
        let from = self.router;
        let own = self.world.routers[from as usize].site;
        let text = Rc::new(text.to_vec());
        let to = match router {
            Some(router) => router..router + 1,
            None => 0..self.world.day.routers,
        };
        for router in to.filter(|r| *r != from) {
            let Some(seat) = self.world.routers.get(router as usize) else { continue };
            let (by, site) = (seat.process, seat.site);
            // What meets a cut is not kept: old evidence is no evidence.
            if let Some(way) = self.world.faults.way(own, site, Way::Hosts) {
                let text = text.clone();
                self.world.plan(way.max(LOCAL_WAY), What::Told { by, from, text });
            }
        }
    }

    fn host_open(&mut self, host: HostId, _address: &str, incarnation: u64) {
        if let Some(pair) = self.pair(host) {
            let p = &mut self.world.pairs[pair];
            (p.open, p.incarnation) = (true, incarnation);
        }
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        let Some(pair) = self.pair(host) else { return };
        let p = &mut self.world.pairs[pair];
        p.open = false;
        let unsent = std::mem::take(&mut p.waiting);
        if gone && p.idle() && p.link == Link::Up {
            p.drop_link();
        }
        self.world.lose(pair, unsent.into_iter().map(|w| w.delivery), NoAnswer::NotSent);
    }
}

impl Wiring for Wires<'_> {
    fn look(&self, host: HostId) -> Look {
        let none = Look { up: false, work_before: 0.0, way: None, speed: 0.0, fails: 0.0, bears: false };
        let Some(pair) = self.pair(host) else { return none };
        let (seat, _) = self.world.ends_of(pair);
        let seat = &self.world.seats[seat];
        let Some(process) = seat.process.as_ref().filter(|p| !p.model.fallen) else { return none };
        let (model, now) = (&process.model, self.world.now);
        Look {
            up: !model.ailment.hangs,
            work_before: model.work_before(now),
            way: self.world.way(pair),
            speed: model.speed * model.warmth(now) / (model.ailment.slower * model.ailment.drag),
            fails: model.ailment.fails,
            bears: model.bears(now),
        }
    }

    fn is_bad(&self, build: BuildId) -> bool {
        self.world.day.builds.iter().any(|b| b.number == build.0 && b.flaw != Flaw::None)
    }
}
