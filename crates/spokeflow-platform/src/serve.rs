//! Runs a router on the platform: puts its parts together, and the loop of the task that owns the engine.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use spokeflow_core::{Micros, ServiceConfig};
use spokeflow_engine::{Engine, EngineConfig, Input};
use spokeflow_runtime::{Backoff, Clock};
use spokeflow_settings::Settings;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::acceptor::{listen, Acceptor};
use crate::configuration::Configuration;
use crate::discovery::{DiscoveryWatch, FIRST_PAUSE, LONGEST_PAUSE};
use crate::endpoint_table::EndpointTable;
use crate::engine_state::EngineState;
use crate::event::EngineEvent;
use crate::idle_lifetime::IdleLifetime;
use crate::limits::ConnectionLimits;
use crate::listener_context::ListenerContext;
use crate::program::{PlatformProgram, Signals};
use crate::release_controller::Subscription;
use crate::reload::Reload;
use crate::request_schema::{Operation, RequestSchema};
use crate::shutdown::{Shutdown, Step};
use crate::transport::PlatformTransport;
use crate::upstream::{SendLatency, UpstreamConfig};

/// Events that wait for the engine at most; a task whose event finds no room waits, and so does its peer.
const EVENT_QUEUE: usize = 4096;
/// Events taken in at one go, so that time is looked at often enough.
const EVENTS_PER_BATCH: usize = 256;
/// What the engine believes is compared with the sockets in the log this often.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// Idle connections are expired this often at least.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Where the settings name no time for a connection to a host: "some connections to hosts come up late (up to 1 s)"
/// (standing test).
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Numbers of the connections that back off, each with a generator of its own.
const DISCOVERY_PEER: u64 = 0;
const CONTROLLER_PEER: u64 = 1;

fn to_micros(duration: Duration) -> Micros {
    duration.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}

/// Times and loads that follow from the settings.
struct Derived {
    longest_timeout: Duration,
    connect_timeout: Duration,
    /// Connections to hosts that rested for longer are closed.
    idle_timeout: Duration,
    limits: ConnectionLimits,
}

impl Derived {
    fn new(configuration: &Configuration) -> Self {
        let settings = &configuration.settings;
        let operations = &settings.config.ops;
        let longest = operations.iter().map(|operation| operation.command_timeout);
        let longest_timeout = to_duration(longest.max().unwrap_or(0));
        let connect_timeout = match settings.connect_timeout {
            0 => DEFAULT_CONNECT_TIMEOUT.min(longest_timeout),
            limit => to_duration(limit),
        };
        // Hosts close at the latest after their own time: well before it, nothing can cross their closing. Where none is
        // told, what breaks tells (`idle_lifetime.rs`).
        let idle_timeout = match settings.connection_idle {
            0 => Duration::MAX,
            limit => to_duration(limit) / 2,
        };
        let known = configuration.known.as_ref();
        let hosts = known.map_or(0, |known| known.members.len());
        let fleet = settings.config.fleet_size;
        let in_flight = mean_in_flight(&settings.config);
        Derived {
            longest_timeout,
            connect_timeout,
            idle_timeout,
            limits: ConnectionLimits::new(&configuration.limits, fleet, hosts, in_flight),
        }
    }
}

/// Commands that a router of mean traffic has in flight where each takes the longest objective.
fn mean_in_flight(service: &ServiceConfig) -> f64 {
    let objectives = service.ops.iter().map(|op| op.latency_objective);
    let objective = to_duration(objectives.max().unwrap_or(0));
    let fleet = f64::from(service.fleet_size.max(1));
    let mean_rate = service.tenant_quotas.iter().sum::<f64>() / fleet;
    mean_rate * objective.as_secs_f64()
}

fn request_schema(settings: &Settings) -> RequestSchema {
    let numbered = |names: &[String]| -> Vec<(Bytes, u32)> {
        let names = names.iter().map(|name| Bytes::from(name.clone()));
        names.zip(0..).collect()
    };
    let operation = |(name, number): (Bytes, u32)| {
        let operation = Operation {
            number: number as u16,
            repeat: settings.config.ops[number as usize].repeat,
        };
        (name, operation)
    };
    RequestSchema {
        operations: numbered(&settings.ops).into_iter().map(operation).collect(),
        tenants: numbered(&settings.customers).into_iter().collect(),
    }
}

