//! Hosts: their processes from boot to end, and the work that these do.

use rand::RngExt;
use spokeflow_scenario::endpoint_registry::Entry;
use spokeflow_scenario::host::{Host, JobOutcome};
use spokeflow_scenario::observation::{Observation, Phase, ReplyKind};
use spokeflow_scenario::release_controller::FleetOrder;
use spokeflow_scenario::scenario::{BuildDefect, FaultKind};
use spokeflow_scenario::{Micros, MS, SECOND};

use super::event::{Event, RouterMessage};
use super::World;
use crate::host_link::{HostLink, Link};

/// Event a seat of a host that is gone for good is kept for.
const SEAT_KEPT: Micros = 90 * SECOND;

pub(super) struct HostProcess {
    pub(super) model: Host,
    pub(super) incarnation: u64,
    pub(super) began: Micros,
    pub(super) due: Micros,
}

pub(super) struct HostSlot {
    pub(super) host: u32,
    pub(super) site: u16,
    pub(super) build: u16,
    pub(super) started: Option<Micros>,
    pub(super) process: Option<HostProcess>,
    pub(super) draining: bool,
}

impl World {
    pub(super) fn seat(&mut self, host: u32, build: u16, started: Option<Micros>) {
        let site = (host % u32::from(self.day.sites)) as u16;
        let seat = self.host_slots.insert(HostSlot {
            host,
            site,
            build,
            started,
            process: None,
            draining: false,
        });
        self.slot_of.insert(host, seat);
        self.most[2] = self.most[2].max(self.host_slots.len());
        let pairs = (seat + 1) * self.day.routers as usize;
        if self.host_links.len() < pairs {
            self.host_links.resize_with(pairs, HostLink::default);
        }
    }

    pub(super) fn run_host(&mut self, host: u32) {
        let Some(&seat) = self.slot_of.get(&host) else {
            return;
        };
        let incarnation = self.number();
        let (build, started) = (self.host_slots[seat].build, self.host_slots[seat].started);
        let made = self.day.builds.iter().find(|b| b.number == build);
        let (flaw, speed) = made.map_or((BuildDefect::None, 1.0), |b| (b.defect, b.speed));
        let seed = self.day.seed ^ u64::from(host) << 20 ^ incarnation << 40;
        let mut model = Host::new(&self.day, flaw, speed, started, seed);
        if let Some((_, t)) = self
            .active
            .iter()
            .find(|(_, t)| t.kind == FaultKind::SlowOp)
        {
            model.fault.slow_op = (0, t.size.max(1.0));
        }
        let process = HostProcess {
            model,
            incarnation,
            began: self.now,
            due: Micros::MAX,
        };
        self.host_slots[seat].process = Some(process);
        let late = if started.is_none() { 0 } else { self.late() };
        self.list(host, Phase::Ready, incarnation, late);
    }

    pub(super) fn late(&mut self) -> Micros {
        let [least, most] = self.day.list_late;
        self.rng.random_range(least..most) + self.faults.list_delay
    }

    pub(super) fn list(&mut self, host: u32, phase: Phase, incarnation: u64, late: Micros) {
        let Some(&seat) = self.slot_of.get(&host) else {
            return;
        };
        let HostSlot {
            site,
            build,
            started,
            ..
        } = self.host_slots[seat];
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
        let at = self.registry.schedule_update(self.now + late, entry);
        if at > self.now {
            self.plan_at(at, Event::RegistryTick);
        }
    }

    pub(super) fn incarnation(&self, host: u32) -> u64 {
        let seat = self.slot_of.get(&host).map(|s| &self.host_slots[*s]);
        seat.and_then(|s| s.process.as_ref())
            .map_or(0, |p| p.incarnation)
    }

    /// The process of a host is no more: its connections break.
    pub(super) fn kill_host(&mut self, seat: usize) {
        self.host_slots[seat].process = None;
        for router in 0..self.day.routers {
            let pair = self.pair_of(seat, router);
            if self.host_links[pair].link == Link::Up {
                let epoch = self.host_links[pair].epoch;
                self.reply(pair, epoch, RouterMessage::Broken);
            }
        }
    }

    pub(super) fn fell(&mut self, seat: usize) {
        let host = self.host_slots[seat].host;
        self.note(Observation::Fell { host });
        for router in 0..self.day.routers {
            let pair = self.pair_of(seat, router);
            if self.host_links[pair].link == Link::Up {
                let epoch = self.host_links[pair].epoch;
                self.reply(pair, epoch, RouterMessage::Broken);
            }
        }
    }

