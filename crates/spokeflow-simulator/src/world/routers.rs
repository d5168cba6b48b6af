//! Router processes: their start, their end, and the inputs that reach them.

use spokeflow_engine::Input;
use spokeflow_scenario::observation::{Observation, Process};
use spokeflow_scenario::release_controller::RolloutStatus;
use spokeflow_scenario::traffic::AttemptEnd;
use spokeflow_scenario::{Micros, MS, SECOND};

use super::event::{Event, RollingRestart};
use super::links::RouterTransport;
use super::{World, LOCAL_DELAY};
use crate::engine_config::engine_config;
use crate::strategy::RoutingStrategy;

/// How long a router may take to answer its waiting commands after it was told to shut down.
const SHUTDOWN_TIMEOUT: Micros = 15 * SECOND;

/// When the last message in each direction between a router and the control site arrives; later ones arrive no
/// earlier.
#[derive(Default)]
pub(super) struct ControlSiteArrivals {
    pub(super) from_site: Micros,
    pub(super) to_site: Micros,
}

/// A place in the router fleet, with its current process.
pub(super) struct RouterSlot {
    pub(super) process: Process,
    /// `None` while no process runs.
    pub(super) strategy: Option<Box<dyn RoutingStrategy>>,
    pub(super) site: u16,
    /// Since when clients cannot connect: the process was told to shut down or has ended.
    pub(super) down_since: Option<Micros>,
    pub(super) is_closing: bool,
    pub(super) wake_at: Micros,
    /// The number of the connection to the host list; events of earlier connections are dropped.
    pub(super) list_connection: u32,
    pub(super) is_list_connected: bool,
    /// Lost connections to the host list and failed connects in a row.
    pub(super) list_failures: u32,
    /// When the list was last heard or last asked for a refresh.
    pub(super) list_heard_at: Micros,
    /// Refresh requests without an answer in a row.
    pub(super) list_unanswered: u32,
    /// The latest version of the list that was sent to the router.
    pub(super) list_version: Option<u64>,
    /// Whether the list sends its changes to the router.
    pub(super) is_watching_list: bool,
    /// The rollout status that was last sent to the router, `None` before the first.
    pub(super) sent_status: Option<RolloutStatus>,
    pub(super) status_sent_at: Micros,
    /// When the last rollout status arrives; later ones arrive no earlier.
    pub(super) last_rollout_at: Micros,
    /// When the last other messages from and to the control site arrive.
    pub(super) control_site_last: ControlSiteArrivals,
}

impl RouterSlot {
    pub(super) fn new(router: u32, site: u16) -> RouterSlot {
        RouterSlot {
            process: Process { router, start: 0 },
            strategy: None,
            site,
            down_since: None,
            is_closing: false,
            wake_at: Micros::MAX,
            list_connection: 0,
            is_list_connected: false,
            list_failures: 0,
            list_heard_at: 0,
            list_unanswered: 0,
            list_version: None,
            is_watching_list: false,
            sent_status: None,
            status_sent_at: 0,
            last_rollout_at: 0,
            control_site_last: ControlSiteArrivals::default(),
        }
    }
}

impl World {
    pub(super) fn start_router(&mut self, router: u32) {
        let scenario = &self.scenario;
        let (config, now) = (engine_config(scenario, router), self.now);
        let seed = scenario
            .seed
            .wrapping_mul(31)
            .wrapping_add(u64::from(router));
        let process = self.routers[router as usize].process;
        self.observe(Observation::RouterUp(process));
        let strategy_kind = self.strategy_kind;
        let strategy = strategy_kind.start(
            config,
            seed,
            now,
            &mut RouterTransport {
                world: self,
                router,
            },
        );
        let slot = &mut self.routers[router as usize];
        (
            slot.strategy,
            slot.wake_at,
            slot.down_since,
            slot.is_closing,
        ) = (Some(strategy), Micros::MAX, None, false);
        self.schedule_wake(router);
        let connection = self.routers[router as usize].list_connection;
        self.schedule(
            0,
            Event::ListConnectDue {
                process,
                connection,
            },
        );
    }

