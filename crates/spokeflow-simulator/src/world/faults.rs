//! Scheduled faults, and the slowdown that hosts cause to each other.

use std::rc::Rc;

use rand::seq::SliceRandom;
use spokeflow_scenario::host::HostFault;
use spokeflow_scenario::observation::{Observation, Phase, Process};
use spokeflow_scenario::scenario::{BuildDefect, FaultKind};
use spokeflow_scenario::{Micros, SECOND};

use super::event::{Event, RollingRestart};
use super::hosts::HostSlot;
use super::{World, FLEET_TICK_INTERVAL, LOCAL_DELAY, WARM_UP};

/// Part of its capacity that a host loses to neighbours that are all busy where `steal` is 1; below 1, against
/// division by 0.
const MAX_STOLEN_FRACTION: f64 = 0.9;

impl World {
    /// Updates how much hosts slow each other down, by a defect that affects all hosts and by busy neighbours on
    /// the same machine, and records the state of the fleet.
    pub(super) fn on_fleet_tick(&mut self) {
        self.schedule(FLEET_TICK_INTERVAL, Event::FleetTick);
        let (mut queued, mut cold, mut running) = (0, 0, 0);
        let mut slowdown_sum = 0.0;
        let defect_of = |build: u16| {
            self.scenario
                .builds
                .iter()
                .find(|b| b.number == build)
                .map(|b| b.defect)
        };
        for (_, slot) in &self.host_slots {
            let Some(process) = &slot.process else {
                continue;
            };
            running += 1;
            queued += process.model.queued() as u64;
            cold += u64::from(
                slot.started
                    .is_some_and(|at| self.now - at < self.scenario.warm_within),
            );
            if let Some(BuildDefect::Shared(factor)) = defect_of(slot.build) {
                slowdown_sum += 2.0 * (factor - 1.0);
            }
        }
        let shared_slowdown = (1.0 + slowdown_sum / f64::from(running.max(1))).min(4.0);
        let group_size = self.scenario.neighbours.max(1) as usize;
        let mut busy_by_group = vec![
            (0.0, 0.0);
            if group_size > 1 {
                self.host_links.len() / self.scenario.routers as usize / group_size + 1
            } else {
                0
            }
        ];
        if group_size > 1 {
            for (n, slot) in &self.host_slots {
                if let Some(process) = &slot.process {
                    let group = &mut busy_by_group[n / group_size];
                    *group = (group.0 + process.model.busy(), group.1 + 1.0);
                }
            }
        }
        for (n, slot) in &mut self.host_slots {
            let Some(process) = &mut slot.process else {
                continue;
            };
            process.model.fault.shared_slowdown = shared_slowdown;
            if group_size > 1 {
                let (busy_sum, hosts) = busy_by_group[n / group_size];
                let others = (busy_sum - process.model.busy()) / f64::max(hosts - 1.0, 1.0);
                process.model.fault.neighbours = 1.0
                    / (1.0 - MAX_STOLEN_FRACTION * self.scenario.steal * others.clamp(0.0, 1.0));
            }
        }
        let at = self.now;
        if let Some(recorder) = self.recorder.as_mut().filter(|_| at >= WARM_UP) {
            recorder.on_fleet_state(at, queued, cold);
        }
    }

    /// Draws a fraction of the running hosts, at least one, for fault `n`.
    fn draw_affected_hosts(&mut self, n: usize, fraction: f64) -> Vec<u32> {
        let is_running = |slot: &&HostSlot| slot.process.is_some() && !slot.is_draining;
        let mut running: Vec<u32> = self
            .host_slots
            .iter()
            .map(|(_, slot)| slot)
            .filter(is_running)
            .map(|slot| slot.host)
            .collect();
        running.sort_unstable();
        running.shuffle(&mut self.rng);
        running.truncate(((running.len() as f64 * fraction).round() as usize).max(1));
        self.affected_hosts.insert(n, running.clone());
        running
    }

    fn change_host_faults(&mut self, hosts: &[u32], change: impl Fn(&mut HostFault)) {
        for host in hosts {
            let slot = self.slot_by_host.get(host).copied();
            if let Some(process) = slot.and_then(|slot| self.host_slots[slot].process.as_mut()) {
                change(&mut process.model.fault);
            }
        }
    }

    fn all_hosts(&self) -> Vec<u32> {
        self.host_slots.iter().map(|(_, slot)| slot.host).collect()
    }

