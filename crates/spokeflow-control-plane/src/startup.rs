//! Starts a node: binds its address and spawns its tasks around the node task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spokeflow_coordination::wire::Caller;
use spokeflow_coordination::{Coordinator, CoordinatorConfig};
use spokeflow_raft::{NodeId, PersistentState};
use spokeflow_runtime::{Backoff, Clock};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tracing::info;

use crate::admission::PeerStarts;
use crate::crash_point::CrashInjector;
use crate::error::NodeError;
use crate::inbound::{accept_connections, InboundContext};
use crate::list::ListLink;
use crate::node_event::NodeEvent;
use crate::node_task::NodeTask;
use crate::outbound::Outbound;
use crate::peers::{MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY};
use crate::persistence::Persistence;
use crate::{ControlPlaneFlags, OpenedStore};

/// Maximum number of queued events; when the queue is full, a task with an event waits, and so does the peer that
/// sent it. Enough for one event of each connection that is allowed by default.
const EVENT_QUEUE: usize = 4096;
/// Id of the list link among the links of a node, above all node ids, so that its backoff has a generator of its own.
const LIST_LINK_ID: u64 = 1 << 32;

/// Runs a node until the process gets a shutdown signal.
///
/// # Errors
///
/// The node cannot start, or its task has ended with an error.
pub(crate) async fn run_node(
    flags: ControlPlaneFlags,
    opened: OpenedStore,
) -> Result<(), NodeError> {
    let clock = Clock::starting_now();
    let (listener, address) = listen(flags.listen).await?;
    let OpenedStore {
        store,
        saved,
        start,
        processes,
    } = opened;
    let seed = rand::rng().random();
    let known_starts = store.starts().map_err(|source| NodeError::Store {
        file: flags.store.clone(),
        source,
    })?;
    let config = flags.coordinator_config();
    log_start(&flags, address, start, &saved, &config);
    println!("listening on {address}");
    let crash_injector = Arc::new(CrashInjector::new(flags.crash_at));
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE);
    let persistence = Persistence::start(store, events.clone(), crash_injector.clone());
    let own = NodeId(flags.id);
    let parameters = flags.cluster_parameters();
    let caller = Caller::Node {
        id: own,
        start,
        processes,
        parameters,
        addresses: Vec::new(),
    };
    let coordinator = Coordinator::new(config, seed, saved, clock.now())
        .map_err(|error| NodeError::ReplicatedState(error.to_string()))?;
    let (reads_list, is_reader) = watch::channel(false);
    let task = NodeTask {
        clock: clock.clone(),
        coordinator,
        event_queue,
        outbound: Outbound::new(caller, seed, events.clone()),
        peer_starts: PeerStarts::new(own, known_starts.into_iter().collect()),
        persistence,
        crash_injector,
        reads_list,
        logged: None,
    };
    if let Some(address) = flags.list {
        spawn_list_link(address, seed, events.clone(), is_reader);
    }
    let context = InboundContext {
        own,
        parameters,
        events,
        clock,
    };
    let accepting = tokio::spawn(accept_connections(listener, flags.max_connections, context));
    let result = task.run().await;
    accepting.abort();
    result
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), NodeError> {
    let listen_error = |source| NodeError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    Ok((listener, bound))
}

fn log_start(
    flags: &ControlPlaneFlags,
    address: SocketAddr,
    start: u64,
    saved: &PersistentState,
    config: &CoordinatorConfig,
) {
    let longest_contradiction = Duration::from_micros(config.lease.longest_contradiction() as u64);
    info!(
        node = flags.id,
        %address,
        start,
        entries = saved.log.len(),
        snapshot = saved.snapshot.last_included_index.0,
        term = saved.term.0,
        ?longest_contradiction,
        "node starting"
    );
}

fn spawn_list_link(
    address: SocketAddr,
    seed: u64,
    events: mpsc::Sender<NodeEvent>,
    is_reader: watch::Receiver<bool>,
) {
    let link = ListLink {
        address,
        backoff: Backoff::new(seed, LIST_LINK_ID, MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY),
        events,
        is_reader,
    };
    tokio::spawn(link.run());
}
