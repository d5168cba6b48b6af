//! Runs a router: starts its tasks, and runs the event loop of the task that owns the engine.

use std::collections::HashMap;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spokeflow_coordination::{EffectiveConfig, RevisionNumber};
use spokeflow_engine::{Engine, Input};
use spokeflow_proto::{Hello, Role, ToController, ToList};
use spokeflow_runtime::Clock;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::acceptor::{Acceptor, Listening};
use crate::cached_list::{read_cached_list, CachedList};
use crate::control_plane::ControlPlaneLink;
use crate::engine_state::EngineState;
use crate::error::ServeError;
use crate::event::EngineEvent;
use crate::link_config::LinkConfig;
use crate::links::ServiceLink;
use crate::list::ListProtocol;
use crate::recorder::Recorder;
use crate::release_controller::ReleaseControllerProtocol;
use crate::shutdown::Shutdown;
use crate::transport::RouterTransport;
use crate::RouterFlags;

/// Maximum number of events queued for the engine. A task that finds the queue full waits, and its peer with it.
const EVENT_QUEUE: usize = 4096;
/// Maximum number of events processed before timers are checked again.
const EVENTS_PER_BATCH: usize = 256;
/// Maximum number of messages queued for the list or the release controller. The engine is told of each message beyond
/// that, which is dropped.
const SERVICE_QUEUE: usize = 64;
/// Time that the tasks of clients have at the end of a shutdown to write the answers queued for them.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// State from which the tasks of this router are created.
struct Shared {
    flags: RouterFlags,
    seed: u64,
    clock: Arc<Clock>,
    events: mpsc::Sender<EngineEvent>,
    links: Arc<LinkConfig>,
}

impl Shared {
    fn new(flags: RouterFlags, events: mpsc::Sender<EngineEvent>) -> Self {
        let clock = Clock::starting_now();
        let seed = flags.seed.unwrap_or_else(|| rand::rng().random());
        let links = LinkConfig {
            hello: Hello::new(Role::Router, flags.index, flags.site),
            seed,
            connect_timeout: flags.connect_timeout,
            min_reconnect_delay: flags.reconnect_first,
            max_reconnect_delay: flags.reconnect_most,
            idle_timeout: flags.connection_idle,
            ping_timeout: flags.ping_timeout,
        };
        Shared {
            flags,
            seed,
            clock,
            events,
            links: Arc::new(links),
        }
    }

    /// Returns the configuration of links. With `newest_version` the router announces the newest protocol version, which
    /// a peer needs before it sends the messages added in that version.
    fn links(&self, newest_version: bool) -> Arc<LinkConfig> {
        match newest_version {
            true => Arc::new(self.links.with_newest_version()),
            false => self.links.clone(),
        }
    }

    fn list_link(&self, queue: mpsc::Receiver<ToList>) -> ServiceLink<ListProtocol> {
        let cached = self.flags.list_file.clone().map(CachedList::new);
        ServiceLink {
            address: self.flags.list,
            config: self.links(self.flags.service.host_sizes),
            events: self.events.clone(),
            queue,
            protocol: ListProtocol::new(self.flags.list_renew, cached),
        }
    }

    fn release_controller_link(
        &self,
        queue: mpsc::Receiver<ToController>,
    ) -> ServiceLink<ReleaseControllerProtocol> {
        ServiceLink {
            address: self.flags.release_controller,
            config: self.links(self.flags.service.controller_stats),
            events: self.events.clone(),
            queue,
            protocol: ReleaseControllerProtocol,
        }
    }

    fn transport(
        &self,
        list: mpsc::Sender<ToList>,
        release_controller: mpsc::Sender<ToController>,
    ) -> RouterTransport {
        RouterTransport {
            clock: self.clock.clone(),
            events: self.events.clone(),
            clients: HashMap::new(),
            closed_clients: Vec::new(),
            hosts: HashMap::new(),
            list,
            release_controller,
            host_links: self.links(self.flags.service.host_reports),
            host_queue: self.flags.host_queue,
            drain_grace: self.flags.service.drain_grace,
        }
    }

    /// Creates the engine with its transport and its recorder, before any input.
    fn engine_state(
        &self,
        mut transport: RouterTransport,
        applied: watch::Sender<RevisionNumber>,
    ) -> Result<EngineState, ServeError> {
        let file = self.flags.record.as_deref();
        let recorder = file
            .map(|file| Recorder::open(file, self.seed, self.clock.now()))
            .transpose()?;
        let config = self.flags.engine_config();
        let engine = Engine::new(config, self.seed, self.clock.now(), &mut transport);
        Ok(EngineState {
            engine,
            transport,
            recorder,
            clock: self.clock.clone(),
            applied,
        })
    }