/// The task that owns the engine.
struct EngineTask {
    program: PlatformProgram,
    state: EngineState,
    events: mpsc::Receiver<EngineEvent>,
    signals: Signals,
    /// Addresses of discovery, handed to its watch.
    discovery_address: watch::Sender<SocketAddr>,
    /// Set once idle connections of clients are to be closed.
    closing: watch::Sender<bool>,
    clients: TaskTracker,
    shutdown: Shutdown,
    reload: Option<Reload>,
    idle_timeout: Duration,
    max_host_connections: usize,
    expired_at: Instant,
    logged_at: Instant,
}

impl EngineTask {
    async fn run(mut self) {
        let mut batch = Vec::with_capacity(EVENTS_PER_BATCH);
        loop {
            self.wait(&mut batch).await;
            // Whatever woke this task, what has come meanwhile is taken in as well: neither starves the other.
            while batch.len() < EVENTS_PER_BATCH {
                let Ok(event) = self.events.try_recv() else {
                    break;
                };
                batch.push(event);
            }
            for event in batch.drain(..) {
                self.state.on_event(event);
            }
            self.state.run_timers();
            self.reload_if_due();
            self.expire_idle_connections();
            self.log_status();
            if self.step_shutdown() {
                return;
            }
        }
    }

    /// Waits for the next event, signal or timer.
    async fn wait(&mut self, batch: &mut Vec<EngineEvent>) {
        let wake = self.next_wake();
        tokio::select! {
            biased;
            _ = self.signals.terminate.recv(), if !self.shutdown.has_begun() => {
                info!(held = self.state.engine.waiting_commands(), "router ends");
                self.state.clock.begin_shutdown();
                self.shutdown.begin(Instant::now());
            }
            _ = self.signals.reload.recv() => self.reload = Some(Reload::new(Instant::now())),
            _ = sleep_until(wake) => {}
            _ = self.events.recv_many(batch, EVENTS_PER_BATCH) => {}
        }
    }

    fn next_wake(&self) -> Instant {
        let engine = self.state.engine.next_wake();
        let engine = self.state.clock.instant_at(engine);
        let shutdown = self.shutdown.next_check(Instant::now());
        let reload = self.reload.as_ref().map(Reload::next);
        let others = shutdown.into_iter().chain(reload);
        others.fold(engine, Instant::min)
    }

    fn reload_if_due(&mut self) {
        let due = self.reload.as_mut();
        let Some(due) = due.filter(|reload| reload.next() <= Instant::now()) else {
            return;
        };
        let Some(read) = due.read(&self.program) else {
            return;
        };
        self.reload = None;
        let Some(fresh) = read else {
            return;
        };
        info!(discovery = %fresh.discovery, deployer = %fresh.deployer, "configuration read again");
        move_to(&self.discovery_address, fresh.discovery);
        move_to(&self.state.transport.controller_address, fresh.deployer);
    }

