//! Runs a scenario on sockets: starts the fake peers and the real router processes, injects the faults at their times,
//! and checks the rules at the end.

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
use self::routers::{RouterFleet, ServerAddresses};
use crate::clients::ClientPool;
use crate::context::RunContext;
use crate::endpoint_registry::EndpointRegistryServer;
use crate::locked;
use crate::release_controller::ReleaseControllerServer;
use crate::routers::{StartError, Starting};
use crate::{Micros, SECOND};

/// Time before the first command, in which routers receive the host list and the status of the rollout.
const WARM_UP: Duration = Duration::from_secs(1);
/// Interval at which the run checks what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Separates the random stream of the run from that of the traffic, which has the same seed.
const RUN_SEED: u64 = 0x57a6e;

/// A scenario cannot be run on sockets.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The scenario has gossip between routers, which real routers do not have.
    #[error("the scenario has gossip between routers, which runs in simulated time only")]
    Gossip,
    /// A fake peer cannot bind a loopback port.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[from] std::io::Error),
    /// A router process cannot be started.
    #[error(transparent)]
    StartRouter(#[from] StartError),
}

/// The records and the report of a completed run.
pub struct ScenarioRun {
    /// The scenario that was run.
    pub scenario: Scenario,
    /// All observations of the tap with their times, in order of time.
    pub observations: Vec<(Micros, Observation)>,
    /// The outcome of each command.
    pub outcomes: Vec<Outcome>,
    /// The report, with the results of the checks.
    pub report: Report,
}

/// The state of a run in progress.
struct Run {
    context: Arc<RunContext>,
    registry: Arc<EndpointRegistryServer>,
    controller: Arc<ReleaseControllerServer>,
    routers: Arc<RouterFleet>,
    /// Time of the first command.
    start: Micros,
    /// Builds that have not been offered to the release controller yet.
    offers: Vec<Build>,
    /// Faults that have not ended yet.
    faults: Vec<ScheduledFault>,
    hosts: HashMap<u32, HostSlot>,
    /// Hosts whose first process will start.
    booting: Vec<ScheduledHost>,
    /// Draining hosts whose process will be stopped.
    stopping: Vec<ScheduledHost>,
    /// Killed hosts whose process will be started again.
    restarting: Vec<ScheduledHost>,
    /// The hosts that each fault in progress affects, by index of the fault.
    affected_hosts: HashMap<usize, Vec<u32>>,
    rng: StdRng,
}

/// A fault of the scenario that has not ended yet.
#[derive(Clone, Copy)]
struct ScheduledFault {
    /// Its index in the scenario.
    index: usize,
    fault: Fault,
    has_begun: bool,
}

/// Runs a scenario to its end and checks the rules. Calls `progress` once a second with the time since the first command.
///
/// # Errors
///
/// The scenario runs in simulated time only, or the fake peers or the routers cannot be started.
pub async fn play(
    scenario: Scenario,
    starting: Starting,
    mut progress: impl FnMut(Micros),
) -> Result<ScenarioRun, PlayError> {
    if scenario.may_gossip {
        return Err(PlayError::Gossip);
    }
    let context = RunContext::new(scenario);
    let scenario = &context.scenario;
    let mut run = Run::new(context.clone(), starting).await?;
    run.start_processes().await?;
    sleep(WARM_UP).await;
    run.start = context.tap.now();
    let clients = ClientPool::new(context.clone(), run.routers.endpoints.clone());
    let sending = tokio::spawn(clients.clone().send_until(run.start + scenario.length));
    // The run goes on after the last command, until its answer must have come.
    let longest_timeout = scenario.ops.iter().map(|op| op.timeout).max().unwrap_or(0);
    let end = run.start + scenario.length + longest_timeout + SECOND;
    let mut reported_seconds = 0;
    while context.tap.now() < end {
        let now = context.tap.now();
        let elapsed_seconds = (now - run.start) / SECOND;
        if elapsed_seconds > reported_seconds {
            reported_seconds = elapsed_seconds;
            progress(reported_seconds * SECOND);
        }
        run.tick(now).await?;
        sleep(TICK_INTERVAL).await;
    }
    // If that task panicked, outcomes of commands are missing.
    let _ = sending.await;
    run.routers.terminate_all().await;
    Ok(run.finish(&clients))
}

impl Run {
    /// Starts the endpoint registry and the release controller.
    async fn new(context: Arc<RunContext>, starting: Starting) -> Result<Run, PlayError> {
        let registry = EndpointRegistryServer::new(context.clone());
        let controller = ReleaseControllerServer::new(context.clone());
        let servers = ServerAddresses {
            list: registry.open().await?,
            release_controller: controller.open().await?,
        };
        let scenario = &context.scenario;
        let builds = scenario.builds.iter().copied();
        let faults = scenario.faults.iter().enumerate();
        Ok(Run {
            registry,
            controller,
            routers: RouterFleet::new(context.clone(), starting, servers),
            start: 0,
            offers: builds.filter(|build| build.number > 1).collect(),
            faults: faults
                .map(|(index, fault)| ScheduledFault {
                    index,
                    fault: *fault,
                    has_begun: false,
                })
                .collect(),
            hosts: HashMap::new(),
            booting: Vec::new(),
            stopping: Vec::new(),
            restarting: Vec::new(),
            affected_hosts: HashMap::new(),
            rng: StdRng::seed_from_u64(scenario.seed ^ RUN_SEED),
            context,
        })
    }

    /// Starts the hosts and the routers.
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

    /// Performs the steps of rollout, hosts, faults and registry that are due.
    async fn tick(&mut self, now: Micros) -> Result<(), PlayError> {
        self.advance_rollout(now);
        self.advance_hosts(now).await?;
        self.begin_due_faults(now);
        self.end_due_faults(now);
        self.registry.tick(now);
        self.apply_shared_slowdown();
        Ok(())
    }

    /// Offers the next build when it is due, and executes the orders of the release controller, unless it is stalled.
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
        self.execute_orders(orders);
    }

    fn begin_due_faults(&mut self, now: Micros) {
        let elapsed = now - self.start;
        let mut due = Vec::new();
        for scheduled in &mut self.faults {
            if !scheduled.has_begun && elapsed >= scheduled.fault.at {
                scheduled.has_begun = true;
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
            scheduled.has_begun && elapsed >= scheduled.fault.at + scheduled.fault.lasts
        };
        let over: Vec<ScheduledFault> = self.faults.extract_if(.., is_over).collect();
        for scheduled in over {
            let what = format!("ends: {}", scheduled.fault.kind.name());
            self.context.tap.record(Observation::Fault { what });
            self.end_fault(scheduled.index, scheduled.fault);
        }
    }

    /// Checks the records of the run.
    fn finish(&self, clients: &ClientPool) -> ScenarioRun {
        let scenario = self.context.scenario.clone();
        let observations = self.context.tap.take();
        let outcomes = clients.take_outcomes();
        let failures = self.routers.take_failures();
        let mut recorder = RunRecorder::new(&scenario, self.start);
        for (at, observation) in &observations {
            recorder.observe(*at, observation);
        }
        for outcome in &outcomes {
            recorder.record_outcome(outcome);
        }
        let report = recorder.finish(failures, Some(&observations));
        ScenarioRun {
            scenario,
            observations,
            outcomes,
            report,
        }
    }
}
