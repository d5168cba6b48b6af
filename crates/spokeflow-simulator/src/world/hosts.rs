//! Hosts: their processes from boot to end, and the jobs that they run.

use rand::RngExt;
use spokeflow_scenario::endpoint_registry::Entry;
use spokeflow_scenario::host::{Host, JobOutcome};
use spokeflow_scenario::observation::{Observation, Phase, ReplyKind};
use spokeflow_scenario::release_controller::FleetOrder;
use spokeflow_scenario::scenario::{BuildDefect, FaultKind};
use spokeflow_scenario::{Micros, MS, SECOND};

use super::event::{Event, RouterMessage};
use super::World;
use crate::host_link::{HostLink, LinkState};

/// Time between two checks whether a draining host has done its queued jobs.
const DRAIN_CHECK_INTERVAL: Micros = 100 * MS;
/// How long the slot of a host that has left for good is kept.
const GONE_HOST_SLOT_RETENTION: Micros = 90 * SECOND;

/// A host process. One that crashed under overload stays in its slot, marked by `model.crashed`.
pub(super) struct HostProcess {
    pub(super) model: Host,
    pub(super) incarnation: u64,
    pub(super) began_at: Micros,
    /// The earliest scheduled [`Event::HostTimer`]; `Micros::MAX` for none.
    pub(super) timer_at: Micros,
}

/// A place for a host, from the order to start it until some time after it has left.
pub(super) struct HostSlot {
    pub(super) host: u32,
    pub(super) site: u16,
    pub(super) build: u16,
    /// When the host was started; `None` for one that has run, warm, since before the scenario.
    pub(super) started: Option<Micros>,
    /// `None` before the process has started and after its end; a process that crashed under overload stays.
    pub(super) process: Option<HostProcess>,
    pub(super) is_draining: bool,
}

impl World {
    pub(super) fn add_host_slot(&mut self, host: u32, build: u16, started: Option<Micros>) {
        let site = (host % u32::from(self.scenario.sites)) as u16;
        let slot = self.host_slots.insert(HostSlot {
            host,
            site,
            build,
            started,
            process: None,
            is_draining: false,
        });
        self.slot_by_host.insert(host, slot);
        self.peak_counts[2] = self.peak_counts[2].max(self.host_slots.len());
        let links = (slot + 1) * self.scenario.routers as usize;
        if self.host_links.len() < links {
            self.host_links.resize_with(links, HostLink::default);
        }
    }

    pub(super) fn start_host_process(&mut self, host: u32) {
        let Some(&slot) = self.slot_by_host.get(&host) else {
            return;
        };
        let incarnation = self.next_number();
        let (build, started) = (self.host_slots[slot].build, self.host_slots[slot].started);
        let build_spec = self.scenario.builds.iter().find(|b| b.number == build);
        let (defect, speed) = build_spec.map_or((BuildDefect::None, 1.0), |b| (b.defect, b.speed));
        let seed = self.scenario.seed ^ u64::from(host) << 20 ^ incarnation << 40;
        let mut model = Host::new(&self.scenario, defect, speed, started, seed);
        if let Some((_, fault)) = self
            .active_faults
            .iter()
            .find(|(_, fault)| fault.kind == FaultKind::SlowOp)
        {
            model.fault.slow_op = (0, fault.size.max(1.0));
        }
        let process = HostProcess {
            model,
            incarnation,
            began_at: self.now,
            timer_at: Micros::MAX,
        };
        self.host_slots[slot].process = Some(process);
        let delay = if started.is_none() {
            0
        } else {
            self.draw_list_delay()
        };
        self.publish_endpoint(host, Phase::Ready, incarnation, delay);
    }

    /// Draws how late the host list learns of a change.
    pub(super) fn draw_list_delay(&mut self) -> Micros {
        let [least, most] = self.scenario.list_late;
        self.rng.random_range(least..most) + self.faults.list_delay
    }

    /// Tells the host list of the phase of a host, `delay` from now.
    pub(super) fn publish_endpoint(
        &mut self,
        host: u32,
        phase: Phase,
        incarnation: u64,
        delay: Micros,
    ) {
        let Some(&slot) = self.slot_by_host.get(&host) else {
            return;
        };
        let HostSlot {
            site,
            build,
            started,
            ..
        } = self.host_slots[slot];
        let address = String::new();
        let entry = Entry {
            host,
            address,
            site,
            build,
            phase,
            incarnation,
            started,
        };
        let at = self.registry.schedule_update(self.now + delay, entry);
        if at > self.now {
            self.schedule_at(at, Event::RegistryTick);
        }
    }

    /// Returns the incarnation of the process in the host's slot, crashed or not, 0 if there is none.
    pub(super) fn incarnation(&self, host: u32) -> u64 {
        let slot = self.slot_by_host.get(&host).map(|s| &self.host_slots[*s]);
        slot.and_then(|s| s.process.as_ref())
            .map_or(0, |p| p.incarnation)
    }

    /// Ends the process of a host that is killed or has been drained; its connections are closed.
    pub(super) fn end_host_process(&mut self, slot: usize) {
        self.host_slots[slot].process = None;
        for router in 0..self.scenario.routers {
            let link_id = self.link_id(slot, router);
            if self.host_links[link_id].state == LinkState::Up {
                let epoch = self.host_links[link_id].epoch;
                self.reply(link_id, epoch, RouterMessage::Closed);
            }
        }
    }