    fn expire_idle_connections(&mut self) {
        if self.expired_at.elapsed() <= self.idle_timeout.min(EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Instant::now();
        for host in self.state.transport.hosts.values_mut() {
            host.idle.expire(self.idle_timeout);
        }
    }

    fn log_status(&mut self) {
        if self.logged_at.elapsed() > STATUS_INTERVAL {
            self.logged_at = Instant::now();
            self.state.log_status(self.max_host_connections);
        }
    }

    /// Whether the router has ended.
    fn step_shutdown(&mut self) -> bool {
        let waiting = self.state.engine.waiting_commands();
        match self
            .shutdown
            .step(Instant::now(), waiting, self.clients.len())
        {
            Step::Wait => {}
            Step::Close => {
                let _ = self.closing.send(true);
                self.state.input(Input::Close);
            }
            Step::AbortAll => self.state.input(Input::AbortAll),
            Step::End => return true,
        }
        false
    }
}

/// Tells the receivers of an address where it differs.
fn move_to(sender: &watch::Sender<SocketAddr>, address: SocketAddr) {
    sender.send_if_modified(|present| std::mem::replace(present, address) != address);
}

/// Runs a router on the platform until SIGTERM; then answers all that it has taken and returns.
///
/// # Errors
///
/// The address cannot be listened on, in one line that names the flag.
pub async fn serve(
    program: PlatformProgram,
    configuration: Configuration,
    signals: Signals,
) -> Result<(), String> {
    let clock = Clock::starting_now();
    let listener = listen(configuration.listen)
        .map_err(|e| format!("--listen {}: {e}", configuration.listen))?;
    let derived = Derived::new(&configuration);
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE);
    let (closing, is_closing) = watch::channel(false);
    let (discovery_address, discovery_at) = watch::channel(configuration.discovery);
    let (controller_address, controller_at) = watch::channel(configuration.deployer);
    let context = Arc::new(ListenerContext {
        schema: request_schema(&configuration.settings),
        clock: clock.clone(),
        events: events.clone(),
        ready: AtomicBool::new(false),
        closing: is_closing,
    });
    let ConnectionLimits {
        clients: client_places,
        hosts: host_places,
    } = derived.limits;
    let transport = transport(
        &configuration,
        &derived,
        context.clone(),
        controller_address,
    );
    info!(name = configuration.name, listen = %configuration.listen, client_places, host_places, "router starts");
    let seed = configuration.seed;
    let known = configuration.known.as_ref();
    let after = known.map_or(0, |known| known.revision);
    let state = engine_state(configuration, &program, &derived, transport, clock.clone());
    let mut tasks = JoinSet::new();
    let backoff = |peer| Backoff::new(seed, peer, FIRST_PAUSE, LONGEST_PAUSE);
    let watch = DiscoveryWatch {
        address: discovery_at,
        clock: clock.clone(),
        events: events.clone(),
        after,
        backoff: backoff(DISCOVERY_PEER),
    };
    tasks.spawn(watch.run());
    let subscription = Subscription {
        address: controller_at,
        clock,
        events,
        backoff: backoff(CONTROLLER_PEER),
    };
    tasks.spawn(subscription.run());
    let clients = TaskTracker::new();
    let acceptor = Acceptor {
        listener,
        context,
        max_connections: client_places,
        clients: clients.clone(),
    };
    tasks.spawn(acceptor.run());
    let task = EngineTask {
        program,
        state,
        events: event_queue,
        signals,
        discovery_address,
        closing,
        clients,
        shutdown: Shutdown::new(derived.longest_timeout),
        reload: None,
        idle_timeout: derived.idle_timeout,
        max_host_connections: host_places,
        expired_at: Instant::now(),
        logged_at: Instant::now(),
    };
    task.run().await;
    info!("router has ended");
    Ok(())
}

fn transport(
    configuration: &Configuration,
    derived: &Derived,
    context: Arc<ListenerContext>,
    controller_address: watch::Sender<SocketAddr>,
) -> PlatformTransport {
    let upstream = UpstreamConfig {
        clock: context.clock.clone(),
        events: context.events.clone(),
        connect_timeout: derived.connect_timeout,
        send_latency: SendLatency::default(),
    };
    PlatformTransport {
        context,
        upstream: Arc::new(upstream),
        pending: HashMap::new(),
        pending_ids: HashSet::new(),
        hosts: HashMap::new(),
        open_deliveries: HashMap::new(),
        permits: Arc::new(Semaphore::new(derived.limits.hosts)),
        idle_lifetime: IdleLifetime::default(),
        controller_address,
        vote_timeout: to_duration(configuration.settings.config.vote_timeout),
    }
}

/// The engine, told what the configuration says of hosts and rollout.
fn engine_state(
    configuration: Configuration,
    program: &PlatformProgram,
    derived: &Derived,
    mut transport: PlatformTransport,
    clock: Arc<Clock>,
) -> EngineState {
    let config = EngineConfig {
        service: configuration.settings.config,
        answer_margin: to_micros(program.answer_margin),
        // A connection holds one command at a time.
        max_waiting: derived.limits.clients,
    };
    let engine = Engine::new(config, configuration.seed, clock.now(), &mut transport);
    let forget_after = to_micros(derived.longest_timeout).max(1);
    let mut state = EngineState {
        engine,
        transport,
        endpoints: EndpointTable::new(configuration.settings.zones, forget_after),
        clock,
    };
    if let Some(known) = configuration.known {
        state.on_listing(known, true);
    }
    if let Some(status) = configuration.news {
        state.on_rollout_status(status);
    }
    state
}
