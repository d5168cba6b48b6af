//! Runs a scenario on sockets: fake peers, real router processes, faults at their times; then checks the rules.

mod hosts;
mod inject;
mod routers;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::SeedableRng;
use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::report::{Outcome, Report, RunRecorder};
use spokeflow_scenario::scenario::{Build, Fault, Scenario};
use tokio::time::sleep;

use self::hosts::{HostSlot, ScheduledHost};
use self::routers::{RouterFleet, Surroundings};
use crate::clients::ClientPool;
use crate::context::RunContext;
use crate::endpoint_registry::EndpointRegistryServer;
use crate::locked;
use crate::release_controller::ReleaseControllerServer;
use crate::routers::{StartError, Starting};
use crate::{Micros, SECOND};

/// Before the first command, so that routers have a list and the state of the rollout.
const WARM_UP: Duration = Duration::from_secs(1);
/// How often the run looks whether something is due.
const TICK: Duration = Duration::from_millis(10);
/// Keeps the draws of the run apart from those of the traffic.
const RUN_SEED: u64 = 0x57a6e;

/// Why a scenario cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The scenario has gossip, which routers do not have on sockets.
    #[error("routers that tell each other are played in simulated time only")]
    Gossip,
    /// No loopback port can be had.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[from] std::io::Error),
    /// A router does not start.
    #[error(transparent)]
    StartRouter(#[from] StartError),
}

/// What a run gave.
pub struct Played {
    /// The scenario.
    pub day: Scenario,
    /// All that the tap recorded, in the order of time.
    pub seen: Vec<(Micros, Observation)>,
    /// How each command ended.
    pub outcomes: Vec<Outcome>,
    /// The outcome of the checks.
    pub report: Report,
}

/// The state of a run between two ticks.
struct Run {
    context: Arc<RunContext>,
    registry: Arc<EndpointRegistryServer>,
    controller: Arc<ReleaseControllerServer>,
    routers: Arc<RouterFleet>,
    /// Time of the first command.
    start: Micros,
    /// Builds that were not offered yet.
    offers: Vec<Build>,
    /// Faults that have not ended yet.
    faults: Vec<ScheduledFault>,
    hosts: HashMap<u32, HostSlot>,
    booting: Vec<ScheduledHost>,
    stopping: Vec<ScheduledHost>,
    reviving: Vec<ScheduledHost>,
    /// By index of the fault.
    struck_hosts: HashMap<usize, Vec<u32>>,
    rng: StdRng,
}

/// A fault of the scenario.
#[derive(Clone, Copy)]
struct ScheduledFault {
    /// Its index in the scenario.
    index: usize,
    fault: Fault,
    begun: bool,
}

/// Runs a scenario to its end and checks the rules. `progress` is called with the time, once a second.
///
/// # Errors
///
/// The scenario is one for simulated time only, or the fake peers or the routers cannot be started.
pub async fn play(
    day: Scenario,
    starting: Starting,
    mut progress: impl FnMut(Micros),
) -> Result<Played, PlayError> {
    if day.may_gossip {
        return Err(PlayError::Gossip);
    }
    let context = RunContext::new(day);
    let scenario = &context.scenario;
    let mut run = Run::new(context.clone(), starting).await?;
    run.start_processes().await?;
    sleep(WARM_UP).await;
    run.start = context.tap.now();
    let clients = ClientPool::new(context.clone(), run.routers.endpoints.clone());
    let sending = tokio::spawn(clients.clone().send_until(run.start + scenario.length));
    // After the last command there is time for its answer.
    let longest = scenario.ops.iter().map(|op| op.timeout).max().unwrap_or(0);
    let end = run.start + scenario.length + longest + SECOND;
    let mut seconds = 0;
    while context.tap.now() < end {
        let now = context.tap.now();
        let passed = (now - run.start) / SECOND;
        if passed > seconds {
            seconds = passed;
            progress(seconds * SECOND);
        }
        run.tick(now).await?;
        sleep(TICK).await;
    }
    // A panic there shows as missing outcomes.
    let _ = sending.await;
    run.routers.terminate_all().await;
    Ok(run.finish(&clients))
}

