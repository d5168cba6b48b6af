//! Keepers and routers that follow them, in simulated time: the cores of `spokeflow-agreed` unchanged, with drawn faults
//! between them. Messages are lost, doubled, held for seconds and overtake each other; ways are cut alone, one way and in
//! part; keepers are stopped, killed with what they had not synced, and replaced; routers are stopped and started anew;
//! every clock runs up to the told drift off. At each act of a router it is checked that no revision which it
//! contradicts has been known for longer than one lease.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_agreed::wire::{Answer, Ask, ToKeeper};
use spokeflow_agreed::{
    Asked, Asker, Holder, Keeper, KeeperTerms, LeaseTerms, Offer, RevisionNo, Step, Values,
};
use spokeflow_core::Micros;
use spokeflow_quorum::{KeeperId, Message, QuorumTerms, Saved, Write};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const PATIENCE: Micros = 500 * MS;
/// How often a router acts.
const ACTS: Micros = 50 * MS;

#[derive(Clone, Copy, Debug)]
pub struct AgreementDay {
    pub routers: u32,
    pub keepers: u32,
    pub seed: u64,
    pub length: Micros,
    pub lease: Micros,
    pub silence: Micros,
    pub drift: f64,
    /// Whether anything fails.
    pub faulty: bool,
}

#[derive(Clone, Debug, Default)]
pub struct AgreementPlayed {
    /// The first thing that did not hold.
    pub broken: Option<String>,
    pub events: u64,
    pub faults: u32,
    pub terms: u64,
    pub grants: u64,
    /// Of each revision: from the first that knew of it to its coming into force.
    pub waits: Vec<Micros>,
    pub longest_contradiction: Micros,
    /// Acts under a lease, and without one.
    pub leased: u64,
    pub unleased: u64,
    /// Entries and snapshot bytes that a keeper keeps at the end, the most of all.
    pub kept_entries: usize,
    pub kept_state: usize,
}

/// Whom an answer goes to, as the number of a connection: a keeper that passed on, a router's process, a person.
const PERSON: u64 = 0;

fn router_conn(router: usize, start: u32) -> u64 {
    1 | (router as u64) << 1 | u64::from(start) << 32
}

fn keeper_conn(keeper: usize, start: u32) -> u64 {
    2 | (keeper as u64) << 2 | u64::from(start) << 32 | 1 << 63
}

enum What {
    /// Also of a process that is dead by now.
    Quorum {
        to: usize,
        from: usize,
        message: Message,
    },
    Asks {
        to: usize,
        conn: u64,
        number: u64,
        ask: Ask,
    },
    Answers {
        conn: u64,
        number: u64,
        answer: Answer,
    },
    Synced {
        keeper: usize,
        start: u32,
        write: Box<Write>,
    },
    Wake {
        keeper: usize,
        start: u32,
    },
    RouterAsks {
        router: usize,
        start: u32,
    },
    Acts {
        router: usize,
        start: u32,
    },
    Offers,
    Fault,
    Mend(u64),
    KeeperGoes {
        keeper: usize,
        start: u32,
    },
    RouterGoes {
        router: usize,
        start: u32,
    },
    Start {
        keeper: usize,
    },
    Change,
}

struct Seat {
    core: Option<Keeper>,
    start: u32,
    disk: Saved,
    wrote: u64,
    stopped: bool,
    kept: Vec<What>,
    rate: f64,
    /// For which instant its wake-up is planned.
    wakes: Micros,
}

struct Router {
    holder: Holder,
    start: u32,
    stopped: bool,
    kept: Vec<What>,
    rate: f64,
    keeper: usize,
    answered: Micros,
}

struct World {
    day: AgreementDay,
    terms: KeeperTerms,
    now: Micros,
    chance: StdRng,
    seats: Vec<Seat>,
    routers: Vec<Router>,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    whats: HashMap<u64, What>,
    planned: u64,
    /// Cut ways by number of the cut; keepers come first, then routers.
    cuts: Vec<(u64, usize, usize)>,
    /// By revision, when a keeper first knew of it, and when one first had it in force.
    told: BTreeMap<u64, Micros>,
    forced: BTreeMap<u64, Micros>,
    offer: Option<Offer>,
    played: AgreementPlayed,
}

