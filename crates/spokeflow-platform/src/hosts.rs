//! Deliveries to hosts: one task for each, on a connection that carries nothing else meanwhile. A delivery counts as
//! sent from the moment the system has taken its last byte; all that fails before proves that it never ran.

use std::collections::VecDeque;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use socket2::SockRef;
use spokeflow_core::HostId;
use spokeflow_engine::{Input, TransportFailure};
use spokeflow_http::{HttpError, ResponseCodec, ResponsePart};
use spokeflow_proto::FromHost;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::Decoder;
use tracing::{debug, info};

use crate::arrival::Arrival;
use crate::clients::BODY_LIMIT;
use crate::reuse::Reuse;
use spokeflow_runtime::Clock;

/// Bytes kept ready for what comes back on a connection.
const ROOM: usize = 2 << 10;
/// "A second answer may come some milliseconds late" (standing test): a connection carries nothing for so long after an
/// answer, or what comes late would be read as the answer to the next request on it. Seen on the bench: 1 to 4 ms.
pub const SETTLES: Duration = Duration::from_millis(20);

/// What the system holds unread for a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Waits {
    Nothing,
    Bytes,
    /// The peer has ended it, or it broke.
    End,
}

/// Looks without reading.
pub fn waits(stream: &TcpStream) -> Waits {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => Waits::End,
        Ok(_) => Waits::Bytes,
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Waits::Nothing,
        Err(_) => Waits::End,
    }
}

/// A connection to a host, with its place among those that the descriptors allow.
pub struct Connection {
    stream: TcpStream,
    _place: OwnedSemaphorePermit,
}

impl Connection {
    /// Whether nothing has come since its last answer, and no end: what has come belongs to no command. Asks the
    /// system: the runtime knows only what it had heard when it last waited.
    fn is_quiet(&self) -> bool {
        waits(&self.stream) == Waits::Nothing
    }
}

/// Connections of one host that carry nothing, the longest unused first.
#[derive(Default)]
pub struct Unused(VecDeque<(Instant, Connection)>);

impl Unused {
    pub fn keep(&mut self, connection: Connection) {
        self.0.push_back((Instant::now(), connection));
    }

    /// The one used last that has settled and still stands, if so short a rest is allowed; what has rested longer
    /// goes with it.
    pub fn take(&mut self, reuse: &Reuse) -> Option<(u64, Connection)> {
        let mut settled = self
            .0
            .partition_point(|(since, _)| since.elapsed() >= SETTLES);
        while settled > 0 {
            settled -= 1;
            let (since, connection) = self.0.remove(settled)?;
            let rested = since.elapsed().as_micros() as u64;
            if !reuse.allows(rested) {
                self.0.drain(..settled);
                return None;
            }
            if connection.is_quiet() {
                return Some((rested, connection));
            }
        }
        None
    }

    /// Closes those unused for longer than `most`; each look ends at the first that is not.
    pub fn expire(&mut self, most: Duration) {
        while self
            .0
            .front()
            .is_some_and(|(since, _)| since.elapsed() > most)
        {
            self.0.pop_front();
        }
    }

    pub fn oldest(&self) -> Option<Instant> {
        self.0.front().map(|(since, _)| *since)
    }

    pub fn drop_oldest(&mut self) {
        self.0.pop_front();
    }

