//! Days of a few keepers in simulated time: messages are late, lost, doubled and overtake each other, ways are cut, clocks
//! run up to 1% off, members stop and go on, and are killed with what they had not synced.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_core::Micros;
use spokeflow_raft::{
    Entry, LogIndex, Message, NodeId, Output, Payload, PersistRequest, PersistentState, RaftConfig,
    RaftNode, Term,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

#[derive(Clone, Debug, PartialEq, Eq)]
enum What {
    Arrives {
        to: usize,
        from: NodeId,
        message: Message,
    },
    Synced {
        member: usize,
        start: u32,
        write: PersistRequest,
    },
    Wake {
        member: usize,
        start: u32,
    },
    Offer(u64),
    /// Takes a member in or out.
    Change,
    Fault,
    Mend {
        cut: u64,
    },
    Goes {
        member: usize,
    },
    Restart {
        member: usize,
    },
}

struct Keeper {
    /// `None` while it is dead.
    member: Option<RaftNode>,
    start: u32,
    disk: PersistentState,
    stopped: bool,
    /// What came while it was stopped.
    kept: Vec<What>,
    rate: f64,
    /// The place up to which entries were handed out or restored, the sum over them as the caller's state, and writes
    /// synced, by the present process.
    done: u64,
    state: u64,
    wrote: u64,
}

struct Day {
    now: Micros,
    chance: StdRng,
    keepers: Vec<Keeper>,
    due: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    whats: BTreeMap<usize, What>,
    planned: u64,
    /// Ways that are cut, from and to, by number of the cut.
    cuts: Vec<(u64, usize, usize)>,
    faulty: bool,
    terms: RaftConfig,
    /// What was committed anywhere, and who was elected in each term.
    log: BTreeMap<u64, Entry>,
    /// By place, the sum over all up to it.
    states: BTreeMap<u64, u64>,
    restored: usize,
    changes: usize,
    elected: BTreeMap<Term, NodeId>,
    taken: Vec<(LogIndex, Term, u64)>,
    elections: usize,
}

impl Day {
    /// `spare`: members that are there and not taken in yet.
    fn new(seed: u64, keepers: u32, spare: u32, faulty: bool) -> Day {
        let members = (0..keepers).map(NodeId).collect();
        let terms = RaftConfig {
            voters: members,
            election_timeout: 300 * MS,
            heartbeat_interval: 60 * MS,
            max_clock_drift: 0.01,
        };
        let mut chance = StdRng::seed_from_u64(seed);
        let keepers = (0..keepers + spare).map(|_| Keeper {
            member: None,
            start: 0,
            disk: PersistentState::default(),
            stopped: false,
            kept: Vec::new(),
            rate: chance.random_range(0.99..1.01),
            done: 0,
            state: 0,
            wrote: 0,
        });
        let keepers: Vec<Keeper> = keepers.collect();
        let mut day = Day {
            now: SECOND,
            chance,
            keepers,
            due: BinaryHeap::new(),
            whats: BTreeMap::new(),
            planned: 0,
            cuts: Vec::new(),
            faulty,
            terms,
            log: BTreeMap::new(),
            states: BTreeMap::from([(0, 0)]),
            restored: 0,
            changes: 0,
            elected: BTreeMap::new(),
            taken: Vec::new(),
            elections: 0,
        };
        (0..day.keepers.len()).for_each(|n| day.restart(n));
        day.plan(0, What::Offer(0));
        if faulty {
            day.plan(SECOND, What::Fault);
        }
        if spare > 0 {
            day.plan(SECOND, What::Change);
        }
        day
    }

    fn plan(&mut self, after: Micros, what: What) {
        self.planned += 1;
        let n = self.planned as usize;
        self.whats.insert(n, what);
        self.due.push(Reverse((self.now + after, self.planned, n)));
    }

    fn clock(&self, n: usize) -> Micros {
        (self.now as f64 * self.keepers[n].rate) as Micros
    }

    fn restart(&mut self, n: usize) {
        let (now, seed) = (self.clock(n), self.chance.random());
        let id = NodeId(n as u32);
        let mut terms = self.terms.clone();
        terms.voters.retain(|_| self.terms.voters.contains(&id));
        let k = &mut self.keepers[n];
        k.start += 1;
        (k.stopped, k.done, k.wrote) = (false, k.disk.snapshot.last_included_index.0, 0);
        k.state = self.states[&k.done];
        k.kept.clear();
        k.member = Some(RaftNode::new(id, terms, seed, k.disk.clone(), now));
        self.wake(n);
    }

    fn wake(&mut self, n: usize) {
        let now = self.clock(n);
        let k = &self.keepers[n];
        let Some(member) = &k.member else { return };
        let after = ((member.next_wake() - now).max(0) as f64 / k.rate) as Micros + 1;
        let start = k.start;
        self.plan(after, What::Wake { member: n, start });
    }

    fn call(&mut self, n: usize, act: impl FnOnce(&mut RaftNode, Micros, &mut Output)) {
        let now = self.clock(n);
        let mut out = Output::default();
        let Some(member) = &mut self.keepers[n].member else {
            return;
        };
        act(member, now, &mut out);
        let (elected, term) = (member.is_leader(), member.term());
        let start = self.keepers[n].start;
        if elected {
            let id = NodeId(n as u32);
            let before = *self.elected.entry(term).or_insert_with(|| {
                self.elections += 1;
                id
            });
            assert_eq!(before, id, "two leaders in {term:?}");
        }
        for write in out.persist_requests {
            // One disk, in order: a sync takes up to 30 ms.
            let after = self
                .chance
                .random_range(MS..if self.faulty { 30 * MS } else { 3 * MS });
            self.plan(
                after,
                What::Synced {
                    member: n,
                    start,
                    write,
                },
            );
        }
        for (to, message) in out.messages {
            self.send(n, to.0 as usize, message);
        }
        if let Some(snapshot) = out.restored {
            let (k, upto) = (&mut self.keepers[n], snapshot.last_included_index.0);
            assert!(upto > k.done, "a snapshot takes nothing back");
            assert_eq!(
                snapshot.state,
                self.states[&upto].to_be_bytes(),
                "another state at {upto}"
            );
            (k.done, k.state, self.restored) = (upto, self.states[&upto], self.restored + 1);
        }
        for (place, entry) in out.committed {
            let k = &mut self.keepers[n];
            assert_eq!(place.0, k.done + 1, "handed out in order");
            k.done = place.0;
            k.state = k
                .state
                .wrapping_mul(31)
                .wrapping_add(place.0 ^ entry.term.0);
            let known = self.log.entry(place.0).or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "two entries at {place:?}");
            assert_eq!(*self.states.entry(place.0).or_insert(k.state), k.state);
        }
        let k = &mut self.keepers[n];
        let many = k.member.as_ref().map_or(0, |m| m.log_len());
        if many > 150 && k.done > k.disk.snapshot.last_included_index.0 + 50 && !k.stopped {
            let (upto, state) = (LogIndex(k.done - 20), self.states[&(k.done - 20)]);
            let mut out = Output::default();
            if let Some(member) = &mut k.member {
                member.compact(upto, state.to_be_bytes().to_vec(), &mut out);
            }
            for write in out.persist_requests {
                let start = self.keepers[n].start;
                self.plan(
                    2 * MS,
                    What::Synced {
                        member: n,
                        start,
                        write,
                    },
                );
            }
        }
        let leads: Vec<usize> = (0..self.keepers.len()).filter(|&m| self.leads(m)).collect();
        assert!(
            leads.len() < 2,
            "two that may act at {}: {leads:?}",
            self.now
        );
    }

    /// Whether it could act at this instant; one that is stopped cannot, and asks again before it does.
    fn leads(&self, n: usize) -> bool {
        let k = &self.keepers[n];
        k.member
            .as_ref()
            .is_some_and(|m| m.has_recent_quorum(self.clock(n)))
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let cut = |day: &Day| day.cuts.iter().any(|c| (c.1, c.2) == (from, to));
        let (lost, twice, late) = if self.faulty {
            (0.04, 0.03, 0.05)
        } else {
            (0.0, 0.0, 0.0)
        };
        if cut(self) || self.chance.random_bool(lost) {
            return;
        }
        let copies = 1 + usize::from(self.chance.random_bool(twice));
        for _ in 0..copies {
            // Some are held for seconds and come when nobody expects them any more.
            let held = self.chance.random_bool(late);
            let after = if held {
                self.chance.random_range(50 * MS..4 * SECOND)
            } else {
                self.chance.random_range(MS..15 * MS)
            };
            let what = What::Arrives {
                to,
                from: NodeId(from as u32),
                message: message.clone(),
            };
            self.plan(after, what);
        }
    }

    fn fault(&mut self) {
        let next = self.chance.random_range(300 * MS..3 * SECOND);
        self.plan(next, What::Fault);
        let (n, many) = (
            self.chance.random_range(0..self.keepers.len()),
            self.keepers.len(),
        );
        let lasts = self.chance.random_range(50 * MS..3 * SECOND);
        match self.chance.random_range(0..5) {
            0 => {
                self.keepers[n].member = None;
                self.plan(lasts, What::Restart { member: n });
            }
            1 => {
                self.keepers[n].stopped = true;
                self.plan(lasts, What::Goes { member: n });
            }
            kind => {
                let cut = self.planned;
                for m in (0..many).filter(|m| *m != n) {
                    // Alone; not heard; hears only some.
                    if kind != 4 || self.chance.random_bool(0.5) {
                        self.cuts.push((cut, n, m));
                    }
                    if kind == 2 {
                        self.cuts.push((cut, m, n));
                    }
                }
                self.plan(lasts, What::Mend { cut });
            }
        }
    }

    fn offer(&mut self, n: u64) {
        self.plan(20 * MS, What::Offer(n + 1));
        for m in 0..self.keepers.len() {
            if self.keepers[m].stopped || !self.leads(m) {
                continue;
            }
            let mut taken = None;
            self.call(m, |member, now, out| {
                taken = member
                    .propose(now, n.to_be_bytes().to_vec(), out)
                    .ok()
                    .map(|p| (p, member.term()));
            });
            self.taken
                .extend(taken.map(|(place, term)| (place, term, n)));
        }
    }

    /// The acting leader takes a spare one in, or another out where there are five; never the same set for long.
    fn change(&mut self) {
        self.plan(900 * MS, What::Change);
        let drawn = self.chance.random_range(0..self.keepers.len() as u32);
        for m in 0..self.keepers.len() {
            if self.keepers[m].stopped || !self.leads(m) {
                continue;
            }
            let mut changed = false;
            self.call(m, |member, now, out| {
                let mut members = member.members().to_vec();
                if !members.contains(&NodeId(drawn)) && members.len() < 5 {
                    members.push(NodeId(drawn));
                } else if members.len() > 3 {
                    members.retain(|k| *k != NodeId(drawn));
                }
                changed = member.propose_membership(now, members, out).is_some();
            });
            self.changes += usize::from(changed);
        }
    }

    /// No further faults; what is cut, stopped or dead comes back.
    fn calm(&mut self) {
        self.faulty = false;
        self.cuts.clear();
        self.whats
            .values_mut()
            .filter(|w| **w == What::Fault)
            .for_each(|w| *w = What::Mend { cut: 0 });
        for n in 0..self.keepers.len() {
            if self.keepers[n].member.is_none() {
                self.restart(n);
            }
            self.happens(What::Goes { member: n });
        }
    }

    fn run(&mut self, until: Micros) {
        while self.due.peek().is_some_and(|due| due.0 .0 <= until) {
            let Some(Reverse((at, _, n))) = self.due.pop() else {
                return;
            };
            self.now = at;
            let what = self.whats.remove(&n).expect("planned");
            self.happens(what);
        }
    }

    fn happens(&mut self, what: What) {
        let whose = match &what {
            What::Arrives { to, .. } => Some(*to),
            What::Wake { member, .. } | What::Synced { member, .. } => Some(*member),
            _ => None,
        };
        if let Some(n) =
            whose.filter(|n| self.keepers[*n].stopped && self.keepers[*n].member.is_some())
        {
            return self.keepers[n].kept.push(what);
        }
        match what {
            What::Arrives { to, from, message } => {
                self.call(to, |m, now, out| m.on_message(now, from, message, out));
                self.wake(to);
            }
            What::Wake { member, start } if start == self.keepers[member].start => {
                let due = self.clock(member);
                if self.keepers[member]
                    .member
                    .as_ref()
                    .is_some_and(|m| m.next_wake() <= due)
                {
                    self.call(member, |m, now, out| m.on_timer(now, out));
                    self.wake(member);
                }
            }
            What::Synced {
                member,
                start,
                write,
            } if start == self.keepers[member].start => {
                if self.keepers[member].member.is_none() {
                    return;
                }
                // Writes reach the disk in their order: one that waits for an earlier one is tried again.
                if write.sequence != self.keepers[member].wrote + 1 {
                    return self.plan(
                        MS,
                        What::Synced {
                            member,
                            start,
                            write,
                        },
                    );
                }
                self.keepers[member].disk.apply(&write);
                self.keepers[member].wrote = write.sequence;
                self.call(member, |m, now, out| {
                    m.on_persisted(now, write.sequence, out)
                });
                self.wake(member);
            }
            What::Offer(n) => self.offer(n),
            What::Change => self.change(),
            What::Fault => self.fault(),
            What::Mend { cut } => self.cuts.retain(|c| c.0 != cut),
            What::Goes { member } => {
                self.keepers[member].stopped = false;
                for what in std::mem::take(&mut self.keepers[member].kept) {
                    self.happens(what);
                }
            }
            What::Restart { member } if self.keepers[member].member.is_none() => {
                self.restart(member);
            }
            _ => {}
        }
    }
}