/// Plays a day. Equal days give equal results.
pub fn play_agreement(day: AgreementDay) -> AgreementPlayed {
    let members: Vec<KeeperId> = (0..day.keepers).map(KeeperId).collect();
    let terms = KeeperTerms {
        own: KeeperId(0),
        quorum: QuorumTerms { members, silence: day.silence, beat: day.silence / 5, drift: day.drift },
        lease: LeaseTerms { lease: day.lease, drift: day.drift },
        addresses: (0..day.keepers + 2).map(|n| (KeeperId(n), n.to_string())).collect(),
        check: |_| Ok(()),
    };
    let mut chance = StdRng::seed_from_u64(day.seed);
    let spread = 1.0 - day.drift..=1.0 + day.drift;
    // Two more than vote at first: they are taken in for others.
    let seats = (0..day.keepers + 2).map(|_| Seat {
        core: None,
        start: 0,
        disk: Saved::default(),
        wrote: 0,
        stopped: false,
        kept: Vec::new(),
        rate: chance.random_range(spread.clone()),
        wakes: Micros::MAX,
    });
    let seats: Vec<Seat> = seats.collect();
    let routers = (0..day.routers).map(|n| Router {
        holder: Holder::new(terms.lease, u64::from(n), n),
        start: 0,
        stopped: false,
        kept: Vec::new(),
        rate: chance.random_range(spread.clone()),
        keeper: (n % day.keepers) as usize,
        answered: 0,
    });
    let routers: Vec<Router> = routers.collect();
    let mut world = World {
        day,
        terms,
        now: 10 * SECOND,
        chance,
        seats,
        routers,
        due: BinaryHeap::new(),
        whats: HashMap::new(),
        planned: 0,
        cuts: Vec::new(),
        told: BTreeMap::new(),
        forced: BTreeMap::new(),
        offer: None,
        played: AgreementPlayed::default(),
    };
    (0..world.seats.len()).for_each(|n| world.start(n));
    for router in 0..world.routers.len() {
        let after = world.chance.random_range(0..SECOND);
        world.plan(after, What::RouterAsks { router, start: 0 });
        world.plan(after, What::Acts { router, start: 0 });
    }
    world.plan(2 * SECOND, What::Offers);
    if day.faulty {
        world.plan(2 * SECOND, What::Fault);
        world.plan(5 * SECOND, What::Change);
    }
    world.run();
    world.finish()
}

impl World {
    fn plan(&mut self, after: Micros, what: What) {
        self.planned += 1;
        self.whats.insert(self.planned, what);
        self.due.push(Reverse((self.now + after, self.planned)));
    }

    fn run(&mut self) {
        let end = self.now + self.day.length;
        while self.played.broken.is_none() {
            let Some(Reverse((at, n))) = self.due.pop().filter(|d| d.0 .0 <= end) else { return };
            self.now = at;
            self.played.events += 1;
            if let Some(what) = self.whats.remove(&n) {
                self.happens(what);
            }
        }
    }

    fn finish(mut self) -> AgreementPlayed {
        let waits = self.forced.iter().filter_map(|(n, at)| Some(at - self.told.get(n)?));
        self.played.waits = waits.collect();
        for core in self.seats.iter().filter_map(|s| s.core.as_ref()) {
            self.played.terms = self.played.terms.max(core.member().term().0);
            self.played.kept_entries = self.played.kept_entries.max(core.member().kept());
        }
        let state = self.seats.iter().map(|s| s.disk.snapshot.state.len()).max();
        self.played.kept_state = state.unwrap_or(0);
        self.played
    }

    fn clock(&self, rate: f64) -> Micros {
        (self.now as f64 * rate) as Micros
    }

    fn start(&mut self, n: usize) {
        let now = self.clock(self.seats[n].rate);
        let seed = self.chance.random();
        let own = KeeperId(n as u32);
        let mut terms = KeeperTerms { own, ..self.terms.clone() };
        if n >= self.day.keepers as usize {
            terms.quorum.members.clear();
        }
        let seat = &mut self.seats[n];
        seat.start += 1;
        (seat.stopped, seat.wrote, seat.wakes) = (false, 0, Micros::MAX);
        seat.kept.clear();
        match Keeper::new(terms, seed, seat.disk.clone(), now) {
            Ok(core) => seat.core = Some(core),
            Err(what) => self.played.broken = Some(format!("keeper {n} does not start: {what}")),
        }
        self.wake(n);
    }

    fn wake(&mut self, n: usize) {
        let seat = &self.seats[n];
        let Some(core) = &seat.core else { return };
        let now = self.clock(seat.rate);
        let after = ((core.next_wake(now) - now).max(0) as f64 / seat.rate) as Micros + 1;
        // One that is planned for sooner plans the next by itself.
        if seat.wakes <= self.now + after && seat.wakes > self.now {
            return;
        }
        let start = seat.start;
        self.seats[n].wakes = self.now + after;
        self.plan(after, What::Wake { keeper: n, start });
    }

