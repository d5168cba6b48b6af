//! Control-plane nodes: their start, their disk, and the messages that they send.

use rand::RngExt;
use spokeflow_coordination::wire::{Response, ToNode};
use spokeflow_coordination::{Coordinator, CoordinatorConfig, Effects, NodeMessage};
use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, PersistRequest, PersistentState};

use super::event::{node_connection, Event, OPERATOR};
use super::{World, MS};

/// A control-plane node, with its current process.
pub(super) struct ControlPlaneNode {
    /// `None` while no process runs.
    pub(super) core: Option<Coordinator>,
    /// How often the node was started.
    pub(super) start: u32,
    /// The state that has been persisted, which survives a restart.
    pub(super) disk: PersistentState,
    /// The sequence number of the last write that this process has persisted.
    pub(super) last_persisted: u64,
    pub(super) is_paused: bool,
    /// Events that arrived while the process was paused.
    pub(super) postponed: Vec<Event>,
    /// Time on the node's clock per simulated time.
    pub(super) clock_rate: f64,
    /// When the next timer is due; `Micros::MAX` for none.
    pub(super) timer_at: Micros,
}

impl World {
    pub(super) fn start_node(&mut self, n: usize) {
        let now = self.clock(self.nodes[n].clock_rate);
        let seed = self.rng.random();
        let id = NodeId(n as u32);
        let mut config = CoordinatorConfig {
            id,
            ..self.config.clone()
        };
        if n >= self.scenario.voters as usize {
            config.raft.voters.clear();
        }
        let node = &mut self.nodes[n];
        node.start += 1;
        node.is_paused = false;
        node.last_persisted = 0;
        node.timer_at = Micros::MAX;
        node.postponed.clear();
        match Coordinator::new(config, seed, node.disk.clone(), now) {
            Ok(core) => node.core = Some(core),
            Err(error) => {
                self.result.broken = Some(format!("node {n} failed to start: {error}"));
            }
        }
        self.schedule_timer(n);
    }

    /// Schedules the next timer of node `n`.
    pub(super) fn schedule_timer(&mut self, n: usize) {
        let node = &self.nodes[n];
        let Some(core) = &node.core else { return };
        let now = self.clock(node.clock_rate);
        let after = ((core.next_wake(now) - now).max(0) as f64 / node.clock_rate) as Micros + 1;
        // An earlier timer is scheduled already; handling it schedules the next one.
        if node.timer_at <= self.now + after && node.timer_at > self.now {
            return;
        }
        let start = node.start;
        self.nodes[n].timer_at = self.now + after;
        self.schedule(after, Event::NodeTimer { node: n, start });
    }

    /// Runs `act` on node `n` with its clock, and schedules the effects.
    pub(super) fn call(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Coordinator, Micros, &mut Effects),
    ) {
        let now = self.clock(self.nodes[n].clock_rate);
        let mut effects = Effects::default();
        let Some(core) = &mut self.nodes[n].core else {
            return;
        };
        act(core, now, &mut effects);
        let start = self.nodes[n].start;
        if effects.config_changed {
            self.record_revisions(n);
        }
        for write in effects.persist_requests {
            let after = self.rng.random_range(
                MS..if self.scenario.faulty {
                    20 * MS
                } else {
                    3 * MS
                },
            );
            self.schedule(
                after,
                Event::Persisted {
                    node: n,
                    start,
                    write: Box::new(write),
                },
            );
        }
        for NodeMessage { to, message } in effects.messages {
            self.send_to_node(n, to.0 as usize, message);
        }
        for response in effects.responses {
            self.send_response(n, response.connection, response.number, response.response);
        }
        self.schedule_timer(n);
    }

    /// Records the time of revisions that are known or in force on node `n` before any other.
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
            ToNode::Request { number, request } => {
                let connection = node_connection(from, self.nodes[from].start);
                self.send(from, to, || Event::RequestArrives {
                    to,
                    connection,
                    number,
                    request: request.clone(),
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

    fn send_response(&mut self, from: usize, connection: u64, number: u64, response: Response) {
        if connection == OPERATOR {
            // The operator receives responses without delay: routers do not depend on when.
            return self.on_operator_response(response);
        }
        let to = match connection >> 63 {
            1 => (connection as u32 >> 2) as usize,
            _ => self.nodes.len() + (connection as u32 >> 1) as usize,
        };
        self.send(from, to, || Event::ResponseArrives {
            connection,
            number,
            response: response.clone(),
        });
    }

    fn on_operator_response(&mut self, response: Response) {
        if matches!(response, Response::Proposed(_) | Response::Invalid(_)) {
            self.pending_proposal = None;
        }
    }

    /// Persists a write; one whose predecessor is not persisted yet is tried again later.
    pub(super) fn on_persisted(&mut self, node: usize, start: u32, write: Box<PersistRequest>) {
        let slot = &mut self.nodes[node];
        if start != slot.start || slot.core.is_none() {
            return;
        }
        if write.sequence != slot.last_persisted + 1 {
            return self.schedule(MS, Event::Persisted { node, start, write });
        }
        slot.disk.apply(&write);
        slot.last_persisted = write.sequence;
        self.call(node, |core, now, effects| {
            core.on_persisted(now, write.sequence, effects)
        });
    }
}
