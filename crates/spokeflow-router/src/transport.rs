//! The engine's [`Transport`]: passes its messages to the connection tasks over bounded queues, and never blocks.

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

/// The engine's side of the channels to the task of one host.
pub(crate) struct HostHandle {
    messages: mpsc::Sender<QueuedMessage>,
    listing: watch::Sender<HostListing>,
}

/// The senders to all connection tasks. Clients are identified by connection number, hosts by id.
pub(crate) struct RouterTransport {
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    pub(crate) clients: HashMap<u64, mpsc::Sender<ToClient>>,
    /// Connections of clients that were closed because their queue was full. They are reported to the engine once it
    /// has returned from the present call.
    pub(crate) closed_clients: Vec<u64>,
    pub(crate) hosts: HashMap<HostId, HostHandle>,
    pub(crate) list: mpsc::Sender<ToList>,
    pub(crate) release_controller: mpsc::Sender<ToController>,
    pub(crate) host_links: Arc<LinkConfig>,
    /// Maximum number of messages queued for one host.
    pub(crate) host_queue: usize,
    /// Time after the start of a host's drain within which sent messages must have arrived.
    pub(crate) drain_grace: Duration,
}

impl RouterTransport {
    /// Tells all clients that the router accepts no more commands.
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
    /// Queues an answer for a client. The log line is written before that, even if the client has gone or its queue is
    /// full.
    fn to_client(&mut self, conn: u64, message: ToClient) {
        debug!(connection = conn, ?message, "command answered");
        let Some(client) = self.clients.get(&conn) else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(_)) = client.try_send(message) {
            self.clients.remove(&conn);
            self.closed_clients.push(conn);
        }
    }

    fn to_host(&mut self, host: HostId, message: ToHost, send_deadline: Micros) -> bool {
        let queued = QueuedMessage {
            message,
            send_deadline,
        };
        self.hosts
            .get(&host)
            .is_some_and(|handle| handle.messages.try_send(queued).is_ok())
    }

    fn to_list(&mut self, message: ToList) -> bool {
        self.list.try_send(message).is_ok()
    }

    /// Queues a vote. The log line is written before that, even if the queue is full; the vote is sent later.
    fn to_controller(&mut self, message: ToController) -> bool {
        info!(?message, "vote sent");
        self.release_controller.try_send(message).is_ok()
    }

    /// Routers exchange no messages.
    fn to_routers(&mut self, _router: Option<u32>, _text: &[u8]) {}

    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64) {
        let listing = HostListing {
            address: address.to_string(),
            incarnation,
            is_open: true,
            is_gone: false,
            drain_deadline: None,
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

    fn set_drain_grace(&mut self, grace: Micros) {
        self.drain_grace = Duration::from_micros(grace.max(0) as u64);
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        let Some(handle) = self.hosts.get(&host) else {
            return;
        };
        // Three quarters of the grace period: a frame that the host has not read by then must not arrive after the
        // period has ended.
        let drain_deadline = Instant::now() + self.drain_grace * 3 / 4;
        update(&handle.listing, |before| HostListing {
            is_open: false,
            is_gone: gone,
            drain_deadline: before.drain_deadline.or(Some(drain_deadline)),
            ..before.clone()
        });
    }
}

/// Replaces a listing. The host's task is woken only if the listing has changed.
fn update(listing: &watch::Sender<HostListing>, change: impl FnOnce(&HostListing) -> HostListing) {
    listing.send_if_modified(|listing| {
        let new_listing = change(listing);
        let has_changed = *listing != new_listing;
        *listing = new_listing;
        has_changed
    });
}
