//! The engine's [`Transport`]: hands its messages to the tasks of connections. Nothing here waits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spokeflow_core::{HostId, Micros};
use spokeflow_engine::Transport;
use spokeflow_proto::{ToClient, ToController, ToHost, ToList};
use spokeflow_runtime::Clock;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tracing::{debug, info};

use crate::event::EngineEvent;
use crate::host_link::{HostLink, HostListing, QueuedMessage};
use crate::link_config::LinkConfig;

/// The task of one host, as the engine's task reaches it.
pub(crate) struct HostHandle {
    messages: mpsc::Sender<QueuedMessage>,
    listing: watch::Sender<HostListing>,
}

/// Senders to all connections, by the numbers that the engine knows them by.
pub(crate) struct RouterTransport {
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    pub(crate) clients: HashMap<u64, mpsc::Sender<ToClient>>,
    /// Clients closed because they do not read; the engine learns of them after its call.
    pub(crate) closed_clients: Vec<u64>,
    pub(crate) hosts: HashMap<HostId, HostHandle>,
    pub(crate) list: mpsc::Sender<ToList>,
    pub(crate) release_controller: mpsc::Sender<ToController>,
    pub(crate) host_links: Arc<LinkConfig>,
    /// Messages that wait for one host at most.
    pub(crate) host_queue: usize,
    pub(crate) drain_grace: Duration,
}

impl RouterTransport {
    /// Tells all clients that the router accepts nothing more.
    pub(crate) fn send_closing(&self) {
        for client in self.clients.values() {
            let _ = client.try_send(ToClient::Closing);
        }
    }

    /// Starts the task of a host.
    fn start_link(&self, host: HostId, listing: HostListing) -> HostHandle {
        let (messages, message_queue) = mpsc::channel(self.host_queue);
        let (listing, listing_updates) = watch::channel(listing);
        let link = HostLink {
            host,
            config: self.host_links.clone(),
            clock: self.clock.clone(),
            events: self.events.clone(),
            messages: message_queue,
            listing: listing_updates,
        };
        tokio::spawn(link.run());
        HostHandle { messages, listing }
    }
}

impl Transport for RouterTransport {
    fn to_client(&mut self, conn: u64, message: ToClient) {
        debug!(connection = conn, ?message, "answer");
        let Some(client) = self.clients.get(&conn) else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(_)) = client.try_send(message) {
            self.clients.remove(&conn);
            self.closed_clients.push(conn);
        }
    }

    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool {
        let queued = QueuedMessage { message, leave_by };
        self.hosts
            .get(&host)
            .is_some_and(|handle| handle.messages.try_send(queued).is_ok())
    }

    fn to_list(&mut self, message: ToList) -> bool {
        self.list.try_send(message).is_ok()
    }

    fn to_controller(&mut self, message: ToController) -> bool {
        info!(?message, "vote");
        self.release_controller.try_send(message).is_ok()
    }

    /// Routers exchange no messages.
    fn to_routers(&mut self, _router: Option<u32>, _text: &[u8]) {}

    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64) {
        let listing = HostListing {
            address: address.to_string(),
            incarnation,
            open: true,
            gone: false,
            close_by: None,
        };
        let handle = self.hosts.get(&host);
        match handle.filter(|handle| !handle.messages.is_closed()) {
            Some(handle) => update(&handle.listing, |_| listing),
            None => {
                let handle = self.start_link(host, listing);
                self.hosts.insert(host, handle);
            }
        }
    }

    fn drain_grace(&mut self, grace: Micros) {
        self.drain_grace = Duration::from_micros(grace.max(0) as u64);
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        let Some(handle) = self.hosts.get(&host) else {
            return;
        };
        // Well within the grace: what the host has not read by then must not arrive after it.
        let close_by = Instant::now() + self.drain_grace * 3 / 4;
        update(&handle.listing, |before| HostListing {
            open: false,
            gone,
            close_by: before.close_by.or(Some(close_by)),
            ..before.clone()
        });
    }
}

/// Changes a listing; its receiver wakes only where it differs.
fn update(listing: &watch::Sender<HostListing>, change: impl FnOnce(&HostListing) -> HostListing) {
    listing.send_if_modified(|present| {
        let changed = change(present);
        let differs = *present != changed;
        *present = changed;
        differs
    });
}
