//! Processes of routers: their start, their end, and what reaches them.

use std::rc::Rc;

use spokeflow_engine::Input;
use spokeflow_scenario::observation::{Observation, Process};
use spokeflow_scenario::release_controller::State;
use spokeflow_scenario::traffic::TryEnd;
use spokeflow_scenario::{Micros, MS, SECOND};

use super::event::Event;
use super::links::RouterTransport;
use super::{World, LOCAL_DELAY};
use crate::engine_config::engine_config;
use crate::strategy::RoutingStrategy;

/// After SIGTERM.
const ENDS_WITHIN: Micros = 15 * SECOND;

pub(super) struct RouterSlot {
    pub(super) process: Process,
    pub(super) brain: Option<Box<dyn RoutingStrategy>>,
    pub(super) site: u16,
    pub(super) down_since: Option<Micros>,
    pub(super) closing: bool,
    pub(super) wake_at: Micros,
    /// The connection to the list: which, whether it stands, failures in a row, when last heard, asked in vain.
    pub(super) list_link: u32,
    pub(super) list_up: bool,
    pub(super) list_failures: u32,
    pub(super) list_heard: Micros,
    pub(super) list_unheard: u32,
    pub(super) list_held: Option<u64>,
    pub(super) watches: bool,
    pub(super) told: Option<State>,
    pub(super) told_at: Micros,
    pub(super) news_last: Micros,
    pub(super) office_last: [Micros; 2],
}

impl RouterSlot {
    pub(super) fn new(router: u32, site: u16) -> RouterSlot {
        RouterSlot {
            process: Process { router, start: 0 },
            brain: None,
            site,
            down_since: None,
            closing: false,
            wake_at: Micros::MAX,
            list_link: 0,
            list_up: false,
            list_failures: 0,
            list_heard: 0,
            list_unheard: 0,
            list_held: None,
            watches: false,
            told: None,
            told_at: 0,
            news_last: 0,
            office_last: [0; 2],
        }
    }
}

impl World {
    pub(super) fn start_router(&mut self, router: u32) {
        let day = &self.day;
        let (terms, now) = (engine_config(day, router), self.now);
        let seed = day.seed.wrapping_mul(31).wrapping_add(u64::from(router));
        let process = self.routers[router as usize].process;
        self.note(Observation::RouterUp(process));
        let who = self.strategy;
        let brain = who.start(
            terms,
            seed,
            now,
            &mut RouterTransport {
                world: self,
                router,
            },
        );
        let seat = &mut self.routers[router as usize];
        (seat.brain, seat.wake_at, seat.down_since, seat.closing) =
            (Some(brain), Micros::MAX, None, false);
        self.wake_later(router);
        let link = self.routers[router as usize].list_link;
        self.plan(0, Event::ListConnected { by: process, link });
    }

    pub(super) fn start_again(&mut self, router: u32) {
        let site = self.routers[router as usize].site;
        let start = self.routers[router as usize].process.start + 1;
        let mut fresh = RouterSlot::new(router, site);
        fresh.process.start = start;
        self.routers[router as usize] = fresh;
        self.start_router(router);
    }

    /// The process is no more: connections break, and what waits on it at clients.
    pub(super) fn stop_router(&mut self, router: u32, seen: Observation) {
        self.note(seen);
        let seat = &mut self.routers[router as usize];
        seat.brain = None;
        seat.down_since = seat.down_since.or(Some(self.now));
        let of_router = self.day.routers as usize;
        for pair in (router as usize..self.host_links.len()).step_by(of_router) {
            self.host_links[pair].reset();
        }
        let open: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, t)| t.router.router == router && !t.answered)
            .map(|(_, t)| t.attempt)
            .collect();
        for tried in open {
            self.plan(
                LOCAL_DELAY,
                Event::AnswerAtClient {
                    tried,
                    end: TryEnd::Broken,
                    receipt: 0,
                },
            );
        }
    }

    pub(super) fn roll(&mut self, routers: Rc<Vec<u32>>, nth: usize, down: Micros, apart: Micros) {
        let Some(&router) = routers.get(nth) else {
            return;
        };
        let next = Some((routers, nth + 1, down, apart));
        let seat = &mut self.routers[router as usize];
        if seat.brain.is_none() || seat.closing {
            // Another trouble has it.
            return self.plan(
                apart,
                Event::RouterRoll {
                    routers: next.map(|n| n.0).unwrap_or_default(),
                    nth: nth + 1,
                    down,
                    apart,
                },
            );
        }
        (seat.closing, seat.down_since) = (true, Some(self.now));
        let by = seat.process;
        self.note(Observation::RouterShutdown(by));
        self.give(by, Input::Close);
        self.plan(
            0,
            Event::RouterEnds {
                router,
                by,
                asked: self.now,
                next,
            },
        );
    }

    pub(super) fn router_ended(
        &mut self,
        router: u32,
        by: Process,
        asked: Micros,
        next: Option<(Rc<Vec<u32>>, usize, Micros, Micros)>,
    ) {
        let seat = &self.routers[router as usize];
        let held = seat
            .brain
            .as_ref()
            .filter(|_| seat.process == by)
            .map_or(0, |b| b.held());
        if held > 0 && self.now - asked < ENDS_WITHIN {
            return self.plan(
                20 * MS,
                Event::RouterEnds {
                    router,
                    by,
                    asked,
                    next,
                },
            );
        }
        if seat.process == by && seat.brain.is_some() {
            self.stop_router(router, Observation::RouterEnded(by));
        }
        let down = next.as_ref().map_or(SECOND, |n| n.2);
        self.plan(down, Event::RouterStarts { router, then: next });
    }

    /// Gives a router what has reached it.
    pub(super) fn give(&mut self, by: Process, input: Input) {
        let seat = &mut self.routers[by.router as usize];
        if seat.process != by {
            return;
        }
        let Some(mut brain) = seat.brain.take() else {
            return;
        };
        brain.take(
            self.now,
            input,
            &mut RouterTransport {
                world: self,
                router: by.router,
            },
        );
        self.routers[by.router as usize].brain = Some(brain);
        self.wake_later(by.router);
    }

    fn wake_later(&mut self, router: u32) {
        let seat = &mut self.routers[router as usize];
        let Some(brain) = &seat.brain else { return };
        let at = brain.next_wake().max(self.now);
        if at < seat.wake_at {
            seat.wake_at = at;
            let by = seat.process;
            self.plan_at(at, Event::RouterTimer { by, at });
        }
    }
}
