//! The link to the control plane. The router is connected to one node at a time, requests a lease from it three times
//! per lease duration, and moves on to the next node if it grants none. Revisions are checked against the router's
//! flags here and are passed to the engine as one configuration, together with the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use spokeflow_coordination::wire::{
    Caller, ClusterParameters, FromNode, Refusal, Request, Response, ToNode, LIMIT,
};
use spokeflow_coordination::{
    HostState, LeaseConfig, LeaseGrant, LeaseHolder, ListedHost, RevisionNumber,
};
use spokeflow_core::Micros;
use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FrameCodec, FrameError};
use spokeflow_runtime::{Backoff, Clock};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::event::EngineEvent;
use crate::links::{Link, CONTROL_PLANE_LINK, READ_BUFFER};
use crate::RouterFlags;

/// Time within which a node must be connected and welcome the router, and within which it must answer a request;
/// otherwise the router moves on to the next node.
const NODE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest delay before the next node is tried, doubled with each node in a row that grants no lease.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before the next node is tried; well below the duration of a lease.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Shortest time between two lease requests, in microseconds, however short the lease is.
const MIN_RENEWAL_INTERVAL: Micros = 1000;

type NodeLink = Link<FromNode, ToNode>;

/// The task that keeps one router connected to the control plane and renews its lease.
pub struct ControlPlaneLink {
    flags: RouterFlags,
    /// Distinguishes this process from earlier ones with the same index.
    process: u64,
    backoff: Backoff,
    clock: Arc<Clock>,
    events: mpsc::Sender<EngineEvent>,
    applied: watch::Receiver<RevisionNumber>,
    /// Revision that was last rejected because it does not fit this router's flags; each is logged once. 0: none.
    rejected: RevisionNumber,
}

/// Why the router moves on from a node.
#[derive(Debug, Error)]
enum LinkError {
    /// The engine's task has ended.
    #[error("the router shuts down")]
    ShuttingDown,
    /// The connection failed, was not welcomed, or took too long.
    #[error("node not connected, or no welcome received within {:?}", NODE_TIMEOUT)]
    NotReached,
    /// The connection failed while the request was sent, or sending took too long.
    #[error(
        "lease request not sent: connection failed, or not writable within {:?}",
        NODE_TIMEOUT
    )]
    NotSent,
    #[error("lease request not answered within {:?}", NODE_TIMEOUT)]
    NoResponse,
    /// The node sent another response than a grant, mostly because it knows no leader.
    #[error("node answered without granting a lease")]
    NotGranted,
    #[error("node refused the connection ({why:?}): {text}")]
    Refused { why: Refusal, text: String },
    /// The node closed the connection, or sent a message that cannot be read or is not expected.
    #[error("connection closed by the node, or unreadable or unexpected message received")]
    ConnectionLost,
}

/// Decides when the next lease request is sent, and when to stop waiting for the node.
struct RenewalTimer {
    interval: Duration,
    next_request: Instant,
    /// When the oldest request without a response was sent; `None`: all were answered.
    unanswered_since: Option<Instant>,
}

impl RenewalTimer {
    /// `interval`: time between two requests, in microseconds. The first request is due at once.
    fn new(interval: Micros) -> Self {
        RenewalTimer {
            interval: Duration::from_micros(interval.max(MIN_RENEWAL_INTERVAL) as u64),
            next_request: Instant::now(),
            unanswered_since: None,
        }
    }

    fn on_request(&mut self) {
        let now = Instant::now();
        self.unanswered_since = self.unanswered_since.or(Some(now));
        self.next_request = now + self.interval;
    }

    fn on_response(&mut self) {
        self.unanswered_since = None;
    }

    fn request_now(&mut self) {
        self.next_request = Instant::now();
    }

    fn give_up_at(&self) -> Instant {
        match self.unanswered_since {
            Some(since) => since + NODE_TIMEOUT,
            // No response is awaited. The next request is due before this deadline, and replaces it when it is sent.
            None => self.next_request + self.interval * 2,
        }
    }
}

