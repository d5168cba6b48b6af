//! A small model of a deployment: control-plane nodes, routers and an operator, whose events happen in any order.
//!
//! Messages are delivered in any order, late or never; writes are synced late, or lost when a node is killed; time may
//! jump past timers, as if all processes were paused.

mod search;

use std::collections::{BTreeMap, VecDeque};

use spokeflow_coordination::wire::{Request, Response, ToNode};
use spokeflow_coordination::{
    ClientResponse, Coordinator, CoordinatorConfig, Effects, LeaseConfig, LeaseHolder,
    RequestOrigin,
};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, PersistRequest, PersistentState, RaftConfig};

use super::common::proposal;
pub(crate) use search::{search, Counts};

pub(crate) const NODES: usize = 3;
pub(crate) const ROUTERS: usize = 2;
pub(crate) const ELECTION_TIMEOUT: Micros = 300_000;
pub(crate) const LEASE: Micros = 1_200_000;
/// The operator's connection. Responses to the operator are discarded.
const OPERATOR: u64 = 99;

/// A message that was sent and not delivered.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    BetweenNodes {
        from: usize,
        to: usize,
        message: ToNode,
    },
    Request {
        router: usize,
        to: usize,
        number: u64,
        request: Request,
    },
    Response {
        router: usize,
        number: u64,
        response: Response,
    },
}

impl Message {
    /// Whether all control-plane nodes that the message is from or to are among `nodes`.
    fn is_among(&self, nodes: &[usize]) -> bool {
        match self {
            Message::BetweenNodes { from, to, .. } => nodes.contains(from) && nodes.contains(to),
            Message::Request { to, .. } => nodes.contains(to),
            Message::Response { .. } => true,
        }
    }
}

/// Number of events of each kind that may still happen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    pub(crate) losses: u8,
    pub(crate) kills: u8,
    pub(crate) jumps: u8,
    pub(crate) proposals: u8,
    pub(crate) lease_requests: u8,
    pub(crate) wakes: u8,
}

/// The state of the whole deployment, and the revisions seen so far.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) now: Micros,
    pub(crate) nodes: Vec<Coordinator>,
    disks: Vec<PersistentState>,
    pub(crate) unsynced: Vec<VecDeque<PersistRequest>>,
    pub(crate) holders: Vec<LeaseHolder>,
    pub(crate) in_flight: Vec<Message>,
    pub(crate) budget: Budget,
    /// By revision, when a node first had it as pending or in force.
    pub(crate) proposed_at: BTreeMap<u64, Micros>,
    /// By revision, when a node first had it in force.
    pub(crate) in_force_at: BTreeMap<u64, Micros>,
}

const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    duration: LEASE,
    max_clock_drift: 0.0,
};

fn settings(id: usize) -> CoordinatorConfig {
    CoordinatorConfig {
        id: NodeId(id as u32),
        raft: RaftConfig {
            voters: (0..NODES as u32).map(NodeId).collect(),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: ELECTION_TIMEOUT / 3,
            max_clock_drift: 0.0,
        },
        lease: LEASE_CONFIG,
        addresses: BTreeMap::new(),
        check: |_| Ok(()),
    }
}

fn start(id: usize, saved: PersistentState, now: Micros) -> Coordinator {
    Coordinator::new(settings(id), id as u64, saved, now).unwrap()
}

impl World {
    pub(crate) fn new() -> World {
        let node = |id| start(id, PersistentState::default(), 0);
        let holder = |index| LeaseHolder::new(LEASE_CONFIG, index as u64 + 1, index as u32);
        World {
            now: 0,
            nodes: (0..NODES).map(node).collect(),
            disks: vec![PersistentState::default(); NODES],
            unsynced: vec![VecDeque::new(); NODES],
            holders: (0..ROUTERS).map(holder).collect(),
            in_flight: Vec::new(),
            budget: Budget {
                losses: 0,
                kills: 0,
                jumps: 0,
                proposals: 0,
                lease_requests: 0,
                wakes: 0,
            },
            proposed_at: BTreeMap::new(),
            in_force_at: BTreeMap::new(),
        }
    }

    /// Calls a node, takes its effects, and checks all routers.
    fn call(&mut self, node: usize, call: impl FnOnce(&mut Coordinator, Micros, &mut Effects)) {
        let mut effects = Effects::default();
        call(&mut self.nodes[node], self.now, &mut effects);
        self.unsynced[node].extend(effects.persist_requests);
        let messages = effects.messages.into_iter();
        self.in_flight
            .extend(messages.map(|sent| Message::BetweenNodes {
                from: node,
                to: sent.to.0 as usize,
                message: sent.message,
            }));
        let is_for_router = |answered: &ClientResponse| answered.connection != OPERATOR;
        let responses = effects.responses.into_iter().filter(is_for_router);
        self.in_flight
            .extend(responses.map(|answered| Message::Response {
                router: answered.connection as usize,
                number: answered.number,
                response: answered.response,
            }));
        self.record_revisions(node);
        self.check();
    }

