//! Begins and ends the faults of a scenario.

use rand::seq::SliceRandom;
use spokeflow_scenario::host::HostFault;
use spokeflow_scenario::scenario::{BuildDefect, Fault, FaultKind};

use super::hosts::{HostSlot, ScheduledHost};
use super::routers::{Restart, RestartKind};
use super::Run;
use crate::{locked, Micros, SECOND};

/// Upper bound on the factor by which a defective build slows all hosts.
const MAX_SHARED_SLOWDOWN: f64 = 4.0;
/// Weight of a defective build's slowdown in the mean over all hosts that run.
const SHARED_SLOWDOWN_WEIGHT: f64 = 2.0;

impl Run {
    /// Begins a fault. Faults of links, of the registry and of the release controller are set in the shared state of the
    /// run; faults of hosts and routers are injected here.
    pub(super) fn begin_fault(&mut self, index: usize, fault: Fault, now: Micros) {
        let context = self.context.clone();
        let is_shared = locked(&context.active_faults).begin(&context.scenario, index, &fault);
        if is_shared {
            return;
        }
        match fault.kind {
            FaultKind::Kill | FaultKind::LoneHost => self.kill_hosts(index, fault, now),
            FaultKind::Hang => {
                let affected = self.select_hosts(index, fault.part);
                self.set_host_fault(&affected, |host_fault| host_fault.hangs = true);
            }
            FaultKind::Slow => {
                let affected = self.select_hosts(index, fault.part);
                self.set_host_fault(&affected, |host_fault| {
                    host_fault.slowdown = fault.size.max(1.0)
                });
            }
            FaultKind::FastErrors => {
                let affected = self.select_hosts(index, fault.part);
                self.set_host_fault(&affected, |host_fault| {
                    host_fault.failure_probability = fault.size
                });
            }
            FaultKind::SlowOp => {
                let slowdown = fault.size.max(1.0);
                self.set_host_fault(&self.all_hosts(), |host_fault| {
                    host_fault.slow_op = (0, slowdown)
                });
            }
            FaultKind::RouterKill | FaultKind::RouterRoll => self.restart_routers(fault),
            _ => {}
        }
    }

    /// Ends a fault. Other faults that have begun stay in force.
    pub(super) fn end_fault(&mut self, index: usize, fault: Fault) {
        let affected = self.affected_hosts.remove(&index).unwrap_or_default();
        let others: Vec<(usize, Fault)> = self
            .faults
            .iter()
            .filter(|scheduled| scheduled.has_begun)
            .map(|scheduled| (scheduled.index, scheduled.fault))
            .collect();
        locked(&self.context.active_faults).end(&self.context.scenario, &fault, &others);
        match fault.kind {
            FaultKind::Hang => {
                self.set_host_fault(&affected, |host_fault| host_fault.hangs = false)
            }
            FaultKind::Slow => {
                self.set_host_fault(&affected, |host_fault| host_fault.slowdown = 1.0)
            }
            FaultKind::FastErrors => {
                self.set_host_fault(&affected, |host_fault| host_fault.failure_probability = 0.0)
            }
            FaultKind::SlowOp => self.set_host_fault(&self.all_hosts(), |host_fault| {
                host_fault.slow_op = (usize::MAX, 1.0);
            }),
            _ => {}
        }
    }

    /// Draws a part of the hosts that run, records them as affected by the fault of an index, and returns them.
    fn select_hosts(&mut self, index: usize, part: f64) -> Vec<u32> {
        let mut running: Vec<u32> = self
            .hosts
            .iter()
            .filter(|(_, slot)| slot.process.is_some() && !slot.draining)
            .map(|(host, _)| *host)
            .collect();
        // Sorted first, so that the draw does not depend on the order of the map.
        running.sort_unstable();
        running.shuffle(&mut self.rng);
        running.truncate(part_of(running.len(), part));
        self.affected_hosts.insert(index, running.clone());
        running
    }

    /// Kills hosts and schedules their restart for the end of the fault. With [`FaultKind::LoneHost`] the first host
    /// restarts earlier, after the size of the fault in seconds.
    fn kill_hosts(&mut self, index: usize, fault: Fault, now: Micros) {
        let mut down_duration = match fault.kind {
            FaultKind::LoneHost => size_in_seconds(&fault),
            _ => fault.lasts,
        };
        for host in self.select_hosts(index, fault.part) {
            self.remove_process(host);
            let at = now + down_duration;
            self.restarting.push(ScheduledHost { at, host });
            down_duration = fault.lasts;
        }
    }

    /// Kills or terminates a part of the routers, and starts each again later.
    fn restart_routers(&mut self, fault: Fault) {
        let mut routers: Vec<u32> = (0..self.context.scenario.routers).collect();
        routers.shuffle(&mut self.rng);
        routers.truncate(part_of(routers.len(), fault.part));
        let restart = match fault.kind {
            FaultKind::RouterKill => Restart {
                routers,
                kind: RestartKind::Kill,
                down_duration: fault.lasts,
            },
            _ => Restart {
                kind: RestartKind::Rolling {
                    interval: fault.lasts / routers.len() as Micros,
                },
                down_duration: size_in_seconds(&fault),
                routers,
            },
        };
        tokio::spawn(self.routers.clone().restart(restart));
    }

    /// Changes the fault of each of some hosts that run.
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

    /// Slows all hosts in proportion to the part of them that runs a build with a shared defect.
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
        let slowdown = 1.0 + sum / running.len().max(1) as f64;
        self.set_host_fault(&self.all_hosts(), |host_fault| {
            host_fault.shared_slowdown = slowdown.min(MAX_SHARED_SLOWDOWN);
        });
    }

    /// Returns the factor by which a build slows all hosts, or `None` for a build without that defect.
    fn shared_slowdown(&self, build: u16) -> Option<f64> {
        let mut builds = self.context.scenario.builds.iter();
        match builds.find(|known| known.number == build)?.defect {
            BuildDefect::Shared(factor) => Some(factor),
            _ => None,
        }
    }
}

/// Returns a part of a count, rounded, and at least 1.
fn part_of(count: usize, part: f64) -> usize {
    ((count as f64 * part).round() as usize).max(1)
}

/// Returns the size of a fault whose size is a duration in seconds.
fn size_in_seconds(fault: &Fault) -> Micros {
    (fault.size * SECOND as f64) as Micros
}
