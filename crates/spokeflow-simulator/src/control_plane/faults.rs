//! Drawn faults: processes that are killed or stopped, and ways that are cut.

use rand::RngExt;
use spokeflow_coordination::LeaseHolder;

use super::event::Event;
use super::{World, MS, SECOND};

impl World {
    pub(super) fn fault(&mut self) {
        let next = self.rng.random_range(200 * MS..2500 * MS);
        self.plan(next, Event::Fault);
        self.played.faults += 1;
        let lasts = self.rng.random_range(100 * MS..self.scenario.lease * 2);
        let (k, many) = (self.rng.random_range(0..self.nodes.len()), self.nodes.len());
        let r = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..9) {
            0 | 1 => {
                self.nodes[k].core = None;
                self.nodes[k].stopped = false;
                self.plan(lasts, Event::NodeStarts { keeper: k });
            }
            2 => {
                self.nodes[k].stopped = true;
                let start = self.nodes[k].start;
                self.plan(lasts, Event::NodeResumes { keeper: k, start });
            }
            3 => {
                self.routers[r].stopped = true;
                let start = self.routers[r].start;
                self.plan(lasts, Event::RouterResumes { router: r, start });
            }
            4 => {
                let process = self.rng.random();
                let router = &mut self.routers[r];
                router.start += 1;
                router.stopped = false;
                router.last_response = self.now;
                router.postponed.clear();
                router.lease_holder = LeaseHolder::new(self.config.lease, process, r as u32);
                let start = router.start;
                self.plan(lasts, Event::LeaseRenewal { router: r, start });
                self.plan(lasts, Event::RouterActs { router: r, start });
            }
            5 if self.rng.random_bool(0.2) => {
                for n in 0..many {
                    self.nodes[n].core = None;
                    self.nodes[n].stopped = false;
                    let apart = self.rng.random_range(0..SECOND);
                    self.plan(lasts + apart, Event::NodeStarts { keeper: n });
                }
            }
            kind => {
                let cut = self.planned;
                let router = kind > 6;
                let one = if router { many + r } else { k };
                for other in (0..many).filter(|o| *o != one) {
                    match kind {
                        // Alone; not heard; some of the ways.
                        5 | 7 => self.cuts.extend([(cut, one, other), (cut, other, one)]),
                        6 => self.cuts.push((cut, one, other)),
                        _ if self.rng.random_bool(0.5) => self.cuts.push((cut, one, other)),
                        _ => {}
                    }
                }
                self.plan(lasts, Event::CutEnds(cut));
            }
        }
    }
}