    pub fn count(&self) -> usize {
        self.0.len()
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// How connections are made and answers awaited.
pub struct Ways {
    pub clock: Arc<Clock>,
    pub core: mpsc::Sender<Arrival>,
    /// A connection has to stand within this time; so has an answer, once begun, to come whole.
    pub connect_timeout: Duration,
    pub leaving: Leaving,
}

/// How long deliveries took from the module's call until their last byte had left, since last looked at.
#[derive(Default)]
pub struct Leaving {
    count: AtomicU64,
    micros: AtomicU64,
    most: AtomicU64,
}

impl Leaving {
    fn note(&self, took: Duration) {
        let micros = took.as_micros() as u64;
        self.count.fetch_add(1, Ordering::Relaxed);
        self.micros.fetch_add(micros, Ordering::Relaxed);
        self.most.fetch_max(micros, Ordering::Relaxed);
    }

    /// Deliveries, their mean and the longest, in microseconds.
    pub fn look(&self) -> (u64, u64, u64) {
        let [count, micros, most] =
            [&self.count, &self.micros, &self.most].map(|n| n.swap(0, Ordering::Relaxed));
        (count, micros / count.max(1), most)
    }
}

/// One delivery on its way.
pub struct Attempt {
    pub ways: Arc<Ways>,
    pub host: HostId,
    pub delivery: u64,
    pub address: SocketAddr,
    /// The request but for the time left, which goes in after its first line.
    pub request: Bytes,
    /// The router waits for the answer until then.
    pub until: Instant,
    /// Its last byte must have left by then, or nothing of it may.
    pub leave_by: Instant,
    pub unused: Option<Connection>,
    /// Microseconds that it has rested.
    pub rested: Option<u64>,
    pub place: Option<OwnedSemaphorePermit>,
    /// Ends the delivery as long as its last byte has not left: the host drains, or is another process.
    pub halt: oneshot::Receiver<()>,
}

/// The request with the time that is left of it now.
fn written(request: &[u8], until: Instant) -> Bytes {
    let left_us = until
        .saturating_duration_since(Instant::now())
        .as_micros()
        .max(1);
    let line = request
        .windows(2)
        .position(|w| w == b"\r\n")
        .map_or(0, |at| at + 2);
    let mut bytes = BytesMut::with_capacity(request.len() + 40);
    bytes.put_slice(&request[..line]);
    bytes.put_slice(format!("Request-Timeout: {left_us}u\r\n").as_bytes());
    bytes.put_slice(&request[line..]);
    bytes.freeze()
}

/// What an answer comes to.
#[derive(Debug)]
enum Outcome {
    Message(FromHost),
    Lost(TransportFailure),
}

impl Outcome {
    /// For log lines, which follow a command from router to host by its id and hold no bodies.
    fn word(&self) -> &'static str {
        match self {
            Outcome::Message(FromHost::Acked { .. }) => "Acked",
            Outcome::Message(FromHost::Full { .. }) => "Full",
            Outcome::Message(_) => "Error",
            Outcome::Lost(TransportFailure::Reset) => "Reset",
            Outcome::Lost(TransportFailure::Unresponsive) => "Silent",
            Outcome::Lost(TransportFailure::NotConnected) => "NotConnected",
            Outcome::Lost(_) => "NotSent",
        }
    }
}

impl Attempt {
    /// The client's `Request-Id`, as `forwarded` has written it.
    pub fn id(&self) -> &str {
        const FIELD: &[u8] = b"\r\nRequest-Id: ";
        let from = self
            .request
            .windows(FIELD.len())
            .position(|w| w == FIELD)
            .map(|at| at + FIELD.len());
        let rest = from.map_or(&[][..], |at| &self.request[at..]);
        let end = rest.iter().position(|b| *b == b'\r').unwrap_or(0);
        std::str::from_utf8(&rest[..end]).unwrap_or_default()
    }

    pub async fn run(mut self) {
        let (ways, host, delivery) = (self.ways.clone(), self.host, self.delivery);
        let called = Instant::now();
        let (outcome, connection) = match self.send().await {
            Ok(connection) => {
                ways.leaving.note(called.elapsed());
                self.answer(connection).await
            }
            Err(end) => (Outcome::Lost(end), None),
        };
        let (took_us, address) = (called.elapsed().as_micros() as u64, self.address);
        debug!(id = self.id(), %address, delivery, rested = self.rested, took_us, end = outcome.word(), "delivery ended");
        let broke = match outcome {
            Outcome::Message(_) => Some(false),
            Outcome::Lost(TransportFailure::Reset) => Some(true),
            Outcome::Lost(_) => None,
        };
        let input = match outcome {
            Outcome::Message(message) => Input::FromHost {
                host: host.0,
                message,
            },
            Outcome::Lost(end) => Input::DeliveryFailed {
                host: host.0,
                delivery,
                failure: end,
            },
        };
        let _ = ways
            .core
            .send(Arrival::Delivered {
                host,
                delivery,
                input,
                connection,
                broke: broke.map(|broke| (self.rested, broke)),
            })
            .await;
    }

