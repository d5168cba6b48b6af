//! A cluster in simulated time.
//!
//! Messages are delayed, lost, duplicated and reordered, links are cut, clocks run up to 1% fast or slow, and nodes are
//! paused, or killed with the loss of their unsynced writes. Each step checks that each term has at most one leader,
//! that at most one node may act as leader, and that all nodes apply the same log in order.

mod checks;
mod faults;
mod load;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_core::Micros;
use spokeflow_raft::{
    Entry, LogIndex, Message, NodeId, Output, PersistRequest, PersistentState, RaftConfig,
    RaftNode, Term,
};

use super::common::config;
use faults::CutLink;
use load::AcceptedCommand;

pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MS;

/// Size of a cluster and whether faults are injected.
#[derive(Clone, Copy)]
pub(crate) struct ClusterOptions {
    pub(crate) seed: u64,
    /// Voters at the start.
    pub(crate) voters: u32,
    /// Nodes that run and do not vote at the start. If there are any, voters are added and removed throughout the run.
    pub(crate) spares: u32,
    pub(crate) faulty: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Deliver {
        to: usize,
        from: NodeId,
        message: Message,
    },
    Sync {
        node: usize,
        start: u32,
        write: PersistRequest,
    },
    Wake {
        node: usize,
        start: u32,
    },
    /// A command with this number is proposed to the acting leader.
    Propose(u64),
    ChangeVoters,
    InjectFault,
    RestoreLinks {
        cut: u64,
    },
    Resume {
        node: usize,
    },
    Restart {
        node: usize,
    },
}

struct SimulatedNode {
    /// `None` while it is down.
    raft: Option<RaftNode>,
    /// Number of starts of its process.
    start: u32,
    disk: PersistentState,
    paused: bool,
    /// Events that came while it was paused, handled when it resumes.
    delayed_events: Vec<Event>,
    clock_rate: f64,
    /// Index up to which entries were applied or restored from a snapshot.
    applied: u64,
    /// The caller's state: a digest of all entries up to `applied`.
    state: u64,
    /// Sequence number of the last synced write of the current process.
    synced: u64,
}

pub(crate) struct Cluster {
    now: Micros,
    rng: StdRng,
    nodes: Vec<SimulatedNode>,
    /// Time and sequence number of each event in `events`.
    schedule: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    cut_links: Vec<CutLink>,
    faulty: bool,
    config: RaftConfig,
    /// By index, the entry that any node has applied as committed.
    pub(crate) committed: BTreeMap<u64, Entry>,
    /// By index, the digest of all entries up to it.
    states: BTreeMap<u64, u64>,
    pub(crate) snapshots_restored: usize,
    pub(crate) voter_changes: usize,
    /// By term, the elected leader.
    leaders: BTreeMap<Term, NodeId>,
    pub(crate) accepted: Vec<AcceptedCommand>,
}

impl Cluster {
    pub(crate) fn new(options: ClusterOptions) -> Cluster {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let nodes = (0..options.voters + options.spares)
            .map(|_| SimulatedNode {
                raft: None,
                start: 0,
                disk: PersistentState::default(),
                paused: false,
                delayed_events: Vec::new(),
                clock_rate: rng.random_range(0.99..1.01),
                applied: 0,
                state: 0,
                synced: 0,
            })
            .collect();
        let mut cluster = Cluster {
            now: SECOND,
            rng,
            nodes,
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            cut_links: Vec::new(),
            faulty: options.faulty,
            config: config(0..options.voters),
            committed: BTreeMap::new(),
            states: BTreeMap::from([(0, 0)]),
            snapshots_restored: 0,
            voter_changes: 0,
            leaders: BTreeMap::new(),
            accepted: Vec::new(),
        };
        (0..cluster.nodes.len()).for_each(|index| cluster.restart(index));
        cluster.schedule(0, Event::Propose(0));
        if options.faulty {
            cluster.schedule(SECOND, Event::InjectFault);
        }
        if options.spares > 0 {
            cluster.schedule(SECOND, Event::ChangeVoters);
        }
        cluster
    }

    /// Returns the number of terms in which a leader was elected.
    pub(crate) fn elections(&self) -> usize {
        self.leaders.len()
    }

