//! Every order of events of a small model: three nodes, each with a clock of its own that may jump to its next wake-up
//! at any time, messages that are delivered in any order or never, writes that are synced late or lost in a kill.
//! Leases rest on clocks and are left to `simulated_faults.rs`; one leader a term and one log must hold whatever
//! clocks do.

mod common;

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};

use common::{config, ELECTION_TIMEOUT};
use spokeflow_core::Micros;
use spokeflow_raft::{
    Entry, Message, NodeId, Output, PersistRequest, PersistentState, RaftNode, Term,
};

const NODES: usize = 3;

/// A message on its way.
#[derive(Clone, Debug, PartialEq)]
struct InFlight {
    from: NodeId,
    to: NodeId,
    message: Message,
}

/// The state of the whole cluster, and what was seen of it so far.
#[derive(Clone, Debug)]
struct World {
    nodes: Vec<RaftNode>,
    clocks: Vec<Micros>,
    disks: Vec<PersistentState>,
    unsynced: Vec<VecDeque<PersistRequest>>,
    /// Sorted: their order means nothing.
    in_flight: Vec<InFlight>,
    /// By node, the index up to which entries were handed out.
    applied: Vec<u64>,
    /// By node, how often it may still wake up.
    wakes: [u8; NODES],
    /// How often any node may still be killed.
    kills: u8,
    /// By term, who was elected.
    leaders: BTreeMap<Term, NodeId>,
    /// By index, what was committed anywhere.
    committed: BTreeMap<u64, Entry>,
}

impl World {
    fn new(wakes: [u8; NODES], kills: u8) -> World {
        let node = |id| {
            let saved = PersistentState::default();
            RaftNode::new(NodeId(id), config(0..NODES as u32), u64::from(id), saved, 0)
        };
        World {
            nodes: (0..NODES as u32).map(node).collect(),
            // All have been up for the election timeout: any may vote and be voted for.
            clocks: vec![ELECTION_TIMEOUT; NODES],
            disks: vec![PersistentState::default(); NODES],
            unsynced: vec![VecDeque::new(); NODES],
            in_flight: Vec::new(),
            applied: vec![0; NODES],
            wakes,
            kills,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        }
    }

    /// Calls a node and checks what it hands out.
    fn call(&mut self, index: usize, call: impl FnOnce(&mut RaftNode, Micros, &mut Output)) {
        let mut out = Output::default();
        call(&mut self.nodes[index], self.clocks[index], &mut out);
        let id = NodeId(index as u32);
        let node = &self.nodes[index];
        if node.is_leader() {
            let elected = *self.leaders.entry(node.term()).or_insert(id);
            assert_eq!(elected, id, "two leaders in {:?}", node.term());
        }
        self.unsynced[index].extend(out.persist_requests);
        let sent = out.messages.into_iter().map(|sent| InFlight {
            from: id,
            to: sent.to,
            message: sent.message,
        });
        self.in_flight.extend(sent);
        self.in_flight
            .sort_by_key(|in_flight| format!("{in_flight:?}"));
        for committed in out.committed {
            let at = committed.index.0;
            self.applied[index] += 1;
            let known = self
                .committed
                .entry(at)
                .or_insert_with(|| committed.entry.clone());
            assert_eq!(at, self.applied[index], "handed out in order");
            assert_eq!(*known, committed.entry, "another entry at {at}");
        }
    }

    /// All worlds one event away.
    fn successors(&self) -> Vec<World> {
        let mut all = Vec::new();
        for index in 0..NODES {
            if self.wakes[index] > 0 {
                all.push(self.after_wake(index));
            }
            if let Some(write) = self.unsynced[index].front() {
                all.push(self.after_sync(index, write));
            }
            if self.kills > 0 {
                all.push(self.after_kill(index));
            }
        }
        for position in 0..self.in_flight.len() {
            let is_copy = position > 0 && self.in_flight[position] == self.in_flight[position - 1];
            if !is_copy {
                all.push(self.after_delivery(position));
            }
        }
        all
    }

