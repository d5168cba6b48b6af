//! Search of all worlds that a given number of events can lead to.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

use super::{World, LEASE, NODES, ROUTERS};

impl World {
    /// Returns all worlds that one event leads to.
    fn successors(&self) -> Vec<World> {
        let mut successors = Successors::of(self);
        for position in 0..self.in_flight.len() {
            successors.add(|world| world.deliver(position));
            if self.budget.losses > 0 {
                successors.add(|world| {
                    world.budget.losses -= 1;
                    world.in_flight.remove(position);
                });
            }
        }
        for node in 0..NODES {
            self.add_events_of_node(node, &mut successors);
        }
        if self.budget.jumps > 0 {
            successors.add(|world| {
                world.budget.jumps -= 1;
                world.now += LEASE * 6 / 10;
                world.check()
            });
        }
        successors.worlds
    }

    fn add_events_of_node(&self, node: usize, successors: &mut Successors) {
        if !self.unsynced[node].is_empty() {
            successors.add(|world| world.sync(node));
        }
        if self.budget.kills > 0 {
            successors.add(|world| {
                world.budget.kills -= 1;
                world.kill(node);
            });
        }
        if self.budget.wakes > 0 {
            successors.add(|world| {
                world.budget.wakes -= 1;
                world.now = world.now.max(world.nodes[node].next_wake(world.now));
                world.wake(node)
            });
        }
        if !self.nodes[node].raft().is_leader() {
            return;
        }
        if self.budget.proposals > 0 {
            successors.add(|world| {
                world.budget.proposals -= 1;
                world.propose(node)
            });
        }
        for router in (0..ROUTERS).filter(|_| self.budget.lease_requests > 0) {
            successors.add(|world| {
                world.budget.lease_requests -= 1;
                world.request_lease(router, node);
            });
        }
    }

    fn fingerprint(&self) -> u64 {
        let messages = self.in_flight.iter();
        let mut messages: Vec<String> = messages.map(|message| format!("{message:?}")).collect();
        messages.sort();
        let rest = (
            &self.now,
            &self.nodes,
            &self.disks,
            &self.unsynced,
            &self.holders,
            &self.budget,
        );
        let mut hasher = DefaultHasher::new();
        (messages, format!("{rest:?}")).hash(&mut hasher);
        hasher.finish()
    }
}

/// The worlds that one event leads to from another world.
struct Successors<'a> {
    from: &'a World,
    worlds: Vec<World>,
}

impl Successors<'_> {
    fn of(from: &World) -> Successors<'_> {
        Successors {
            from,
            worlds: Vec::new(),
        }
    }

    fn add(&mut self, event: impl FnOnce(&mut World)) {
        let mut world = self.from.clone();
        event(&mut world);
        self.worlds.push(world);
    }
}

/// Totals of a search.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) worlds: usize,
    /// Worlds in which a revision was put in force since the start of the search.
    pub(crate) activated: usize,
}

/// Visits every world that at most `depth` events lead to.
pub(crate) fn search(from: World, depth: usize) -> Counts {
    let in_force_before = from.in_force_at.len();
    let mut seen = HashSet::new();
    let mut frontier = vec![from];
    let mut counts = Counts::default();
    for _ in 0..depth {
        let mut reached = Vec::new();
        for world in frontier {
            for next in world.successors() {
                if seen.insert(next.fingerprint()) {
                    counts.worlds += 1;
                    counts.activated += usize::from(next.in_force_at.len() > in_force_before);
                    reached.push(next);
                }
            }
        }
        frontier = reached;
    }
    counts
}
