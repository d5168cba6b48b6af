//! Deliveries to hosts. Each has a task of its own, on a connection that carries nothing else meanwhile. A delivery
//! counts as sent once the operating system has taken its last byte; one that fails before that has certainly not run.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use spokeflow_core::HostId;
use spokeflow_engine::{Input, TransportFailure};
use spokeflow_http::HttpError;
use spokeflow_proto::FromHost;
use spokeflow_runtime::Clock;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{debug, info};

use crate::event::EngineEvent;
use crate::host_answer::AnswerReader;
use crate::idle_connections::{Connection, ReusedConnection};
use crate::idle_lifetime::ConnectionUse;
use crate::memory_pool::MemoryPool;
use crate::message_buffer::MessageMemory;
use crate::send_latency::SendLatency;

/// Maximum length of the `Request-Timeout` line, in bytes.
const TIMEOUT_LINE_SIZE: usize = 40;

/// What all deliveries share.
pub(crate) struct UpstreamConfig {
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Timeout of opening a connection. It also bounds each read of an answer after its first byte, for which the
    /// configuration has no timeout of its own.
    pub(crate) connect_timeout: Duration,
    /// Memory for the bodies of answers.
    pub(crate) answers: MessageMemory,
    /// Memory for enlarged read buffers of connections to hosts.
    pub(crate) read_buffers: MemoryPool,
    pub(crate) send_latency: SendLatency,
}

/// The connection on which a delivery is sent.
pub(crate) enum Route {
    /// A connection that was idle.
    Reused(ReusedConnection),
    /// A new connection, to be opened with this permit.
    New(OwnedSemaphorePermit),
}

/// The task of one delivery, which sends it and awaits its answer. It ends in one of three ways: on its own, by a
/// recall as long as the request has not been sent whole ([`DeliveryTask::recalled`]), or by a cancellation, which
/// aborts the task at any time and closes its connection.
pub(crate) struct DeliveryTask {
    pub(crate) config: Arc<UpstreamConfig>,
    pub(crate) host: HostId,
    pub(crate) delivery: u64,
    pub(crate) address: SocketAddr,
    /// The request without `Request-Timeout`, which is inserted after its first line.
    pub(crate) request: Bytes,
    /// When the router stops waiting for the answer.
    pub(crate) until: Instant,
    /// Deadline for sending: the request must be sent whole by then, or not at all.
    pub(crate) send_deadline: Instant,
    /// `None` once the request is being sent.
    pub(crate) route: Option<Route>,
    /// How long the connection was idle, in microseconds; `None` for a new one.
    pub(crate) idle_us: Option<u64>,
    /// Receives the recall of the delivery, which ends it unless it has been sent whole. A delivery is recalled if the
    /// host drains or is another process, or at the engine's request.
    pub(crate) recalled: oneshot::Receiver<()>,
}

/// A request as it is to be sent.
struct OutgoingRequest<'a> {
    /// The request without `Request-Timeout`.
    bytes: &'a [u8],
    /// When the router stops waiting for the answer.
    until: Instant,
    /// Number of bytes that may be copied. The rest is written from where it is held.
    max_copied: usize,
}

impl OutgoingRequest<'_> {
    /// Writes the whole request, with a `Request-Timeout` of the time left.
    async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let left = self.until.saturating_duration_since(Instant::now());
        let left_us = left.as_micros().max(1);
        let line_end = self.bytes.windows(2).position(|pair| pair == b"\r\n");
        let (first_line, after) = self.bytes.split_at(line_end.map_or(0, |at| at + 2));
        let (copied, rest) = after.split_at(after.len().min(self.max_copied));
        let size = first_line.len() + TIMEOUT_LINE_SIZE + copied.len();
        let mut first = BytesMut::with_capacity(size);
        first.put_slice(first_line);
        first.put_slice(format!("Request-Timeout: {left_us}u\r\n").as_bytes());
        first.put_slice(copied);
        stream.write_all(&first).await?;
        stream.write_all(rest).await
    }
}

