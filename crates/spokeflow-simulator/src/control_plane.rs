//! Simulation of control-plane nodes and the routers that hold their leases: the unmodified state machines of
//! `spokeflow-coordination`, with random faults. Messages are lost, duplicated, delayed for seconds and reordered.
//! Links are cut in both directions, in one direction or in part. Nodes are paused, killed with the loss of writes
//! that were not synced, and replaced. Routers are paused and restarted. Every clock runs fast or slow by up to the
//! configured drift. At each action of a router it is checked that no revision which contradicts it has been known
//! for longer than one lease.

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
/// How often a router acts, which it may only do under a lease.
const ROUTER_ACTION_INTERVAL: Micros = 50 * MS;

/// The parameters of a run of the control plane.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlaneScenario {
    /// Number of routers.
    pub routers: u32,
    /// Number of nodes that vote at the start; two more nodes are spare.
    pub voters: u32,
    /// Seed of all random draws.
    pub seed: u64,
    /// Simulated time of the run.
    pub length: Micros,
    /// Duration of a lease.
    pub lease: Micros,
    /// The election timeout.
    pub election_timeout: Micros,
    /// How much faster or slower than simulated time a clock may run, as a fraction.
    pub drift: f64,
    /// Whether faults are injected.
    pub faulty: bool,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct ControlPlaneRun {
    /// The first violation of an invariant; `None` if all held.
    pub broken: Option<String>,
    /// Events handled.
    pub events: u64,
    /// Faults injected.
    pub faults: u32,
    /// The highest Raft term.
    pub terms: u64,
    /// Leases granted.
    pub grants: u64,
    /// For each revision that came into force, the time since a node first knew of it.
    pub waits: Vec<Micros>,
    /// The longest time for which a router acted under a revision that a later one contradicts.
    pub longest_contradiction: Micros,
    /// Actions of routers under a lease.
    pub leased: u64,
    /// Actions that routers could not take for lack of a lease.
    pub unleased: u64,
    /// The largest number of log entries that a node keeps at the end.
    pub max_log_entries: usize,
    /// The size of the largest snapshot at the end, in bytes.
    pub max_snapshot_bytes: usize,
}

/// The state of a run.
struct World {
    scenario: ControlPlaneScenario,
    config: CoordinatorConfig,
    now: Micros,
    rng: StdRng,
    nodes: Vec<ControlPlaneNode>,
    routers: Vec<Router>,
    /// Time and number of each scheduled event, the earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by number.
    events: HashMap<u64, Event>,
    /// The number of the event scheduled last.
    last_event: u64,
    /// Cut links: the number of the cut, and the indices of sender and receiver, which count nodes first, then
    /// routers.
    cuts: Vec<(u64, usize, usize)>,
    /// By revision, when a node first knew of it.
    first_known: BTreeMap<u64, Micros>,
    /// By revision, when a node first had it in force.
    first_in_force: BTreeMap<u64, Micros>,
    /// The proposal that the operator has not got a final response to.
    pending_proposal: Option<Proposal>,
    result: ControlPlaneRun,
}

/// Runs a scenario to its end or to the first violation of an invariant. Equal scenarios give equal results.
pub fn play_control_plane(scenario: ControlPlaneScenario) -> ControlPlaneRun {
    let mut world = World::new(scenario);
    (0..world.nodes.len()).for_each(|n| world.start_node(n));
    for router in 0..world.routers.len() {
        let after = world.rng.random_range(0..SECOND);
        world.schedule(after, Event::LeaseRenewal { router, start: 0 });
        world.schedule(after, Event::RouterActs { router, start: 0 });
    }
    world.schedule(2 * SECOND, Event::ProposalDue);
    if scenario.faulty {
        world.schedule(2 * SECOND, Event::FaultDue);
        world.schedule(5 * SECOND, Event::MembershipChange);
    }
    world.run();
    world.finish()
}

