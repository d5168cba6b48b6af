//! Every order of events of a small model, to a depth: three keepers, two routers, two offers; messages delivered in any
//! order, late or never; writes synced late or lost in a kill; time that jumps over every timer, as where all processes
//! are stopped. From worlds in which something is under way already: a revision just announced, a leader just elected
//! while another's leases still run. At each world no router that holds a lease contradicts, for longer than a lease,
//! what any keeper has known.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};

use spokeflow_coordination::wire::{Request, Response, ToNode};
use spokeflow_coordination::*;
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, PersistRequest, PersistentState, RaftConfig};

const KEEPERS: usize = 3;
const ROUTERS: usize = 2;
const SILENCE: Micros = 300_000;
const LEASE: Micros = 1_200_000;
const PERSON: u64 = 99;

#[derive(Clone, Debug)]
enum Message {
    ToNode(usize, usize, ToNode),
    Asks(usize, usize, u64, Request),
    Answers(usize, u64, Response),
}

/// How often each may still happen.
#[derive(Clone, Copy, Debug)]
struct Left {
    losses: u8,
    kills: u8,
    jumps: u8,
    offers: u8,
    asks: u8,
    wakes: u8,
}

#[derive(Clone, Debug)]
struct World {
    now: Micros,
    keepers: Vec<Coordinator>,
    disks: Vec<PersistentState>,
    unsynced: Vec<VecDeque<PersistRequest>>,
    holders: Vec<LeaseHolder>,
    wire: Vec<Message>,
    left: Left,
    told: BTreeMap<u64, Micros>,
    forced: BTreeMap<u64, Micros>,
}

fn terms(own: usize) -> CoordinatorConfig {
    CoordinatorConfig {
        id: NodeId(own as u32),
        raft: RaftConfig {
            voters: (0..KEEPERS as u32).map(NodeId).collect(),
            election_timeout: SILENCE,
            heartbeat_interval: SILENCE / 3,
            max_clock_drift: 0.0,
        },
        lease: LeaseConfig {
            duration: LEASE,
            max_clock_drift: 0.0,
        },
        addresses: BTreeMap::new(),
        check: |_| Ok(()),
    }
}

type Outcome = Result<(), String>;

impl World {
    fn new() -> World {
        let keeper =
            |n| Coordinator::new(terms(n), n as u64, PersistentState::default(), 0).unwrap();
        let holder = |n| {
            LeaseHolder::new(
                LeaseConfig {
                    duration: LEASE,
                    max_clock_drift: 0.0,
                },
                n as u64 + 1,
                n as u32,
            )
        };
        World {
            now: 0,
            keepers: (0..KEEPERS).map(keeper).collect(),
            disks: vec![PersistentState::default(); KEEPERS],
            unsynced: vec![VecDeque::new(); KEEPERS],
            holders: (0..ROUTERS).map(holder).collect(),
            wire: Vec::new(),
            left: Left {
                losses: 0,
                kills: 0,
                jumps: 0,
                offers: 0,
                asks: 0,
                wakes: 0,
            },
            told: BTreeMap::new(),
            forced: BTreeMap::new(),
        }
    }

