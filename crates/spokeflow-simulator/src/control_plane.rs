//! Control-plane nodes and the routers that hold their leases, in simulated time: the cores of `spokeflow-coordination` unchanged, with drawn faults
//! between them. Messages are lost, doubled, held for seconds and overtake each other; ways are cut alone, one way and in
//! part; nodes are stopped, killed with what they had not synced, and replaced; routers are stopped and started anew;
//! every clock runs up to the configured drift off. At each act of a router it is checked that no revision which it
//! contradicts has been known for longer than one lease.

mod event;
mod faults;
mod nodes;
mod operators;
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

use self::event::Event;
use self::nodes::ControlPlaneNode;
use self::routers::Router;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
/// How often a router acts.
const ROUTER_ACTION_INTERVAL: Micros = 50 * MS;

/// What a run of the control plane is made of.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlaneScenario {
    /// Routers.
    pub routers: u32,
    /// Nodes that vote at first.
    pub voters: u32,
    /// What all chance comes from.
    pub seed: u64,
    /// Simulated time of the run.
    pub length: Micros,
    /// Duration of a lease.
    pub lease: Micros,
    /// The election timeout.
    pub election_timeout: Micros,
    /// How far clocks may be off, a fraction.
    pub drift: f64,
    /// Whether anything fails.
    pub faulty: bool,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct ControlPlaneRun {
    /// The first thing that did not hold.
    pub broken: Option<String>,
    /// Events handled.
    pub events: u64,
    /// Faults drawn.
    pub faults: u32,
    /// The highest Raft term.
    pub terms: u64,
    /// Leases granted.
    pub grants: u64,
    /// Of each revision: from the first that knew of it to its coming into force.
    pub waits: Vec<Micros>,
    /// The longest that a router acted on what a later revision contradicts.
    pub longest_contradiction: Micros,
    /// Acts under a lease.
    pub leased: u64,
    /// Acts without a lease.
    pub unleased: u64,
    /// Log entries that a node keeps at the end, the most of all.
    pub max_log_entries: usize,
    /// Bytes of the largest snapshot.
    pub max_snapshot_bytes: usize,
}

struct World {
    scenario: ControlPlaneScenario,
    config: CoordinatorConfig,
    now: Micros,
    rng: StdRng,
    nodes: Vec<ControlPlaneNode>,
    routers: Vec<Router>,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    planned: u64,
    /// Cut ways by number of the cut; nodes come first, then routers.
    cuts: Vec<(u64, usize, usize)>,
    /// By revision, when a node first knew of it, and when one first had it in force.
    first_known: BTreeMap<u64, Micros>,
    first_in_force: BTreeMap<u64, Micros>,
    pending_proposal: Option<Proposal>,
    played: ControlPlaneRun,
}

/// Runs a scenario. Equal scenarios give equal results.
pub fn play_control_plane(day: ControlPlaneScenario) -> ControlPlaneRun {
    let mut world = World::new(day);
    (0..world.nodes.len()).for_each(|n| world.start(n));
    for router in 0..world.routers.len() {
        let after = world.rng.random_range(0..SECOND);
        world.plan(after, Event::LeaseRenewal { router, start: 0 });
        world.plan(after, Event::RouterActs { router, start: 0 });
    }
    world.plan(2 * SECOND, Event::ProposalDue);
    if day.faulty {
        world.plan(2 * SECOND, Event::Fault);
        world.plan(5 * SECOND, Event::MembershipChange);
    }
    world.run();
    world.finish()
}

/// The configuration of all nodes; each puts its own number in.
fn coordinator_config(day: &ControlPlaneScenario) -> CoordinatorConfig {
    let members: Vec<NodeId> = (0..day.voters).map(NodeId).collect();
    CoordinatorConfig {
        id: NodeId(0),
        raft: RaftConfig {
            voters: members,
            election_timeout: day.election_timeout,
            heartbeat_interval: day.election_timeout / 5,
            max_clock_drift: day.drift,
        },
        lease: LeaseConfig {
            duration: day.lease,
            max_clock_drift: day.drift,
        },
        addresses: (0..day.voters + 2)
            .map(|n| (NodeId(n), n.to_string()))
            .collect(),
        check: |_| Ok(()),
    }
}

impl World {
    fn new(day: ControlPlaneScenario) -> World {
        let terms = coordinator_config(&day);
        let mut chance = StdRng::seed_from_u64(day.seed);
        let spread = 1.0 - day.drift..=1.0 + day.drift;
        // Two more than vote at first: they are taken in for others.
        let keepers = (0..day.voters + 2).map(|_| ControlPlaneNode {
            core: None,
            start: 0,
            disk: PersistentState::default(),
            last_persisted: 0,
            stopped: false,
            postponed: Vec::new(),
            clock_rate: chance.random_range(spread.clone()),
            timer_at: Micros::MAX,
        });
        let keepers: Vec<ControlPlaneNode> = keepers.collect();
        let routers = (0..day.routers).map(|n| Router {
            lease_holder: LeaseHolder::new(terms.lease, u64::from(n), n),
            start: 0,
            stopped: false,
            postponed: Vec::new(),
            clock_rate: chance.random_range(spread.clone()),
            node: (n % day.voters) as usize,
            last_response: 0,
        });
        let routers: Vec<Router> = routers.collect();
        World {
            scenario: day,
            config: terms,
            now: 10 * SECOND,
            rng: chance,
            nodes: keepers,
            routers,
            due: BinaryHeap::new(),
            events: HashMap::new(),
            planned: 0,
            cuts: Vec::new(),
            first_known: BTreeMap::new(),
            first_in_force: BTreeMap::new(),
            pending_proposal: None,
            played: ControlPlaneRun::default(),
        }
    }
}

