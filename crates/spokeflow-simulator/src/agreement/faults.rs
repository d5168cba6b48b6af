//! Drawn faults: processes that are killed or stopped, and ways that are cut.

use rand::RngExt;
use spokeflow_coordination::LeaseHolder;

use super::event::What;
use super::{World, MS, SECOND};

impl World {
    pub(super) fn fault(&mut self) {
        let next = self.chance.random_range(200 * MS..2500 * MS);
        self.plan(next, What::Fault);
        self.played.faults += 1;
        let lasts = self.chance.random_range(100 * MS..self.day.lease * 2);
        let (k, many) = (
            self.chance.random_range(0..self.keepers.len()),
            self.keepers.len(),
        );
        let r = self.chance.random_range(0..self.routers.len());
        match self.chance.random_range(0..9) {
            0 | 1 => {
                self.keepers[k].core = None;
                self.keepers[k].stopped = false;
                self.plan(lasts, What::Start { keeper: k });
            }
            2 => {
                self.keepers[k].stopped = true;
                let start = self.keepers[k].start;
                self.plan(lasts, What::KeeperGoes { keeper: k, start });
            }
            3 => {
                self.routers[r].stopped = true;
                let start = self.routers[r].start;
                self.plan(lasts, What::RouterGoes { router: r, start });
            }
            4 => {
                let process = self.chance.random();
                let router = &mut self.routers[r];
                router.start += 1;
                (router.stopped, router.answered) = (false, self.now);
                router.kept.clear();
                router.lease_holder = LeaseHolder::new(self.terms.lease, process, r as u32);
                let start = router.start;
                self.plan(lasts, What::RouterAsks { router: r, start });
                self.plan(lasts, What::Acts { router: r, start });
            }
            5 if self.chance.random_bool(0.2) => {
                for n in 0..many {
                    (self.keepers[n].core, self.keepers[n].stopped) = (None, false);
                    let apart = self.chance.random_range(0..SECOND);
                    self.plan(lasts + apart, What::Start { keeper: n });
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
                        _ if self.chance.random_bool(0.5) => self.cuts.push((cut, one, other)),
                        _ => {}
                    }
                }
                self.plan(lasts, What::Mend(cut));
            }
        }
    }
}