    fn call(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Coordinator, Micros, &mut Effects),
    ) -> Outcome {
        let mut step = Effects::default();
        act(&mut self.keepers[n], self.now, &mut step);
        self.unsynced[n].extend(step.persist_requests);
        for NodeMessage { to, message } in step.messages {
            self.wire.push(Message::ToNode(n, to.0 as usize, message));
        }
        for answer in step
            .responses
            .into_iter()
            .filter(|a| a.connection != PERSON)
        {
            self.wire.push(Message::Answers(
                answer.connection as usize,
                answer.number,
                answer.response,
            ));
        }
        let ledger = self.keepers[n].config();
        let known = (ledger.newest().0, ledger.in_force.number.0);
        for r in 1..=known.0 {
            self.told.entry(r).or_insert(self.now);
        }
        for r in 1..=known.1 {
            self.forced.entry(r).or_insert(self.now);
        }
        self.check()
    }

    /// Every router may act at every instant.
    fn check(&self) -> Outcome {
        for (n, holder) in self.holders.iter().enumerate() {
            if holder.expires_at().is_none_or(|until| self.now >= until) {
                continue;
            }
            let (in_force, newest) = (holder.in_force().number.0, holder.newest().0);
            let late = |at: &Micros| self.now - at > LEASE;
            if self.told.range(newest + 1..).any(|t| late(t.1)) {
                return Err(format!(
                    "router {n} acts on {newest}, {:?} are known for longer than a lease",
                    self.told
                ));
            }
            if self.forced.range(in_force + 1..).any(|t| late(t.1)) {
                return Err(format!(
                    "router {n} acts on {in_force}, a later one is in force for longer than a lease"
                ));
            }
            if self.forced.range(newest + 1..).next().is_some() {
                return Err(format!(
                    "router {n} acts on {newest} and has not heard of one that is in force"
                ));
            }
        }
        Ok(())
    }

    fn deliver(&mut self, k: usize) -> Outcome {
        match self.wire.remove(k) {
            Message::ToNode(from, to, ToNode::Raft(message)) => self.call(to, |k, now, step| {
                k.on_message(now, NodeId(from as u32), message, step)
            }),
            Message::ToNode(..) => Ok(()),
            Message::Asks(router, to, number, ask) => {
                let asker = RequestOrigin {
                    connection: router as u64,
                    number,
                    forwarded: true,
                };
                self.call(to, |k, now, step| k.on_request(now, asker, ask, step))
            }
            Message::Answers(router, number, answer) => {
                if let Response::Granted(grant) = answer {
                    let holder = &mut self.holders[router];
                    if holder.on_grant(number, *grant) {
                        let newest = holder.newest();
                        holder.set_applied_revision(newest);
                    }
                }
                self.check()
            }
        }
    }

    fn sync(&mut self, n: usize) -> Outcome {
        let Some(write) = self.unsynced[n].pop_front() else {
            return Ok(());
        };
        self.disks[n].apply(&write);
        self.call(n, |k, now, step| k.on_persisted(now, write.sequence, step))
    }

    fn ask(&mut self, router: usize, to: usize) {
        let (number, asked) = self.holders[router].request(self.now);
        self.wire
            .push(Message::Asks(router, to, number, Request::Lease(asked)));
    }

    fn offer(&mut self, to: usize) -> Outcome {
        let against = self.keepers[to].config().newest();
        let token = against.0 + 50;
        let (who, why, values) = (String::new(), String::new(), Overrides::new());
        let offer = Proposal {
            token,
            base: against,
            who,
            why,
            at_s: 0,
            values,
        };
        let asker = RequestOrigin {
            connection: PERSON,
            number: 0,
            forwarded: true,
        };
        self.call(to, |k, now, step| {
            k.on_request(now, asker, Request::Propose(offer), step)
        })
    }

    fn kill(&mut self, n: usize) {
        self.unsynced[n].clear();
        self.keepers[n] =
            Coordinator::new(terms(n), n as u64, self.disks[n].clone(), self.now).unwrap();
    }

    /// In peace among these keepers, until it is so: all is delivered and synced at once, timers fire when due.
    fn peace(&mut self, among: &[usize], done: impl Fn(&World) -> bool) {
        for _ in 0..10_000 {
            if done(self) {
                return;
            }
            let away = |m: &Message| match m {
                Message::ToNode(from, to, _) => !among.contains(from) || !among.contains(to),
                Message::Asks(_, to, ..) => !among.contains(to),
                Message::Answers(..) => false,
            };
            self.wire.retain(|m| !away(m));
            if !self.wire.is_empty() {
                self.deliver(0).unwrap();
            } else if let Some(n) = among
                .iter()
                .copied()
                .find(|n| !self.unsynced[*n].is_empty())
            {
                self.sync(n).unwrap();
            } else {
                let now = self.now;
                let (at, n) = among
                    .iter()
                    .map(|&n| (self.keepers[n].next_wake(now), n))
                    .min()
                    .unwrap();
                self.now = now.max(at);
                self.call(n, |k, now, step| k.on_timer(now, step)).unwrap();
            }
        }
        panic!("never so");
    }

    fn leader(&self) -> Option<usize> {
        (0..KEEPERS).find(|n| self.keepers[*n].raft().has_leader_lease(self.now))
    }

    /// All worlds one event away.
    fn next(&self) -> Result<Vec<World>, String> {
        let mut all = Vec::new();
        let mut turn = |change: &dyn Fn(&mut World) -> Outcome| -> Outcome {
            let mut world = self.clone();
            change(&mut world)?;
            all.push(world);
            Ok(())
        };
        for k in 0..self.wire.len() {
            turn(&|w| w.deliver(k))?;
            if self.left.losses > 0 {
                turn(&|w| {
                    w.left.losses -= 1;
                    w.wire.remove(k);
                    Ok(())
                })?;
            }
        }
        for n in 0..KEEPERS {
            if !self.unsynced[n].is_empty() {
                turn(&|w| w.sync(n))?;
            }
            if self.left.kills > 0 {
                turn(&|w| {
                    w.left.kills -= 1;
                    w.kill(n);
                    Ok(())
                })?;
            }
            if self.left.wakes > 0 {
                turn(&|w| {
                    w.left.wakes -= 1;
                    w.now = w.now.max(w.keepers[n].next_wake(w.now));
                    w.call(n, |k, now, step| k.on_timer(now, step))
                })?;
            }
            if self.left.offers > 0 && self.keepers[n].raft().is_leader() {
                turn(&|w| {
                    w.left.offers -= 1;
                    w.offer(n)
                })?;
            }
            for router in (0..ROUTERS).filter(|_| self.left.asks > 0) {
                if self.keepers[n].raft().is_leader() {
                    turn(&|w| {
                        w.left.asks -= 1;
                        w.ask(router, n);
                        Ok(())
                    })?;
                }
            }
        }
        if self.left.jumps > 0 {
            turn(&|w| {
                w.left.jumps -= 1;
                w.now += LEASE * 6 / 10;
                w.check()
            })?;
        }
        Ok(all)
    }

    fn mark(&self) -> u64 {
        let mut wire: Vec<String> = self.wire.iter().map(|m| format!("{m:?}")).collect();
        wire.sort();
        let mut hasher = DefaultHasher::new();
        let rest = (
            &self.now,
            &self.keepers,
            &self.disks,
            &self.unsynced,
            &self.holders,
            &self.left,
        );
        (wire, format!("{rest:?}")).hash(&mut hasher);
        hasher.finish()
    }
}