    pub(super) fn restart_router(&mut self, router: u32) {
        let site = self.routers[router as usize].site;
        let start = self.routers[router as usize].process.start + 1;
        let mut slot = RouterSlot::new(router, site);
        slot.process.start = start;
        self.routers[router as usize] = slot;
        self.start_router(router);
    }

    /// Ends the process: its connections to hosts are reset, and the open attempts of its clients end as broken.
    pub(super) fn stop_router(&mut self, router: u32, observation: Observation) {
        self.observe(observation);
        let slot = &mut self.routers[router as usize];
        slot.strategy = None;
        slot.down_since = slot.down_since.or(Some(self.now));
        let routers = self.scenario.routers as usize;
        for link_id in (router as usize..self.host_links.len()).step_by(routers) {
            self.host_links[link_id].reset();
        }
        let open_attempts: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, open)| open.router.router == router && !open.is_answered)
            .map(|(_, open)| open.attempt)
            .collect();
        for attempt in open_attempts {
            self.schedule(
                LOCAL_DELAY,
                Event::AnswerAtClient {
                    attempt,
                    end: AttemptEnd::Broken,
                    receipt: 0,
                },
            );
        }
    }

    /// Shuts down the next router of a rolling restart, which goes on when that router has started again.
    pub(super) fn restart_next_router(&mut self, mut restart: RollingRestart) {
        let Some(&router) = restart.routers.get(restart.next_index) else {
            return;
        };
        restart.next_index += 1;
        let slot = &mut self.routers[router as usize];
        if slot.strategy.is_none() || slot.is_closing {
            // Another fault has already taken this router down.
            return self.schedule(restart.interval, Event::RouterRoll(restart));
        }
        (slot.is_closing, slot.down_since) = (true, Some(self.now));
        let process = slot.process;
        self.observe(Observation::RouterShutdown(process));
        self.dispatch_input(process, Input::Close);
        self.schedule(
            0,
            Event::RouterEnds {
                router,
                process,
                shutdown_at: self.now,
                next: Some(restart),
            },
        );
    }

    pub(super) fn on_router_ends(
        &mut self,
        router: u32,
        process: Process,
        shutdown_at: Micros,
        next: Option<RollingRestart>,
    ) {
        let slot = &self.routers[router as usize];
        let waiting = slot
            .strategy
            .as_ref()
            .filter(|_| slot.process == process)
            .map_or(0, |strategy| strategy.waiting_commands());
        if waiting > 0 && self.now - shutdown_at < SHUTDOWN_TIMEOUT {
            return self.schedule(
                20 * MS,
                Event::RouterEnds {
                    router,
                    process,
                    shutdown_at,
                    next,
                },
            );
        }
        if slot.process == process && slot.strategy.is_some() {
            self.stop_router(router, Observation::RouterEnded(process));
        }
        let down_for = next.as_ref().map_or(SECOND, |restart| restart.down_for);
        self.schedule(down_for, Event::RouterStarts { router, next });
    }

    /// Passes an input to a router, unless its process has ended.
    pub(super) fn dispatch_input(&mut self, process: Process, input: Input) {
        let slot = &mut self.routers[process.router as usize];
        if slot.process != process {
            return;
        }
        let Some(mut strategy) = slot.strategy.take() else {
            return;
        };
        strategy.on_input(
            self.now,
            input,
            &mut RouterTransport {
                world: self,
                router: process.router,
            },
        );
        self.routers[process.router as usize].strategy = Some(strategy);
        self.schedule_wake(process.router);
    }

    fn schedule_wake(&mut self, router: u32) {
        let slot = &mut self.routers[router as usize];
        let Some(strategy) = &slot.strategy else {
            return;
        };
        let at = strategy.next_wake().max(self.now);
        if at < slot.wake_at {
            slot.wake_at = at;
            let process = slot.process;
            self.schedule_at(at, Event::RouterTimer { process, at });
        }
    }
}