impl ControlPlaneLink {
    /// `events` receives leases with their configuration, and host lists. `applied` holds the newest revision that the
    /// engine acts on.
    pub fn new(
        flags: &RouterFlags,
        seed: u64,
        clock: Arc<Clock>,
        events: mpsc::Sender<EngineEvent>,
        applied: watch::Receiver<RevisionNumber>,
    ) -> Self {
        ControlPlaneLink {
            flags: flags.clone(),
            // Independent of the seed: two processes with the same seed must not be taken for the same lease holder.
            process: rand::rng().random(),
            backoff: Backoff::new(
                seed,
                CONTROL_PLANE_LINK,
                MIN_RECONNECT_DELAY,
                MAX_RECONNECT_DELAY,
            ),
            clock,
            events,
            applied,
            rejected: RevisionNumber(0),
        }
    }

    /// Runs until the receiver of the events or the sender of the applied revisions is dropped.
    pub async fn run(mut self) {
        // Routers begin with different nodes, which spreads them over the cluster.
        let mut turn = self.flags.index as usize;
        let mut failures = 0;
        let mut lease_holder = None;
        loop {
            let nodes = self.nodes(lease_holder.as_ref());
            let node = nodes[turn % nodes.len()];
            let lease_before = lease_holder.as_ref().and_then(LeaseHolder::expires_at);
            let error = self.follow(node, &mut lease_holder).await;
            if matches!(error, LinkError::ShuttingDown) {
                return;
            }
            let lease = lease_holder.as_ref().and_then(LeaseHolder::expires_at);
            failures = if lease > lease_before {
                0
            } else {
                failures + 1
            };
            if let Some(suppressed) = self.clock.allow_log_line() {
                let lease_left_us = lease.map_or(0, |until| until - self.clock.now());
                warn!(%node, %error, failures, lease_left_us, suppressed, "control-plane node left for the next");
            }
            turn += 1;
            sleep(self.backoff.delay(failures)).await;
        }
    }

    /// Returns the addresses of the nodes that the flags name, followed by those of voters that were added since.
    fn nodes(&self, lease_holder: Option<&LeaseHolder>) -> Vec<SocketAddr> {
        let named = &self.flags.control_plane;
        let added = lease_holder
            .into_iter()
            .flat_map(LeaseHolder::voter_addresses)
            .filter_map(|address| address.parse().ok())
            .filter(|address| !named.contains(address));
        named.iter().copied().chain(added).collect()
    }