    fn after_wake(&self, index: usize) -> World {
        let mut world = self.clone();
        world.wakes[index] -= 1;
        world.clocks[index] = world.clocks[index].max(world.nodes[index].next_wake());
        world.call(index, |node, now, out| node.on_timer(now, out));
        world
    }

    fn after_sync(&self, index: usize, write: &PersistRequest) -> World {
        let mut world = self.clone();
        world.unsynced[index].pop_front();
        world.disks[index].apply(write);
        world.call(index, |node, now, out| {
            node.on_persisted(now, write.sequence, out)
        });
        world
    }

    fn after_kill(&self, index: usize) -> World {
        let mut world = self.clone();
        world.kills -= 1;
        world.unsynced[index].clear();
        world.applied[index] = 0;
        let id = NodeId(index as u32);
        let saved = self.disks[index].clone();
        world.nodes[index] = RaftNode::new(
            id,
            config(0..NODES as u32),
            index as u64,
            saved,
            self.clocks[index],
        );
        // Long enough for it to vote again.
        world.clocks[index] += ELECTION_TIMEOUT;
        world
    }

    fn after_delivery(&self, position: usize) -> World {
        let mut world = self.clone();
        world.deliver(position);
        world
    }

    fn deliver(&mut self, position: usize) {
        let InFlight { from, to, message } = self.in_flight.remove(position);
        self.call(to.0 as usize, |node, now, out| {
            node.on_message(now, from, message, out)
        });
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Nodes 0 and 1 have each got the pre-vote of 2 for the first term and stand for election; all else is lost.
fn two_candidates(kills: u8) -> World {
    let mut world = World::new([1, 1, 0], kills);
    for candidate in 0..2 {
        world.clocks[candidate] = world.nodes[candidate].next_wake();
        world.call(candidate, |node, now, out| node.on_timer(now, out));
        let other = NodeId(1 - candidate as u32);
        for to in [2, candidate as u32] {
            let position = world
                .in_flight
                .iter()
                .position(|in_flight| in_flight.to == NodeId(to) && in_flight.from != other)
                .unwrap();
            world.deliver(position);
        }
        world.in_flight.clear();
    }
    world.wakes = [0; NODES];
    world
}

/// What a search has met.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    worlds: usize,
    /// Worlds in which a leader was elected.
    elected: usize,
    /// Worlds in which an entry was committed.
    committed: usize,
}

/// Visits every world within `depth` events.
fn search(from: World, depth: usize) -> Counts {
    let mut seen = HashSet::new();
    let mut frontier = vec![from];
    let mut counts = Counts::default();
    for _ in 0..depth {
        let mut reached = Vec::new();
        for world in frontier {
            for next in world.successors() {
                if seen.insert(next.fingerprint()) {
                    counts.worlds += 1;
                    counts.elected += usize::from(!next.leaders.is_empty());
                    counts.committed += usize::from(!next.committed.is_empty());
                    reached.push(next);
                }
            }
        }
        frontier = reached;
    }
    counts
}

#[test]
fn every_order_of_one_election_keeps_one_leader_and_one_log() {
    let counts = search(World::new([1, 0, 0], 0), 30);
    println!("one election: {counts:?}");
    assert!(counts.elected > 100 && counts.committed > 100, "{counts:?}");
}

#[test]
fn every_order_of_two_candidates_and_a_kill_keeps_one_leader() {
    let depth = std::env::var("SPOKEFLOW_SEARCH_DEPTH")
        .ok()
        .and_then(|depth| depth.parse().ok())
        .unwrap_or(12);
    let counts = search(World::new([1, 1, 0], 1), depth);
    println!("two candidates and a kill, to depth {depth}: {counts:?}");
    assert!(
        counts.worlds > 50_000 && counts.elected > 10_000,
        "{counts:?}"
    );
}

/// Two stand in one term, and what they wrote or were promised may be lost in two kills.
#[test]
fn every_order_of_two_vote_requests_in_one_term_keeps_one_leader() {
    let counts = search(two_candidates(2), 12);
    println!("two requests in one term: {counts:?}");
    assert!(
        counts.worlds > 5_000 && counts.elected > 1_000,
        "{counts:?}"
    );
}
