//! Keepers and routers that follow them, in simulated time: the cores of `spokeflow-coordination` unchanged, with drawn faults
//! between them. Messages are lost, doubled, held for seconds and overtake each other; ways are cut alone, one way and in
//! part; keepers are stopped, killed with what they had not synced, and replaced; routers are stopped and started anew;
//! every clock runs up to the told drift off. At each act of a router it is checked that no revision which it
//! contradicts has been known for longer than one lease.

mod event;
mod faults;
mod keepers;
mod people;
mod routers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_coordination::{
    CoordinatorConfig, LeaseConfig, LeaseHolder, Proposal, RequestOrigin,
};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, PersistentState, RaftConfig};

use self::event::What;
use self::keepers::KeeperNode;
use self::routers::Router;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
/// How often a router acts.
const ACTS: Micros = 50 * MS;

#[derive(Clone, Copy, Debug)]
pub struct ControlPlaneScenario {
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
pub struct ControlPlaneRun {
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

struct World {
    day: ControlPlaneScenario,
    terms: CoordinatorConfig,
    now: Micros,
    chance: StdRng,
    keepers: Vec<KeeperNode>,
    routers: Vec<Router>,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    whats: HashMap<u64, What>,
    planned: u64,
    /// Cut ways by number of the cut; keepers come first, then routers.
    cuts: Vec<(u64, usize, usize)>,
    /// By revision, when a keeper first knew of it, and when one first had it in force.
    told: BTreeMap<u64, Micros>,
    forced: BTreeMap<u64, Micros>,
    offer: Option<Proposal>,
    played: ControlPlaneRun,
}

/// Plays a day. Equal days give equal results.
pub fn play_agreement(day: ControlPlaneScenario) -> ControlPlaneRun {
    let members: Vec<NodeId> = (0..day.keepers).map(NodeId).collect();
    let terms = CoordinatorConfig {
        id: NodeId(0),
        raft: RaftConfig {
            voters: members,
            election_timeout: day.silence,
            heartbeat_interval: day.silence / 5,
            max_clock_drift: day.drift,
        },
        lease: LeaseConfig {
            duration: day.lease,
            max_clock_drift: day.drift,
        },
        addresses: (0..day.keepers + 2)
            .map(|n| (NodeId(n), n.to_string()))
            .collect(),
        check: |_| Ok(()),
    };
    let mut chance = StdRng::seed_from_u64(day.seed);
    let spread = 1.0 - day.drift..=1.0 + day.drift;
    // Two more than vote at first: they are taken in for others.
    let keepers = (0..day.keepers + 2).map(|_| KeeperNode {
        core: None,
        start: 0,
        disk: PersistentState::default(),
        wrote: 0,
        stopped: false,
        kept: Vec::new(),
        rate: chance.random_range(spread.clone()),
        wakes: Micros::MAX,
    });
    let keepers: Vec<KeeperNode> = keepers.collect();
    let routers = (0..day.routers).map(|n| Router {
        lease_holder: LeaseHolder::new(terms.lease, u64::from(n), n),
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
        keepers,
        routers,
        due: BinaryHeap::new(),
        whats: HashMap::new(),
        planned: 0,
        cuts: Vec::new(),
        told: BTreeMap::new(),
        forced: BTreeMap::new(),
        offer: None,
        played: ControlPlaneRun::default(),
    };
    (0..world.keepers.len()).for_each(|n| world.start(n));
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
            let Some(Reverse((at, n))) = self.due.pop().filter(|d| d.0 .0 <= end) else {
                return;
            };
            self.now = at;
            self.played.events += 1;
            if let Some(what) = self.whats.remove(&n) {
                self.happens(what);
            }
        }
    }

    fn finish(mut self) -> ControlPlaneRun {
        let waits = self
            .forced
            .iter()
            .filter_map(|(n, at)| Some(at - self.told.get(n)?));
        self.played.waits = waits.collect();
        for core in self.keepers.iter().filter_map(|s| s.core.as_ref()) {
            self.played.terms = self.played.terms.max(core.raft().term().0);
            self.played.kept_entries = self.played.kept_entries.max(core.raft().log_len());
        }
        let state = self
            .keepers
            .iter()
            .map(|s| s.disk.snapshot.state.len())
            .max();
        self.played.kept_state = state.unwrap_or(0);
        self.played
    }

    fn clock(&self, rate: f64) -> Micros {
        (self.now as f64 * rate) as Micros
    }

    /// `from` and `to` count keepers first, then routers.
    fn send(&mut self, from: usize, to: usize, what: impl Fn() -> What) {
        let faulty = self.day.faulty;
        let (lost, twice, late) = if faulty {
            (0.02, 0.02, 0.02)
        } else {
            (0.0, 0.0, 0.0)
        };
        if self.cuts.iter().any(|c| (c.1, c.2) == (from, to)) || self.chance.random_bool(lost) {
            return;
        }
        for _ in 0..1 + usize::from(self.chance.random_bool(twice)) {
            let most = if self.chance.random_bool(late) {
                4 * SECOND
            } else {
                15 * MS
            };
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
        if let Some(node) = keeper.map(|n| &mut self.keepers[n]).filter(|s| s.stopped) {
            return node.kept.push(what);
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
                self.call(to, |k, now, step| {
                    k.on_message(now, NodeId(from as u32), message, step)
                });
            }
            What::Asks {
                to,
                conn,
                number,
                ask,
            } => {
                let asker = RequestOrigin {
                    connection: conn,
                    number,
                    forwarded: conn >> 63 == 1,
                };
                self.call(to, |k, now, step| k.on_request(now, asker, ask, step));
            }
            What::Answers {
                conn,
                number,
                answer,
            } if conn >> 63 == 1 => {
                let n = (conn as u32 >> 2) as usize;
                if self.keepers[n].start == (conn >> 32) as u32 & 0x7fff_ffff {
                    self.call(n, |k, _, step| k.on_forward_response(number, answer, step));
                }
            }
            What::Answers {
                conn,
                number,
                answer,
            } => self.answered(conn, number, answer),
            What::Synced {
                keeper,
                start,
                write,
            } => self.on_persisted(keeper, start, write),
            // One that was planned before a sooner one has been overtaken by it.
            What::Wake { keeper, start }
                if start == self.keepers[keeper].start
                    && self.now == self.keepers[keeper].wakes =>
            {
                self.keepers[keeper].wakes = Micros::MAX;
                self.call(keeper, |k, now, step| {
                    if k.next_wake(now) <= now {
                        k.on_timer(now, step);
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
            What::KeeperGoes { keeper, start } if start == self.keepers[keeper].start => {
                self.keepers[keeper].stopped = false;
                for what in std::mem::take(&mut self.keepers[keeper].kept) {
                    self.happens(what);
                }
                self.keepers[keeper].wakes = Micros::MAX;
                self.wake(keeper);
            }
            What::RouterGoes { router, start } if start == self.routers[router].start => {
                self.routers[router].stopped = false;
                for what in std::mem::take(&mut self.routers[router].kept) {
                    self.happens(what);
                }
            }
            What::Start { keeper } if self.keepers[keeper].core.is_none() => self.start(keeper),
            What::Change => self.change(),
            _ => {}
        }
    }
}
