//! The connection to one host: opened with a hello and a welcome, then frames both ways until it ends.

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

/// Bytes encoded and not yet taken by the system at most, beside what one message adds.
const MAX_ENCODED: usize = 16 << 10;
/// Bytes that the system queues for a host at most.
const SEND_BUFFER: u32 = 64 << 10;
/// First size of the buffer for what a host sends, in bytes.
const READ_BUFFER: usize = 1024;

type Reader = FramedRead<OwnedReadHalf, FrameCodec<FromHost, ToHost>>;

/// Why a connection to a host could not be opened.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    #[error("not connected in time")]
    TimedOut,
    #[error("'{address}' is no address")]
    Address {
        address: String,
        source: AddrParseError,
    },
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("refused: {0}")]
    Refused(String),
    #[error("no welcome")]
    NoWelcome,
    #[error("closed before its welcome")]
    Closed,
    #[error("host {actual} answers at the address of host {expected}")]
    OtherHost { actual: u32, expected: u32 },
}

/// Why a connection has ended.
#[derive(Debug)]
pub(crate) enum ConnectionEnd {
    /// Nothing was to be sent for long.
    Idle,
    Broken,
    /// Dropped by the router, since nothing has arrived on it.
    Unresponsive,
    /// The router shuts down, or the host is gone and nothing is left to send.
    Done,
}

/// An open connection, before its first use.
pub(crate) struct HostConnection {
    reader: Reader,
    writer: OwnedWriteHalf,
    /// The host's answer to the hello.
    pub(crate) welcome: FromHost,
    /// The host's process, by what it says in its welcome.
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
            _ => return Err(OpenError::NoWelcome),
        };
        Ok(HostConnection {
            reader,
            writer,
            welcome,
            incarnation,
        })
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
    // What the system has taken cannot be taken back when the host drains: little of it, then.
    let _ = socket.set_send_buffer_size(SEND_BUFFER);
    let stream = socket.connect(address).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Whether the host still answers: since when it has sent nothing, and whether it was pinged since.
struct Liveness {
    silent_since: Instant,
    pinged: bool,
}

impl Liveness {
    fn starting_now() -> Self {
        Liveness {
            silent_since: Instant::now(),
            pinged: false,
        }
    }

    /// When a host that goes on sending nothing is pinged or, after that, given up.
    fn next_check(&self, ping_timeout: Duration) -> Instant {
        let silence = if self.pinged {
            ping_timeout
        } else {
            ping_timeout / 2
        };
        self.silent_since + silence
    }
}

/// What ends a wait of [`Exchange`].
enum Wake {
    /// The listing has changed; an error says that the engine's task is gone.
    Listing(Result<(), tokio::sync::watch::error::RecvError>),
    /// The time for a drain is over in the middle of a frame.
    DrainTimeout,
    Written(io::Result<usize>),
    Read(Option<Result<FromHost, FrameError>>),
    /// A message to send; `None`: the engine's task is gone.
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
    /// Encoded and not yet taken by the system.
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

    /// Moves frames both ways until the connection ends; tells the engine of the deliveries that were on it.
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

    /// Encodes what waits, as far as there is room; fails what can no longer leave.
    async fn encode(&mut self) {
        let mut late = Vec::new();
        while self.bytes.len() < MAX_ENCODED {
            let Some(message) = self.outgoing.next(self.link.clock.now(), &mut late) else {
                break;
            };
            let before = self.bytes.len();
            if self.codec.write(&message, &mut self.bytes).is_err() {
                // Too long for the host's link: it never leaves.
                if let ToHost::Deliver { delivery, .. } = message {
                    late.push(delivery);
                }
                continue;
            }
            self.outgoing
                .on_encoded(&message, self.bytes.len() - before);
        }
        if !late.is_empty() {
            self.link.fail(late, TransportFailure::NotSent).await;
        }
    }

    /// Restarts the idle timeout while there is work, and the time without an answer when work begins.
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
        let close_by = self.link.listing.borrow().close_by;
        // A frame that the host has not taken by the end of the grace must not arrive after it.
        let close_by =
            close_by.filter(|_| self.outgoing.is_closed() && self.outgoing.is_mid_frame());
        tokio::select! {
            biased;
            changed = self.link.listing.changed() => Wake::Listing(changed),
            _ = sleep_until(close_by.unwrap_or_else(Instant::now)), if close_by.is_some() => Wake::DrainTimeout,
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
                self.discard();
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
                if let Some(kept_back) = self.link.clock.allow_log_line() {
                    info!(host = self.link.host.0, kept_back, %error, "host connection broken");
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
        if !self.liveness.pinged {
            self.liveness.pinged = true;
            self.outgoing.push(ToHost::Ping, Micros::MAX);
            return ControlFlow::Continue(());
        }
        if let Some(kept_back) = self.link.clock.allow_log_line() {
            let host = self.link.host.0;
            info!(host, kept_back, "host unresponsive: connection dropped");
        }
        self.discard();
        ControlFlow::Break(ConnectionEnd::Unresponsive)
    }

    /// Makes the system drop what it still holds for the host: across a partition it would arrive when that ends, after
    /// hosts have forgotten the idempotency key of a retry.
    fn discard(&self) {
        let _ = self.writer.as_ref().set_zero_linger();
    }
}