    /// Handles a host that crashed because it was overloaded while cold; its connections are closed.
    pub(super) fn on_host_crashed(&mut self, slot: usize) {
        let host = self.host_slots[slot].host;
        self.observe(Observation::Fell { host });
        for router in 0..self.scenario.routers {
            let link_id = self.link_id(slot, router);
            if self.host_links[link_id].state == LinkState::Up {
                let epoch = self.host_links[link_id].epoch;
                self.reply(link_id, epoch, RouterMessage::Closed);
            }
        }
    }

    /// Starts the process of a new host and tells the release controller that it runs.
    pub(super) fn start_host(&mut self, host: u32) {
        let Some(&slot) = self.slot_by_host.get(&host) else {
            return;
        };
        if self.host_slots[slot].is_draining {
            return;
        }
        self.host_slots[slot].started = Some(self.now);
        self.start_host_process(host);
        let mut orders = Vec::new();
        self.controller.on_host_started(self.now, host, &mut orders);
        self.apply_orders(orders);
    }

    /// Ends a drained host once it has no queued jobs.
    pub(super) fn stop_host(&mut self, host: u32) {
        let Some(&slot) = self.slot_by_host.get(&host) else {
            return;
        };
        // A host with queued jobs goes on until it has done them.
        let is_busy = self.host_slots[slot]
            .process
            .as_ref()
            .is_some_and(|p| p.model.queued() > 0 && !p.model.crashed);
        if is_busy {
            return self.schedule(DRAIN_CHECK_INTERVAL, Event::HostStops(host));
        }
        let (incarnation, delay) = (self.incarnation(host), self.draw_list_delay());
        self.end_host_process(slot);
        self.publish_endpoint(host, Phase::Gone, incarnation, delay);
        self.schedule(delay + GONE_HOST_SLOT_RETENTION, Event::SlotFreed(host));
    }

    pub(super) fn free_slot(&mut self, host: u32) {
        let Some(slot) = self.slot_by_host.remove(&host) else {
            return;
        };
        self.host_slots.remove(slot);
        for router in 0..self.scenario.routers {
            let link_id = self.link_id(slot, router);
            self.host_links[link_id].reset();
        }
    }

    /// Carries out the release controller's orders to start and drain hosts.
    pub(super) fn apply_orders(&mut self, orders: Vec<FleetOrder>) {
        for order in orders {
            match order {
                FleetOrder::Start { host, build, .. } => {
                    let [least, most] = self.scenario.boot;
                    self.add_host_slot(host, build, Some(self.now));
                    let after = self.rng.random_range(least..most);
                    self.schedule(after, Event::HostStarts(host));
                }
                FleetOrder::Drain { host } => {
                    let Some(&slot) = self.slot_by_host.get(&host) else {
                        continue;
                    };
                    self.host_slots[slot].is_draining = true;
                    if self.host_slots[slot].process.is_some() {
                        let (incarnation, delay) = (self.incarnation(host), self.draw_list_delay());
                        self.publish_endpoint(host, Phase::Draining, incarnation, delay);
                        self.schedule(delay + self.scenario.drain, Event::HostStops(host));
                    } else {
                        self.schedule(GONE_HOST_SLOT_RETENTION, Event::SlotFreed(host));
                    }
                }
            }
        }
    }

    /// Finishes the jobs of a host that have ended, starts those that can start, and sends the replies.
    pub(super) fn run_jobs(&mut self, slot: usize) {
        let (host, build) = (self.host_slots[slot].host, self.host_slots[slot].build);
        let Some(process) = self.host_slots[slot]
            .process
            .as_mut()
            .filter(|p| !p.model.crashed)
        else {
            return;
        };
        let ended = process.model.take_completed(self.now);
        let started = process.model.start_jobs(self.now, &mut self.deduplication);
        let next = process.model.next_completion();
        let incarnation = process.incarnation;
        if let Some(at) = next.filter(|at| *at < process.timer_at) {
            process.timer_at = at;
            self.schedule_at(
                at,
                Event::HostTimer {
                    slot,
                    incarnation,
                    at,
                },
            );
        }
        for (job, outcome) in ended {
            let (delivery, attempt) = (job.delivery, job.attempt);
            let (message, kind) = match outcome {
                JobOutcome::Acked { wrong } => {
                    (RouterMessage::Acked { delivery, wrong }, ReplyKind::Acked)
                }
                JobOutcome::Error => (RouterMessage::Error(delivery), ReplyKind::Error),
                JobOutcome::Silent => continue,
            };
            self.observe(Observation::Replied {
                host,
                attempt,
                delivery,
                kind,
            });
            self.reply((job.from >> 32) as usize, job.from as u32, message);
        }
        for job in started.into_iter().filter(|job| job.effect) {
            let (attempt, command, op) = (job.attempt, job.command, job.op as u16);
            self.observe(Observation::Ran {
                host,
                build,
                attempt,
                command,
                op,
            });
        }
    }

    pub(super) fn on_host_timer(&mut self, slot: usize, incarnation: u64, at: Micros) {
        let process = self
            .host_slots
            .get_mut(slot)
            .and_then(|s| s.process.as_mut());
        let Some(process) = process.filter(|p| p.incarnation == incarnation) else {
            return;
        };
        if process.timer_at == at {
            process.timer_at = Micros::MAX;
        }
        self.run_jobs(slot);
    }
}
