//! The engine's transport on the platform. Answers go to the tasks of clients' connections, each delivery gets a task
//! of its own, and votes go to the release controller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use spokeflow_core::{HostId, Micros};
use spokeflow_engine::Transport;
use spokeflow_proto::{ToClient, ToController, ToHost, ToList};
use tokio::sync::{oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tracing::{debug, info, warn};

use crate::idle_connections::{Connection, IdleConnections};
use crate::idle_lifetime::IdleLifetime;
use crate::listener_context::ListenerContext;
use crate::release_controller::Vote;
use crate::request_ids::RequestIds;
use crate::upstream::{DeliveryTask, Route, UpstreamConfig};

/// A host in the host list.
pub(crate) struct Host {
    address: SocketAddr,
    /// Number of the host's process.
    incarnation: u64,
    /// Whether the host may get deliveries.
    is_open: bool,
    pub(crate) idle: IdleConnections,
}

impl Host {
    fn new(address: SocketAddr, incarnation: u64) -> Self {
        Host {
            address,
            incarnation,
            is_open: true,
            idle: IdleConnections::default(),
        }
    }
}

/// An open delivery, and the task that sends it and awaits its answer.
pub(crate) struct OpenDelivery {
    host: HostId,
    incarnation: u64,
    /// Recalls the delivery; `None` once used.
    recall_sender: Option<oneshot::Sender<()>>,
    task: AbortHandle,
}

impl OpenDelivery {
    /// Recalls the delivery if it has not been sent whole; after that, its task no longer listens.
    fn recall(&mut self) {
        if let Some(sender) = self.recall_sender.take() {
            let _ = sender.send(());
        }
    }
}

/// A command that has not been answered.
pub(crate) struct PendingCommand {
    /// The client's `Request-Id`.
    pub(crate) id: Bytes,
    pub(crate) answer: oneshot::Sender<ToClient>,
}

/// The engine's transport. None of its functions waits.
pub(crate) struct PlatformTransport {
    pub(crate) context: Arc<ListenerContext>,
    pub(crate) upstream: Arc<UpstreamConfig>,
    /// Commands that have not been answered, by the number of the client's connection.
    pub(crate) pending: HashMap<u64, PendingCommand>,
    /// Ids of the commands in `pending`, and of earlier ones.
    pub(crate) request_ids: RequestIds,
    pub(crate) hosts: HashMap<HostId, Host>,
    /// Open deliveries by number.
    pub(crate) open_deliveries: HashMap<u64, OpenDelivery>,
    /// Permits for connections to hosts, one for each.
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) idle_lifetime: IdleLifetime,
    pub(crate) controller_address: watch::Sender<SocketAddr>,
    pub(crate) vote_timeout: Duration,
}

impl PlatformTransport {
    /// Recalls the deliveries to a host, except those to its process of incarnation `except`.
    fn recall_deliveries(&mut self, host: HostId, except: Option<u64>) {
        for delivery in self.open_deliveries.values_mut() {
            if delivery.host == host && Some(delivery.incarnation) != except {
                delivery.recall();
            }
        }
    }

