//! Event goes wrong on a day: its faults begin and end, and hosts slow each other down.

use std::rc::Rc;

use rand::seq::SliceRandom;
use spokeflow_scenario::host::HostFault;
use spokeflow_scenario::observation::{Observation, Phase, Process};
use spokeflow_scenario::scenario::{BuildDefect, FaultKind};
use spokeflow_scenario::{Micros, SECOND};

use super::event::Event;
use super::hosts::HostSlot;
use super::{World, LOCAL_DELAY, SLOW_TICK, WARM_UP};

impl World {
    pub(super) fn slow_tick(&mut self) {
        self.plan(SLOW_TICK, Event::SlowTick);
        let (mut held, mut cold, mut running) = (0, 0, 0);
        let mut drags = 0.0;
        let flawed = |build: u16| {
            self.day
                .builds
                .iter()
                .find(|b| b.number == build)
                .map(|b| b.defect)
        };
        for (_, seat) in &self.host_slots {
            let Some(process) = &seat.process else {
                continue;
            };
            running += 1;
            held += process.model.queued() as u64;
            cold += u64::from(
                seat.started
                    .is_some_and(|at| self.now - at < self.day.warm_within),
            );
            if let Some(BuildDefect::Shared(times)) = flawed(seat.build) {
                drags += 2.0 * (times - 1.0);
            }
        }
        let drag = (1.0 + drags / f64::from(running.max(1))).min(4.0);
        let group = self.day.neighbours.max(1) as usize;
        let mut busy = vec![
            (0.0, 0.0);
            if group > 1 {
                self.host_links.len() / self.day.routers as usize / group + 1
            } else {
                0
            }
        ];
        if group > 1 {
            for (n, seat) in &self.host_slots {
                if let Some(process) = &seat.process {
                    let of = &mut busy[n / group];
                    *of = (of.0 + process.model.busy(), of.1 + 1.0);
                }
            }
        }
        for (n, seat) in &mut self.host_slots {
            let Some(process) = &mut seat.process else {
                continue;
            };
            process.model.fault.shared_slowdown = drag;
            if group > 1 {
                let (all, hosts) = busy[n / group];
                let others = (all - process.model.busy()) / f64::max(hosts - 1.0, 1.0);
                process.model.fault.neighbours =
                    1.0 / (1.0 - 0.9 * self.day.steal * others.clamp(0.0, 1.0));
            }
        }
        let at = self.now;
        if let Some(record) = self.record.as_mut().filter(|_| at >= WARM_UP) {
            record.on_fleet_state(at, held, cold);
        }
    }

    fn strike(&mut self, n: usize, part: f64) -> Vec<u32> {
        let runs = |s: &&HostSlot| s.process.is_some() && !s.draining;
        let mut running: Vec<u32> = self
            .host_slots
            .iter()
            .map(|s| s.1)
            .filter(runs)
            .map(|s| s.host)
            .collect();
        running.sort_unstable();
        running.shuffle(&mut self.rng);
        running.truncate(((running.len() as f64 * part).round() as usize).max(1));
        self.affected.insert(n, running.clone());
        running
    }

    fn ail(&mut self, hosts: &[u32], ail: impl Fn(&mut HostFault)) {
        for host in hosts {
            let seat = self.slot_of.get(host).copied();
            if let Some(process) = seat.and_then(|s| self.host_slots[s].process.as_mut()) {
                ail(&mut process.model.fault);
            }
        }
    }

    fn all_hosts(&self) -> Vec<u32> {
        self.host_slots.iter().map(|s| s.1.host).collect()
    }

    pub(super) fn begin(&mut self, n: usize) {
        let trouble = self.day.faults[n];
        self.note(Observation::Fault {
            what: format!("begins: {trouble}"),
        });
        self.active.push((n, trouble));
        self.plan(trouble.lasts, Event::FaultEnds(n));
        if self.faults.begin(&self.day, n, &trouble) {
            if self.faults.list_breaks {
                let up: Vec<Process> = self
                    .routers
                    .iter()
                    .filter(|r| r.list_up)
                    .map(|r| r.process)
                    .collect();
                up.into_iter().for_each(|by| self.list_lost(by));
            }
            return;
        }
        let seconds = (trouble.size * SECOND as f64) as Micros;
        match trouble.kind {
            FaultKind::Kill | FaultKind::LoneHost => {
                for (nth, host) in self.strike(n, trouble.part).into_iter().enumerate() {
                    let (incarnation, late) = (self.incarnation(host), self.late());
                    if let Some(&seat) = self.slot_of.get(&host) {
                        self.kill_host(seat);
                    }
                    self.list(host, Phase::Gone, incarnation, late);
                    let first = trouble.kind == FaultKind::LoneHost && nth == 0;
                    self.plan(
                        if first { seconds } else { trouble.lasts },
                        Event::HostRestarts(host),
                    );
                }
            }
            FaultKind::Hang => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.hangs = true);
            }
            FaultKind::Slow => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.slowdown = trouble.size.max(1.0));
            }
            FaultKind::FastErrors => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| {
                    a.failure_probability = trouble.size.clamp(0.0, 1.0)
                });
            }
            FaultKind::SlowOp => {
                let all = self.all_hosts();
                self.ail(&all, |a| a.slow_op = (0, trouble.size.max(1.0)));
            }
            FaultKind::RouterKill | FaultKind::RouterRoll => {
                let mut all: Vec<u32> = (0..self.day.routers).collect();
                all.shuffle(&mut self.rng);
                all.truncate(((all.len() as f64 * trouble.part).round() as usize).max(1));
                if trouble.kind == FaultKind::RouterRoll {
                    let apart = trouble.lasts / all.len() as Micros;
                    let routers = Rc::new(all);
                    // Of a large fleet many end at a time, so that the roll takes as long as it lasts.
                    return self.handle(Event::RouterRoll {
                        routers,
                        nth: 0,
                        down: seconds,
                        apart,
                    });
                }
                for router in all {
                    let by = self.routers[router as usize].process;
                    if self.routers[router as usize].brain.is_some() {
                        self.stop_router(router, Observation::RouterKilled(by));
                        self.plan(trouble.lasts, Event::RouterStarts { router, then: None });
                    }
                }
            }
            _ => {}
        }
    }

    pub(super) fn end_trouble(&mut self, n: usize) {
        let trouble = self.day.faults[n];
        self.note(Observation::Fault {
            what: format!("ends: {}", trouble.kind.name()),
        });
        self.active.retain(|l| l.0 != n);
        let others = self.active.clone();
        let day = std::mem::take(&mut self.day.faults);
        self.faults.end(&self.day, &trouble, &others);
        self.day.faults = day;
        let struck = self.affected.remove(&n).unwrap_or_default();
        match trouble.kind {
            FaultKind::Hang => self.ail(&struck, |a| a.hangs = false),
            FaultKind::Slow => self.ail(&struck, |a| a.slowdown = 1.0),
            FaultKind::FastErrors => self.ail(&struck, |a| a.failure_probability = 0.0),
            FaultKind::SlowOp => {
                let all = self.all_hosts();
                self.ail(&all, |a| a.slow_op = (usize::MAX, 1.0));
            }
            _ => {}
        }
        // Event met a cut or a stall goes on now, or meets the next one.
        for what in std::mem::take(&mut self.blocked) {
            self.plan(LOCAL_DELAY, what);
        }
    }
}
