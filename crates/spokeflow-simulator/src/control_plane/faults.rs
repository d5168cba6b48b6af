//! Random faults: processes that are killed or paused, and links that are cut.

use rand::RngExt;
use spokeflow_coordination::LeaseHolder;

use super::event::Event;
use super::{World, MS, SECOND};

impl World {
    /// Injects a random fault and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let next = self.rng.random_range(200 * MS..2500 * MS);
        self.schedule(next, Event::FaultDue);
        self.result.faults += 1;
        let duration = self.rng.random_range(100 * MS..self.scenario.lease * 2);
        let (node, node_count) = (self.rng.random_range(0..self.nodes.len()), self.nodes.len());
        let router = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..9) {
            0 | 1 => {
                self.nodes[node].core = None;
                self.nodes[node].is_paused = false;
                self.schedule(duration, Event::NodeStarts { node });
            }
            2 => {
                self.nodes[node].is_paused = true;
                let start = self.nodes[node].start;
                self.schedule(duration, Event::NodeResumes { node, start });
            }
            3 => {
                self.routers[router].is_paused = true;
                let start = self.routers[router].start;
                self.schedule(duration, Event::RouterResumes { router, start });
            }
            4 => {
                let process_id = self.rng.random();
                let state = &mut self.routers[router];
                state.start += 1;
                state.is_paused = false;
                state.last_response_at = self.now;
                state.postponed.clear();
                state.lease_holder = LeaseHolder::new(self.config.lease, process_id, router as u32);
                let start = state.start;
                self.schedule(duration, Event::LeaseRenewal { router, start });
                self.schedule(duration, Event::RouterActs { router, start });
            }
            5 if self.rng.random_bool(0.2) => {
                for n in 0..node_count {
                    self.nodes[n].core = None;
                    self.nodes[n].is_paused = false;
                    let stagger = self.rng.random_range(0..SECOND);
                    self.schedule(duration + stagger, Event::NodeStarts { node: n });
                }
            }
            kind => {
                let cut = self.last_event;
                let is_router = kind > 6;
                let target = if is_router { node_count + router } else { node };
                for peer in (0..node_count).filter(|peer| *peer != target) {
                    match kind {
                        // Messages are lost in both directions, from the target, or from it to some nodes.
                        5 | 7 => self.cuts.extend([(cut, target, peer), (cut, peer, target)]),
                        6 => self.cuts.push((cut, target, peer)),
                        _ if self.rng.random_bool(0.5) => self.cuts.push((cut, target, peer)),
                        _ => {}
                    }
                }
                self.schedule(duration, Event::CutEnds(cut));
            }
        }
    }
}
