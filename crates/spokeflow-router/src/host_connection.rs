//! The connection to one host: opened with a hello and a welcome, after which frames are moved both ways until it ends.

use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::ops::ControlFlow;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use spokeflow_core::{HostId, Micros};
use spokeflow_engine::{Input, Outgoing, TransportFailure};
use spokeflow_proto::{FrameCodec, FrameError, FromHost, Hello, ToHost, WORK_LIMIT};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep_until, Instant};
use tokio_util::codec::FramedRead;
use tracing::info;

use crate::event::EngineEvent;
use crate::host_link::{HostLink, QueuedMessage, MAX_OUTGOING};

/// Number of encoded bytes waiting to be written at which no further message is encoded. The last message encoded may
/// exceed it.
const MAX_ENCODED: usize = 16 << 10;
/// Size of the socket's send buffer, in bytes.
const SEND_BUFFER: u32 = 64 << 10;
/// Initial size of the buffer for received bytes.
const READ_BUFFER: usize = 1024;

type Reader = FramedRead<OwnedReadHalf, FrameCodec<FromHost, ToHost>>;

/// Why a connection to a host could not be opened.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    #[error("not connected and welcomed within --connect-timeout")]
    TimedOut,
    #[error("listed address '{address}' is not IP:PORT")]
    Address {
        address: String,
        source: AddrParseError,
    },
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("host refused the connection: {0}")]
    Refused(String),
    #[error("expected a welcome from the host, got {0}")]
    NoWelcome(&'static str),
    #[error("host closed the connection before its welcome")]
    Closed,
    #[error("host {actual} answers at the address of host {expected}")]
    OtherHost { actual: u32, expected: u32 },
}

/// Why a connection ended.
#[derive(Debug)]
pub(crate) enum ConnectionEnd {
    /// There was no work for the idle timeout.
    Idle,
    Broken,
    /// Dropped by the router because the host sent nothing within the ping timeout.
    Unresponsive,
    /// The engine's task has ended, or the host is no longer listed and nothing is outstanding.
    Done,
}

/// A connection on which the host has sent its welcome.
pub(crate) struct HostConnection {
    reader: Reader,
    writer: OwnedWriteHalf,
    /// The host's answer to the hello.
    pub(crate) welcome: FromHost,
    /// Incarnation of the host's process, from its welcome.
    pub(crate) incarnation: u64,
}

impl HostConnection {
    /// Connects, introduces the router and waits for the welcome.
    pub(crate) async fn open(
        host: HostId,
        hello: Hello,
        address: String,
    ) -> Result<Self, OpenError> {
        let stream = connect(address).await?;
        let (read, mut writer) = stream.into_split();
        let codec = FrameCodec::<FromHost, ToHost>::new(WORK_LIMIT);
        let mut bytes = BytesMut::new();
        codec.write(&ToHost::Hello(hello), &mut bytes)?;
        writer.write_all(&bytes).await?;
        let mut reader = FramedRead::with_capacity(read, codec, READ_BUFFER);
        let welcome = reader.next().await.ok_or(OpenError::Closed)??;
        let incarnation = match &welcome {
            FromHost::Welcome { host: actual, .. } if *actual != host.0 => {
                return Err(OpenError::OtherHost {
                    actual: *actual,
                    expected: host.0,
                })
            }
            FromHost::Welcome { incarnation, .. } => *incarnation,
            FromHost::Refused(refused) => return Err(OpenError::Refused(refused.text.clone())),
            other => return Err(OpenError::NoWelcome(message_kind(other))),
        };
        Ok(HostConnection {
            reader,
            writer,
            welcome,
            incarnation,
        })
    }
}

/// Returns the kind of a message for errors, without the body that it may carry.
fn message_kind(message: &FromHost) -> &'static str {
    match message {
        FromHost::Welcome { .. } => "a welcome",
        FromHost::Refused(_) => "a refusal",
        FromHost::Acked { .. } => "an ack",
        FromHost::Error { .. } => "an error of a delivery",
        FromHost::Full { .. } => "a rejection of a delivery",
        FromHost::ResponseStarted { .. } => "the start of a response",
        FromHost::Probed { .. } => "an answer to a probe",
        FromHost::Pong => "a pong",
        FromHost::LoadReport { .. } => "a load report",
    }
}