impl World {
    fn plan(&mut self, after: Micros, what: Event) {
        self.planned += 1;
        self.events.insert(self.planned, what);
        self.due.push(Reverse((self.now + after, self.planned)));
    }

    fn run(&mut self) {
        let end = self.now + self.scenario.length;
        while self.played.broken.is_none() {
            let Some(Reverse((at, n))) = self.due.pop().filter(|d| d.0 .0 <= end) else {
                return;
            };
            self.now = at;
            self.played.events += 1;
            if let Some(what) = self.events.remove(&n) {
                self.handle(what);
            }
        }
    }

    fn finish(mut self) -> ControlPlaneRun {
        let waits = self
            .first_in_force
            .iter()
            .filter_map(|(n, at)| Some(at - self.first_known.get(n)?));
        self.played.waits = waits.collect();
        for core in self.nodes.iter().filter_map(|s| s.core.as_ref()) {
            self.played.terms = self.played.terms.max(core.raft().term().0);
            self.played.max_log_entries = self.played.max_log_entries.max(core.raft().log_len());
        }
        let state = self.nodes.iter().map(|s| s.disk.snapshot.state.len()).max();
        self.played.max_snapshot_bytes = state.unwrap_or(0);
        self.played
    }

    fn clock(&self, rate: f64) -> Micros {
        (self.now as f64 * rate) as Micros
    }

    /// `from` and `to` count nodes first, then routers.
    fn send(&mut self, from: usize, to: usize, what: impl Fn() -> Event) {
        let faulty = self.scenario.faulty;
        let (lost, twice, late) = if faulty {
            (0.02, 0.02, 0.02)
        } else {
            (0.0, 0.0, 0.0)
        };
        if self.cuts.iter().any(|c| (c.1, c.2) == (from, to)) || self.rng.random_bool(lost) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(twice)) {
            let most = if self.rng.random_bool(late) {
                4 * SECOND
            } else {
                15 * MS
            };
            let after = self.rng.random_range(MS..most);
            self.plan(after, what());
        }
    }

    fn handle(&mut self, what: Event) {
        // Event reaches a process that is stopped waits until it goes on.
        let keeper = match &what {
            Event::RaftMessage { to, .. } | Event::RequestArrives { to, .. } => Some(*to),
            Event::Persisted { keeper, .. } | Event::NodeTimer { keeper, .. } => Some(*keeper),
            Event::ResponseArrives { conn, .. } if conn >> 63 == 1 => {
                Some((*conn as u32 >> 2) as usize)
            }
            _ => None,
        };
        if let Some(node) = keeper.map(|n| &mut self.nodes[n]).filter(|s| s.stopped) {
            return node.postponed.push(what);
        }
        let router = match &what {
            Event::LeaseRenewal { router, .. } | Event::RouterActs { router, .. } => Some(*router),
            Event::ResponseArrives { conn, .. } if conn >> 63 == 0 => {
                Some((*conn as u32 >> 1) as usize)
            }
            _ => None,
        };
        if let Some(router) = router.map(|n| &mut self.routers[n]).filter(|r| r.stopped) {
            return router.postponed.push(what);
        }
        match what {
            Event::RaftMessage { to, from, message } => {
                self.call(to, |k, now, step| {
                    k.on_message(now, NodeId(from as u32), message, step)
                });
            }
            Event::RequestArrives {
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
            Event::ResponseArrives {
                conn,
                number,
                answer,
            } if conn >> 63 == 1 => {
                let n = (conn as u32 >> 2) as usize;
                if self.nodes[n].start == (conn >> 32) as u32 & 0x7fff_ffff {
                    self.call(n, |k, _, step| k.on_forward_response(number, answer, step));
                }
            }
            Event::ResponseArrives {
                conn,
                number,
                answer,
            } => self.answered(conn, number, answer),
            Event::Persisted {
                keeper,
                start,
                write,
            } => self.on_persisted(keeper, start, write),
            // One that was planned before a sooner one has been overtaken by it.
            Event::NodeTimer { keeper, start }
                if start == self.nodes[keeper].start && self.now == self.nodes[keeper].timer_at =>
            {
                self.nodes[keeper].timer_at = Micros::MAX;
                self.call(keeper, |k, now, step| {
                    if k.next_wake(now) <= now {
                        k.on_timer(now, step);
                    }
                });
            }
            Event::LeaseRenewal { router, start } if start == self.routers[router].start => {
                self.router_asks(router)
            }
            Event::RouterActs { router, start } if start == self.routers[router].start => {
                self.plan(ROUTER_ACTION_INTERVAL, Event::RouterActs { router, start });
                self.acts(router);
            }
            Event::ProposalDue => self.offers(),
            Event::Fault => self.fault(),
            Event::CutEnds(cut) => self.cuts.retain(|c| c.0 != cut),
            Event::NodeResumes { keeper, start } if start == self.nodes[keeper].start => {
                self.nodes[keeper].stopped = false;
                for what in std::mem::take(&mut self.nodes[keeper].postponed) {
                    self.handle(what);
                }
                self.nodes[keeper].timer_at = Micros::MAX;
                self.wake(keeper);
            }
            Event::RouterResumes { router, start } if start == self.routers[router].start => {
                self.routers[router].stopped = false;
                for what in std::mem::take(&mut self.routers[router].postponed) {
                    self.handle(what);
                }
            }
            Event::NodeStarts { keeper } if self.nodes[keeper].core.is_none() => self.start(keeper),
            Event::MembershipChange => self.change(),
            _ => {}
        }
    }
}
