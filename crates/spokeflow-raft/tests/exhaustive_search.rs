//! Exhaustive search of a small model: three nodes, each with its own clock that may jump to its next wake-up at any
//! time, messages that are delivered in any order or never, and writes that are synced late or lost when a node is
//! killed. Checked are one leader per term and one log, which must hold whatever the clocks do. Leader leases depend on
//! clocks and are tested in `simulated_faults.rs`.

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

/// A message that was sent and not delivered.
#[derive(Clone, Debug, PartialEq)]
struct InFlight {
    from: NodeId,
    to: NodeId,
    message: Message,
}

/// The state of the whole cluster, and the leaders and committed entries seen so far.
#[derive(Clone, Debug)]
struct World {
    nodes: Vec<RaftNode>,
    clocks: Vec<Micros>,
    disks: Vec<PersistentState>,
    unsynced: Vec<VecDeque<PersistRequest>>,
    /// Sorted, so that worlds that differ only in the order of sending have the same fingerprint.
    in_flight: Vec<InFlight>,
    /// By node, the index up to which committed entries were applied.
    applied: Vec<u64>,
    /// By node, the number of wake-ups left.
    wakes: [u8; NODES],
    /// Number of kills left, over all nodes.
    kills: u8,
    /// By term, the elected leader.
    leaders: BTreeMap<Term, NodeId>,
    /// By index, the entry that any node has applied as committed.
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
            // All nodes have been up for one election timeout, so each of them may vote.
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

    /// Calls a node, takes its output and checks it.
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
            assert_eq!(
                at, self.applied[index],
                "committed entries of node {index} are out of order"
            );
            assert_eq!(
                *known, committed.entry,
                "two different entries are committed at index {at}"
            );
        }
    }

    /// Returns all worlds that one event leads to.
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
        // The restarted node may vote again after one election timeout.
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

/// Returns a world in which nodes 0 and 1 have each won the pre-vote of node 2 for the first term and are candidates;
/// all other messages are lost.
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

/// Totals of a search.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    worlds: usize,
    /// Worlds in which a leader was elected.
    elected: usize,
    /// Worlds in which an entry was committed.
    committed: usize,
}

/// Visits every world that at most `depth` events lead to.
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
fn one_election_keeps_one_leader_and_one_log_in_every_order() {
    let counts = search(World::new([1, 0, 0], 0), 30);
    println!("one election: {counts:?}");
    assert!(counts.elected > 100 && counts.committed > 100, "{counts:?}");
}

#[test]
fn two_candidates_and_a_kill_keep_one_leader_in_every_order() {
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

/// Two nodes are candidates in one term, and two kills may lose their unsynced writes or the votes granted to them.
#[test]
fn two_candidates_in_one_term_keep_one_leader_in_every_order() {
    let counts = search(two_candidates(2), 12);
    println!("two requests in one term: {counts:?}");
    assert!(
        counts.worlds > 5_000 && counts.elected > 1_000,
        "{counts:?}"
    );
}
