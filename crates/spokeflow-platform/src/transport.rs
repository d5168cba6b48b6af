//! The engine's transport on the platform: answers go to the tasks of clients' connections, each delivery gets a task
//! of its own, and votes go to the release controller.

use std::collections::{HashMap, HashSet};
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
use crate::upstream::{Attempt, Route, UpstreamConfig};

/// A host that the list names.
pub(crate) struct Host {
    address: SocketAddr,
    incarnation: u64,
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

/// A delivery that is out, and the task that carries it.
pub(crate) struct OpenDelivery {
    host: HostId,
    incarnation: u64,
    cancel: Option<oneshot::Sender<()>>,
    task: AbortHandle,
}

impl OpenDelivery {
    /// Ends the delivery where it has not left whole; one that has does not listen any more.
    fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            let _ = cancel.send(());
        }
    }
}

/// A command that is owed an answer.
pub(crate) struct PendingCommand {
    pub(crate) id: Bytes,
    pub(crate) answer: oneshot::Sender<ToClient>,
}

/// What the engine sends leaves here, and nothing here waits.
pub(crate) struct PlatformTransport {
    pub(crate) context: Arc<ListenerContext>,
    pub(crate) upstream: Arc<UpstreamConfig>,
    /// Commands that are owed an answer, by connection.
    pub(crate) pending: HashMap<u64, PendingCommand>,
    /// Ids of these commands, on any connection.
    pub(crate) pending_ids: HashSet<Bytes>,
    pub(crate) hosts: HashMap<HostId, Host>,
    pub(crate) open_deliveries: HashMap<u64, OpenDelivery>,
    /// One permit for each connection to a host.
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) idle_lifetime: IdleLifetime,
    pub(crate) controller_address: watch::Sender<SocketAddr>,
    pub(crate) vote_timeout: Duration,
}

impl PlatformTransport {
    /// Cancels the deliveries to a host, but for those to its process `except`.
    fn cancel_deliveries(&mut self, host: HostId, except: Option<u64>) {
        for delivery in self.open_deliveries.values_mut() {
            if delivery.host == host && Some(delivery.incarnation) != except {
                delivery.cancel();
            }
        }
    }

    /// A permit for one more connection to a host, if need be that of the one longest idle.
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

    /// The connection for a delivery to an open host.
    fn route(&mut self, host: HostId) -> Option<Route> {
        let known = self.hosts.get_mut(&host)?;
        if let Some(rested) = known.idle.take(&self.idle_lifetime) {
            return Some(Route::Idle(rested));
        }
        self.permit().map(Route::New)
    }

    fn deliver(
        &mut self,
        host: HostId,
        delivery: u64,
        left_us: u64,
        leave_by: Micros,
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
        let rested = match &route {
            Route::Idle(rested) => Some(rested.micros),
            Route::New(_) => None,
        };
        let (cancel, cancelled) = oneshot::channel();
        let clock = &self.upstream.clock;
        let attempt = Attempt {
            config: self.upstream.clone(),
            host,
            delivery,
            address,
            request,
            until: clock.instant_at(clock.now() + left_us as Micros),
            leave_by: clock.instant_at(leave_by),
            route: Some(route),
            rested,
            cancelled,
        };
        debug!(id = attempt.id(), %address, delivery, left_us, "delivery");
        let open = OpenDelivery {
            host,
            incarnation,
            cancel: Some(cancel),
            task: tokio::spawn(attempt.run()).abort_handle(),
        };
        self.open_deliveries.insert(delivery, open);
        true
    }

    /// A delivery has ended by itself; its connection is kept where the host is still the same process.
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
        debug!(%id, connection, end, build, retry_after_us, "answer");
        self.pending_ids.remove(&pending.id);
        let _ = pending.answer.send(message);
    }

    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool {
        match message {
            ToHost::Deliver {
                delivery,
                left_us,
                body,
                ..
            } => self.deliver(host, delivery, left_us, leave_by, body),
            ToHost::Cancel { delivery } => {
                // Dropped with its task, the connection closes: that is how an attempt is given up here.
                if let Some(open) = self.open_deliveries.remove(&delivery) {
                    open.task.abort();
                    debug!(delivery, "delivery cancelled");
                }
                true
            }
            _ => true,
        }
    }

    /// The watch is always open.
    fn to_list(&mut self, _: ToList) -> bool {
        true
    }

    fn to_controller(&mut self, message: ToController) -> bool {
        info!(?message, "vote");
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
                address, "the list names no address for a host"
            );
        };
        self.context.ready.store(true, Ordering::Relaxed);
        let known = self
            .hosts
            .entry(host)
            .or_insert_with(|| Host::new(address, incarnation));
        known.is_open = true;
        if known.address != address || known.incarnation != incarnation {
            // What has not left yet was meant for another process, maybe another build.
            *known = Host::new(address, incarnation);
            self.cancel_deliveries(host, Some(incarnation));
        }
    }

    fn recall(&mut self, host: HostId, delivery: Option<u64>) {
        let Some(delivery) = delivery else {
            return self.cancel_deliveries(host, None);
        };
        if let Some(open) = self.open_deliveries.get_mut(&delivery) {
            open.cancel();
        }
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        if let Some(known) = self.hosts.get_mut(&host) {
            known.is_open = false;
            known.idle.clear();
        }
        self.cancel_deliveries(host, None);
        if gone {
            self.hosts.remove(&host);
        }
    }
}

/// For log lines, which hold no bodies.
fn answer_name(message: &ToClient) -> &'static str {
    match message {
        ToClient::Acked { .. } => "acked",
        ToClient::Nacked { .. } => "nacked",
        ToClient::Failed { .. } => "failed",
        _ => "refused",
    }
}