    /// Gives the engine the inputs that hold until the control plane and the list have sent something.
    fn apply_initial_inputs(&self, state: &mut EngineState) {
        if !self.flags.control_plane.is_empty() {
            // A lease that ends now: none has been granted yet.
            let config = EffectiveConfig::from(&self.flags.engine_config().service);
            let until = self.clock.now();
            state.input(Input::Lease {
                until,
                config: Box::new(config),
            });
        }
        if self.flags.replicated_list {
            state.input(Input::ReplicatedList {
                complete: false,
                hosts: Vec::new(),
            });
        }
        if let Some(file) = &self.flags.list_file {
            match read_cached_list(file) {
                Ok(endpoints) => state.input(Input::CachedList(endpoints)),
                Err(error) => info!(file = %file.display(), %error, "cached host list not used"),
            }
        }
    }
}

/// The task that owns the engine.
struct EngineTask {
    state: EngineState,
    events: mpsc::Receiver<EngineEvent>,
    acceptor: AbortHandle,
    clients: TaskTracker,
    shutdown: Shutdown,
    shutdown_timeout: Duration,
}

impl EngineTask {
    async fn run(mut self, shutdown_signal: impl Future<Output = ()>) {
        let mut shutdown_signal = pin!(shutdown_signal);
        let mut batch = Vec::with_capacity(EVENTS_PER_BATCH);
        loop {
            self.wait(shutdown_signal.as_mut(), &mut batch).await;
            // Queued events are processed whatever woke this task, so that timers and events do not starve each other.
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
            let waiting = self.state.engine.waiting_commands();
            if self.shutdown.is_over(Instant::now(), waiting) {
                break;
            }
        }
        self.finish().await;
    }

    /// Waits for the next event, the shutdown signal or a timer.
    async fn wait(
        &mut self,
        shutdown_signal: Pin<&mut impl Future<Output = ()>>,
        batch: &mut Vec<EngineEvent>,
    ) {
        let wake = self.state.clock.instant_at(self.state.engine.next_wake());
        tokio::select! {
            biased;
            _ = shutdown_signal, if !self.shutdown.has_begun() => {
                self.begin_shutdown();
                batch.push(EngineEvent::Close);
            }
            _ = sleep_until(wake) => {}
            _ = self.events.recv_many(batch, EVENTS_PER_BATCH) => {}
        }
    }

    fn begin_shutdown(&mut self) {
        let waiting = self.state.engine.waiting_commands();
        info!(waiting, "router shuts down: accepts nothing new");
        self.state.clock.begin_shutdown();
        self.shutdown.begin(Instant::now() + self.shutdown_timeout);
        self.acceptor.abort();
    }

    /// Closes all connections. The tasks of clients write the answers queued for them once their channels are closed.
    async fn finish(self) {
        let EngineTask {
            state,
            events,
            clients,
            ..
        } = self;
        let waiting = state.engine.waiting_commands();
        let counts = state.engine.counts();
        info!(waiting, ?counts, "router has shut down");
        drop(state.transport);
        drop(events);
        clients.close();
        let _ = timeout(LAST_WRITE_TIMEOUT, clients.wait()).await;
    }
}

/// Runs a router until `shutdown_signal` resolves. Then accepts no more commands, answers the waiting ones and returns.
///
/// # Errors
///
/// [`ServeError::Record`]: the recording cannot be written.
pub async fn serve(
    flags: RouterFlags,
    listening: Listening,
    shutdown_signal: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE);
    let shared = Shared::new(flags, events);
    let flags = &shared.flags;
    let mut tasks = JoinSet::new();
    let (list, list_queue) = mpsc::channel(SERVICE_QUEUE);
    tasks.spawn(shared.list_link(list_queue).run());
    let (release_controller, vote_queue) = mpsc::channel(SERVICE_QUEUE);
    tasks.spawn(shared.release_controller_link(vote_queue).run());
    let (applied, applied_updates) = watch::channel(RevisionNumber(0));
    if !flags.control_plane.is_empty() {
        let clock = shared.clock.clone();
        let events = shared.events.clone();
        let link = ControlPlaneLink::new(flags, shared.seed, clock, events, applied_updates);
        tasks.spawn(link.run());
    }
    let transport = shared.transport(list, release_controller);
    let mut state = shared.engine_state(transport, applied)?;
    info!(index = flags.index, site = flags.site, address = %listening.address(), seed = shared.seed, "router starts");
    let clients = TaskTracker::new();
    let acceptor = Acceptor {
        listener: listening.listener,
        permits: Arc::new(Semaphore::new(flags.max_clients)),
        events: shared.events.clone(),
        client_queue: flags.client_queue,
        clock: shared.clock.clone(),
        clients: clients.clone(),
    };
    let acceptor = tasks.spawn(acceptor.run());
    shared.apply_initial_inputs(&mut state);
    let task = EngineTask {
        state,
        events: event_queue,
        acceptor,
        clients,
        shutdown: Shutdown::default(),
        shutdown_timeout: flags.shutdown_within,
    };
    task.run(shutdown_signal).await;
    Ok(())
}