/// The reason why a request could not be sent whole. Such a request has not run.
#[derive(Debug, Error)]
enum SendError {
    #[error("no connection for the delivery")]
    NoRoute,
    #[error("not connected within {0:?}")]
    ConnectTimeout(Duration),
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("connection broke before the request was sent whole: {0}")]
    Broken(#[source] io::Error),
}

/// Opens a connection and writes the request whole.
async fn send_on_new(
    address: SocketAddr,
    within: Duration,
    permit: OwnedSemaphorePermit,
    request: &OutgoingRequest<'_>,
) -> Result<Connection, SendError> {
    let opening = timeout(within, TcpStream::connect(address)).await;
    let opened = opening.map_err(|_| SendError::ConnectTimeout(within))?;
    let mut stream = opened.map_err(SendError::Connect)?;
    let _ = stream.set_nodelay(true);
    // On close, unsent bytes are discarded: a delivery that has been recalled or cancelled must not arrive later.
    let _ = stream.set_zero_linger();
    let written = request.write(&mut stream).await;
    written.map_err(SendError::Broken)?;
    Ok(Connection { stream, permit })
}

/// The outcome of a delivery.
#[derive(Debug)]
enum Outcome {
    /// The host has answered.
    Message(FromHost),
    /// No valid answer was received.
    Lost(TransportFailure),
}

impl Outcome {
    /// Whether the connection broke; `None` if the outcome does not tell.
    fn broke(&self) -> Option<bool> {
        match self {
            Outcome::Message(_) => Some(false),
            Outcome::Lost(TransportFailure::Reset) => Some(true),
            Outcome::Lost(_) => None,
        }
    }

    fn into_input(self, host: HostId, delivery: u64) -> Input {
        match self {
            Outcome::Message(message) => Input::FromHost {
                host: host.0,
                message,
            },
            Outcome::Lost(failure) => Input::DeliveryFailed {
                host: host.0,
                delivery,
                failure,
            },
        }
    }

    /// Returns the name of the outcome for log lines, which must not contain bodies.
    fn name(&self) -> &'static str {
        match self {
            Outcome::Message(FromHost::Acked { .. }) => "Acked",
            Outcome::Message(FromHost::Full { .. }) => "Full",
            Outcome::Message(_) => "Error",
            Outcome::Lost(TransportFailure::Reset) => "Reset",
            Outcome::Lost(TransportFailure::Unresponsive) => "Unresponsive",
            Outcome::Lost(TransportFailure::NotConnected) => "NotConnected",
            Outcome::Lost(_) => "NotSent",
        }
    }
}

/// The end of a delivery.
struct DeliveryEnd {
    outcome: Outcome,
    /// The connection, if it can be reused.
    connection: Option<Connection>,
}

impl DeliveryEnd {
    fn lost(failure: TransportFailure) -> Self {
        DeliveryEnd {
            outcome: Outcome::Lost(failure),
            connection: None,
        }
    }
}

impl DeliveryTask {
    /// Returns the client's `Request-Id` from the head of the request; empty if there is none.
    pub(crate) fn id(&self) -> &str {
        const FIELD: &[u8] = b"\r\nRequest-Id: ";
        let field = self
            .request
            .windows(FIELD.len())
            .position(|window| window == FIELD);
        let value = field.map_or(&[][..], |at| &self.request[at + FIELD.len()..]);
        let end = value.iter().position(|byte| *byte == b'\r').unwrap_or(0);
        std::str::from_utf8(&value[..end]).unwrap_or_default()
    }

