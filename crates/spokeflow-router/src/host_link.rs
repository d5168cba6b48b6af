//! The task that serves one host. It opens the connection when there is work, keeps it, and reconnects with exponential
//! backoff.

use std::ops::ControlFlow;
use std::sync::Arc;

use spokeflow_core::{HostId, Micros};
use spokeflow_engine::{Input, Outgoing, TransportFailure};
use spokeflow_proto::ToHost;
use spokeflow_runtime::{Backoff, Clock};
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};
use tracing::{debug, info};

use crate::event::EngineEvent;
use crate::host_connection::{ConnectionEnd, Exchange, HostConnection, OpenError};
use crate::link_config::LinkConfig;

/// Maximum number of messages taken from the queue of `--host-queue` before the connection can send them. Messages for a
/// host that does not read stay in that queue and fill it instead of accumulating in the task.
pub(crate) const MAX_OUTGOING: usize = 16;

/// State of the host according to the host list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HostListing {
    pub(crate) address: String,
    /// Incarnation of the host's process, as listed.
    pub(crate) incarnation: u64,
    /// Whether the host may get new deliveries.
    pub(crate) is_open: bool,
    /// Whether the host is no longer listed.
    pub(crate) is_gone: bool,
    /// When a frame that a draining host has not taken yet is discarded with its connection; `None` while the host is
    /// open.
    pub(crate) drain_deadline: Option<Instant>,
}

/// A message from the engine to a host.
#[derive(Debug)]
pub(crate) struct QueuedMessage {
    pub(crate) message: ToHost,
    /// Time after which a delivery is no longer sent, in microseconds of the router's clock.
    pub(crate) send_deadline: Micros,
}

/// The task that serves one host.
pub(crate) struct HostLink {
    pub(crate) host: HostId,
    pub(crate) config: Arc<LinkConfig>,
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    pub(crate) messages: mpsc::Receiver<QueuedMessage>,
    pub(crate) listing: watch::Receiver<HostListing>,
}

/// Decides when the next connection to a host may be attempted.
struct RetryTimer {
    backoff: Backoff,
    /// Consecutive failures.
    failures: u32,
    not_before: Instant,
}

impl RetryTimer {
    fn new(backoff: Backoff) -> Self {
        RetryTimer {
            backoff,
            failures: 0,
            not_before: Instant::now(),
        }
    }

    /// Notes that the host could not be connected to, or that the connection broke soon after it was opened.
    fn on_failure(&mut self) {
        self.failures += 1;
        self.delay();
    }

    /// Notes that a connection broke after it had been open for longer than the longest backoff.
    fn on_lost(&mut self) {
        self.failures = 0;
        self.delay();
    }

    fn delay(&mut self) {
        let delay = self.backoff.delay(self.failures.saturating_sub(1));
        self.not_before = Instant::now() + delay;
    }
}

impl HostLink {
    /// Serves the host until it is no longer listed or the engine's task has ended.
    pub(crate) async fn run(mut self) {
        let mut outgoing = Outgoing::default();
        let mut retry = RetryTimer::new(self.config.backoff(u64::from(self.host.0)));
        loop {
            if !outgoing.has_waiting() {
                if self.wait_for_work(&mut outgoing).await.is_break() {
                    return;
                }
                continue;
            }
            if Instant::now() < retry.not_before {
                self.fail_unsent(&mut outgoing).await;
                continue;
            }
            match self.connect(&mut outgoing).await {
                Ok(connection) => {
                    if self
                        .exchange(&mut outgoing, connection, &mut retry)
                        .await
                        .is_break()
                    {
                        return;
                    }
                }
                Err(error) => {
                    retry.on_failure();
                    self.log_not_connected(retry.failures, &error);
                    self.fail_unsent(&mut outgoing).await;
                }
            }
        }
    }

    /// Waits for a message or a change of the listing. `Break`: this task must end.
    async fn wait_for_work(&mut self, outgoing: &mut Outgoing) -> ControlFlow<()> {
        tokio::select! {
            message = self.messages.recv() => match message {
                Some(message) => self.queue(outgoing, message).await,
                None => return ControlFlow::Break(()),
            },
            changed = self.listing.changed() => {
                if changed.is_err() || self.apply_listing(outgoing).await {
                    return ControlFlow::Break(());
                }
            }
        }
        ControlFlow::Continue(())
    }