    pub(super) fn boot(&mut self, host: u32) {
        let Some(&seat) = self.slot_of.get(&host) else {
            return;
        };
        if self.host_slots[seat].draining {
            return;
        }
        self.host_slots[seat].started = Some(self.now);
        self.run_host(host);
        let mut orders = Vec::new();
        self.controller.on_host_started(self.now, host, &mut orders);
        self.carry_out(orders);
    }

    pub(super) fn stop(&mut self, host: u32) {
        let Some(&seat) = self.slot_of.get(&host) else {
            return;
        };
        // It goes on while it has work, for some time.
        let busy = self.host_slots[seat]
            .process
            .as_ref()
            .is_some_and(|p| p.model.queued() > 0 && !p.model.crashed);
        if busy {
            return self.plan(100 * MS, Event::HostStops(host));
        }
        let (incarnation, late) = (self.incarnation(host), self.late());
        self.kill_host(seat);
        self.list(host, Phase::Gone, incarnation, late);
        self.plan(late + SEAT_KEPT, Event::SlotFreed(host));
    }

    pub(super) fn free(&mut self, host: u32) {
        let Some(seat) = self.slot_of.remove(&host) else {
            return;
        };
        self.host_slots.remove(seat);
        for router in 0..self.day.routers {
            let pair = self.pair_of(seat, router);
            self.host_links[pair].reset();
        }
    }

    pub(super) fn carry_out(&mut self, orders: Vec<FleetOrder>) {
        for order in orders {
            match order {
                FleetOrder::Start { host, build, .. } => {
                    let [least, most] = self.day.boot;
                    self.seat(host, build, Some(self.now));
                    let after = self.rng.random_range(least..most);
                    self.plan(after, Event::HostStarts(host));
                }
                FleetOrder::Drain { host } => {
                    let Some(&seat) = self.slot_of.get(&host) else {
                        continue;
                    };
                    self.host_slots[seat].draining = true;
                    if self.host_slots[seat].process.is_some() {
                        let (incarnation, late) = (self.incarnation(host), self.late());
                        self.list(host, Phase::Draining, incarnation, late);
                        self.plan(late + self.day.drain, Event::HostStops(host));
                    } else {
                        self.plan(SEAT_KEPT, Event::SlotFreed(host));
                    }
                }
            }
        }
    }

    /// Ends what has ended and begins what can begin.
    pub(super) fn pump(&mut self, seat: usize) {
        let (host, build) = (self.host_slots[seat].host, self.host_slots[seat].build);
        let Some(process) = self.host_slots[seat]
            .process
            .as_mut()
            .filter(|p| !p.model.crashed)
        else {
            return;
        };
        let ended = process.model.take_completed(self.now);
        let begun = process.model.start_jobs(self.now, &mut self.deduplication);
        let next = process.model.next_completion();
        let incarnation = process.incarnation;
        if let Some(at) = next.filter(|at| *at < process.due) {
            process.due = at;
            self.plan_at(
                at,
                Event::HostTimer {
                    seat,
                    incarnation,
                    at,
                },
            );
        }
        for (job, done) in ended {
            let (delivery, tried) = (job.delivery, job.attempt);
            let (word, kind) = match done {
                JobOutcome::Acked { wrong } => {
                    (RouterMessage::Acked { delivery, wrong }, ReplyKind::Acked)
                }
                JobOutcome::Error => (RouterMessage::Error(delivery), ReplyKind::Error),
                JobOutcome::Silent => continue,
            };
            self.note(Observation::Replied {
                host,
                attempt: tried,
                delivery,
                kind,
            });
            self.reply((job.from >> 32) as usize, job.from as u32, word);
        }
        for begun in begun.into_iter().filter(|b| b.effect) {
            let (tried, command, op) = (begun.attempt, begun.command, begun.op as u16);
            self.note(Observation::Ran {
                host,
                build,
                attempt: tried,
                command,
                op,
            });
        }
    }

    pub(super) fn host_due(&mut self, seat: usize, incarnation: u64, at: Micros) {
        let process = self
            .host_slots
            .get_mut(seat)
            .and_then(|s| s.process.as_mut());
        let Some(process) = process.filter(|p| p.incarnation == incarnation) else {
            return;
        };
        if process.due == at {
            process.due = Micros::MAX;
        }
        self.pump(seat);
    }
}