    /// Sends the request, awaits the answer and reports the end of the delivery to the engine's task.
    pub(crate) async fn run(mut self) {
        let called = Instant::now();
        let end = match self.send().await {
            Ok(connection) => {
                self.config.send_latency.record(called.elapsed());
                self.answer(connection).await
            }
            Err(failure) => DeliveryEnd::lost(failure),
        };
        let outcome = end.outcome;
        let took_us = called.elapsed().as_micros() as u64;
        let address = self.address;
        let idle_us = self.idle_us;
        debug!(id = self.id(), %address, delivery = self.delivery, idle_us, took_us, end = outcome.name(), "delivery ended");
        let connection_use = outcome
            .broke()
            .map(|broke| ConnectionUse { idle_us, broke });
        let event = EngineEvent::DeliveryEnded {
            host: self.host,
            delivery: self.delivery,
            input: outcome.into_input(self.host, self.delivery),
            connection: end.connection,
            connection_use,
        };
        let _ = self.config.events.send(event).await;
    }

    /// Writes the whole request, on an idle connection or on a new one. If it fails, the request has not run.
    ///
    /// Opening a connection may take long, and the engine's decision may be outdated by then. So the time left is
    /// computed when the request is written, and a request past `send_deadline` or recalled is not sent.
    async fn send(&mut self) -> Result<Connection, TransportFailure> {
        let route = self.route.take();
        let send_deadline = self.send_deadline;
        let address = self.address;
        let within = self.config.connect_timeout;
        let request = OutgoingRequest {
            bytes: &self.request,
            until: self.until,
            // Until its answer arrives, the connection's allowance for a short message is unused.
            max_copied: self.config.answers.short_message,
        };
        let idle_us = &mut self.idle_us;
        let sending = async move {
            let permit = match route {
                None => return Err(SendError::NoRoute),
                Some(Route::New(permit)) => permit,
                Some(Route::Reused(reused)) => {
                    let mut connection = reused.connection;
                    // Checked again, since this task may have waited to be scheduled: input that has arrived meanwhile
                    // belongs to no command.
                    if connection.is_reusable() {
                        let written = request.write(&mut connection.stream).await;
                        if written.is_ok() {
                            return Ok(connection);
                        }
                    }
                    *idle_us = None;
                    // The connection had input or broke before the request was sent whole, so sending it on a new one
                    // is not a repeat.
                    connection.permit
                }
            };
            send_on_new(address, within, permit, &request).await
        };
        tokio::select! {
            biased;
            _ = &mut self.recalled => Err(TransportFailure::NotSent),
            _ = sleep_until(send_deadline) => Err(TransportFailure::NotSent),
            sent = sending => sent.map_err(|error| {
                if let Some(suppressed) = self.config.clock.allow_log_line() {
                    info!(host = self.host.0, %address, suppressed, %error, "host not connected");
                }
                TransportFailure::NotConnected
            }),
        }
    }

    /// Awaits and reads the answer.
    async fn answer(&self, mut connection: Connection) -> DeliveryEnd {
        let config = &self.config;
        let timeout = config.connect_timeout;
        let buffers = &config.read_buffers;
        let mut reader = AnswerReader::new(&config.answers, buffers, timeout, self.until);
        match reader.read(&mut connection.stream).await {
            Ok(answer) => {
                let is_reusable = answer.is_reusable;
                DeliveryEnd {
                    outcome: Outcome::Message(answer.into_message(self.delivery)),
                    connection: Some(connection).filter(|_| is_reusable),
                }
            }
            Err(HttpError::Io(_) | HttpError::Truncated) => {
                DeliveryEnd::lost(TransportFailure::Reset)
            }
            Err(error) => {
                if let Some(suppressed) = self.config.clock.allow_log_line() {
                    let address = self.address;
                    let delivery = self.delivery;
                    info!(host = self.host.0, %address, delivery, suppressed, %error, "answer cannot be read");
                }
                // The command may have run. This is not reported as an error of the host: it may have written a good
                // answer, which binds the key to its build, and an answer that arrives damaged is no sign of a faulty
                // build.
                DeliveryEnd::lost(TransportFailure::Unresponsive)
            }
        }
    }
}