    /// Uses a connection until it ends. `Break`: this task must end.
    async fn exchange(
        &mut self,
        outgoing: &mut Outgoing,
        connection: HostConnection,
        retry: &mut RetryTimer,
    ) -> ControlFlow<()> {
        let since = Instant::now();
        match Exchange::new(self, outgoing, connection).run().await {
            ConnectionEnd::Idle => {}
            ConnectionEnd::Done => return ControlFlow::Break(()),
            ConnectionEnd::Broken | ConnectionEnd::Unresponsive => {
                // Backoff must also grow for a host that accepts connections and breaks them at once.
                if since.elapsed() > self.config.max_reconnect_delay {
                    retry.on_lost();
                } else {
                    retry.on_failure();
                }
            }
        }
        ControlFlow::Continue(())
    }

    /// Queues a message for the connection. Reports a delivery that this proves not sent: the message's own while
    /// `outgoing` is closed, or the unsent one that it cancels.
    pub(crate) async fn queue(&self, outgoing: &mut Outgoing, queued: QueuedMessage) {
        if let Some(delivery) = outgoing.push(queued.message, queued.send_deadline) {
            self.fail(vec![delivery], TransportFailure::NotSent).await;
        }
    }

    /// Opens or closes `outgoing` as the listing says. Returns `true` if this task must end.
    pub(crate) async fn apply_listing(&mut self, outgoing: &mut Outgoing) -> bool {
        let listing = self.listing.borrow_and_update().clone();
        if listing.is_open {
            outgoing.open();
        } else {
            let unsent = outgoing.close();
            self.fail(unsent, TransportFailure::NotSent).await;
        }
        listing.is_gone && outgoing.is_idle()
    }

    /// Reports deliveries to the engine as failed.
    pub(crate) async fn fail(&self, deliveries: Vec<u64>, failure: TransportFailure) {
        for delivery in deliveries {
            let input = Input::DeliveryFailed {
                host: self.host.0,
                delivery,
                failure,
            };
            let _ = self.events.send(EngineEvent::Input(input)).await;
        }
    }

    /// Reports all deliveries that wait for a connection as failed.
    async fn fail_unsent(&self, outgoing: &mut Outgoing) {
        let unsent = outgoing.on_disconnected(0).unsent;
        self.fail(unsent, TransportFailure::NotConnected).await;
    }

    /// Opens the connection. Messages and changes of the listing are handled meanwhile, so that a drain or a cancel does
    /// not wait for the connection.
    async fn connect(&mut self, outgoing: &mut Outgoing) -> Result<HostConnection, OpenError> {
        let address = self.listing.borrow().address.clone();
        let hello = self.config.hello.clone();
        let opening = HostConnection::open(self.host, hello, address);
        let opening = timeout(self.config.connect_timeout, opening);
        tokio::pin!(opening);
        let connection = loop {
            tokio::select! {
                opened = &mut opening => break opened.unwrap_or(Err(OpenError::TimedOut))?,
                Some(message) = self.messages.recv(), if outgoing.waiting() < MAX_OUTGOING => {
                    self.queue(outgoing, message).await;
                }
                Ok(()) = self.listing.changed() => {
                    self.apply_listing(outgoing).await;
                }
            }
        };
        // The engine must know the host's process before it places more deliveries on it, so that a process that has
        // just started is treated as such.
        let listed = self.listing.borrow().incarnation;
        let welcome = Input::FromHost {
            host: self.host.0,
            message: connection.welcome.clone(),
        };
        let _ = self.events.send(EngineEvent::Input(welcome)).await;
        let incarnation = connection.incarnation;
        if incarnation != listed {
            // The waiting deliveries were placed on another process of the host, which may have run another build.
            self.fail_unsent(outgoing).await;
        }
        debug!(host = self.host.0, incarnation, "host connected");
        Ok(connection)
    }

    fn log_not_connected(&self, failures: u32, error: &OpenError) {
        if let Some(suppressed) = self.clock.allow_log_line() {
            info!(host = self.host.0, failures, suppressed, %error, "host not connected");
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/host_link.rs"]
mod tests;