/// Worlds seen; in how many a revision was in force that was not at the start.
fn search(from: World, depth: usize) -> Result<[usize; 2], String> {
    let (mut seen, mut edge, mut counts) = (HashSet::new(), vec![from.clone()], [0; 2]);
    for _ in 0..depth {
        let mut further = Vec::new();
        for world in edge {
            for next in world.next()? {
                if seen.insert(next.mark()) {
                    counts[0] += 1;
                    counts[1] += usize::from(next.forced.len() > from.forced.len());
                    further.push(next);
                }
            }
        }
        edge = further;
    }
    Ok(counts)
}

fn depth(usual: usize) -> usize {
    std::env::var("SPOKEFLOW_SEARCH_DEPTH")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(usual)
}

/// A leader that has led for longer than a lease, both routers under one.
fn settled() -> World {
    let mut world = World::new();
    world.peace(&[0, 1, 2], |w| w.leader().is_some());
    let begun = world.now;
    world.peace(&[0, 1, 2], |w| w.now > begun + 2 * LEASE);
    let leader = world.leader().unwrap();
    (0..ROUTERS).for_each(|r| world.ask(r, leader));
    world.peace(&[0, 1, 2], |w| {
        w.holders.iter().all(|h| h.expires_at().is_some()) && w.wire.is_empty()
    });
    world
}

#[test]
fn every_order_after_an_offer_keeps_the_bound() {
    let mut world = settled();
    world.left = Left {
        losses: 1,
        kills: 1,
        jumps: 2,
        offers: 2,
        asks: 2,
        wakes: 1,
    };
    let depth = depth(5);
    let [worlds, forced] = search(world, depth).unwrap();
    println!("after an offer: {worlds} worlds to depth {depth}, a revision in force in {forced}");
    assert!(worlds > 10_000, "{worlds}");
}

/// One revision is announced and one router has heard of it; what follows decides when it comes into force.
#[test]
fn every_order_while_a_revision_is_announced_keeps_the_bound() {
    let mut world = settled();
    let leader = world.leader().unwrap();
    world.offer(leader).unwrap();
    world.peace(&[0, 1, 2], |w| w.told.len() == 1 && w.wire.is_empty());
    world.ask(0, leader);
    world.peace(&[0, 1, 2], |w| w.holders[0].newest().0 == 1);
    // The other has not asked since: its lease and the wait for it end a moment from now.
    let told = world.told[&1];
    world.peace(&[0, 1, 2], |w| w.now > told + LEASE - SILENCE / 3);
    world.left = Left {
        losses: 1,
        kills: 1,
        jumps: 1,
        offers: 1,
        asks: 2,
        wakes: 2,
    };
    let depth = depth(5);
    let [worlds, forced] = search(world, depth).unwrap();
    println!("while announced: {worlds} worlds to depth {depth}, a revision in force in {forced}");
    assert!(worlds > 10_000 && forced > 0, "{worlds} {forced}");
}