    fn call(&mut self, n: usize, act: impl FnOnce(&mut Keeper, Micros, &mut Step)) {
        let now = self.clock(self.seats[n].rate);
        let mut step = Step::default();
        let Some(core) = &mut self.seats[n].core else { return };
        act(core, now, &mut step);
        let start = self.seats[n].start;
        if step.changed {
            let ledger = self.seats[n].core.as_ref().map(Keeper::ledger);
            let known = ledger.map(|l| (l.newest().0, l.in_force.number.0)).unwrap_or_default();
            for r in 1..=known.0 {
                self.told.entry(r).or_insert(self.now);
            }
            for r in 1..=known.1 {
                self.forced.entry(r).or_insert(self.now);
            }
        }
        for write in step.writes {
            let after = self.chance.random_range(MS..if self.day.faulty { 20 * MS } else { 3 * MS });
            self.plan(after, What::Synced { keeper: n, start, write: Box::new(write) });
        }
        for (to, message) in step.to_keepers {
            let to = to.0 as usize;
            match message {
                ToKeeper::Ask { number, ask } => {
                    let conn = keeper_conn(n, start);
                    self.send(n, to, || What::Asks { to, conn, number, ask: ask.clone() });
                }
                ToKeeper::Hello { .. } => {}
                ToKeeper::Quorum(message) => {
                    self.send(n, to, || What::Quorum { to, from: n, message: message.clone() });
                }
            }
        }
        for (conn, number, answer) in step.answers {
            self.answer(n, conn, number, answer);
        }
        self.wake(n);
    }

    fn answer(&mut self, from: usize, conn: u64, number: u64, answer: Answer) {
        if conn == PERSON {
            // At once: when a person hears of it says nothing of the routers.
            return self.heard_by_person(answer);
        }
        let to = match conn >> 63 {
            1 => (conn as u32 >> 2) as usize,
            _ => self.seats.len() + (conn as u32 >> 1) as usize,
        };
        self.send(from, to, || What::Answers { conn, number, answer: answer.clone() });
    }

    fn heard_by_person(&mut self, answer: Answer) {
        if matches!(answer, Answer::Offered(_) | Answer::Bad(_)) {
            self.offer = None;
        }
    }

    /// `from` and `to` count keepers first, then routers.
    fn send(&mut self, from: usize, to: usize, what: impl Fn() -> What) {
        let faulty = self.day.faulty;
        let (lost, twice, late) = if faulty { (0.02, 0.02, 0.02) } else { (0.0, 0.0, 0.0) };
        if self.cuts.iter().any(|c| (c.1, c.2) == (from, to)) || self.chance.random_bool(lost) {
            return;
        }
        for _ in 0..1 + usize::from(self.chance.random_bool(twice)) {
            let most = if self.chance.random_bool(late) { 4 * SECOND } else { 15 * MS };
            let after = self.chance.random_range(MS..most);
            self.plan(after, what());
        }
    }