    /// Runs all events up to this time.
    pub(crate) fn run(&mut self, until: Micros) {
        while self.schedule.peek().is_some_and(|next| next.0 .0 <= until) {
            let Some(Reverse((at, sequence))) = self.schedule.pop() else {
                return;
            };
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
    }

    /// Ends all faults: restores the links, resumes paused nodes and restarts nodes that are down.
    pub(crate) fn heal(&mut self) {
        self.faulty = false;
        self.cut_links.clear();
        self.events.retain(|_, event| *event != Event::InjectFault);
        for node in 0..self.nodes.len() {
            if self.nodes[node].raft.is_none() {
                self.restart(node);
            }
            self.handle(Event::Resume { node });
        }
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.schedule
            .push(Reverse((self.now + after, self.last_event)));
    }

    /// Returns the current time by this node's clock.
    fn clock(&self, index: usize) -> Micros {
        (self.now as f64 * self.nodes[index].clock_rate) as Micros
    }

    fn restart(&mut self, index: usize) {
        let now = self.clock(index);
        let seed = self.rng.random();
        let id = NodeId(index as u32);
        let mut config = self.config.clone();
        config.voters.retain(|_| self.config.voters.contains(&id));
        let node = &mut self.nodes[index];
        node.start += 1;
        node.paused = false;
        node.applied = node.disk.snapshot.last_included_index.0;
        node.synced = 0;
        node.state = self.states[&node.applied];
        node.delayed_events.clear();
        node.raft = Some(RaftNode::new(id, config, seed, node.disk.clone(), now));
        self.schedule_wake(index);
    }

    fn schedule_wake(&mut self, index: usize) {
        let now = self.clock(index);
        let node = &self.nodes[index];
        let Some(raft) = &node.raft else { return };
        let wait = (raft.next_wake() - now).max(0) as f64 / node.clock_rate;
        let start = node.start;
        self.schedule(wait as Micros + 1, Event::Wake { node: index, start });
    }

    /// Calls a node, carries out its output, and checks the invariants of the cluster.
    fn call(&mut self, index: usize, call: impl FnOnce(&mut RaftNode, Micros, &mut Output)) {
        let now = self.clock(index);
        let mut out = Output::default();
        let Some(raft) = &mut self.nodes[index].raft else {
            return;
        };
        call(raft, now, &mut out);
        self.check_elected(index);
        for write in out.persist_requests {
            // A sync takes up to 30 ms; writes of one node become durable in order.
            let slowest = if self.faulty { 30 * MS } else { 3 * MS };
            let after = self.rng.random_range(MS..slowest);
            self.schedule_sync(index, after, write);
        }
        for sent in out.messages {
            self.send(index, sent.to.0 as usize, sent.message);
        }
        if let Some(snapshot) = out.restored {
            self.restore(index, &snapshot);
        }
        for committed in out.committed {
            self.apply(index, committed);
        }
        self.compact_long_log(index);
        self.check_acting_leader();
    }

    fn schedule_sync(&mut self, node: usize, after: Micros, write: PersistRequest) {
        let start = self.nodes[node].start;
        self.schedule(after, Event::Sync { node, start, write });
    }

    /// Whether the node could act as leader now. True for a paused node as well: it does not act while paused, and has
    /// to check again before it does.
    fn may_act(&self, index: usize) -> bool {
        let raft = self.nodes[index].raft.as_ref();
        raft.is_some_and(|raft| raft.has_recent_quorum(self.clock(index)))
    }

    /// Compacts a log of more than 150 entries, except the last 20 applied ones.
    fn compact_long_log(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let log_len = node.raft.as_ref().map_or(0, RaftNode::log_len);
        let stored = node.disk.snapshot.last_included_index.0;
        if log_len <= 150 || node.applied <= stored + 50 || node.paused {
            return;
        }
        let last_included = node.applied - 20;
        let state = self.states[&last_included].to_be_bytes().to_vec();
        let mut out = Output::default();
        if let Some(raft) = &mut node.raft {
            raft.compact(LogIndex(last_included), state, &mut out);
        }
        for write in out.persist_requests {
            self.schedule_sync(index, 2 * MS, write);
        }
    }

    fn handle(&mut self, event: Event) {
        let receiver = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::Wake { node, .. } | Event::Sync { node, .. } => Some(*node),
            _ => None,
        };
        let is_paused = |node: &SimulatedNode| node.paused && node.raft.is_some();
        if let Some(index) = receiver.filter(|index| is_paused(&self.nodes[*index])) {
            return self.nodes[index].delayed_events.push(event);
        }
        match event {
            Event::Deliver { to, from, message } => {
                self.call(to, |raft, now, out| {
                    raft.on_message(now, from, message, out)
                });
                self.schedule_wake(to);
            }
            Event::Wake { node, start } => self.wake(node, start),
            Event::Sync { node, start, write } => self.sync(node, start, write),
            Event::Propose(number) => self.propose(number),
            Event::ChangeVoters => self.change_voters(),
            Event::InjectFault => self.inject_fault(),
            Event::RestoreLinks { cut } => self.cut_links.retain(|link| link.cut != cut),
            Event::Resume { node } => {
                self.nodes[node].paused = false;
                for delayed in std::mem::take(&mut self.nodes[node].delayed_events) {
                    self.handle(delayed);
                }
            }
            Event::Restart { node } => {
                if self.nodes[node].raft.is_none() {
                    self.restart(node);
                }
            }
        }
    }

    fn wake(&mut self, index: usize, start: u32) {
        let now = self.clock(index);
        let node = &self.nodes[index];
        let is_due = |raft: &RaftNode| raft.next_wake() <= now;
        if start == node.start && node.raft.as_ref().is_some_and(is_due) {
            self.call(index, |raft, now, out| raft.on_timer(now, out));
            self.schedule_wake(index);
        }
    }

    fn sync(&mut self, index: usize, start: u32, write: PersistRequest) {
        let node = &mut self.nodes[index];
        if start != node.start || node.raft.is_none() {
            return;
        }
        // Writes must reach the disk in order: one that was drawn before an earlier one is tried again later.
        if write.sequence != node.synced + 1 {
            return self.schedule_sync(index, MS, write);
        }
        node.disk.apply(&write);
        node.synced = write.sequence;
        self.call(index, |raft, now, out| {
            raft.on_persisted(now, write.sequence, out)
        });
        self.schedule_wake(index);
    }
}
