//! Control-plane nodes: their start, their disk, and what they send.

use rand::RngExt;
use spokeflow_coordination::wire::{Response, ToNode};
use spokeflow_coordination::{Coordinator, CoordinatorConfig, Effects, NodeMessage};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, PersistRequest, PersistentState};

use super::event::{node_connection, Event, OPERATOR};
use super::{World, MS};

pub(super) struct ControlPlaneNode {
    pub(super) core: Option<Coordinator>,
    pub(super) start: u32,
    pub(super) disk: PersistentState,
    pub(super) last_persisted: u64,
    pub(super) stopped: bool,
    pub(super) postponed: Vec<Event>,
    pub(super) clock_rate: f64,
    /// For which instant its wake-up is planned.
    pub(super) timer_at: Micros,
}

impl World {
    pub(super) fn start(&mut self, n: usize) {
        let now = self.clock(self.nodes[n].clock_rate);
        let seed = self.rng.random();
        let own = NodeId(n as u32);
        let mut terms = CoordinatorConfig {
            id: own,
            ..self.config.clone()
        };
        if n >= self.scenario.voters as usize {
            terms.raft.voters.clear();
        }
        let node = &mut self.nodes[n];
        node.start += 1;
        node.stopped = false;
        node.last_persisted = 0;
        node.timer_at = Micros::MAX;
        node.postponed.clear();
        match Coordinator::new(terms, seed, node.disk.clone(), now) {
            Ok(core) => node.core = Some(core),
            Err(what) => self.played.broken = Some(format!("node {n} does not start: {what}")),
        }
        self.wake(n);
    }

    pub(super) fn wake(&mut self, n: usize) {
        let node = &self.nodes[n];
        let Some(core) = &node.core else { return };
        let now = self.clock(node.clock_rate);
        let after = ((core.next_wake(now) - now).max(0) as f64 / node.clock_rate) as Micros + 1;
        // One that is planned for sooner plans the next by itself.
        if node.timer_at <= self.now + after && node.timer_at > self.now {
            return;
        }
        let start = node.start;
        self.nodes[n].timer_at = self.now + after;
        self.plan(after, Event::NodeTimer { keeper: n, start });
    }

    pub(super) fn call(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Coordinator, Micros, &mut Effects),
    ) {
        let now = self.clock(self.nodes[n].clock_rate);
        let mut step = Effects::default();
        let Some(core) = &mut self.nodes[n].core else {
            return;
        };
        act(core, now, &mut step);
        let start = self.nodes[n].start;
        if step.config_changed {
            self.record_revisions(n);
        }
        for write in step.persist_requests {
            let after = self.rng.random_range(
                MS..if self.scenario.faulty {
                    20 * MS
                } else {
                    3 * MS
                },
            );
            self.plan(
                after,
                Event::Persisted {
                    keeper: n,
                    start,
                    write: Box::new(write),
                },
            );
        }
        for NodeMessage { to, message } in step.messages {
            self.send_to_node(n, to.0 as usize, message);
        }
        for answer in step.responses {
            self.answer(n, answer.connection, answer.number, answer.response);
        }
        self.wake(n);
    }

    /// Node `n` has another state of the configuration: when its revisions were first known and in force.
    fn record_revisions(&mut self, n: usize) {
        let Some(core) = &self.nodes[n].core else {
            return;
        };
        let config = core.config();
        let newest = config.newest().0;
        let in_force = config.in_force.number.0;
        for revision in 1..=newest {
            self.first_known.entry(revision).or_insert(self.now);
        }
        for revision in 1..=in_force {
            self.first_in_force.entry(revision).or_insert(self.now);
        }
    }

    fn send_to_node(&mut self, from: usize, to: usize, message: ToNode) {
        match message {
            ToNode::Request {
                number,
                request: ask,
            } => {
                let conn = node_connection(from, self.nodes[from].start);
                self.send(from, to, || Event::RequestArrives {
                    to,
                    conn,
                    number,
                    ask: ask.clone(),
                });
            }
            ToNode::Hello { .. } => {}
            ToNode::Raft(message) => {
                self.send(from, to, || Event::RaftMessage {
                    to,
                    from,
                    message: message.clone(),
                });
            }
        }
    }

    fn answer(&mut self, from: usize, conn: u64, number: u64, answer: Response) {
        if conn == OPERATOR {
            // At once: when a person hears of it says nothing of the routers.
            return self.heard_by_person(answer);
        }
        let to = match conn >> 63 {
            1 => (conn as u32 >> 2) as usize,
            _ => self.nodes.len() + (conn as u32 >> 1) as usize,
        };
        self.send(from, to, || Event::ResponseArrives {
            conn,
            number,
            answer: answer.clone(),
        });
    }

    fn heard_by_person(&mut self, answer: Response) {
        if matches!(answer, Response::Proposed(_) | Response::Invalid(_)) {
            self.pending_proposal = None;
        }
    }

    pub(super) fn on_persisted(&mut self, keeper: usize, start: u32, write: Box<PersistRequest>) {
        let node = &mut self.nodes[keeper];
        if start != node.start || node.core.is_none() {
            return;
        }
        if write.sequence != node.last_persisted + 1 {
            return self.plan(
                MS,
                Event::Persisted {
                    keeper,
                    start,
                    write,
                },
            );
        }
        node.disk.apply(&write);
        node.last_persisted = write.sequence;
        self.call(keeper, |k, now, step| {
            k.on_persisted(now, write.sequence, step)
        });
    }
}
