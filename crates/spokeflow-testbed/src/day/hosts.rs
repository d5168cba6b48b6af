//! The hosts of a run: boots, drains and stops their processes as the release controller orders, and restarts those that a
//! fault killed.

use std::net::SocketAddr;

use rand::RngExt;
use spokeflow_scenario::endpoint_registry::Entry;
use spokeflow_scenario::host::Host;
use spokeflow_scenario::observation::Phase;
use spokeflow_scenario::release_controller::FleetOrder;
use spokeflow_scenario::scenario::BuildDefect;

use super::Run;
use crate::hosts::{self, HostIdentity, HostProcess};
use crate::{locked, Micros, MS};

/// Delay after which stopping a host that still has work is tried again.
const STOP_RETRY: Micros = 100 * MS;

/// A host of the fleet. Its process may be running or not.
pub(super) struct HostSlot {
    site: u16,
    pub(super) build: u16,
    /// Time at which the process started, or `None` where the host was running before the run began.
    started_at: Option<Micros>,
    /// The running process, or `None` while there is none.
    pub(super) process: Option<HostProcess>,
    pub(super) draining: bool,
    /// The address of its first process, which later processes use again; `None` before that.
    address: Option<SocketAddr>,
}

/// A step that is due for a host at a time.
#[derive(Clone, Copy)]
pub(super) struct ScheduledHost {
    pub(super) at: Micros,
    pub(super) host: u32,
}

/// Removes the steps that are due from a schedule, and returns them.
fn take_due(schedule: &mut Vec<ScheduledHost>, now: Micros) -> Vec<ScheduledHost> {
    schedule
        .extract_if(.., |scheduled| scheduled.at <= now)
        .collect()
}

impl Run {
    /// Adds a host without a process, or replaces the host of that number by one of another build.
    pub(super) fn add_host(&mut self, host: u32, build: u16, started_at: Option<Micros>) {
        let sites = u32::from(self.context.scenario.sites);
        let slot = HostSlot {
            site: (host % sites) as u16,
            build,
            started_at,
            process: None,
            draining: false,
            address: None,
        };
        self.hosts.insert(host, slot);
    }

    /// Starts the process of a host at the address of its last one, and announces it to the registry.
    ///
    /// # Errors
    ///
    /// The port cannot be bound.
    pub(super) async fn start_host(&mut self, host: u32) -> std::io::Result<()> {
        let scenario = &self.context.scenario;
        let seed = scenario.seed ^ u64::from(host) << 20 ^ self.context.unique_id() << 40;
        let Some(slot) = self.hosts.get_mut(&host) else {
            return Ok(());
        };
        let mut builds = scenario.builds.iter();
        let (defect, speed) = builds
            .find(|build| build.number == slot.build)
            .map_or((BuildDefect::None, 1.0), |build| {
                (build.defect, build.speed)
            });
        let model = Host::new(scenario, defect, speed, slot.started_at, seed);
        let identity = HostIdentity {
            host,
            site: slot.site,
            build: slot.build,
        };
        let process = hosts::start(&self.context, identity, model, slot.address).await?;
        let incarnation = process.incarnation;
        slot.address = Some(process.address);
        slot.process = Some(process);
        let delay = match slot.started_at {
            None => 0,
            Some(_) => self.draw_list_delay(),
        };
        self.announce(host, Phase::Ready, incarnation, delay);
        Ok(())
    }

    /// Draws the delay after which the registry learns of a change.
    pub(super) fn draw_list_delay(&mut self) -> Micros {
        let [least, most] = self.context.scenario.list_late;
        self.rng.random_range(least..most) + self.context.faults().list_delay
    }

    /// Schedules the registry to learn of the phase of a host after a delay.
    pub(super) fn announce(&self, host: u32, phase: Phase, incarnation: u64, delay: Micros) {
        let Some(slot) = self.hosts.get(&host) else {
            return;
        };
        let Some(address) = slot.address else {
            return;
        };
        let entry = Entry {
            host,
            address: address.to_string(),
            site: slot.site,
            build: slot.build,
            phase,
            incarnation,
            started: slot.started_at,
        };
        self.registry
            .announce(self.context.tap.now() + delay, entry);
    }

