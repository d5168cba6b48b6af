//! The host list, and each router's connection to it.

use std::rc::Rc;

use rand::RngExt;
use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList};
use spokeflow_scenario::active_faults::{LinkKind, CONTROL_SITE};
use spokeflow_scenario::endpoint_registry::Entry;
use spokeflow_scenario::observation::{Observation, Phase, Process};
use spokeflow_scenario::{Micros, SECOND};

use super::connections::CUT_LINK_DELAY;
use super::event::Event;
use super::{World, LOCAL_DELAY};
use crate::host_link::backoff;

/// A router asks for the list again when it has not heard from it for this time.
const LIST_REFRESH_INTERVAL: Micros = 5 * SECOND;

impl World {
    pub(super) fn on_registry_tick(&mut self) {
        let before = self.registry.version();
        self.registry.tick(self.now);
        if self.registry.version() == before {
            return;
        }
        for router in 0..self.routers.len() {
            let slot = &self.routers[router];
            if slot.is_watching_list
                && slot.is_list_connected
                && slot
                    .list_version
                    .is_some_and(|v| v < self.registry.version())
            {
                let (process, connection, have) =
                    (slot.process, slot.list_connection, slot.list_version);
                self.send_list(process, connection, have);
            }
        }
    }

    fn send_list(&mut self, process: Process, connection: u32, have: Option<u64>) {
        let now = self.now;
        let (is_complete, entries) = self.registry.updates_since(have);
        let record = |e: &&Entry| EndpointRecord {
            host: e.host,
            address: String::new(),
            build: Some(e.build),
            cell: 0,
            zone: e.site,
            phase: match e.phase {
                Phase::Gone => EndpointPhase::Gone,
                Phase::Ready => EndpointPhase::Ready,
                Phase::Draining => EndpointPhase::Draining,
            },
            incarnation: e.incarnation,
            up_us: e.started.map(|at| (now - at).max(0) as u64),
        };
        let version = self.registry.version();
        let endpoints = entries.iter().map(record).collect();
        let message = if is_complete {
            FromList::Complete { version, endpoints }
        } else {
            FromList::Changes { version, endpoints }
        };
        self.routers[process.router as usize].list_version = Some(version);
        self.send_from_control_site(process, |process| Event::ListAtRouter {
            process,
            connection,
            message: Rc::new(message),
        });
    }

    /// Schedules an event at a router that the host list or the release controller causes; such events arrive in
    /// order.
    pub(super) fn send_from_control_site(
        &mut self,
        process: Process,
        event: impl FnOnce(Process) -> Event,
    ) {
        let slot = &self.routers[process.router as usize];
        let delay = self
            .faults
            .delay(CONTROL_SITE, slot.site, LinkKind::ControlSite)
            .unwrap_or(CUT_LINK_DELAY)
            .max(LOCAL_DELAY);
        let at = (self.now + delay).max(slot.control_site_last.from_site);
        self.routers[process.router as usize]
            .control_site_last
            .from_site = at;
        self.schedule_at(at, event(process));
    }

    /// Schedules an event at the host list or the release controller that a router causes; such events arrive in
    /// order.
    pub(super) fn send_to_control_site(
        &mut self,
        process: Process,
        event: impl FnOnce(Process) -> Event,
    ) {
        let slot = &self.routers[process.router as usize];
        let delay = self
            .faults
            .delay(slot.site, CONTROL_SITE, LinkKind::ControlSite)
            .unwrap_or(CUT_LINK_DELAY)
            .max(LOCAL_DELAY);
        let at = (self.now + delay).max(slot.control_site_last.to_site);
        self.routers[process.router as usize]
            .control_site_last
            .to_site = at;
        self.schedule_at(at, event(process));
    }

    pub(super) fn is_cut_from_control_site(&self, process: Process) -> bool {
        let site = self.routers[process.router as usize].site;
        self.faults
            .delay(CONTROL_SITE, site, LinkKind::ControlSite)
            .is_none()
    }

