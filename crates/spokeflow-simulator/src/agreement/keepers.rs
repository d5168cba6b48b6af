//! Processes of keepers: their start, their disk, and what they send.

use rand::RngExt;
use spokeflow_coordination::wire::{Response, ToNode};
use spokeflow_coordination::{Coordinator, CoordinatorConfig, Effects, NodeMessage};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, PersistRequest, PersistentState};

use super::event::{keeper_conn, What, PERSON};
use super::{World, MS};

pub(super) struct KeeperNode {
    pub(super) core: Option<Coordinator>,
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
        let mut terms = CoordinatorConfig {
            id: own,
            ..self.terms.clone()
        };
        if n >= self.day.keepers as usize {
            terms.raft.voters.clear();
        }
        let node = &mut self.keepers[n];
        node.start += 1;
        (node.stopped, node.wrote, node.wakes) = (false, 0, Micros::MAX);
        node.kept.clear();
        match Coordinator::new(terms, seed, node.disk.clone(), now) {
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

    pub(super) fn call(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Coordinator, Micros, &mut Effects),
    ) {
        let now = self.clock(self.keepers[n].rate);
        let mut step = Effects::default();
        let Some(core) = &mut self.keepers[n].core else {
            return;
        };
        act(core, now, &mut step);
        let start = self.keepers[n].start;
        if step.config_changed {
            let ledger = self.keepers[n].core.as_ref().map(Coordinator::config);
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
        for write in step.persist_requests {
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
        for NodeMessage { to, message } in step.messages {
            let to = to.0 as usize;
            match message {
                ToNode::Request {
                    number,
                    request: ask,
                } => {
                    let conn = keeper_conn(n, start);
                    self.send(n, to, || What::Asks {
                        to,
                        conn,
                        number,
                        ask: ask.clone(),
                    });
                }
                ToNode::Hello { .. } => {}
                ToNode::Raft(message) => {
                    self.send(n, to, || What::Quorum {
                        to,
                        from: n,
                        message: message.clone(),
                    });
                }
            }
        }
        for answer in step.responses {
            self.answer(n, answer.connection, answer.number, answer.response);
        }
        self.wake(n);
    }

    fn answer(&mut self, from: usize, conn: u64, number: u64, answer: Response) {
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

    fn heard_by_person(&mut self, answer: Response) {
        if matches!(answer, Response::Proposed(_) | Response::Invalid(_)) {
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