    /// Returns the incarnation of a host's process, or 0 where none runs.
    pub(super) fn incarnation(&self, host: u32) -> u64 {
        self.hosts
            .get(&host)
            .and_then(|slot| slot.process.as_ref())
            .map_or(0, |process| process.incarnation)
    }

    /// Kills the process of a host, and announces to the registry that it is gone.
    pub(super) fn remove_process(&mut self, host: u32) {
        let incarnation = self.incarnation(host);
        let delay = self.draw_list_delay();
        if let Some(slot) = self.hosts.get_mut(&host) {
            slot.process = None;
        }
        self.announce(host, Phase::Gone, incarnation, delay);
    }

    /// Executes orders of the release controller.
    pub(super) fn execute_orders(&mut self, orders: Vec<FleetOrder>) {
        let now = self.context.tap.now();
        for order in orders {
            match order {
                FleetOrder::Start { host, build, .. } => {
                    let [least, most] = self.context.scenario.boot;
                    self.add_host(host, build, Some(now));
                    let at = now + self.rng.random_range(least..most);
                    self.booting.push(ScheduledHost { at, host });
                }
                FleetOrder::Drain { host } => self.drain_host(host, now),
            }
        }
    }

    fn drain_host(&mut self, host: u32, now: Micros) {
        self.booting.retain(|booting| booting.host != host);
        let Some(slot) = self.hosts.get_mut(&host) else {
            return;
        };
        slot.draining = true;
        if slot.process.is_none() {
            return;
        }
        let incarnation = self.incarnation(host);
        let delay = self.draw_list_delay();
        self.announce(host, Phase::Draining, incarnation, delay);
        let at = now + delay + self.context.scenario.drain;
        self.stopping.push(ScheduledHost { at, host });
    }

    /// Boots, stops and restarts the hosts for which that is due.
    ///
    /// # Errors
    ///
    /// The port of a host cannot be bound.
    pub(super) async fn advance_hosts(&mut self, now: Micros) -> std::io::Result<()> {
        for booted in take_due(&mut self.booting, now) {
            self.boot_host(booted.host, now).await?;
        }
        for stopped in take_due(&mut self.stopping, now) {
            self.stop_host(stopped.host, now);
        }
        for restarted in take_due(&mut self.restarting, now) {
            self.restart_host(restarted.host, now).await?;
        }
        Ok(())
    }

    async fn boot_host(&mut self, host: u32, now: Micros) -> std::io::Result<()> {
        if let Some(slot) = self.hosts.get_mut(&host) {
            slot.started_at = Some(now);
        }
        self.start_host(host).await?;
        let mut orders = Vec::new();
        locked(&self.controller.controller).on_host_started(now, host, &mut orders);
        self.execute_orders(orders);
        Ok(())
    }

    /// Stops a drained host, or schedules another try where it still has work.
    fn stop_host(&mut self, host: u32, now: Micros) {
        let Some(slot) = self.hosts.get(&host) else {
            return;
        };
        let has_work = slot.process.as_ref().is_some_and(|process| {
            let model = locked(&process.model);
            model.queued() > 0 && !model.crashed
        });
        if has_work {
            let at = now + STOP_RETRY;
            self.stopping.push(ScheduledHost { at, host });
            return;
        }
        self.remove_process(host);
    }

    /// Starts the process of a killed host again, unless the host is draining or has a process.
    async fn restart_host(&mut self, host: u32, now: Micros) -> std::io::Result<()> {
        let slot = self.hosts.get_mut(&host);
        let Some(slot) = slot.filter(|slot| !slot.draining && slot.process.is_none()) else {
            return Ok(());
        };
        slot.started_at = Some(now);
        self.start_host(host).await
    }
}