    /// Returns true for an event of an earlier process or connection, or of a router that is down.
    fn is_stale(&self, process: Process, connection: u32) -> bool {
        let slot = &self.routers[process.router as usize];
        slot.process != process || slot.list_connection != connection || slot.strategy.is_none()
    }

    pub(super) fn on_list_request(&mut self, process: Process, connection: u32, have: Option<u64>) {
        if self.is_stale(process, connection) {
            return;
        }
        if self.is_cut_from_control_site(process) {
            return self.blocked.push(Event::ListRequest {
                process,
                connection,
                have,
            });
        }
        self.routers[process.router as usize].is_watching_list = true;
        self.send_list(process, connection, have);
    }

    pub(super) fn on_list_message(
        &mut self,
        process: Process,
        connection: u32,
        message: &Rc<FromList>,
    ) {
        if self.is_stale(process, connection) {
            return;
        }
        if self.is_cut_from_control_site(process) {
            return self.blocked.push(Event::ListAtRouter {
                process,
                connection,
                message: message.clone(),
            });
        }
        let (is_complete, endpoints) = match &**message {
            FromList::Complete { endpoints, .. } => (true, endpoints),
            FromList::Changes { endpoints, .. } => (false, endpoints),
            _ => return,
        };
        let phase = |record: &EndpointRecord| match record.phase {
            EndpointPhase::Gone => Phase::Gone,
            EndpointPhase::Ready => Phase::Ready,
            EndpointPhase::Draining => Phase::Draining,
        };
        if is_complete || !endpoints.is_empty() {
            let lines = endpoints
                .iter()
                .map(|record| (record.host, record.build.unwrap_or(0), phase(record)))
                .collect();
            self.observe(Observation::Listed {
                to: process,
                whole: is_complete,
                lines,
            });
        }
        let slot = &mut self.routers[process.router as usize];
        (slot.list_heard_at, slot.list_unanswered) = (self.now, 0);
        let message = FromList::clone(message);
        self.dispatch_input(process, Input::FromList(message));
    }

    pub(super) fn on_list_refresh_due(&mut self, process: Process, connection: u32) {
        if self.is_stale(process, connection) {
            return;
        }
        let slot = &mut self.routers[process.router as usize];
        let due = slot.list_heard_at + LIST_REFRESH_INTERVAL;
        if self.now < due {
            return self.schedule_at(
                due,
                Event::ListRefreshDue {
                    process,
                    connection,
                },
            );
        }
        slot.list_unanswered += 1;
        if slot.list_unanswered > 3 {
            return self.on_list_lost(process);
        }
        slot.list_heard_at = self.now;
        let have = slot.list_version;
        self.send_to_control_site(process, |process| Event::ListRequest {
            process,
            connection,
            have,
        });
        self.schedule(
            LIST_REFRESH_INTERVAL,
            Event::ListRefreshDue {
                process,
                connection,
            },
        );
    }

    pub(super) fn on_list_lost(&mut self, process: Process) {
        let jitter = self.rng.random_range(0.5..1.0);
        let slot = &mut self.routers[process.router as usize];
        slot.list_connection += 1;
        (slot.is_list_connected, slot.is_watching_list) = (false, false);
        slot.list_failures += 1;
        let connection = slot.list_connection;
        let after = backoff(slot.list_failures - 1, jitter);
        self.schedule(
            after,
            Event::ListConnectDue {
                process,
                connection,
            },
        );
        self.dispatch_input(process, Input::ListUnavailable);
    }

    pub(super) fn connect_to_list(&mut self, process: Process, connection: u32) {
        if self.is_stale(process, connection) {
            return;
        }
        if self.faults.list_breaks || self.is_cut_from_control_site(process) {
            return self.on_list_lost(process);
        }
        let slot = &mut self.routers[process.router as usize];
        (slot.is_list_connected, slot.list_failures) = (true, 0);
        (slot.list_heard_at, slot.list_unanswered) = (self.now, 0);
        let have = slot.list_version;
        self.send_to_control_site(process, |process| Event::ListRequest {
            process,
            connection,
            have,
        });
        self.schedule(
            LIST_REFRESH_INTERVAL,
            Event::ListRefreshDue {
                process,
                connection,
            },
        );
    }
}