#[test]
fn in_peace_one_leader_takes_and_commits_all() {
    for keepers in [1, 3, 5, 7] {
        let mut day = Day::new(u64::from(keepers), keepers, 0, false);
        day.run(11 * SECOND);
        assert_eq!(day.elections, 1, "{keepers} keepers");
        // Fifty offers a second, from the election on; the last may be on their way.
        assert!(
            day.taken.len() > 440 && day.log.len() + 3 > day.taken.len(),
            "{} {}",
            day.taken.len(),
            day.log.len()
        );
    }
}

/// Each step checks: one leader a term, never two that may act, one entry a place for good, handed out in order.
#[test]
fn days_of_drawn_faults_keep_one_log_and_one_acting_leader() {
    let (mut elections, mut entries, mut restored, mut changes) = (0, 0, 0, 0);
    for seed in 0..60 {
        let mut day = Day::new(
            seed,
            [3, 5, 3][seed as usize % 3],
            [0, 0, 4][seed as usize % 3],
            true,
        );
        day.run(40 * SECOND);
        let before = day.log.len();
        day.calm();
        day.run(50 * SECOND);
        assert!(
            day.log.len() > before + 200,
            "seed {seed}: {before} entries, {} when mended",
            day.log.len()
        );
        for (place, term, n) in &day.taken {
            if let Some(entry) = day.log.get(&place.0).filter(|e| e.term == *term) {
                assert_eq!(
                    entry.body,
                    Payload::Command(n.to_be_bytes().to_vec()),
                    "seed {seed}: another body at {place:?}"
                );
            }
        }
        (elections, entries) = (elections + day.elections, entries + day.log.len());
        (restored, changes) = (restored + day.restored, changes + day.changes);
    }
    // The days must have had something to break.
    println!("{elections} elections, {entries} entries, {restored} snapshots taken in, {changes} changes");
    assert!(
        elections > 300 && entries > 60 * 500,
        "{elections} elections, {entries} entries"
    );
    assert!(
        restored > 20 && changes > 200,
        "{restored} snapshots taken in, {changes} changes"
    );
}
