//! Every order of events of a small model: three members, each with a clock of its own that may jump to its next
//! wake-up at any time, messages that are delivered in any order or never, writes that are synced late or lost in a
//! kill. Leases rest on clocks and are left to `days.rs`; one leader a term and one log must hold whatever clocks do.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};

use spokeflow_core::Micros;
use spokeflow_raft::{
    Entry, Message, NodeId, Output, PersistRequest, PersistentState, RaftConfig, RaftNode, Term,
};

const MEMBERS: usize = 3;

#[derive(Clone, Debug)]
struct World {
    members: Vec<RaftNode>,
    clocks: Vec<Micros>,
    disks: Vec<PersistentState>,
    unsynced: Vec<VecDeque<PersistRequest>>,
    /// On their way, from and to; in an order that says nothing.
    out: Vec<(NodeId, NodeId, Message)>,
    done: Vec<u64>,
    /// How often each may still wake, and all together be killed.
    wakes: [u8; MEMBERS],
    kills: u8,
    elected: BTreeMap<Term, NodeId>,
    log: BTreeMap<u64, Entry>,
}

fn terms() -> RaftConfig {
    let members = (0..MEMBERS as u32).map(NodeId).collect();
    RaftConfig {
        voters: members,
        election_timeout: 300_000,
        heartbeat_interval: 60_000,
        max_clock_drift: 0.01,
    }
}

impl World {
    fn new(wakes: [u8; MEMBERS], kills: u8) -> World {
        let member = |n| {
            RaftNode::new(
                NodeId(n),
                terms(),
                u64::from(n),
                PersistentState::default(),
                0,
            )
        };
        World {
            members: (0..MEMBERS as u32).map(member).collect(),
            // All have been up for the least silence: any may vote and be voted for.
            clocks: vec![300_000; MEMBERS],
            disks: vec![PersistentState::default(); MEMBERS],
            unsynced: vec![VecDeque::new(); MEMBERS],
            out: Vec::new(),
            done: vec![0; MEMBERS],
            wakes,
            kills,
            elected: BTreeMap::new(),
            log: BTreeMap::new(),
        }
    }

    fn call(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut RaftNode, Micros, &mut Output),
    ) -> Result<(), String> {
        let mut out = Output::default();
        act(&mut self.members[n], self.clocks[n], &mut out);
        let (id, member) = (NodeId(n as u32), &self.members[n]);
        if member.is_leader() && *self.elected.entry(member.term()).or_insert(id) != id {
            return Err(format!("two leaders in {:?}", member.term()));
        }
        self.unsynced[n].extend(out.persist_requests);
        self.out.extend(
            out.messages
                .into_iter()
                .map(|(to, message)| (id, to, message)),
        );
        self.out.sort_by_key(|m| format!("{m:?}"));
        for (place, entry) in out.committed {
            self.done[n] += 1;
            if place.0 != self.done[n]
                || *self.log.entry(place.0).or_insert_with(|| entry.clone()) != entry
            {
                return Err(format!("another entry at {place:?}"));
            }
        }
        Ok(())
    }

    /// All worlds one event away.
    fn next(&self) -> Result<Vec<World>, String> {
        let mut all = Vec::new();
        for n in 0..MEMBERS {
            if self.wakes[n] > 0 {
                let mut world = self.clone();
                world.wakes[n] -= 1;
                world.clocks[n] = world.clocks[n].max(world.members[n].next_wake());
                world.call(n, |m, now, out| m.on_timer(now, out))?;
                all.push(world);
            }
            if let Some(write) = self.unsynced[n].front() {
                let mut world = self.clone();
                world.unsynced[n].pop_front();
                world.disks[n].apply(write);
                world.call(n, |m, now, out| m.on_persisted(now, write.sequence, out))?;
                all.push(world);
            }
            if self.kills > 0 {
                let mut world = self.clone();
                world.kills -= 1;
                world.unsynced[n].clear();
                world.done[n] = 0;
                let (id, saved) = (NodeId(n as u32), self.disks[n].clone());
                world.members[n] = RaftNode::new(id, terms(), n as u64, saved, self.clocks[n]);
                // Long enough for it to vote again.
                world.clocks[n] += 300_000;
                all.push(world);
            }
        }
        for k in 0..self.out.len() {
            if k > 0 && self.out[k] == self.out[k - 1] {
                continue;
            }
            let mut world = self.clone();
            let (from, to, message) = world.out.remove(k);
            world.call(to.0 as usize, |m, now, out| {
                m.on_message(now, from, message, out)
            })?;
            all.push(world);
        }
        Ok(all)
    }

    fn mark(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Members 0 and 1 have each heard from 2 that it would vote for them in the first term, and stand; all else is lost.
fn two_stand(kills: u8) -> World {
    let mut world = World::new([1, 1, 0], kills);
    for n in 0..2 {
        world.clocks[n] = world.members[n].next_wake();
        world.call(n, |m, now, out| m.on_timer(now, out)).unwrap();
        for to in [2, n as u32] {
            let k = world
                .out
                .iter()
                .position(|m| m.1 == NodeId(to) && m.0 != NodeId(1 - n as u32))
                .unwrap();
            let (from, to, message) = world.out.remove(k);
            world
                .call(to.0 as usize, |m, now, out| {
                    m.on_message(now, from, message, out)
                })
                .unwrap();
        }
        world.out.clear();
    }
    world.wakes = [0; MEMBERS];
    world
}

/// Worlds seen, in how many a leader was elected, and in how many something was committed.
fn search(from: World, depth: usize) -> Result<[usize; 3], String> {
    let mut seen = HashSet::new();
    let mut edge = vec![from];
    let mut counts = [0; 3];
    for _ in 0..depth {
        let mut further = Vec::new();
        for world in edge {
            for next in world.next()? {
                if seen.insert(next.mark()) {
                    counts[0] += 1;
                    counts[1] += usize::from(!next.elected.is_empty());
                    counts[2] += usize::from(!next.log.is_empty());
                    further.push(next);
                }
            }
        }
        edge = further;
    }
    Ok(counts)
}

#[test]
fn every_order_of_one_election_keeps_one_leader_and_one_log() {
    let [worlds, elected, committed] = search(World::new([1, 0, 0], 0), 30).unwrap();
    println!("{worlds} worlds, a leader in {elected}, an entry committed in {committed}");
    assert!(
        elected > 100 && committed > 100,
        "{worlds} {elected} {committed}"
    );
}

#[test]
fn every_order_of_two_that_stand_and_a_kill_keeps_one_leader() {
    let depth = std::env::var("SPOKEFLOW_SEARCH_DEPTH")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(12);
    let [worlds, elected, committed] = search(World::new([1, 1, 0], 1), depth).unwrap();
    println!("{worlds} worlds to depth {depth}, a leader in {elected}, an entry committed in {committed}");
    assert!(
        worlds > 50_000 && elected > 10_000,
        "{worlds} {elected} {committed}"
    );
}

/// Two stand in one term, and what they wrote or were promised may be lost in two kills.
#[test]
fn every_order_of_two_requests_in_one_term_keeps_one_leader() {
    let [worlds, elected, committed] = search(two_stand(2), 12).unwrap();
    println!("{worlds} worlds, a leader in {elected}, an entry committed in {committed}");
    assert!(
        worlds > 5_000 && elected > 1_000,
        "{worlds} {elected} {committed}"
    );
}