    /// Acquires a permit for a new connection to a host. If none is free, closes the longest idle connection to any
    /// host and takes its permit; `None` if no connection is idle.
    fn permit(&mut self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        let idle = self
            .hosts
            .values_mut()
            .filter_map(|host| Some((host.idle.oldest()?, host)));
        let (_, longest_idle) = idle.min_by_key(|(since, _)| *since)?;
        longest_idle.idle.close_oldest();
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Returns an idle connection to a host, or a permit for a new one; `None` if there is neither.
    fn route(&mut self, host: HostId) -> Option<Route> {
        let known = self.hosts.get_mut(&host)?;
        if let Some(reused) = known.idle.take(&self.idle_lifetime) {
            return Some(Route::Reused(reused));
        }
        self.permit().map(Route::New)
    }

    /// Starts the task of a delivery. Returns `false` if the host is not open or no connection is available.
    fn deliver(
        &mut self,
        host: HostId,
        delivery: u64,
        left_us: u64,
        send_deadline: Micros,
        request: Bytes,
    ) -> bool {
        let Some(known) = self.hosts.get(&host).filter(|known| known.is_open) else {
            return false;
        };
        let address = known.address;
        let incarnation = known.incarnation;
        let Some(route) = self.route(host) else {
            return false;
        };
        let idle_us = match &route {
            Route::Reused(reused) => Some(reused.idle_us),
            Route::New(_) => None,
        };
        let (recall_sender, recalled) = oneshot::channel();
        let clock = &self.upstream.clock;
        let task = DeliveryTask {
            config: self.upstream.clone(),
            host,
            delivery,
            address,
            request,
            until: clock.instant_at(clock.now() + left_us as Micros),
            send_deadline: clock.instant_at(send_deadline),
            route: Some(route),
            idle_us,
            recalled,
        };
        self.request_ids.deliver(task.id().as_bytes());
        debug!(id = task.id(), %address, delivery, left_us, "delivery started");
        let open = OpenDelivery {
            host,
            incarnation,
            recall_sender: Some(recall_sender),
            task: tokio::spawn(task.run()).abort_handle(),
        };
        self.open_deliveries.insert(delivery, open);
        true
    }

    /// Removes a delivery that has ended without being cancelled. Keeps its connection for reuse if the host is open
    /// and is still the same process.
    pub(crate) fn on_delivery_ended(
        &mut self,
        host: HostId,
        delivery: u64,
        connection: Option<Connection>,
    ) {
        let ended = self.open_deliveries.remove(&delivery);
        let known = self.hosts.get_mut(&host).filter(|known| known.is_open);
        if let (Some(ended), Some(known), Some(connection)) = (ended, known, connection) {
            if known.incarnation == ended.incarnation {
                known.idle.keep(connection);
            }
        }
    }
}

impl Transport for PlatformTransport {
    fn to_client(&mut self, connection: u64, message: ToClient) {
        let Some(pending) = self.pending.remove(&connection) else {
            return;
        };
        let build = match &message {
            ToClient::Acked { build, .. } => Some(*build),
            _ => None,
        };
        let retry_after_us = match &message {
            ToClient::Nacked { retry_after_us, .. } => *retry_after_us,
            _ => None,
        };
        let id = String::from_utf8_lossy(&pending.id);
        let end = answer_name(&message);
        debug!(%id, connection, end, build, retry_after_us, "command answered");
        self.request_ids.end(&pending.id);
        let _ = pending.answer.send(message);
    }

    fn to_host(&mut self, host: HostId, message: ToHost, send_deadline: Micros) -> bool {
        match message {
            ToHost::Deliver {
                delivery,
                left_us,
                body,
                ..
            } => self.deliver(host, delivery, left_us, send_deadline, body),
            ToHost::Cancel { delivery } => {
                // Aborting the task closes the connection, which is how this protocol cancels a delivery.
                if let Some(open) = self.open_deliveries.remove(&delivery) {
                    open.task.abort();
                    debug!(delivery, "delivery cancelled");
                }
                true
            }
            _ => true,
        }
    }

    /// Sends nothing: the watch on discovery needs no messages from the engine.
    fn to_list(&mut self, _: ToList) -> bool {
        true
    }

    fn to_controller(&mut self, message: ToController) -> bool {
        info!(?message, "vote sent");
        let ToController::Vote {
            ballot,
            build,
            stage,
            choice,
        } = message
        else {
            return true;
        };
        let vote = Vote {
            address: *self.controller_address.borrow(),
            events: self.upstream.events.clone(),
            timeout: self.vote_timeout,
            ballot,
            build,
            stage,
            choice,
        };
        tokio::spawn(vote.run());
        true
    }

    fn to_routers(&mut self, _: Option<u32>, _: &[u8]) {}

    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64) {
        let Ok(address) = address.parse() else {
            return warn!(
                host = host.0,
                address, "address in the host list is not valid, expected IP:PORT"
            );
        };
        self.context.ready.store(true, Ordering::Relaxed);
        let known = self
            .hosts
            .entry(host)
            .or_insert_with(|| Host::new(address, incarnation));
        known.is_open = true;
        if known.address != address || known.incarnation != incarnation {
            // Deliveries that have not been sent were meant for another process, maybe of another build.
            *known = Host::new(address, incarnation);
            self.recall_deliveries(host, Some(incarnation));
        }
    }

    fn recall(&mut self, host: HostId, delivery: Option<u64>) {
        let Some(delivery) = delivery else {
            return self.recall_deliveries(host, None);
        };
        if let Some(open) = self.open_deliveries.get_mut(&delivery) {
            open.recall();
        }
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        if let Some(known) = self.hosts.get_mut(&host) {
            known.is_open = false;
            known.idle.clear();
        }
        self.recall_deliveries(host, None);
        if gone {
            self.hosts.remove(&host);
        }
    }
}

/// Returns the name of an answer for log lines, which must not contain bodies.
fn answer_name(message: &ToClient) -> &'static str {
    match message {
        ToClient::Acked { .. } => "acked",
        ToClient::Nacked { .. } => "nacked",
        ToClient::Failed { .. } => "failed",
        _ => "refused",
    }
}