    fn happens(&mut self, what: What) {
        // What reaches a process that is stopped waits until it goes on.
        let keeper = match &what {
            What::Quorum { to, .. } | What::Asks { to, .. } => Some(*to),
            What::Synced { keeper, .. } | What::Wake { keeper, .. } => Some(*keeper),
            What::Answers { conn, .. } if conn >> 63 == 1 => Some((*conn as u32 >> 2) as usize),
            _ => None,
        };
        if let Some(seat) = keeper.map(|n| &mut self.seats[n]).filter(|s| s.stopped) {
            return seat.kept.push(what);
        }
        let router = match &what {
            What::RouterAsks { router, .. } | What::Acts { router, .. } => Some(*router),
            What::Answers { conn, .. } if conn >> 63 == 0 => Some((*conn as u32 >> 1) as usize),
            _ => None,
        };
        if let Some(router) = router.map(|n| &mut self.routers[n]).filter(|r| r.stopped) {
            return router.kept.push(what);
        }
        match what {
            What::Quorum { to, from, message } => {
                self.call(to, |k, now, step| k.heard(now, KeeperId(from as u32), message, step));
            }
            What::Asks { to, conn, number, ask } => {
                let asker = Asker { conn, number, keeper: conn >> 63 == 1 };
                self.call(to, |k, now, step| k.asked(now, asker, ask, step));
            }
            What::Answers { conn, number, answer } if conn >> 63 == 1 => {
                let n = (conn as u32 >> 2) as usize;
                if self.seats[n].start == (conn >> 32) as u32 & 0x7fff_ffff {
                    self.call(n, |k, _, step| k.passed_back(number, answer, step));
                }
            }
            What::Answers { conn, number, answer } => self.answered(conn, number, answer),
            What::Synced { keeper, start, write } => self.synced(keeper, start, write),
            // One that was planned before a sooner one has been overtaken by it.
            What::Wake { keeper, start }
                if start == self.seats[keeper].start && self.now == self.seats[keeper].wakes =>
            {
                self.seats[keeper].wakes = Micros::MAX;
                self.call(keeper, |k, now, step| {
                    if k.next_wake(now) <= now {
                        k.woken(now, step);
                    }
                });
            }
            What::RouterAsks { router, start } if start == self.routers[router].start => {
                self.router_asks(router)
            }
            What::Acts { router, start } if start == self.routers[router].start => {
                self.plan(ACTS, What::Acts { router, start });
                self.acts(router);
            }
            What::Offers => self.offers(),
            What::Fault => self.fault(),
            What::Mend(cut) => self.cuts.retain(|c| c.0 != cut),
            What::KeeperGoes { keeper, start } if start == self.seats[keeper].start => {
                self.seats[keeper].stopped = false;
                for what in std::mem::take(&mut self.seats[keeper].kept) {
                    self.happens(what);
                }
                self.seats[keeper].wakes = Micros::MAX;
                self.wake(keeper);
            }
            What::RouterGoes { router, start } if start == self.routers[router].start => {
                self.routers[router].stopped = false;
                for what in std::mem::take(&mut self.routers[router].kept) {
                    self.happens(what);
                }
            }
            What::Start { keeper } if self.seats[keeper].core.is_none() => self.start(keeper),
            What::Change => self.change(),
            _ => {}
        }
    }

    fn synced(&mut self, keeper: usize, start: u32, write: Box<Write>) {
        let seat = &mut self.seats[keeper];
        if start != seat.start || seat.core.is_none() {
            return;
        }
        if write.number != seat.wrote + 1 {
            return self.plan(MS, What::Synced { keeper, start, write });
        }
        seat.disk.apply(&write);
        seat.wrote = write.number;
        self.call(keeper, |k, now, step| k.synced(now, write.number, step));
    }

    fn router_asks(&mut self, router: usize) {
        let now = self.clock(self.routers[router].rate);
        let waited = self.now - self.routers[router].answered;
        let (n, many) = (self.seats.len(), self.seats.len());
        let r = &mut self.routers[router];
        if waited > r.holder.every() + PATIENCE {
            (r.keeper, r.answered) = ((r.keeper + 1) % many, self.now);
        }
        let (number, asked): (u64, Asked) = r.holder.ask(now);
        let (to, start, every) = (r.keeper, r.start, (r.holder.every() as f64 / r.rate) as Micros);
        let conn = router_conn(router, start);
        self.send(n + router, to, || What::Asks { to, conn, number, ask: Ask::Lease(asked.clone()) });
        self.plan(every, What::RouterAsks { router, start });
    }

    fn answered(&mut self, conn: u64, number: u64, answer: Answer) {
        let router = (conn as u32 >> 1) as usize;
        let many = self.seats.len();
        let r = &mut self.routers[router];
        if r.start != (conn >> 32) as u32 {
            return;
        }
        match answer {
            Answer::Granted(grant) => {
                self.played.grants += 1;
                r.answered = self.now;
                if r.holder.granted(number, *grant) {
                    let newest = r.holder.newest();
                    r.holder.acts_on(newest);
                }
            }
            _ => (r.keeper, r.answered) = ((r.keeper + 1) % many, self.now),
        }
    }

    /// What must hold at each act under a lease.
    fn acts(&mut self, router: usize) {
        let r = &self.routers[router];
        let now = self.clock(r.rate);
        if r.holder.until().is_none_or(|until| now >= until) {
            self.played.unleased += 1;
            return;
        }
        self.played.leased += 1;
        let (in_force, newest) = (r.holder.in_force().number.0, r.holder.newest().0);
        let unknown = self.told.range(newest + 1..).next().map(|(n, at)| (*n, *at, "is known of"));
        let unforced = self.forced.range(in_force + 1..).next().map(|(n, at)| (*n, *at, "is in force"));
        for (revision, at, how) in unknown.into_iter().chain(unforced) {
            let since = self.now - at;
            self.played.longest_contradiction = self.played.longest_contradiction.max(since);
            if since > self.day.lease {
                let what = format!(
                    "router {router} acts on {in_force}/{newest}, and revision {revision} {how} for {since} us"
                );
                self.played.broken.get_or_insert(what);
            }
        }
        if self.forced.range(newest + 1..).next().is_some() {
            let what = format!("router {router} acts on {newest} and has not heard of one that is in force");
            self.played.broken.get_or_insert(what);
        }
    }