/// The leader is gone with what it has granted; another has been elected while those leases still run.
#[test]
fn every_order_after_a_change_of_leader_keeps_the_bound() {
    let mut world = settled();
    let first = world.leader().unwrap();
    let others: Vec<usize> = (0..KEEPERS).filter(|n| *n != first).collect();
    // Renewed as late as it can be: the leases are fresh when the next one is elected.
    (0..ROUTERS).for_each(|r| world.ask(r, first));
    world.peace(&[first], |w| w.wire.is_empty());
    world.peace(&others, |w| w.leader().is_some_and(|l| l != first));
    let second = world.leader().unwrap();
    world.offer(second).unwrap();
    world.peace(&others, |w| w.told.len() == 1 && w.wire.is_empty());
    world.left = Left {
        losses: 1,
        kills: 1,
        jumps: 2,
        offers: 1,
        asks: 2,
        wakes: 2,
    };
    let depth = depth(5);
    let [worlds, forced] = search(world, depth).unwrap();
    println!("after a change of leader: {worlds} worlds to depth {depth}, a revision in force in {forced}");
    assert!(worlds > 10_000, "{worlds} {forced}");
}

/// A leader that has just been elected and holds an entry of the one before: it speaks for nothing until that stands.
#[test]
fn every_order_in_which_an_earlier_leaders_offer_comes_to_stand_keeps_the_bound() {
    let mut world = settled();
    let first = world.leader().unwrap();
    let others: Vec<usize> = (0..KEEPERS).filter(|n| *n != first).collect();
    // Laid down by the first, known to be committed by itself alone; it has granted on it, and is gone.
    world.offer(first).unwrap();
    world.peace(&[0, 1, 2], |w| w.told.len() == 1);
    world.ask(0, first);
    world.peace(&[first], |w| w.holders[0].newest().0 == 1);
    world.wire.clear();
    world.peace(&others, |w| {
        others.iter().any(|n| w.keepers[*n].raft().is_leader())
    });
    world.left = Left {
        losses: 1,
        kills: 0,
        jumps: 1,
        offers: 1,
        asks: 2,
        wakes: 1,
    };
    let depth = depth(5);
    let [worlds, forced] = search(world, depth).unwrap();
    println!("an earlier leader's offer: {worlds} worlds to depth {depth}, a revision in force in {forced}");
    assert!(worlds > 10_000, "{worlds} {forced}");
}

/// A leader that has just been elected may hold a committed revision that its ledger does not show yet: others have been
/// granted on it.
#[test]
fn a_leader_whose_own_entry_does_not_stand_yet_grants_nothing() {
    let mut world = settled();
    let first = world.leader().unwrap();
    let others: Vec<usize> = (0..KEEPERS).filter(|n| *n != first).collect();
    world.offer(first).unwrap();
    world.peace(&[0, 1, 2], |w| w.told.len() == 1);
    // RevisionRef to be committed by the first alone, which is gone.
    world.wire.clear();
    world.peace(&others, |w| {
        others.iter().any(|n| w.keepers[*n].raft().is_leader())
    });
    let second = others
        .iter()
        .copied()
        .find(|n| world.keepers[*n].raft().is_leader())
        .unwrap();
    let third = others.iter().copied().find(|n| *n != second).unwrap();
    assert!(
        world.keepers[second].config().pending.is_none(),
        "it does not show yet"
    );
    // The other answers, so that it leads; its own write is not on the disk, so that nothing is committed.
    for _ in 0..20 {
        let Some(k) = world
            .wire
            .iter()
            .position(|m| matches!(m, Message::ToNode(_, to, _) if *to != first))
        else {
            break;
        };
        world.deliver(k).unwrap();
        while !world.unsynced[third].is_empty() {
            world.sync(third).unwrap();
        }
    }
    assert!(
        world.keepers[second].raft().has_recent_quorum(world.now),
        "its lease on leadership holds"
    );
    world.wire.clear();
    world.ask(1, second);
    world.deliver(0).unwrap();
    assert!(
        matches!(world.wire[..], [Message::Answers(1, _, Response::NoLeader)]),
        "{:?}",
        world.wire
    );
    while !world.unsynced[second].is_empty() {
        world.sync(second).unwrap();
    }
    world.wire.clear();
    world.ask(1, second);
    world.deliver(0).unwrap();
    let told = |m: &Message| matches!(m, Message::Answers(1, _, Response::Granted(g)) if g.pending.is_some());
    assert!(told(&world.wire[0]), "{:?}", world.wire);
}
