//! Runs a router on the platform: creates its parts and starts their tasks.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use bytes::Bytes;
use spokeflow_engine::{Engine, EngineConfig};
use spokeflow_runtime::{Backoff, Clock};
use spokeflow_settings::Settings;
use thiserror::Error;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::acceptor::{listen, Acceptor};
use crate::configuration::Configuration;
use crate::derived::{to_duration, to_micros, Derived};
use crate::discovery::{DiscoveryWatch, MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY};
use crate::endpoint_table::EndpointTable;
use crate::engine_state::EngineState;
use crate::engine_task::EngineTask;
use crate::event::EngineEvent;
use crate::idle_lifetime::IdleLifetime;
use crate::listener_context::ListenerContext;
use crate::listing_decoder::ListingLimits;
use crate::memory_limits::MemoryLimits;
use crate::memory_pool::MemoryPool;
use crate::message_buffer::MessageMemory;
use crate::program::{PlatformProgram, Signals};
use crate::release_controller::Subscription;
use crate::request_ids::RequestIds;
use crate::request_schema::{Operation, RequestSchema};
use crate::send_latency::SendLatency;
use crate::shutdown::Shutdown;
use crate::transport::PlatformTransport;
use crate::upstream::UpstreamConfig;

/// Capacity of the queue of events for the engine. A task that finds it full waits and reads nothing meanwhile, which
/// holds back its peer.
const EVENT_QUEUE: usize = 4096;
/// Numbers that give the connections to discovery and to the release controller separate random draws for backoff.
const DISCOVERY_PEER: u64 = 0;
const CONTROLLER_PEER: u64 = 1;

/// Numbers the operations and tenants by their position in the settings.
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

/// The reason why a router cannot run, in one line that names the flag.
#[derive(Debug, Error)]
pub(crate) enum ServeError {
    /// The listener for clients cannot be opened.
    #[error("--listen {address}: cannot listen for clients: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
}

/// What the tasks that follow discovery and the release controller need.
struct Sources {
    discovery: watch::Receiver<SocketAddr>,
    controller: watch::Receiver<SocketAddr>,
    clock: Arc<Clock>,
    events: mpsc::Sender<EngineEvent>,
    seed: u64,
    /// Revision of the host list in the configuration; 0 if it has none.
    after: u64,
    listing_limits: ListingLimits,
}

impl Sources {
    fn backoff(&self, peer: u64) -> Backoff {
        Backoff::new(self.seed, peer, MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY)
    }

    fn spawn(self, tasks: &mut JoinSet<()>) {
        let watch = DiscoveryWatch {
            backoff: self.backoff(DISCOVERY_PEER),
            address: self.discovery.clone(),
            clock: self.clock.clone(),
            events: self.events.clone(),
            after: self.after,
            limits: self.listing_limits,
        };
        tasks.spawn(watch.run());
        let subscription = Subscription {
            backoff: self.backoff(CONTROLLER_PEER),
            address: self.controller,
            clock: self.clock,
            events: self.events,
        };
        tasks.spawn(subscription.run());
    }
}

/// Senders of the addresses of discovery and the release controller, which a reload of the configuration may change.
struct SourceAddresses {
    discovery: watch::Sender<SocketAddr>,
    controller: watch::Sender<SocketAddr>,
}

fn sources(
    configuration: &Configuration,
    memory: &MemoryLimits,
    clock: Arc<Clock>,
    events: mpsc::Sender<EngineEvent>,
) -> (SourceAddresses, Sources) {
    let (discovery_address, discovery) = watch::channel(configuration.discovery);
    let (controller_address, controller) = watch::channel(configuration.release_controller);
    let known = configuration.known.as_ref();
    let addresses = SourceAddresses {
        discovery: discovery_address,
        controller: controller_address,
    };
    let sources = Sources {
        discovery,
        controller,
        clock,
        events,
        seed: configuration.seed,
        after: known.map_or(0, |known| known.revision),
        listing_limits: ListingLimits {
            size: memory.listing,
            hosts: memory.hosts,
        },
    };
    (addresses, sources)
}