    /// Connects to a node and renews the lease there as long as the node grants it. Returns why the node is left.
    async fn follow(
        &mut self,
        node: SocketAddr,
        lease_holder: &mut Option<LeaseHolder>,
    ) -> LinkError {
        let opened = timeout(NODE_TIMEOUT, self.open(node)).await;
        let Ok(Ok((link, parameters))) = opened else {
            return LinkError::NotReached;
        };
        let lease_holder = lease_holder.get_or_insert_with(|| self.new_lease_holder(&parameters));
        match self.exchange(link, lease_holder).await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn open(&self, node: SocketAddr) -> Result<(NodeLink, ClusterParameters), FrameError> {
        let stream = TcpStream::connect(node).await?;
        let _ = stream.set_nodelay(true);
        let mut link: NodeLink = Framed::with_capacity(stream, FrameCodec::new(LIMIT), READ_BUFFER);
        let caller = Caller::Router {
            index: self.flags.index,
        };
        link.send(ToNode::hello(caller)).await?;
        match link.next().await {
            Some(Ok(FromNode::Welcome { parameters, .. })) => Ok((link, parameters)),
            _ => Err(FrameError::OutOfOrder),
        }
    }

    fn new_lease_holder(&self, parameters: &ClusterParameters) -> LeaseHolder {
        let config = LeaseConfig {
            duration: parameters.lease_us as Micros,
            max_clock_drift: parameters.max_clock_drift,
        };
        info!(
            lease_us = parameters.lease_us,
            longest_contradiction_us = config.longest_contradiction(),
            "control plane connected"
        );
        let lease_holder = LeaseHolder::new(config, self.process, self.flags.index);
        if self.flags.replicated_list {
            lease_holder.with_list()
        } else {
            lease_holder
        }
    }

    /// Renews the lease until the node grants none.
    async fn exchange(
        &mut self,
        mut link: NodeLink,
        lease_holder: &mut LeaseHolder,
    ) -> Result<std::convert::Infallible, LinkError> {
        let mut timer = RenewalTimer::new(lease_holder.renewal_interval());
        loop {
            tokio::select! {
                _ = sleep_until(timer.next_request) => {
                    let (number, request) = lease_holder.request(self.clock.now());
                    let request = Request::Lease(request);
                    send_request(&mut link, number, request).await?;
                    timer.on_request();
                }
                _ = sleep_until(timer.give_up_at()) => return Err(LinkError::NoResponse),
                read = link.next() => {
                    let (number, grant) = parse_grant(read)?;
                    timer.on_response();
                    if lease_holder.on_grant(number, grant) {
                        self.apply(lease_holder).await?;
                    }
                }
                changed = self.applied.changed() => {
                    changed.map_err(|_| LinkError::ShuttingDown)?;
                    let revision = *self.applied.borrow_and_update();
                    // The next request confirms the applied revision. Without delay, the pending revision comes into
                    // force sooner.
                    if lease_holder.pending().is_some() {
                        timer.request_now();
                    }
                    lease_holder.set_applied_revision(revision);
                }
            }
        }
    }

    /// Passes an update of the host list and the lease, with the configuration that it permits, to the engine.
    async fn apply(&mut self, lease_holder: &mut LeaseHolder) -> Result<(), LinkError> {
        if let Some(update) = lease_holder.take_list_update() {
            let list = Input::ReplicatedList {
                complete: update.complete,
                hosts: update.hosts.into_iter().map(endpoint_record).collect(),
            };
            self.send(EngineEvent::Input(list)).await?;
        }
        let Some(until) = lease_holder.expires_at() else {
            return Ok(());
        };
        let revision = lease_holder.newest();
        let config = self
            .flags
            .effective_config(lease_holder.in_force(), lease_holder.pending());
        match config {
            Ok(config) => {
                let granted = EngineEvent::LeaseGranted {
                    until,
                    config: Box::new(config),
                    revision,
                };
                self.send(granted).await
            }
            Err(errors) => {
                // The lease requires a revision that this router cannot act on, so the lease is not used at all.
                if self.rejected != revision {
                    self.rejected = revision;
                    warn!(
                        revision = revision.0,
                        errors = errors.to_string(),
                        "revision rejected: it does not fit the flags of this router; lease not applied"
                    );
                }
                Ok(())
            }
        }
    }

    async fn send(&self, event: EngineEvent) -> Result<(), LinkError> {
        self.events
            .send(event)
            .await
            .map_err(|_| LinkError::ShuttingDown)
    }
}

async fn send_request(link: &mut NodeLink, number: u64, request: Request) -> Result<(), LinkError> {
    let message = ToNode::Request { number, request };
    match timeout(NODE_TIMEOUT, link.send(message)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(LinkError::NotSent),
    }
}

/// Returns the number of the request and the lease that was granted to it.
fn parse_grant(read: Option<Result<FromNode, FrameError>>) -> Result<(u64, LeaseGrant), LinkError> {
    match read {
        Some(Ok(FromNode::Response {
            number,
            response: Response::Granted(grant),
        })) => Ok((number, *grant)),
        Some(Ok(FromNode::Response { .. })) => Err(LinkError::NotGranted),
        Some(Ok(FromNode::Refused { why, text })) => Err(LinkError::Refused { why, text }),
        _ => Err(LinkError::ConnectionLost),
    }
}

fn endpoint_record(listed: ListedHost) -> EndpointRecord {
    let phase = match listed.state {
        HostState::Gone => EndpointPhase::Gone,
        HostState::Ready => EndpointPhase::Ready,
        HostState::Draining => EndpointPhase::Draining,
    };
    EndpointRecord {
        host: listed.host,
        address: listed.address,
        build: listed.build,
        cell: listed.cell,
        zone: listed.zone,
        phase,
        incarnation: listed.incarnation,
        up_us: listed.up_us,
    }
}