impl Run {
    /// Starts the registry and the release controller.
    async fn new(context: Arc<RunContext>, starting: Starting) -> Result<Run, PlayError> {
        let registry = EndpointRegistryServer::new(context.clone());
        let controller = ReleaseControllerServer::new(context.clone());
        let surroundings = Surroundings {
            list: registry.open().await?,
            release_controller: controller.open().await?,
        };
        let scenario = &context.scenario;
        let builds = scenario.builds.iter().copied();
        let faults = scenario.faults.iter().enumerate();
        Ok(Run {
            registry,
            controller,
            routers: RouterFleet::new(context.clone(), starting, surroundings),
            start: 0,
            offers: builds.filter(|build| build.number > 1).collect(),
            faults: faults
                .map(|(index, fault)| ScheduledFault {
                    index,
                    fault: *fault,
                    begun: false,
                })
                .collect(),
            hosts: HashMap::new(),
            booting: Vec::new(),
            stopping: Vec::new(),
            reviving: Vec::new(),
            struck_hosts: HashMap::new(),
            rng: StdRng::seed_from_u64(scenario.seed ^ RUN_SEED),
            context,
        })
    }

    async fn start_processes(&mut self) -> Result<(), PlayError> {
        for host in 0..self.context.scenario.hosts {
            self.add_host(host, 1, None);
            self.start_host(host).await?;
        }
        for router in 0..self.context.scenario.routers {
            self.routers.add(router).await?;
        }
        Ok(())
    }

    /// Does what is due.
    async fn tick(&mut self, now: Micros) -> Result<(), PlayError> {
        self.advance_rollout(now);
        self.advance_hosts(now).await?;
        self.begin_due_faults(now);
        self.end_due_faults(now);
        self.registry.tick(now);
        self.apply_shared_slowdown();
        Ok(())
    }

    /// Offers the next build when it is due, and carries out what the release controller orders.
    fn advance_rollout(&mut self, now: Micros) {
        if self.context.faults().stalled_controller {
            return;
        }
        let mut orders = Vec::new();
        let mut controller = locked(&self.controller.controller);
        let before = controller.state;
        let next = self.offers.first();
        if let Some(build) = next.filter(|build| now - self.start >= build.offered) {
            if controller.offer(now, build.number, &mut orders) {
                self.offers.remove(0);
            }
        }
        controller.tick(now, &mut orders);
        let state = controller.state;
        drop(controller);
        if state != before {
            self.context.tap.record(Observation::ReleaseController {
                build: state.build,
                stage: state.stage,
                state: state.rollout,
            });
        }
        self.carry_out(orders);
    }

    fn begin_due_faults(&mut self, now: Micros) {
        let elapsed = now - self.start;
        let mut due = Vec::new();
        for scheduled in &mut self.faults {
            if !scheduled.begun && elapsed >= scheduled.fault.at {
                scheduled.begun = true;
                due.push(*scheduled);
            }
        }
        for scheduled in due {
            let what = format!("begins: {}", scheduled.fault);
            self.context.tap.record(Observation::Fault { what });
            self.begin_fault(scheduled.index, scheduled.fault, now);
        }
    }

    fn end_due_faults(&mut self, now: Micros) {
        let elapsed = now - self.start;
        let is_over = |scheduled: &mut ScheduledFault| {
            scheduled.begun && elapsed >= scheduled.fault.at + scheduled.fault.lasts
        };
        let over: Vec<ScheduledFault> = self.faults.extract_if(.., is_over).collect();
        for scheduled in over {
            let what = format!("ends: {}", scheduled.fault.kind.name());
            self.context.tap.record(Observation::Fault { what });
            self.end_fault(scheduled.index, scheduled.fault);
        }
    }

    /// Checks what was recorded.
    fn finish(&self, clients: &ClientPool) -> Played {
        let day = self.context.scenario.clone();
        let seen = self.context.tap.take();
        let outcomes = clients.take_outcomes();
        let failures = self.routers.take_failures();
        let mut recorder = RunRecorder::new(&day, self.start);
        for (at, observation) in &seen {
            recorder.observe(*at, observation);
        }
        for outcome in &outcomes {
            recorder.record_outcome(outcome);
        }
        let report = recorder.finish(failures, Some(&seen));
        Played {
            day,
            seen,
            outcomes,
            report,
        }
    }
}
