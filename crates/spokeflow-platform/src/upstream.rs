//! Deliveries to hosts: one task for each, on a connection that carries nothing else meanwhile. A delivery counts as
//! sent from the moment the system has taken its last byte; all that fails before proves that it never ran.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use spokeflow_core::HostId;
use spokeflow_engine::{Input, TransportFailure};
use spokeflow_http::{HttpError, ResponseCodec, ResponsePart};
use spokeflow_proto::FromHost;
use spokeflow_runtime::Clock;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::Decoder;
use tracing::{debug, info};

use crate::event::EngineEvent;
use crate::idle_connections::{Connection, Rested};
use crate::idle_lifetime::ConnectionUse;
use crate::limits::BODY_LIMIT;
use crate::send_latency::SendLatency;

/// Bytes kept ready for what comes back on a connection.
const BUFFER: usize = 2 << 10;
/// Bytes of the line that tells the time left, at most.
const TIMEOUT_LINE: usize = 40;

/// How connections are made and answers awaited.
pub(crate) struct UpstreamConfig {
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// A connection has to be open within this time; so has an answer, once begun, to come whole.
    pub(crate) connect_timeout: Duration,
    pub(crate) send_latency: SendLatency,
}

/// The connection that a delivery goes out on.
pub(crate) enum Route {
    /// One that has rested.
    Idle(Rested),
    /// A new one, under this permit.
    New(OwnedSemaphorePermit),
}

/// One delivery on its way.
pub(crate) struct Attempt {
    pub(crate) config: Arc<UpstreamConfig>,
    pub(crate) host: HostId,
    pub(crate) delivery: u64,
    pub(crate) address: SocketAddr,
    /// The request but for the time left, which goes in after its first line.
    pub(crate) request: Bytes,
    /// The router waits for the answer until then.
    pub(crate) until: Instant,
    /// Its last byte must have left by then, or nothing of it may.
    pub(crate) leave_by: Instant,
    /// Taken when the request is sent.
    pub(crate) route: Option<Route>,
    /// Microseconds that the connection has rested; `None` for a new one.
    pub(crate) rested: Option<u64>,
    /// Ends the delivery as long as its last byte has not left: the host drains, or is another process.
    pub(crate) cancelled: oneshot::Receiver<()>,
}

/// The request with the time that is left of it now.
fn with_time_left(request: &[u8], until: Instant) -> Bytes {
    let left = until.saturating_duration_since(Instant::now());
    let left_us = left.as_micros().max(1);
    let line_end = request.windows(2).position(|pair| pair == b"\r\n");
    let first_line = line_end.map_or(0, |at| at + 2);
    let mut bytes = BytesMut::with_capacity(request.len() + TIMEOUT_LINE);
    bytes.put_slice(&request[..first_line]);
    bytes.put_slice(format!("Request-Timeout: {left_us}u\r\n").as_bytes());
    bytes.put_slice(&request[first_line..]);
    bytes.freeze()
}

