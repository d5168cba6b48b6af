//! The list of hosts, and each router's connection to it.

use std::rc::Rc;

use rand::RngExt;
use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList};
use spokeflow_scenario::active_faults::{LinkKind, CONTROL_SITE};
use spokeflow_scenario::endpoint_registry::Entry;
use spokeflow_scenario::observation::{Observation, Phase, Process};
use spokeflow_scenario::{Micros, MS, SECOND};

use super::event::Event;
use super::{World, LOCAL_DELAY};
use crate::host_link::pause;

const LIST_RENEW: Micros = 5 * SECOND;

impl World {
    pub(super) fn board_tick(&mut self) {
        let before = self.registry.version();
        self.registry.tick(self.now);
        if self.registry.version() == before {
            return;
        }
        for router in 0..self.routers.len() {
            let seat = &self.routers[router];
            if seat.watches
                && seat.list_up
                && seat.list_held.is_some_and(|v| v < self.registry.version())
            {
                let (by, link, held) = (seat.process, seat.list_link, seat.list_held);
                self.tell_list(by, link, held);
            }
        }
    }

    fn tell_list(&mut self, by: Process, link: u32, have: Option<u64>) {
        let now = self.now;
        let (whole, entries) = self.registry.updates_since(have);
        let line = |e: &&Entry| EndpointRecord {
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
        let (version, lines) = (self.registry.version(), entries.iter().map(line).collect());
        let message = if whole {
            FromList::Complete {
                version,
                endpoints: lines,
            }
        } else {
            FromList::Changes {
                version,
                endpoints: lines,
            }
        };
        self.routers[by.router as usize].list_held = Some(version);
        self.tell_router(by, |by| Event::ListAtRouter {
            by,
            link,
            message: Rc::new(message),
        });
    }

    /// From list or desk to a router, in order.
    pub(super) fn tell_router(&mut self, by: Process, what: impl FnOnce(Process) -> Event) {
        let seat = &self.routers[by.router as usize];
        let way = self
            .faults
            .delay(CONTROL_SITE, seat.site, LinkKind::ControlSite)
            .unwrap_or(2 * MS)
            .max(LOCAL_DELAY);
        let at = (self.now + way).max(seat.office_last[0]);
        self.routers[by.router as usize].office_last[0] = at;
        self.plan_at(at, what(by));
    }

    pub(super) fn ask_office(&mut self, by: Process, what: impl FnOnce(Process) -> Event) {
        let seat = &self.routers[by.router as usize];
        let way = self
            .faults
            .delay(seat.site, CONTROL_SITE, LinkKind::ControlSite)
            .unwrap_or(2 * MS)
            .max(LOCAL_DELAY);
        let at = (self.now + way).max(seat.office_last[1]);
        self.routers[by.router as usize].office_last[1] = at;
        self.plan_at(at, what(by));
    }

    pub(super) fn office_cut(&self, by: Process) -> bool {
        let site = self.routers[by.router as usize].site;
        self.faults
            .delay(CONTROL_SITE, site, LinkKind::ControlSite)
            .is_none()
    }

    fn stale(&self, by: Process, link: u32) -> bool {
        let seat = &self.routers[by.router as usize];
        seat.process != by || seat.list_link != link || seat.brain.is_none()
    }

    pub(super) fn list_ask(&mut self, by: Process, link: u32, have: Option<u64>) {
        if self.stale(by, link) {
            return;
        }
        if self.office_cut(by) {
            return self.blocked.push(Event::ListRequest { by, link, have });
        }
        self.routers[by.router as usize].watches = true;
        self.tell_list(by, link, have);
    }

    pub(super) fn list_to(&mut self, by: Process, link: u32, message: &Rc<FromList>) {
        if self.stale(by, link) {
            return;
        }
        if self.office_cut(by) {
            return self.blocked.push(Event::ListAtRouter {
                by,
                link,
                message: message.clone(),
            });
        }
        let (whole, lines) = match &**message {
            FromList::Complete {
                endpoints: lines, ..
            } => (true, lines),
            FromList::Changes {
                endpoints: lines, ..
            } => (false, lines),
            _ => return,
        };
        let phase = |l: &EndpointRecord| match l.phase {
            EndpointPhase::Gone => Phase::Gone,
            EndpointPhase::Ready => Phase::Ready,
            EndpointPhase::Draining => Phase::Draining,
        };
        if whole || !lines.is_empty() {
            let lines = lines
                .iter()
                .map(|l| (l.host, l.build.unwrap_or(0), phase(l)))
                .collect();
            self.note(Observation::Listed {
                to: by,
                whole,
                lines,
            });
        }
        let seat = &mut self.routers[by.router as usize];
        (seat.list_heard, seat.list_unheard) = (self.now, 0);
        let message = FromList::clone(message);
        self.give(by, Input::FromList(message));
    }

    pub(super) fn list_renew(&mut self, by: Process, link: u32) {
        if self.stale(by, link) {
            return;
        }
        let seat = &mut self.routers[by.router as usize];
        let due = seat.list_heard + LIST_RENEW;
        if self.now < due {
            return self.plan_at(due, Event::ListReconnects { by, link });
        }
        seat.list_unheard += 1;
        if seat.list_unheard > 3 {
            return self.list_lost(by);
        }
        seat.list_heard = self.now;
        let have = seat.list_held;
        self.ask_office(by, |by| Event::ListRequest { by, link, have });
        self.plan(LIST_RENEW, Event::ListReconnects { by, link });
    }

    pub(super) fn list_lost(&mut self, by: Process) {
        let drawn = self.rng.random_range(0.5..1.0);
        let seat = &mut self.routers[by.router as usize];
        seat.list_link += 1;
        (seat.list_up, seat.watches) = (false, false);
        seat.list_failures += 1;
        let (link, after) = (seat.list_link, pause(seat.list_failures - 1, drawn));
        self.plan(after, Event::ListConnected { by, link });
        self.give(by, Input::ListUnavailable);
    }

    pub(super) fn list_open(&mut self, by: Process, link: u32) {
        if self.stale(by, link) {
            return;
        }
        if self.faults.list_breaks || self.office_cut(by) {
            return self.list_lost(by);
        }
        let seat = &mut self.routers[by.router as usize];
        (seat.list_up, seat.list_failures) = (true, 0);
        (seat.list_heard, seat.list_unheard) = (self.now, 0);
        let have = seat.list_held;
        self.ask_office(by, |by| Event::ListRequest { by, link, have });
        self.plan(LIST_RENEW, Event::ListReconnects { by, link });
    }
}