    pub(super) fn begin_fault(&mut self, n: usize) {
        let fault = self.scenario.faults[n];
        self.observe(Observation::Fault {
            what: format!("begins: {fault}"),
        });
        self.active_faults.push((n, fault));
        self.schedule(fault.lasts, Event::FaultEnds(n));
        if self.faults.begin(&self.scenario, n, &fault) {
            if self.faults.list_breaks {
                let connected: Vec<Process> = self
                    .routers
                    .iter()
                    .filter(|router| router.is_list_connected)
                    .map(|router| router.process)
                    .collect();
                connected
                    .into_iter()
                    .for_each(|process| self.on_list_lost(process));
            }
            return;
        }
        let size_as_duration = (fault.size * SECOND as f64) as Micros;
        match fault.kind {
            FaultKind::Kill | FaultKind::LoneHost => {
                for (index, host) in self
                    .draw_affected_hosts(n, fault.part)
                    .into_iter()
                    .enumerate()
                {
                    let (incarnation, list_delay) =
                        (self.incarnation(host), self.draw_list_delay());
                    if let Some(&slot) = self.slot_by_host.get(&host) {
                        self.end_host_process(slot);
                    }
                    self.publish_endpoint(host, Phase::Gone, incarnation, list_delay);
                    let is_first = fault.kind == FaultKind::LoneHost && index == 0;
                    self.schedule(
                        if is_first {
                            size_as_duration
                        } else {
                            fault.lasts
                        },
                        Event::HostRestarts(host),
                    );
                }
            }
            FaultKind::Hang => {
                let affected = self.draw_affected_hosts(n, fault.part);
                self.change_host_faults(&affected, |host| host.hangs = true);
            }
            FaultKind::Slow => {
                let affected = self.draw_affected_hosts(n, fault.part);
                self.change_host_faults(&affected, |host| host.slowdown = fault.size.max(1.0));
            }
            FaultKind::FastErrors => {
                let affected = self.draw_affected_hosts(n, fault.part);
                self.change_host_faults(&affected, |host| {
                    host.failure_probability = fault.size.clamp(0.0, 1.0)
                });
            }
            FaultKind::SlowOp => {
                let all = self.all_hosts();
                self.change_host_faults(&all, |host| host.slow_op = (0, fault.size.max(1.0)));
            }
            FaultKind::RouterKill | FaultKind::RouterRoll => {
                let mut routers: Vec<u32> = (0..self.scenario.routers).collect();
                routers.shuffle(&mut self.rng);
                routers.truncate(((routers.len() as f64 * fault.part).round() as usize).max(1));
                if fault.kind == FaultKind::RouterRoll {
                    let interval = fault.lasts / routers.len() as Micros;
                    let routers = Rc::new(routers);
                    // In a large fleet several routers are down at a time, so that the rolling restart ends with
                    // the fault.
                    return self.handle(Event::RouterRoll(RollingRestart {
                        routers,
                        next_index: 0,
                        down_for: size_as_duration,
                        interval,
                    }));
                }
                for router in routers {
                    let process = self.routers[router as usize].process;
                    if self.routers[router as usize].strategy.is_some() {
                        self.stop_router(router, Observation::RouterKilled(process));
                        self.schedule(fault.lasts, Event::RouterStarts { router, next: None });
                    }
                }
            }
            _ => {}
        }
    }

    pub(super) fn end_fault(&mut self, n: usize) {
        let fault = self.scenario.faults[n];
        self.observe(Observation::Fault {
            what: format!("ends: {}", fault.kind.name()),
        });
        self.active_faults.retain(|active| active.0 != n);
        let others = self.active_faults.clone();
        let scheduled = std::mem::take(&mut self.scenario.faults);
        self.faults.end(&self.scenario, &fault, &others);
        self.scenario.faults = scheduled;
        let affected = self.affected_hosts.remove(&n).unwrap_or_default();
        match fault.kind {
            FaultKind::Hang => self.change_host_faults(&affected, |host| host.hangs = false),
            FaultKind::Slow => self.change_host_faults(&affected, |host| host.slowdown = 1.0),
            FaultKind::FastErrors => {
                self.change_host_faults(&affected, |host| host.failure_probability = 0.0)
            }
            FaultKind::SlowOp => {
                let all = self.all_hosts();
                self.change_host_faults(&all, |host| host.slow_op = (usize::MAX, 1.0));
            }
            _ => {}
        }
        // A blocked message goes on now, or is blocked again by another fault that is still active.
        for event in std::mem::take(&mut self.blocked) {
            self.schedule(LOCAL_DELAY, event);
        }
    }
}