/// Why a request could not be sent whole: it has not run.
#[derive(Debug, Error)]
enum SendError {
    #[error("no permit")]
    NoPermit,
    #[error("not in time")]
    ConnectTimeout,
    #[error("refused")]
    Refused(#[source] io::Error),
    #[error("broken before the request had left")]
    Broken(#[source] io::Error),
}

/// Opens a connection and writes the request whole.
async fn send_on_new(
    address: SocketAddr,
    within: Duration,
    permit: OwnedSemaphorePermit,
    request: &[u8],
    until: Instant,
) -> Result<Connection, SendError> {
    let opening = timeout(within, TcpStream::connect(address)).await;
    let opened = opening.map_err(|_| SendError::ConnectTimeout)?;
    let mut stream = opened.map_err(SendError::Refused)?;
    let _ = stream.set_nodelay(true);
    // Closing takes back what has not left: a delivery that is given up must not arrive later.
    let _ = stream.set_zero_linger();
    let bytes = with_time_left(request, until);
    stream.write_all(&bytes).await.map_err(SendError::Broken)?;
    Ok(Connection { stream, permit })
}

/// What an answer comes to.
#[derive(Debug)]
enum Outcome {
    Message(FromHost),
    Lost(TransportFailure),
}

impl Outcome {
    /// Whether the connection broke; `None` where nothing is known of it.
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

    /// For log lines, which follow a command from router to host by its id and hold no bodies.
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

/// How a delivery has ended.
struct DeliveryEnd {
    outcome: Outcome,
    /// The connection, where it can be used again.
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

impl Attempt {
    /// The client's `Request-Id`, as it is in the request's head.
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
        let rested = self.rested;
        debug!(id = self.id(), %address, delivery = self.delivery, rested, took_us, end = outcome.name(), "delivery ended");
        let connection_use = outcome.broke().map(|broke| ConnectionUse { rested, broke });
        let event = EngineEvent::DeliveryEnded {
            host: self.host,
            delivery: self.delivery,
            input: outcome.into_input(self.host, self.delivery),
            connection: end.connection,
            connection_use,
        };
        let _ = self.config.events.send(event).await;
    }

    /// Writes the request whole, on an idle connection or on a new one. Nothing has run where it cannot.
    ///
    /// Guards against connections that come up late: what was true of the command when the module called may be so no
    /// longer, so the time left is that of the writing, and what is past its time or has been recalled never leaves.
    async fn send(&mut self) -> Result<Connection, TransportFailure> {
        let route = self.route.take();
        let leave_by = self.leave_by;
        let address = self.address;
        let within = self.config.connect_timeout;
        let request = &self.request;
        let until = self.until;
        let rested = &mut self.rested;
        let sending = async move {
            let permit = match route {
                None => return Err(SendError::NoPermit),
                Some(Route::New(permit)) => permit,
                Some(Route::Idle(idle)) => {
                    let mut connection = idle.connection;
                    // Looked at again, since this task may have waited for its turn: what came meanwhile is nobody's.
                    if connection.is_quiet() {
                        let bytes = with_time_left(request, until);
                        if connection.stream.write_all(&bytes).await.is_ok() {
                            return Ok(connection);
                        }
                    }
                    *rested = None;
                    // It was closed meanwhile and not a whole request has left on it: a new one is no repeat.
                    connection.permit
                }
            };
            send_on_new(address, within, permit, request, until).await
        };
        tokio::select! {
            biased;
            _ = &mut self.cancelled => Err(TransportFailure::NotSent),
            _ = sleep_until(leave_by) => Err(TransportFailure::NotSent),
            sent = sending => sent.map_err(|error| {
                if let Some(kept_back) = self.config.clock.allow_log_line() {
                    info!(host = self.host.0, %address, kept_back, %error, "host not connected");
                }
                TransportFailure::NotConnected
            }),
        }
    }

    /// Reads the answer; the connection comes back where it can be used again.
    async fn answer(&self, mut connection: Connection) -> DeliveryEnd {
        let mut buffer = BytesMut::with_capacity(BUFFER);
        match self.read(&mut connection.stream, &mut buffer).await {
            Ok(answer) => {
                // What is behind an answer belongs to nobody; more may follow it, so the connection goes.
                let reusable = answer.stays_open && buffer.is_empty();
                if !buffer.is_empty() {
                    let bytes = buffer.len();
                    debug!(host = self.host.0, bytes, "more than the answer has come");
                }
                DeliveryEnd {
                    outcome: Outcome::Message(answer.message),
                    connection: Some(connection).filter(|_| reusable),
                }
            }
            Err(HttpError::Io(_) | HttpError::Truncated) => {
                DeliveryEnd::lost(TransportFailure::Reset)
            }
            Err(error) => {
                if let Some(kept_back) = self.config.clock.allow_log_line() {
                    info!(host = self.host.0, kept_back, %error, "answer cannot be read");
                }
                // It may have run and is waited for no longer. No error: a good answer may have been written, which
                // binds its key, and any host's may come spoilt, which is no sign of a build that fails.
                DeliveryEnd::lost(TransportFailure::Unresponsive)
            }
        }
    }

    async fn read(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<HostAnswer, HttpError> {
        let mut codec = ResponseCodec::new(BODY_LIMIT as u64);
        let mut head = AnswerHead::default();
        let mut body = BytesMut::new();
        loop {
            while let Some(part) = codec.decode(buffer)? {
                match part {
                    ResponsePart::Head { status, fields } => {
                        let not_started = fields.single("not-started");
                        head = AnswerHead {
                            status,
                            not_started: not_started.is_some_and(|value| value.as_ref() == b"1"),
                            stays_open: !fields.has_token("connection", "close"),
                        };
                    }
                    ResponsePart::Data(data) => body.extend_from_slice(&data),
                    ResponsePart::End => return Ok(self.host_answer(head, body)),
                }
            }
            buffer.reserve(BUFFER);
            let has_begun = codec.is_mid_message() || !buffer.is_empty();
            let reading = stream.read_buf(buffer);
            let read = if has_begun {
                // An answer that stops half way would hold its command until nobody waits for it.
                timeout(self.config.connect_timeout, reading)
                    .await
                    .map_err(|_| HttpError::Unreadable("an answer that does not go on"))??
            } else {
                reading.await?
            };
            if read == 0 {
                head.stays_open = false;
                return match codec.decode_eof(buffer)? {
                    Some(ResponsePart::End) => Ok(self.host_answer(head, body)),
                    _ => Err(HttpError::Truncated),
                };
            }
        }
    }

    fn host_answer(&self, head: AnswerHead, body: BytesMut) -> HostAnswer {
        let delivery = self.delivery;
        let message = match head.status {
            200 => FromHost::Acked {
                delivery,
                body: body.freeze(),
            },
            503 | 504 if head.not_started => FromHost::Full { delivery },
            _ => FromHost::Error { delivery },
        };
        HostAnswer {
            message,
            stays_open: head.stays_open,
        }
    }
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug)]
struct AnswerHead {
    status: u16,
    /// The host has not begun the command.
    not_started: bool,
    /// The connection can be used again.
    stays_open: bool,
}

impl Default for AnswerHead {
    fn default() -> Self {
        AnswerHead {
            status: 0,
            not_started: false,
            stays_open: true,
        }
    }
}

/// A whole answer.
struct HostAnswer {
    message: FromHost,
    stays_open: bool,
}