/// Returns the configuration of all nodes; each replaces the id by its own.
fn coordinator_config(scenario: &ControlPlaneScenario) -> CoordinatorConfig {
    let voters: Vec<NodeId> = (0..scenario.voters).map(NodeId).collect();
    CoordinatorConfig {
        id: NodeId(0),
        raft: RaftConfig {
            voters,
            election_timeout: scenario.election_timeout,
            heartbeat_interval: scenario.election_timeout / 5,
            max_clock_drift: scenario.drift,
        },
        lease: LeaseConfig {
            duration: scenario.lease,
            max_clock_drift: scenario.drift,
        },
        addresses: (0..scenario.voters + 2)
            .map(|n| (NodeId(n), n.to_string()))
            .collect(),
        check: |_| Ok(()),
    }
}

impl World {
    fn new(scenario: ControlPlaneScenario) -> World {
        let config = coordinator_config(&scenario);
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let clock_rates = 1.0 - scenario.drift..=1.0 + scenario.drift;
        // Two spare nodes replace voters during the run.
        let nodes = (0..scenario.voters + 2).map(|_| ControlPlaneNode {
            core: None,
            start: 0,
            disk: PersistentState::default(),
            last_persisted: 0,
            is_paused: false,
            postponed: Vec::new(),
            clock_rate: rng.random_range(clock_rates.clone()),
            timer_at: Micros::MAX,
        });
        let nodes: Vec<ControlPlaneNode> = nodes.collect();
        let routers = (0..scenario.routers).map(|n| Router {
            lease_holder: LeaseHolder::new(config.lease, u64::from(n), n),
            start: 0,
            is_paused: false,
            postponed: Vec::new(),
            clock_rate: rng.random_range(clock_rates.clone()),
            node: (n % scenario.voters) as usize,
            last_response_at: 0,
        });
        let routers: Vec<Router> = routers.collect();
        World {
            scenario,
            config,
            now: 10 * SECOND,
            rng,
            nodes,
            routers,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            cuts: Vec::new(),
            first_known: BTreeMap::new(),
            first_in_force: BTreeMap::new(),
            pending_proposal: None,
            result: ControlPlaneRun::default(),
        }
    }
}

impl World {
    fn schedule(&mut self, after: Micros, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue
            .push(Reverse((self.now + after, self.last_event)));
    }

