//! The simulated deployment. Events are handled in the order of their times, and those of the same microsecond in the
//! order in which they were scheduled. Each part of the deployment has a module of its own.

mod clients;
mod connections;
mod event;
mod faults;
mod host_list;
mod hosts;
mod links;
mod release_controller;
mod routers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::SeedableRng;
use slab::Slab;
use spokeflow_engine::Input;
use spokeflow_proto::FromController;
use spokeflow_scenario::active_faults::{ActiveFaults, LinkKind, CONTROL_SITE};
use spokeflow_scenario::endpoint_registry::EndpointRegistry;
use spokeflow_scenario::host::DeduplicationTable;
use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::release_controller::ReleaseController;
use spokeflow_scenario::report::RunRecorder;
use spokeflow_scenario::router_picker::RouterPicker;
use spokeflow_scenario::scenario::{Build, Fault, Scenario};
use spokeflow_scenario::traffic::Traffic;
use spokeflow_scenario::{Micros, MS, SECOND};

use self::clients::{OpenAttempt, OpenCommand};
use self::event::{Event, ScheduledEvent};
use self::hosts::HostSlot;
use self::routers::RouterSlot;
use crate::host_link::HostLink;
use crate::play::{ScenarioRun, Watch};
use crate::strategy::StrategyKind;

/// The time before the first command, in which routers receive the host list and the rollout state.
const WARM_UP: Micros = SECOND;
/// The one-way delay within a site, and between a client and its router.
const LOCAL_DELAY: Micros = 60;
const CONTROLLER_TICK_INTERVAL: Micros = 10 * MS;
/// How often the load that hosts put on each other is updated and the state of the fleet is recorded.
const FLEET_TICK_INTERVAL: Micros = 50 * MS;

pub(crate) struct World {
    scenario: Scenario,
    strategy_kind: StrategyKind,
    now: Micros,
    start: Micros,
    end: Micros,
    last_sequence: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Messages that met a cut link or a stalled controller; they are scheduled again when any fault ends.
    blocked: Vec<Event>,
    faults: ActiveFaults,
    rng: StdRng,
    last_number: u64,
    routers: Vec<RouterSlot>,
    host_slots: Slab<HostSlot>,
    slot_by_host: HashMap<u32, usize>,
    /// By host slot and router, see [`World::link_id`].
    host_links: Vec<HostLink>,
    deduplication: DeduplicationTable,
    registry: EndpointRegistry,
    controller: ReleaseController,
    /// Builds that the release controller has not accepted yet, in the order of their offers.
    unoffered_builds: Vec<Build>,
    router_picker: RouterPicker,
    traffic: Traffic,
    clients: Slab<OpenCommand>,
    attempts: Slab<OpenAttempt>,
    /// By index of an active fault, the hosts that were drawn for it.
    affected_hosts: BTreeMap<usize, Vec<u32>>,
    /// Active faults, each with its index in the scenario.
    active_faults: Vec<(usize, Fault)>,
    recorder: Option<RunRecorder>,
    /// Observations of the event that is being handled, not yet passed to the [`Watch`].
    observations: Vec<(Micros, Observation)>,
    /// The largest numbers of scheduled events, open attempts and host slots at any time.
    peak_counts: [usize; 3],
}

impl World {
    pub(crate) fn new(scenario: Scenario, kind: StrategyKind) -> World {
        let start = WARM_UP;
        let longest_timeout = scenario.ops.iter().map(|op| op.timeout).max().unwrap_or(0);
        let unoffered_builds = scenario
            .builds
            .iter()
            .copied()
            .filter(|b| b.number > 1)
            .collect();
        World {
            strategy_kind: kind,
            now: 0,
            start,
            end: start + scenario.length + longest_timeout + SECOND,
            last_sequence: 0,
            queue: BinaryHeap::new(),
            blocked: Vec::new(),
            faults: ActiveFaults::default(),
            rng: StdRng::seed_from_u64(scenario.seed ^ 0x57a6e),
            last_number: 0,
            routers: Vec::new(),
            host_slots: Slab::new(),
            slot_by_host: HashMap::new(),
            host_links: Vec::new(),
            deduplication: DeduplicationTable::default(),
            registry: EndpointRegistry::default(),
            controller: ReleaseController::new(&scenario),
            unoffered_builds,
            router_picker: RouterPicker::new(&scenario),
            traffic: Traffic::new(&scenario, start),
            clients: Slab::new(),
            attempts: Slab::new(),
            affected_hosts: BTreeMap::new(),
            active_faults: Vec::new(),
            recorder: Some(RunRecorder::new(&scenario, start)),
            observations: Vec::new(),
            peak_counts: [0; 3],
            scenario,
        }
    }

