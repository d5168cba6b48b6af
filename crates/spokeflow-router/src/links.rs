//! The link to a service that every router keeps one connection to. The link reconnects whenever the connection is lost,
//! and moves frames between the service and the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_engine::Input;
use spokeflow_proto::{FrameCodec, FrameError, Hello};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

use crate::event::EngineEvent;
use crate::link_config::LinkConfig;

/// Numbers of the links to services. The number selects the random stream of a link's backoff; links to hosts use the
/// host's id, which is always smaller.
pub(crate) const LIST_LINK: u64 = 1 << 32;
pub(crate) const RELEASE_CONTROLLER_LINK: u64 = LIST_LINK + 1;
pub(crate) const CONTROL_PLANE_LINK: u64 = LIST_LINK + 2;

/// Minimum time allowed to connect to a service and to get its answer to the opening message, even if `--connect-timeout`
/// is shorter: a service is connected to once and has much to send.
const MIN_OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Initial size of the buffer for received bytes.
pub(crate) const READ_BUFFER: usize = 1024;

/// A connection on which messages of type `In` are read and messages of type `Out` are written.
pub(crate) type Link<In, Out> = Framed<TcpStream, FrameCodec<In, Out>>;

/// The messages of the link to one service, and how they are handled.
pub(crate) trait LinkProtocol {
    /// A message from the service.
    type Incoming: DeserializeOwned + Send;
    /// A message from the router.
    type Outgoing: Serialize + Send;

    /// Number of the link, which selects the random stream of its backoff.
    const LINK: u64;
    /// Maximum size of a frame, in bytes.
    const FRAME_LIMIT: usize;

    /// Returns the opening message.
    fn hello(&self, hello: Hello) -> Self::Outgoing;

    /// Returns whether `message` is the answer to the opening message.
    fn is_welcome(message: &Self::Incoming) -> bool;

    /// Called when the connection has been opened; `queue` holds the messages that wait to be sent.
    fn on_connected(&mut self, queue: &mut mpsc::Receiver<Self::Outgoing>);

    /// Returns the message that is sent after the welcome and before the queued messages, if any.
    fn first_message(&self) -> Option<Self::Outgoing>;

    /// Converts a message to an input of the engine.
    fn on_message(&mut self, message: Self::Incoming) -> Input;

    /// Returns the time without any message after which [`LinkProtocol::on_silence`] is called; `None`: never.
    fn silence_timeout(&self) -> Option<Duration>;

    /// Returns the message that is sent after [`LinkProtocol::silence_timeout`] without any message.
    ///
    /// # Errors
    ///
    /// The connection must be closed.
    fn on_silence(&mut self) -> Result<Self::Outgoing, FrameError>;

    /// Called when the connection was lost or could not be opened; returns the input that reports this to the engine.
    fn on_lost(&mut self, queue: &mut mpsc::Receiver<Self::Outgoing>) -> Input;

    /// Logs that the connection was lost or could not be opened. `failures`: failures in a row.
    fn log_lost(&self, failures: u32, error: &FrameError);
}

/// The link to one service.
pub(crate) struct ServiceLink<P: LinkProtocol> {
    pub(crate) address: SocketAddr,
    pub(crate) config: Arc<LinkConfig>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    pub(crate) queue: mpsc::Receiver<P::Outgoing>,
    pub(crate) protocol: P,
}

impl<P: LinkProtocol> ServiceLink<P> {
    /// Keeps the service connected, reconnecting with backoff, until the engine's task has ended.
    pub(crate) async fn run(mut self) {
        let mut failures = 0_u32;
        let mut backoff = self.config.backoff(P::LINK);
        loop {
            let error = match self.open().await {
                Ok(link) => {
                    let since = Instant::now();
                    let error = self.exchange(link).await;
                    let lasted = since.elapsed() > self.config.max_reconnect_delay;
                    failures = if lasted { 0 } else { failures + 1 };
                    error
                }
                Err(error) => {
                    failures += 1;
                    error
                }
            };
            let lost = self.protocol.on_lost(&mut self.queue);
            if self.events.send(EngineEvent::Input(lost)).await.is_err() {
                return;
            }
            self.protocol.log_lost(failures, &error);
            sleep(backoff.delay(failures.saturating_sub(1))).await;
        }
    }

    /// Connects, introduces the router and waits for the welcome.
    async fn open(&self) -> Result<Link<P::Incoming, P::Outgoing>, FrameError> {
        let opening = async {
            let stream = TcpStream::connect(self.address).await?;
            let _ = stream.set_nodelay(true);
            let codec = FrameCodec::new(P::FRAME_LIMIT);
            let mut link: Link<P::Incoming, P::Outgoing> =
                Framed::with_capacity(stream, codec, READ_BUFFER);
            link.send(self.protocol.hello(self.config.hello.clone()))
                .await?;
            match link.next().await {
                Some(Ok(first)) if P::is_welcome(&first) => Ok(link),
                _ => Err(FrameError::OutOfOrder),
            }
        };
        let open_timeout = self.config.connect_timeout.max(MIN_OPEN_TIMEOUT);
        timeout(open_timeout, opening)
            .await
            .unwrap_or(Err(FrameError::TooSlow))
    }

    /// Moves frames both ways until the connection fails. Returns why it failed.
    async fn exchange(&mut self, mut link: Link<P::Incoming, P::Outgoing>) -> FrameError {
        self.protocol.on_connected(&mut self.queue);
        if let Some(first) = self.protocol.first_message() {
            if let Err(error) = link.send(first).await {
                return error;
            }
        }
        loop {
            let outgoing = tokio::select! {
                read = link.next() => {
                    match self.forward(read).await {
                        Ok(()) => continue,
                        Err(error) => return error,
                    }
                }
                Some(message) = self.queue.recv() => message,
                () = optional_sleep(self.protocol.silence_timeout()) => match self.protocol.on_silence() {
                    Ok(message) => message,
                    Err(error) => return error,
                },
            };
            if let Err(error) = link.send(outgoing).await {
                return error;
            }
        }
    }

    /// Passes a message that was read to the engine.
    async fn forward(
        &mut self,
        read: Option<Result<P::Incoming, FrameError>>,
    ) -> Result<(), FrameError> {
        let message = read.unwrap_or(Err(FrameError::Truncated { have: 0 }))?;
        let input = self.protocol.on_message(message);
        self.events
            .send(EngineEvent::Input(input))
            .await
            .map_err(|_| FrameError::TooSlow)
    }
}

/// Completes after `duration`; never completes where that is `None`.
async fn optional_sleep(duration: Option<Duration>) {
    match duration {
        Some(duration) => sleep(duration).await,
        None => std::future::pending().await,
    }
}