async fn connect(address: String) -> Result<TcpStream, OpenError> {
    let address: SocketAddr = match address.parse() {
        Ok(parsed) => parsed,
        Err(source) => return Err(OpenError::Address { address, source }),
    };
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // When the host drains, bytes in the socket's send buffer cannot be taken back without closing the connection, so
    // the buffer is kept small.
    let _ = socket.set_send_buffer_size(SEND_BUFFER);
    let stream = socket.connect(address).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// How long the host has sent nothing, and whether it was pinged since.
struct Liveness {
    silent_since: Instant,
    is_pinged: bool,
}

impl Liveness {
    fn starting_now() -> Self {
        Liveness {
            silent_since: Instant::now(),
            is_pinged: false,
        }
    }

    /// Returns when a host that has still sent nothing is pinged or, if it was pinged already, given up.
    fn next_check(&self, ping_timeout: Duration) -> Instant {
        let silence = if self.is_pinged {
            ping_timeout
        } else {
            ping_timeout / 2
        };
        self.silent_since + silence
    }
}

/// The event that ended [`Exchange::wait`].
enum Wake {
    /// The listing has changed; `Err`: the engine's task has ended.
    Listing(Result<(), tokio::sync::watch::error::RecvError>),
    /// The drain deadline has passed while a frame was partly written.
    DrainTimeout,
    Written(io::Result<usize>),
    Read(Option<Result<FromHost, FrameError>>),
    /// A message to send; `None`: the engine's task has ended.
    Message(Option<QueuedMessage>),
    IdleTimeout,
    Silence,
}

/// A connection in use.
pub(crate) struct Exchange<'a> {
    link: &'a mut HostLink,
    outgoing: &'a mut Outgoing,
    reader: Reader,
    writer: OwnedWriteHalf,
    codec: FrameCodec<FromHost, ToHost>,
    /// Encoded bytes that the system has not taken yet.
    bytes: BytesMut,
    idle_at: Instant,
    was_idle: bool,
    liveness: Liveness,
}

impl<'a> Exchange<'a> {
    pub(crate) fn new(
        link: &'a mut HostLink,
        outgoing: &'a mut Outgoing,
        connection: HostConnection,
    ) -> Self {
        Exchange {
            idle_at: Instant::now() + link.config.idle_timeout,
            link,
            outgoing,
            reader: connection.reader,
            writer: connection.writer,
            codec: FrameCodec::new(WORK_LIMIT),
            bytes: BytesMut::new(),
            was_idle: true,
            liveness: Liveness::starting_now(),
        }
    }

    /// Moves frames both ways until the connection ends, and reports the deliveries that were lost with it to the
    /// engine.
    pub(crate) async fn run(mut self) -> ConnectionEnd {
        let end = loop {
            self.encode().await;
            self.note_activity();
            let wake = self.wait().await;
            if let ControlFlow::Break(end) = self.on_wake(wake).await {
                break end;
            }
        };
        let undelivered = self.outgoing.on_disconnected(self.bytes.len());
        let failure = match end {
            ConnectionEnd::Unresponsive => TransportFailure::Unresponsive,
            _ => TransportFailure::Reset,
        };
        self.link
            .fail(undelivered.unsent, TransportFailure::NotSent)
            .await;
        self.link.fail(undelivered.unconfirmed, failure).await;
        end
    }

    /// Encodes waiting messages up to [`MAX_ENCODED`], and reports deliveries that are too late or too long to be sent.
    async fn encode(&mut self) {
        let mut unsent = Vec::new();
        while self.bytes.len() < MAX_ENCODED {
            let Some(message) = self.outgoing.next(self.link.clock.now(), &mut unsent) else {
                break;
            };
            let before = self.bytes.len();
            if self.codec.write(&message, &mut self.bytes).is_err() {
                // Longer than the frame limit of host links.
                if let ToHost::Deliver { delivery, .. } = message {
                    unsent.push(delivery);
                }
                continue;
            }
            self.outgoing
                .on_encoded(&message, self.bytes.len() - before);
        }
        if !unsent.is_empty() {
            self.link.fail(unsent, TransportFailure::NotSent).await;
        }
    }

    /// Restarts the idle timeout while there is work, and the ping timeout when work begins.
    fn note_activity(&mut self) {
        let is_idle = self.outgoing.is_idle();
        if !is_idle {
            self.idle_at = Instant::now() + self.link.config.idle_timeout;
            if self.was_idle {
                self.liveness = Liveness::starting_now();
            }
        }
        self.was_idle = is_idle;
    }