    fn offers(&mut self) {
        let after = self.chance.random_range(300 * MS..2 * SECOND);
        self.plan(after, What::Offers);
        let newest = self.told.last_key_value().map_or(0, |t| *t.0);
        // One that was not clear is offered again, as it was.
        let offer = self.offer.take().unwrap_or_else(|| {
            let stale = self.chance.random_bool(0.1);
            let against = RevisionNo(if stale { newest.saturating_sub(1) } else { newest });
            let token = self.chance.random();
            let (who, why) = ("p".to_string(), String::new());
            Offer { token, against, who, why, at_s: 0, values: Values::new() }
        });
        self.offer = Some(offer.clone());
        let to = self.chance.random_range(0..self.seats.len());
        let asker = Asker { conn: PERSON, number: 0, keeper: false };
        if !self.seats[to].stopped {
            self.call(to, |k, now, step| k.asked(now, asker, Ask::Offer(offer), step));
        }
    }

    /// Takes a spare keeper in, or one out.
    fn change(&mut self) {
        let after = self.chance.random_range(SECOND..4 * SECOND);
        self.plan(after, What::Change);
        let drawn = KeeperId(self.chance.random_range(0..self.seats.len() as u32));
        for n in 0..self.seats.len() {
            let Some(core) = self.seats[n].core.as_ref().filter(|_| !self.seats[n].stopped) else { continue };
            let mut members = core.member().members().to_vec();
            if !members.contains(&drawn) && members.len() < self.day.keepers as usize + 1 {
                members.push(drawn);
            } else if members.len() > self.day.keepers as usize {
                members.retain(|m| *m != drawn);
            }
            let leads = core.member().speaks(self.clock(self.seats[n].rate));
            if leads {
                let asker = Asker { conn: PERSON, number: 0, keeper: false };
                self.call(n, |k, now, step| k.asked(now, asker, Ask::Members(members), step));
            }
        }
    }

    fn fault(&mut self) {
        let next = self.chance.random_range(200 * MS..2500 * MS);
        self.plan(next, What::Fault);
        self.played.faults += 1;
        let lasts = self.chance.random_range(100 * MS..self.day.lease * 2);
        let (k, many) = (self.chance.random_range(0..self.seats.len()), self.seats.len());
        let r = self.chance.random_range(0..self.routers.len());
        match self.chance.random_range(0..9) {
            0 | 1 => {
                self.seats[k].core = None;
                self.seats[k].stopped = false;
                self.plan(lasts, What::Start { keeper: k });
            }
            2 => {
                self.seats[k].stopped = true;
                let start = self.seats[k].start;
                self.plan(lasts, What::KeeperGoes { keeper: k, start });
            }
            3 => {
                self.routers[r].stopped = true;
                let start = self.routers[r].start;
                self.plan(lasts, What::RouterGoes { router: r, start });
            }
            4 => {
                let process = self.chance.random();
                let router = &mut self.routers[r];
                router.start += 1;
                (router.stopped, router.answered) = (false, self.now);
                router.kept.clear();
                router.holder = Holder::new(self.terms.lease, process, r as u32);
                let start = router.start;
                self.plan(lasts, What::RouterAsks { router: r, start });
                self.plan(lasts, What::Acts { router: r, start });
            }
            5 if self.chance.random_bool(0.2) => {
                for n in 0..many {
                    (self.seats[n].core, self.seats[n].stopped) = (None, false);
                    let apart = self.chance.random_range(0..SECOND);
                    self.plan(lasts + apart, What::Start { keeper: n });
                }
            }
            kind => {
                let cut = self.planned;
                let router = kind > 6;
                let one = if router { many + r } else { k };
                for other in (0..many).filter(|o| *o != one) {
                    match kind {
                        // Alone; not heard; some of the ways.
                        5 | 7 => self.cuts.extend([(cut, one, other), (cut, other, one)]),
                        6 => self.cuts.push((cut, one, other)),
                        _ if self.chance.random_bool(0.5) => self.cuts.push((cut, one, other)),
                        _ => {}
                    }
                }
                self.plan(lasts, What::Mend(cut));
            }
        }
    }
}