    /// Writes the request whole, on an unused connection or on a new one. Nothing has run where it cannot.
    ///
    /// Guards against connections that come up late: what was true of the command when the module called may be so no
    /// longer, so the time left is told as of the writing, and what is past its time or has been recalled never leaves.
    async fn send(&mut self) -> Result<Connection, TransportFailure> {
        let (unused, place) = (self.unused.take(), self.place.take());
        let (address, within, leave_by) = (self.address, self.ways.connect_timeout, self.leave_by);
        let (request, until, rested) = (&self.request, self.until, &mut self.rested);
        let sending = async move {
            let mut place = place;
            // Looked at again, since this task may have waited for its turn: what came meanwhile is nobody's.
            if let Some(mut connection) = unused {
                if connection.is_quiet()
                    && connection
                        .stream
                        .write_all(&written(request, until))
                        .await
                        .is_ok()
                {
                    return Ok(connection);
                }
                *rested = None;
                // It was closed meanwhile and not a whole request has left on it: a new one is no repeat.
                place = Some(connection._place);
            }
            let place = place.ok_or("no place")?;
            let opening = timeout(within, TcpStream::connect(address)).await;
            let mut stream = opening.map_err(|_| "not in time")?.map_err(|_| "refused")?;
            let _ = stream.set_nodelay(true);
            // Closing takes back what has not left: a delivery that is given up must not arrive later.
            let _ = stream.set_zero_linger();
            let bytes = written(request, until);
            stream
                .write_all(&bytes)
                .await
                .map_err(|_| "broken before the request had left")?;
            Ok::<_, &str>(Connection {
                stream,
                _place: place,
            })
        };
        tokio::select! {
            biased;
            _ = &mut self.halt => Err(TransportFailure::NotSent),
            _ = sleep_until(leave_by) => Err(TransportFailure::NotSent),
            sent = sending => sent.map_err(|fault| {
                if let Some(kept_back) = self.ways.clock.allow_log_line() {
                    info!(host = self.host.0, %address, kept_back, fault, "host not connected");
                }
                TransportFailure::NotConnected
            }),
        }
    }

    /// Reads the answer; the connection comes back where it can be used again.
    async fn answer(&self, mut connection: Connection) -> (Outcome, Option<Connection>) {
        let mut buf = BytesMut::with_capacity(ROOM);
        match self.read(&mut connection.stream, &mut buf).await {
            Ok((message, stays)) => {
                // What is behind an answer belongs to nobody; more may follow it, so the connection goes.
                let clean = stays && buf.is_empty();
                if !buf.is_empty() {
                    debug!(
                        host = self.host.0,
                        bytes = buf.len(),
                        "more than the answer has come"
                    );
                }
                (
                    Outcome::Message(message),
                    Some(connection).filter(|_| clean),
                )
            }
            Err(HttpError::Io(_) | HttpError::Truncated) => {
                (Outcome::Lost(TransportFailure::Reset), None)
            }
            Err(fault) => {
                if let Some(kept_back) = self.ways.clock.allow_log_line() {
                    info!(host = self.host.0, kept_back, %fault, "answer cannot be read");
                }
                // It may have run and is waited for no longer. No error: a good answer may have been written, which
                // binds its key, and any host's may come spoilt, which is no sign of a build that fails.
                (Outcome::Lost(TransportFailure::Unresponsive), None)
            }
        }
    }

    async fn read(
        &self,
        stream: &mut TcpStream,
        buf: &mut BytesMut,
    ) -> Result<(FromHost, bool), HttpError> {
        let mut codec = ResponseCodec::new(BODY_LIMIT as u64);
        let (mut status, mut not_started, mut stays) = (0, false, true);
        let mut body = BytesMut::new();
        loop {
            while let Some(part) = codec.decode(buf)? {
                match part {
                    ResponsePart::Head {
                        status: code,
                        fields,
                    } => {
                        status = code;
                        not_started = fields
                            .single("not-started")
                            .is_some_and(|v| v.as_ref() == b"1");
                        stays = !fields.has_token("connection", "close");
                    }
                    ResponsePart::Data(data) => body.extend_from_slice(&data),
                    ResponsePart::End => {
                        return Ok((self.message(status, not_started, body), stays))
                    }
                }
            }
            buf.reserve(ROOM);
            let begun = codec.is_mid_message() || !buf.is_empty();
            let reading = stream.read_buf(buf);
            let read = match begun {
                false => reading.await?,
                // An answer that stops half way would hold its command until nobody waits for it.
                true => timeout(self.ways.connect_timeout, reading)
                    .await
                    .map_err(|_| HttpError::Unreadable("an answer that does not go on"))??,
            };
            if read == 0 {
                return match codec.decode_eof(buf)? {
                    Some(ResponsePart::End) => Ok((self.message(status, not_started, body), false)),
                    _ => Err(HttpError::Truncated),
                };
            }
        }
    }

    fn message(&self, status: u16, not_started: bool, body: BytesMut) -> FromHost {
        let delivery = self.delivery;
        match status {
            200 => FromHost::Acked {
                delivery,
                body: body.freeze(),
            },
            503 | 504 if not_started => FromHost::Full { delivery },
            _ => FromHost::Error { delivery },
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/hosts.rs"]
mod tests;