    pub(crate) fn run(mut self, watch: &mut dyn Watch) -> ScenarioRun {
        for host in 0..self.scenario.hosts {
            self.add_host_slot(host, 1, None);
            self.start_host_process(host);
        }
        self.registry.tick(self.now);
        for router in 0..self.scenario.routers {
            let site = (router % u32::from(self.scenario.sites)) as u16;
            self.routers.push(RouterSlot::new(router, site));
        }
        for router in 0..self.scenario.routers {
            self.start_router(router);
        }
        self.schedule(CONTROLLER_TICK_INTERVAL, Event::ControllerTick);
        self.schedule(FLEET_TICK_INTERVAL, Event::FleetTick);
        for (n, fault) in self.scenario.faults.clone().iter().enumerate() {
            self.schedule_at(self.start + fault.at, Event::FaultBegins(n));
        }
        let first = self.traffic.next(&self.scenario, &self.faults);
        self.schedule_at(first.due, Event::CommandDue(first));
        let (mut events, mut last_second_at) = (0, 0);
        while let Some(Reverse(ScheduledEvent { at, event, .. })) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            events += 1;
            self.handle(event);
            for (at, observation) in std::mem::take(&mut self.observations) {
                watch.on_observation(at, &observation);
            }
            if self.now >= last_second_at + SECOND {
                last_second_at = self.now;
                watch.on_second(self.now - self.start);
            }
            self.peak_counts[0] = self.peak_counts[0].max(self.queue.len());
        }
        let recorder = self
            .recorder
            .take()
            .expect("the recorder is only taken here, at the end of the run");
        let report = recorder.finish(Vec::new(), None);
        ScenarioRun {
            report,
            events,
            span: self.end,
            most_kept: self.peak_counts,
        }
    }

    fn observe(&mut self, observation: Observation) {
        if let Some(recorder) = &mut self.recorder {
            recorder.observe(self.now, &observation);
        }
        self.observations.push((self.now, observation));
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Micros, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Returns a number that no other command, attempt or host process of the run has.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CommandDue(planned) => self.begin_command(planned),
            Event::RetryDue(client) => self.begin_attempt(client),
            Event::CommandAtRouter { attempt, time_left } => {
                self.on_command_at_router(attempt, time_left)
            }
            Event::AnswerAtClient {
                attempt,
                end,
                receipt,
            } => self.on_answer_at_client(attempt, end, receipt),
            Event::ClientLeaves { attempt } => self.on_client_leaves(attempt),
            Event::AbandonAtRouter { attempt, process } => {
                let conn = u64::from(process.router);
                self.dispatch_input(process, Input::Abandon { conn, id: attempt });
            }
            Event::WrongAnswerAtRouter { process, receipt } => {
                self.dispatch_input(process, Input::WrongAnswer { conn: 0, receipt })
            }
            Event::RouterTimer { process, at } => {
                let slot = &mut self.routers[process.router as usize];
                if slot.process == process && slot.wake_at == at {
                    slot.wake_at = Micros::MAX;
                    self.dispatch_input(process, Input::Timer);
                }
            }
            Event::DeliveryFailed {
                process,
                host,
                delivery,
                failure,
            } => {
                self.dispatch_input(
                    process,
                    Input::DeliveryFailed {
                        host,
                        delivery,
                        failure,
                    },
                );
            }
            Event::MessageAtHost {
                link_id,
                epoch,
                message,
            } => self.on_message_at_host(link_id, epoch, message),
            Event::MessageAtRouter {
                link_id,
                epoch,
                message,
            } => self.on_message_at_router(link_id, epoch, message),
            Event::ConnectEnds {
                link_id,
                epoch,
                fails,
            } => self.on_connect_end(link_id, epoch, fails),
            Event::SilenceCheck { link_id, epoch } => self.check_silence(link_id, epoch),
            Event::HostTimer {
                slot,
                incarnation,
                at,
            } => self.on_host_timer(slot, incarnation, at),
            Event::HostStarts(host) => self.start_host(host),
            Event::HostStops(host) => self.stop_host(host),
            Event::HostRestarts(host) => {
                let Some(&slot) = self.slot_by_host.get(&host) else {
                    return;
                };
                if !self.host_slots[slot].is_draining && self.host_slots[slot].process.is_none() {
                    self.host_slots[slot].started = Some(self.now);
                    self.start_host_process(host);
                }
            }
            Event::SlotFreed(host) => self.free_slot(host),
            Event::RegistryTick => self.on_registry_tick(),
            Event::ListRequest {
                process,
                connection,
                have,
            } => self.on_list_request(process, connection, have),
            Event::ListAtRouter {
                process,
                connection,
                message,
            } => self.on_list_message(process, connection, &message),
            Event::ListRefreshDue {
                process,
                connection,
            } => self.on_list_refresh_due(process, connection),
            Event::ListConnectDue {
                process,
                connection,
            } => self.connect_to_list(process, connection),
            Event::RolloutAtRouter { process, status } => {
                self.on_rollout_at_router(process, status)
            }
            Event::VoteAtController {
                process,
                ballot,
                build,
                stage,
                vote,
            } => {
                self.on_vote(process, ballot, build, stage, vote);
            }
            Event::VoteResultAtRouter {
                process,
                ballot,
                result,
            } => {
                let site = self.routers[process.router as usize].site;
                if self
                    .faults
                    .delay(CONTROL_SITE, site, LinkKind::ControlSite)
                    .is_none()
                {
                    return self.blocked.push(Event::VoteResultAtRouter {
                        process,
                        ballot,
                        result,
                    });
                }
                self.dispatch_input(
                    process,
                    Input::FromController(FromController::Voted { ballot, result }),
                );
            }
            Event::GossipAtRouter {
                process,
                from,
                text,
            } => {
                self.dispatch_input(
                    process,
                    Input::Gossip {
                        router: from,
                        text: text.to_vec(),
                    },
                );
            }
            Event::ControllerTick => self.on_controller_tick(),
            Event::FleetTick => self.on_fleet_tick(),
            Event::FaultBegins(n) => self.begin_fault(n),
            Event::FaultEnds(n) => self.end_fault(n),
            Event::RouterRoll(restart) => self.restart_next_router(restart),
            Event::RouterEnds {
                router,
                process,
                shutdown_at,
                next,
            } => self.on_router_ends(router, process, shutdown_at, next),
            Event::RouterStarts { router, next } => {
                self.restart_router(router);
                if let Some(restart) = next {
                    let delay = (restart.interval - restart.down_for).max(0);
                    self.schedule(delay, Event::RouterRoll(restart));
                }
            }
        }
    }
}