    fn run(&mut self) {
        let end = self.now + self.scenario.length;
        while self.result.broken.is_none() {
            let Some(Reverse((at, number))) = self.queue.pop().filter(|due| due.0 .0 <= end) else {
                return;
            };
            self.now = at;
            self.result.events += 1;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn finish(mut self) -> ControlPlaneRun {
        let waits = self
            .first_in_force
            .iter()
            .filter_map(|(revision, at)| Some(at - self.first_known.get(revision)?));
        self.result.waits = waits.collect();
        for core in self.nodes.iter().filter_map(|node| node.core.as_ref()) {
            self.result.terms = self.result.terms.max(core.raft().term().0);
            self.result.max_log_entries = self.result.max_log_entries.max(core.raft().log_len());
        }
        let snapshot_bytes = self
            .nodes
            .iter()
            .map(|node| node.disk.snapshot.state.len())
            .max();
        self.result.max_snapshot_bytes = snapshot_bytes.unwrap_or(0);
        self.result
    }

    /// Returns the time that a clock of this rate shows.
    fn clock(&self, rate: f64) -> Micros {
        (self.now as f64 * rate) as Micros
    }

    /// Sends a message that is lost, duplicated or delayed at random. `from` and `to` count nodes first, then
    /// routers.
    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        let faulty = self.scenario.faulty;
        let (loss_rate, duplicate_rate, late_rate) = if faulty {
            (0.02, 0.02, 0.02)
        } else {
            (0.0, 0.0, 0.0)
        };
        if self.cuts.iter().any(|cut| (cut.1, cut.2) == (from, to))
            || self.rng.random_bool(loss_rate)
        {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(duplicate_rate)) {
            let longest = if self.rng.random_bool(late_rate) {
                4 * SECOND
            } else {
                15 * MS
            };
            let after = self.rng.random_range(MS..longest);
            self.schedule(after, event());
        }
    }

    fn handle(&mut self, event: Event) {
        // An event at a paused process waits until the process resumes.
        let node = match &event {
            Event::RaftMessage { to, .. } | Event::RequestArrives { to, .. } => Some(*to),
            Event::Persisted { node, .. } | Event::NodeTimer { node, .. } => Some(*node),
            Event::ResponseArrives { connection, .. } if connection >> 63 == 1 => {
                Some((*connection as u32 >> 2) as usize)
            }
            _ => None,
        };
        if let Some(node) = node
            .map(|n| &mut self.nodes[n])
            .filter(|node| node.is_paused)
        {
            return node.postponed.push(event);
        }
        let router = match &event {
            Event::LeaseRenewal { router, .. } | Event::RouterActs { router, .. } => Some(*router),
            Event::ResponseArrives { connection, .. } if connection >> 63 == 0 => {
                Some((*connection as u32 >> 1) as usize)
            }
            _ => None,
        };
        if let Some(router) = router.map(|n| &mut self.routers[n]).filter(|r| r.is_paused) {
            return router.postponed.push(event);
        }
        match event {
            Event::RaftMessage { to, from, message } => {
                self.call(to, |core, now, effects| {
                    core.on_message(now, NodeId(from as u32), message, effects)
                });
            }
            Event::RequestArrives {
                to,
                connection,
                number,
                request,
            } => {
                let origin = RequestOrigin {
                    connection,
                    number,
                    forwarded: connection >> 63 == 1,
                };
                self.call(to, |core, now, effects| {
                    core.on_request(now, origin, request, effects)
                });
            }
            Event::ResponseArrives {
                connection,
                number,
                response,
            } if connection >> 63 == 1 => {
                let n = (connection as u32 >> 2) as usize;
                if self.nodes[n].start == (connection >> 32) as u32 & 0x7fff_ffff {
                    self.call(n, |core, _, effects| {
                        core.on_forward_response(number, response, effects)
                    });
                }
            }
            Event::ResponseArrives {
                connection,
                number,
                response,
            } => self.on_lease_response(connection, number, response),
            Event::Persisted { node, start, write } => self.on_persisted(node, start, write),
            // A timer whose time is not `timer_at` was replaced by an earlier one.
            Event::NodeTimer { node, start }
                if start == self.nodes[node].start && self.now == self.nodes[node].timer_at =>
            {
                self.nodes[node].timer_at = Micros::MAX;
                self.call(node, |core, now, effects| {
                    if core.next_wake(now) <= now {
                        core.on_timer(now, effects);
                    }
                });
            }
            Event::LeaseRenewal { router, start } if start == self.routers[router].start => {
                self.request_lease(router)
            }
            Event::RouterActs { router, start } if start == self.routers[router].start => {
                self.schedule(ROUTER_ACTION_INTERVAL, Event::RouterActs { router, start });
                self.act(router);
            }
            Event::ProposalDue => self.propose(),
            Event::FaultDue => self.inject_fault(),
            Event::CutEnds(cut) => self.cuts.retain(|entry| entry.0 != cut),
            Event::NodeResumes { node, start } if start == self.nodes[node].start => {
                self.nodes[node].is_paused = false;
                for event in std::mem::take(&mut self.nodes[node].postponed) {
                    self.handle(event);
                }
                self.nodes[node].timer_at = Micros::MAX;
                self.schedule_timer(node);
            }
            Event::RouterResumes { router, start } if start == self.routers[router].start => {
                self.routers[router].is_paused = false;
                for event in std::mem::take(&mut self.routers[router].postponed) {
                    self.handle(event);
                }
            }
            Event::NodeStarts { node } if self.nodes[node].core.is_none() => self.start_node(node),
            Event::MembershipChange => self.change_voters(),
            _ => {}
        }
    }
}