/// Runs a router on the platform until SIGTERM; then answers every command that it has accepted and returns.
pub(crate) async fn serve(
    program: PlatformProgram,
    configuration: Configuration,
    signals: Signals,
) -> Result<(), ServeError> {
    let clock = Clock::starting_now();
    let address = configuration.listen;
    let listener = listen(address).map_err(|source| ServeError::Listen { address, source })?;
    let derived = Derived::new(&configuration);
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE);
    let (closing, is_closing) = watch::channel(false);
    let (addresses, sources) = sources(
        &configuration,
        &derived.memory,
        clock.clone(),
        events.clone(),
    );
    let context = listener_context(&configuration, &derived, clock.clone(), events, is_closing);
    let context = Arc::new(context);
    let transport = transport(
        &configuration,
        &derived,
        context.clone(),
        addresses.controller,
    );
    let limits = derived.limits;
    info!(name = configuration.name, listen = %address, max_client_connections = limits.clients, max_host_connections = limits.hosts, "router starts");
    let state = engine_state(configuration, &program, &derived, transport, clock);
    let mut tasks = JoinSet::new();
    sources.spawn(&mut tasks);
    let clients = TaskTracker::new();
    let acceptor = Acceptor {
        listener,
        context,
        max_connections: limits.clients,
        clients: clients.clone(),
    };
    tasks.spawn(acceptor.run());
    let task = EngineTask {
        program,
        state,
        events: event_queue,
        signals,
        discovery_address: addresses.discovery,
        closing,
        clients,
        shutdown: Shutdown::new(derived.longest_timeout),
        reload: None,
        idle_timeout: derived.idle_timeout,
        max_host_connections: limits.hosts,
        expired_at: Instant::now(),
        logged_at: Instant::now(),
    };
    task.run().await;
    info!("router has shut down");
    Ok(())
}

fn listener_context(
    configuration: &Configuration,
    derived: &Derived,
    clock: Arc<Clock>,
    events: mpsc::Sender<EngineEvent>,
    closing: watch::Receiver<bool>,
) -> ListenerContext {
    ListenerContext {
        schema: request_schema(&configuration.settings),
        clock,
        events,
        requests: MessageMemory {
            pool: MemoryPool::new(derived.memory.requests),
            short_message: derived.short_message(),
        },
        read_buffers: MemoryPool::new(derived.memory.read_buffers),
        retry_after: derived.retry_after,
        ready: AtomicBool::new(false),
        closing,
    }
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
        answers: MessageMemory {
            pool: MemoryPool::new(derived.memory.answers),
            short_message: derived.short_message(),
        },
        read_buffers: context.read_buffers.clone(),
        send_latency: SendLatency::default(),
    };
    PlatformTransport {
        context,
        upstream: Arc::new(upstream),
        pending: HashMap::new(),
        request_ids: RequestIds::new(derived.memory.request_ids),
        hosts: HashMap::new(),
        open_deliveries: HashMap::new(),
        permits: Arc::new(Semaphore::new(derived.limits.hosts)),
        idle_lifetime: IdleLifetime::default(),
        controller_address,
        vote_timeout: to_duration(configuration.settings.config.vote_timeout),
    }
}

/// Creates the engine and feeds it the host list and the rollout state of the configuration.
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
    let mut engine = Engine::new(config, configuration.seed, clock.now(), &mut transport);
    engine.set_max_sticky_keys(derived.memory.sticky_keys);
    let forget_after = to_micros(derived.longest_timeout).max(1);
    let mut state = EngineState {
        engine,
        transport,
        endpoints: EndpointTable::new(
            configuration.settings.zones,
            forget_after,
            derived.memory.known_hosts,
        ),
        clock,
    };
    if let Some(known) = configuration.known {
        state.on_listing(known, true);
    }
    if let Some(update) = configuration.rollout {
        state.on_rollout_update(update);
    }
    state
}