    fn record_revisions(&mut self, node: usize) {
        let config = self.nodes[node].config();
        for revision in 1..=config.newest().0 {
            self.proposed_at.entry(revision).or_insert(self.now);
        }
        for revision in 1..=config.in_force.number.0 {
            self.in_force_at.entry(revision).or_insert(self.now);
        }
    }

    /// Checks each router that holds a lease, as it may act at any time.
    fn check(&self) {
        for (router, holder) in self.holders.iter().enumerate() {
            if holder
                .expires_at()
                .is_none_or(|expires_at| self.now >= expires_at)
            {
                continue;
            }
            let in_force = holder.in_force().number.0;
            let newest = holder.newest().0;
            let is_late = |at: &Micros| self.now - at > LEASE;
            let mut unknown = self.proposed_at.range(newest + 1..);
            assert!(
                !unknown.any(|(_, at)| is_late(at)),
                "router {router} lacks a revision after {newest} for longer than a lease: {:?}",
                self.proposed_at
            );
            let mut later = self.in_force_at.range(in_force + 1..);
            assert!(
                !later.any(|(_, at)| is_late(at)),
                "router {router} acts on {in_force}, a later one is in force for longer than a lease"
            );
            assert!(
                self.in_force_at.range(newest + 1..).next().is_none(),
                "router {router} lacks a revision after {newest} that is in force"
            );
        }
    }

    pub(crate) fn deliver(&mut self, position: usize) {
        match self.in_flight.remove(position) {
            Message::BetweenNodes { from, to, message } => {
                let ToNode::Raft(message) = message else {
                    return;
                };
                let from = NodeId(from as u32);
                self.call(to, |node, now, effects| {
                    node.on_message(now, from, message, effects)
                });
            }
            Message::Request {
                router,
                to,
                number,
                request,
            } => {
                let origin = RequestOrigin {
                    connection: router as u64,
                    number,
                    forwarded: true,
                };
                self.call(to, |node, now, effects| {
                    node.on_request(now, origin, request, effects)
                });
            }
            Message::Response {
                router,
                number,
                response,
            } => {
                self.answer_router(router, number, response);
                self.check();
            }
        }
    }

    fn answer_router(&mut self, router: usize, number: u64, response: Response) {
        let Response::Granted(grant) = response else {
            return;
        };
        let holder = &mut self.holders[router];
        if holder.on_grant(number, *grant) {
            let newest = holder.newest();
            holder.set_applied_revision(newest);
        }
    }

    /// Syncs the oldest write of a node.
    pub(crate) fn sync(&mut self, node: usize) {
        let Some(write) = self.unsynced[node].pop_front() else {
            return;
        };
        self.disks[node].apply(&write);
        self.call(node, |node, now, effects| {
            node.on_persisted(now, write.sequence, effects)
        });
    }

    fn wake(&mut self, node: usize) {
        self.call(node, |node, now, effects| node.on_timer(now, effects));
    }

    pub(crate) fn request_lease(&mut self, router: usize, to: usize) {
        let (number, request) = self.holders[router].request(self.now);
        self.in_flight.push(Message::Request {
            router,
            to,
            number,
            request: Request::Lease(request),
        });
    }

    /// The operator proposes the next revision to a node.
    pub(crate) fn propose(&mut self, to: usize) {
        let newest = self.nodes[to].config().newest();
        let request = Request::Propose(proposal(newest.0 + 50, newest));
        let origin = RequestOrigin {
            connection: OPERATOR,
            number: 0,
            forwarded: true,
        };
        self.call(to, |node, now, effects| {
            node.on_request(now, origin, request, effects)
        });
    }

    fn kill(&mut self, node: usize) {
        self.unsynced[node].clear();
        self.nodes[node] = start(node, self.disks[node].clone(), self.now);
    }

    /// Runs these nodes without faults until `done`: messages are delivered and writes synced at once, and timers fire
    /// when due. Messages from or to other nodes are lost.
    pub(crate) fn run_without_faults(&mut self, nodes: &[usize], done: impl Fn(&World) -> bool) {
        for _ in 0..10_000 {
            if done(self) {
                return;
            }
            self.in_flight.retain(|message| message.is_among(nodes));
            let unsynced = nodes.iter().find(|node| !self.unsynced[**node].is_empty());
            if !self.in_flight.is_empty() {
                self.deliver(0);
            } else if let Some(node) = unsynced.copied() {
                self.sync(node);
            } else {
                let now = self.now;
                let wakes = nodes
                    .iter()
                    .map(|node| (self.nodes[*node].next_wake(now), *node));
                let (at, node) = wakes.min().unwrap();
                self.now = now.max(at);
                self.wake(node);
            }
        }
        panic!(
            "the expected state was not reached within 10000 events, at {} us",
            self.now
        );
    }

    /// Returns the node that holds its leader lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..NODES).find(|node| self.nodes[*node].raft().has_leader_lease(self.now))
    }
}