    async fn wait(&mut self) -> Wake {
        let silence_at = self.liveness.next_check(self.link.config.ping_timeout);
        let drain_deadline = self.link.listing.borrow().drain_deadline;
        // A frame that the host has not taken whole by then must not arrive after the drain grace has ended.
        let drain_deadline =
            drain_deadline.filter(|_| self.outgoing.is_closed() && self.outgoing.is_mid_frame());
        tokio::select! {
            biased;
            changed = self.link.listing.changed() => Wake::Listing(changed),
            _ = sleep_until(drain_deadline.unwrap_or_else(Instant::now)), if drain_deadline.is_some() => Wake::DrainTimeout,
            written = self.writer.write_buf(&mut self.bytes), if !self.bytes.is_empty() => Wake::Written(written),
            read = self.reader.next() => Wake::Read(read),
            message = self.link.messages.recv(), if self.outgoing.waiting() < MAX_OUTGOING => Wake::Message(message),
            _ = sleep_until(self.idle_at), if self.outgoing.is_idle() => Wake::IdleTimeout,
            _ = sleep_until(silence_at), if !self.outgoing.is_idle() => Wake::Silence,
        }
    }

    async fn on_wake(&mut self, wake: Wake) -> ControlFlow<ConnectionEnd> {
        match wake {
            Wake::Listing(Err(_)) | Wake::Message(None) => ControlFlow::Break(ConnectionEnd::Done),
            Wake::Listing(Ok(())) => {
                if self.link.apply_listing(self.outgoing).await {
                    return ControlFlow::Break(ConnectionEnd::Done);
                }
                ControlFlow::Continue(())
            }
            Wake::DrainTimeout => {
                let host = self.link.host.0;
                info!(host, "draining host does not read: connection dropped");
                self.discard_unsent();
                ControlFlow::Break(ConnectionEnd::Broken)
            }
            Wake::Written(Ok(count)) if count > 0 => {
                self.outgoing.on_written(self.bytes.len());
                ControlFlow::Continue(())
            }
            Wake::Written(_) => ControlFlow::Break(ConnectionEnd::Broken),
            Wake::Read(read) => self.on_read(read).await,
            Wake::Message(Some(message)) => {
                self.link.queue(self.outgoing, message).await;
                ControlFlow::Continue(())
            }
            Wake::IdleTimeout => ControlFlow::Break(ConnectionEnd::Idle),
            Wake::Silence => self.on_silence(),
        }
    }

    async fn on_read(
        &mut self,
        read: Option<Result<FromHost, FrameError>>,
    ) -> ControlFlow<ConnectionEnd> {
        let message = match read {
            Some(Ok(message)) => message,
            Some(Err(error)) => {
                if let Some(suppressed) = self.link.clock.allow_log_line() {
                    info!(host = self.link.host.0, suppressed, %error, "host connection broken");
                }
                return ControlFlow::Break(ConnectionEnd::Broken);
            }
            None => return ControlFlow::Break(ConnectionEnd::Broken),
        };
        self.liveness = Liveness::starting_now();
        match &message {
            FromHost::Pong => {
                self.outgoing.on_pong();
                return ControlFlow::Continue(());
            }
            FromHost::Acked { delivery, .. }
            | FromHost::Error { delivery }
            | FromHost::Full { delivery } => self.outgoing.on_answered(*delivery),
            FromHost::Welcome { .. } => return ControlFlow::Break(ConnectionEnd::Broken),
            _ => {}
        }
        let input = Input::FromHost {
            host: self.link.host.0,
            message,
        };
        match self.link.events.send(EngineEvent::Input(input)).await {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(ConnectionEnd::Done),
        }
    }

    /// Pings a host that has sent nothing for half the ping timeout, and gives it up after all of it.
    fn on_silence(&mut self) -> ControlFlow<ConnectionEnd> {
        if !self.liveness.is_pinged {
            self.liveness.is_pinged = true;
            self.outgoing.push(ToHost::Ping, Micros::MAX);
            return ControlFlow::Continue(());
        }
        if let Some(suppressed) = self.link.clock.allow_log_line() {
            let host = self.link.host.0;
            info!(host, suppressed, "host unresponsive: connection dropped");
        }
        self.discard_unsent();
        ControlFlow::Break(ConnectionEnd::Unresponsive)
    }

    /// Makes the system discard the bytes in the send buffer when the connection is closed. They would otherwise arrive
    /// when a network partition ends, after hosts have forgotten the idempotency key of a retry.
    fn discard_unsent(&self) {
        let _ = self.writer.as_ref().set_zero_linger();
    }
}
