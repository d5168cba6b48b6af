//! Processes of keepers: their start, their disk, and what they send.

use rand::RngExt;
use spokeflow_coordination::wire::{Answer, ToKeeper};
use spokeflow_coordination::{Keeper, KeeperTerms, Step};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, PersistRequest, PersistentState};

use super::event::{keeper_conn, What, PERSON};
use super::{World, MS};

pub(super) struct KeeperNode {
    pub(super) core: Option<Keeper>,
    pub(super) start: u32,
    pub(super) disk: PersistentState,
    pub(super) wrote: u64,
    pub(super) stopped: bool,
    pub(super) kept: Vec<What>,
    pub(super) rate: f64,
    /// For which instant its wake-up is planned.
    pub(super) wakes: Micros,
}

impl World {
    pub(super) fn start(&mut self, n: usize) {
        let now = self.clock(self.keepers[n].rate);
        let seed = self.chance.random();
        let own = NodeId(n as u32);
        let mut terms = KeeperTerms {
            own,
            ..self.terms.clone()
        };
        if n >= self.day.keepers as usize {
            terms.quorum.voters.clear();
        }
        let node = &mut self.keepers[n];
        node.start += 1;
        (node.stopped, node.wrote, node.wakes) = (false, 0, Micros::MAX);
        node.kept.clear();
        match Keeper::new(terms, seed, node.disk.clone(), now) {
            Ok(core) => node.core = Some(core),
            Err(what) => self.played.broken = Some(format!("keeper {n} does not start: {what}")),
        }
        self.wake(n);
    }

    pub(super) fn wake(&mut self, n: usize) {
        let node = &self.keepers[n];
        let Some(core) = &node.core else { return };
        let now = self.clock(node.rate);
        let after = ((core.next_wake(now) - now).max(0) as f64 / node.rate) as Micros + 1;
        // One that is planned for sooner plans the next by itself.
        if node.wakes <= self.now + after && node.wakes > self.now {
            return;
        }
        let start = node.start;
        self.keepers[n].wakes = self.now + after;
        self.plan(after, What::Wake { keeper: n, start });
    }

    pub(super) fn call(&mut self, n: usize, act: impl FnOnce(&mut Keeper, Micros, &mut Step)) {
        let now = self.clock(self.keepers[n].rate);
        let mut step = Step::default();
        let Some(core) = &mut self.keepers[n].core else {
            return;
        };
        act(core, now, &mut step);
        let start = self.keepers[n].start;
        if step.changed {
            let ledger = self.keepers[n].core.as_ref().map(Keeper::ledger);
            let known = ledger
                .map(|l| (l.newest().0, l.in_force.number.0))
                .unwrap_or_default();
            for r in 1..=known.0 {
                self.told.entry(r).or_insert(self.now);
            }
            for r in 1..=known.1 {
                self.forced.entry(r).or_insert(self.now);
            }
        }
        for write in step.writes {
            let after = self
                .chance
                .random_range(MS..if self.day.faulty { 20 * MS } else { 3 * MS });
            self.plan(
                after,
                What::Synced {
                    keeper: n,
                    start,
                    write: Box::new(write),
                },
            );
        }
        for (to, message) in step.to_keepers {
            let to = to.0 as usize;
            match message {
                ToKeeper::Ask { number, ask } => {
                    let conn = keeper_conn(n, start);
                    self.send(n, to, || What::Asks {
                        to,
                        conn,
                        number,
                        ask: ask.clone(),
                    });
                }
                ToKeeper::Hello { .. } => {}
                ToKeeper::Quorum(message) => {
                    self.send(n, to, || What::Quorum {
                        to,
                        from: n,
                        message: message.clone(),
                    });
                }
            }
        }
        for (conn, number, answer) in step.answers {
            self.answer(n, conn, number, answer);
        }
        self.wake(n);
    }

    fn answer(&mut self, from: usize, conn: u64, number: u64, answer: Answer) {
        if conn == PERSON {
            // At once: when a person hears of it says nothing of the routers.
            return self.heard_by_person(answer);
        }
        let to = match conn >> 63 {
            1 => (conn as u32 >> 2) as usize,
            _ => self.keepers.len() + (conn as u32 >> 1) as usize,
        };
        self.send(from, to, || What::Answers {
            conn,
            number,
            answer: answer.clone(),
        });
    }

    fn heard_by_person(&mut self, answer: Answer) {
        if matches!(answer, Answer::Offered(_) | Answer::Bad(_)) {
            self.offer = None;
        }
    }

    pub(super) fn on_persisted(&mut self, keeper: usize, start: u32, write: Box<PersistRequest>) {
        let node = &mut self.keepers[keeper];
        if start != node.start || node.core.is_none() {
            return;
        }
        if write.sequence != node.wrote + 1 {
            return self.plan(
                MS,
                What::Synced {
                    keeper,
                    start,
                    write,
                },
            );
        }
        node.disk.apply(&write);
        node.wrote = write.sequence;
        self.call(keeper, |k, now, step| {
            k.on_persisted(now, write.sequence, step)
        });
    }
}
