//! Injects the faults of a scenario into hosts and routers, and ends them.

use rand::seq::SliceRandom;
use spokeflow_scenario::host::HostFault;
use spokeflow_scenario::scenario::{BuildDefect, Fault, FaultKind};

use super::hosts::{HostSlot, ScheduledHost};
use super::routers::{Restart, RestartKind};
use super::Run;
use crate::{locked, Micros, SECOND};

/// Bound on the slowdown that a defective build puts on all hosts.
const MAX_SHARED_SLOWDOWN: f64 = 4.0;
/// How much of its slowdown a defective build adds for its part of the hosts.
const SHARED_SLOWDOWN_WEIGHT: f64 = 2.0;

impl Run {
    /// Begins a fault: of links and servers in the shared state, of processes here.
    pub(super) fn begin_fault(&mut self, index: usize, fault: Fault, now: Micros) {
        let context = self.context.clone();
        let shared = locked(&context.active_faults).begin(&context.scenario, index, &fault);
        if shared {
            return;
        }
        match fault.kind {
            FaultKind::Kill | FaultKind::LoneHost => self.kill_hosts(index, fault, now),
            FaultKind::Hang => {
                let struck = self.strike(index, fault.part);
                self.set_host_fault(&struck, |ailment| ailment.hangs = true);
            }
            FaultKind::Slow => {
                let struck = self.strike(index, fault.part);
                self.set_host_fault(&struck, |ailment| ailment.slowdown = fault.size.max(1.0));
            }
            FaultKind::FastErrors => {
                let struck = self.strike(index, fault.part);
                self.set_host_fault(&struck, |ailment| ailment.failure_probability = fault.size);
            }
            FaultKind::SlowOp => {
                let slowdown = fault.size.max(1.0);
                self.set_host_fault(&self.all_hosts(), |ailment| ailment.slow_op = (0, slowdown));
            }
            FaultKind::RouterKill | FaultKind::RouterRoll => self.restart_routers(fault),
            _ => {}
        }
    }

    /// Ends a fault, beside those that still last.
    pub(super) fn end_fault(&mut self, index: usize, fault: Fault) {
        let struck = self.struck_hosts.remove(&index).unwrap_or_default();
        let lasting: Vec<(usize, Fault)> = self
            .faults
            .iter()
            .filter(|scheduled| scheduled.begun)
            .map(|scheduled| (scheduled.index, scheduled.fault))
            .collect();
        locked(&self.context.active_faults).end(&self.context.scenario, &fault, &lasting);
        match fault.kind {
            FaultKind::Hang => self.set_host_fault(&struck, |ailment| ailment.hangs = false),
            FaultKind::Slow => self.set_host_fault(&struck, |ailment| ailment.slowdown = 1.0),
            FaultKind::FastErrors => {
                self.set_host_fault(&struck, |ailment| ailment.failure_probability = 0.0)
            }
            FaultKind::SlowOp => self.set_host_fault(&self.all_hosts(), |ailment| {
                ailment.slow_op = (usize::MAX, 1.0);
            }),
            _ => {}
        }
    }

    /// A part of the hosts that run, which the fault of an index strikes.
    fn strike(&mut self, index: usize, part: f64) -> Vec<u32> {
        let mut running: Vec<u32> = self
            .hosts
            .iter()
            .filter(|(_, slot)| slot.process.is_some() && !slot.draining)
            .map(|(host, _)| *host)
            .collect();
        // The draws are the same for the same hosts, whatever the order of the map.
        running.sort_unstable();
        running.shuffle(&mut self.rng);
        running.truncate(part_of(running.len(), part));
        self.struck_hosts.insert(index, running.clone());
        running
    }

    /// Kills hosts, which revive when the fault is over; of lone hosts the first does after the size in seconds.
    fn kill_hosts(&mut self, index: usize, fault: Fault, now: Micros) {
        let mut down = match fault.kind {
            FaultKind::LoneHost => size_in_seconds(&fault),
            _ => fault.lasts,
        };
        for host in self.strike(index, fault.part) {
            self.remove_process(host);
            let at = now + down;
            self.reviving.push(ScheduledHost { at, host });
            down = fault.lasts;
        }
    }

    fn restart_routers(&mut self, fault: Fault) {
        let mut routers: Vec<u32> = (0..self.context.scenario.routers).collect();
        routers.shuffle(&mut self.rng);
        routers.truncate(part_of(routers.len(), fault.part));
        let restart = match fault.kind {
            FaultKind::RouterKill => Restart {
                routers,
                kind: RestartKind::Kill,
                down: fault.lasts,
            },
            _ => Restart {
                kind: RestartKind::Rolling {
                    interval: fault.lasts / routers.len() as Micros,
                },
                down: size_in_seconds(&fault),
                routers,
            },
        };
        tokio::spawn(self.routers.clone().restart(restart));
    }

    fn set_host_fault(&self, hosts: &[u32], set: impl Fn(&mut HostFault)) {
        for host in hosts {
            let slot = self.hosts.get(host);
            if let Some(process) = slot.and_then(|slot| slot.process.as_ref()) {
                set(&mut locked(&process.model).fault);
                process.changed.notify_one();
            }
        }
    }

    fn all_hosts(&self) -> Vec<u32> {
        self.hosts.keys().copied().collect()
    }

    /// Slows all hosts in step with the part of them that run a build with a shared defect.
    pub(super) fn apply_shared_slowdown(&self) {
        let running: Vec<&HostSlot> = self
            .hosts
            .values()
            .filter(|slot| slot.process.is_some())
            .collect();
        let slowdowns = running
            .iter()
            .filter_map(|slot| self.shared_slowdown(slot.build));
        let sum: f64 = slowdowns
            .map(|slowdown| SHARED_SLOWDOWN_WEIGHT * (slowdown - 1.0))
            .sum();
        let drag = 1.0 + sum / running.len().max(1) as f64;
        self.set_host_fault(&self.all_hosts(), |ailment| {
            ailment.shared_slowdown = drag.min(MAX_SHARED_SLOWDOWN);
        });
    }

    /// By how many times a build slows all hosts, where it does.
    fn shared_slowdown(&self, build: u16) -> Option<f64> {
        let mut builds = self.context.scenario.builds.iter();
        match builds.find(|known| known.number == build)?.defect {
            BuildDefect::Shared(times) => Some(times),
            _ => None,
        }
    }
}

/// A part of so many, at least one.
fn part_of(count: usize, part: f64) -> usize {
    ((count as f64 * part).round() as usize).max(1)
}

/// The size of a fault that is a time in seconds.
fn size_in_seconds(fault: &Fault) -> Micros {
    (fault.size * SECOND as f64) as Micros
}
