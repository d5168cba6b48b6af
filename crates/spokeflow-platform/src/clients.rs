//! Connections that clients make: one request at a time on each, read whole, checked, and handed to the engine's
//! task; what cannot be a command is turned away here and reaches nothing else.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use spokeflow_core::Repeat;
use spokeflow_http::{write_response, HttpError, Request, Response, ServerCodec, HEAD_LIMIT};
use spokeflow_proto::{Command, ToClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::codec::Decoder;
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::arrival::Arrival;
use crate::hosts::{waits, Waits};
use spokeflow_runtime::Clock;

/// Bytes of a body at most, as the platform says.
pub const BODY_LIMIT: usize = 64 << 10;
/// A connection that has said nothing whole for so long is closed: "a connection with no open request may be closed after
/// 2 s" (days in service).
const SILENT: Duration = Duration::from_secs(2);
/// A connection that had its answers and is used no more is closed, if room has not been wanted before: by the same term
/// it might be after 2 s, and a client that comes back finds it standing for longer.
const UNUSED: Duration = Duration::from_secs(15);
/// A client that has not taken its answer whole by then is closed. Guards the descriptors; no term names a time.
const STALL: Duration = Duration::from_secs(5);
/// A first request that began within the time of silence gets so much more to come whole, at the least.
const BEGUN: Duration = Duration::from_millis(500);
/// For so long what a refused client still sends is read and dropped, so that it gets to read why.
const LINGER: Duration = Duration::from_millis(100);
/// Bytes kept ready for each direction of a connection.
const ROOM: usize = 2 << 10;
/// Bytes read ahead beside an open command: one more request.
const AHEAD: usize = BODY_LIMIT + HEAD_LIMIT;
/// Bytes that the system keeps for a client that sends faster than it is read.
const SYSTEM_QUEUE: u32 = 64 << 10;

/// What a request is checked against, and how it is worded for the module.
pub struct Desk {
    pub ops: HashMap<Bytes, (u16, Repeat)>,
    pub customers: HashMap<Bytes, u32>,
}

/// What the front and the clients are told without the engine.
pub struct House {
    pub desk: Desk,
    pub clock: Arc<Clock>,
    pub core: mpsc::Sender<Arrival>,
    /// Whether commands can be served.
    pub up: AtomicBool,
    /// Set from the moment on from which idle connections are closed for good.
    pub leaving: watch::Receiver<bool>,
}

/// In the order in which connections are asked to go where room is wanted; one with an open command never is.
const FRESH: u8 = 0;
const IDLE: u8 = 1;
/// A part of a request has come.
const BEGUN_ONE: u8 = 2;
const BUSY: u8 = 3;

/// How one connection stands, for the choice of one to close when room is wanted.
struct Seat {
    standing: AtomicU8,
    since: AtomicI64,
    asked_to_leave: Notify,
}

impl Seat {
    fn stands(&self, standing: u8, clock: &Clock) {
        self.standing.store(standing, Ordering::Relaxed);
        self.since.store(clock.now(), Ordering::Relaxed);
    }
}

pub struct Accepting {
    pub listener: TcpListener,
    pub house: Arc<House>,
    /// Connections at most; for one more, one that has no open command is closed.
    pub places: usize,
    pub clients: TaskTracker,
}

impl Accepting {
    pub async fn run(self) {
        let mut seats: Vec<Arc<Seat>> = Vec::new();
        let mut conn = 0;
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Out of descriptors, most likely: trying at once again would only spin.
                    warn!(%e, "cannot accept");
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            while seats.len() >= self.places {
                seats.retain(|seat| Arc::strong_count(seat) > 1);
                if seats.len() >= self.places {
                    make_room(&mut seats);
                    // Whoever left has to be scheduled to go.
                    sleep(Duration::from_millis(1)).await;
                }
            }
            conn += 1;
            let seat = Arc::new(Seat {
                standing: AtomicU8::new(FRESH),
                since: AtomicI64::new(self.house.clock.now()),
                asked_to_leave: Notify::new(),
            });
            seats.push(seat.clone());
            self.clients.spawn(
                Client {
                    conn,
                    house: self.house.clone(),
                    seat,
                }
                .run(stream),
            );
        }
    }
}

/// Asks one connection to go: the one that has longest said nothing since it came, else the one longest unused.
fn make_room(seats: &mut [Arc<Seat>]) {
    let standing = |seat: &Arc<Seat>| seat.standing.load(Ordering::Relaxed);
    let free = seats.iter().filter(|seat| standing(seat) != BUSY);
    if let Some(seat) = free.min_by_key(|seat| (standing(seat), seat.since.load(Ordering::Relaxed)))
    {
        seat.asked_to_leave.notify_one();
    }
}

struct Client {
    conn: u64,
    house: Arc<House>,
    seat: Arc<Seat>,
}

/// A connection: what it sends is read here alone, so that nothing is dropped that has been read.
struct Link {
    stream: TcpStream,
    buf: BytesMut,
    codec: ServerCodec,
}

/// What has come on a connection.
enum Came {
    Request(Request),
    /// A part of one, or nothing but what may stand between requests.
    Part,
    End,
}

impl Link {
    /// Whether a request has begun and is not whole. Empty lines between two begin none (RFC 9112, 2.2).
    fn begun(&self) -> bool {
        self.codec.is_mid_message() || self.buf.iter().any(|b| !b"\r\n".contains(b))
    }

    /// One more reading. Dropped half way it has read nothing.
    async fn come(&mut self) -> Result<Came, HttpError> {
        if let Some(request) = self.codec.decode(&mut self.buf)? {
            return Ok(Came::Request(request));
        }
        self.buf.reserve(ROOM);
        if self.stream.read_buf(&mut self.buf).await? == 0 {
            return Ok(self
                .codec
                .decode_eof(&mut self.buf)?
                .map_or(Came::End, Came::Request));
        }
        Ok(self
            .codec
            .decode(&mut self.buf)?
            .map_or(Came::Part, Came::Request))
    }

    /// Ends once the client has closed. What it sends meanwhile is kept for after the answer.
    async fn closed(&mut self) {
        while self.buf.len() < AHEAD {
            self.buf.reserve(ROOM);
            if !matches!(self.stream.read_buf(&mut self.buf).await, Ok(n) if n > 0) {
                return;
            }
        }
        // More than a request ahead is no usual client; the rest waits with it.
        std::future::pending().await
    }

    async fn send(&mut self, answer: &Response) -> Result<(), HttpError> {
        let mut bytes = BytesMut::new();
        write_response(answer, &mut bytes);
        Ok(timeout(STALL, self.stream.write_all(&bytes))
            .await
            .map_err(|_| HttpError::Truncated)??)
    }

    /// Ends a connection whose client has had its answer. What comes now has crossed it and is not read: its client
    /// sees that and sends it again.
    async fn depart(&mut self) {
        let leaving = async {
            self.stream.shutdown().await?;
            self.stream.readable().await
        };
        let _ = timeout(LINGER, leaving).await;
    }
}

/// What one request comes to before the engine.
enum Checked {
    Command { id: Bytes, command: Command },
    Answer(Response),
}

impl Client {
    async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let buf = BytesMut::with_capacity(ROOM);
        let mut link = Link {
            stream,
            buf,
            codec: ServerCodec::new(BODY_LIMIT),
        };
        let mut asked = false;
        if let Err(fault) = self.serve(&mut link, &mut asked).await {
            if let Some(kept_back) = self.house.clock.allow_log_line() {
                info!(conn = self.conn, kept_back, %fault, "client refused");
            }
            if let Some(status) = fault.status() {
                self.seat.stands(FRESH, &self.house.clock);
                let refusal = Response {
                    status,
                    close: true,
                    ..Response::default()
                };
                let _ = timeout(LINGER, link.send(&refusal)).await;
                linger(&mut link.stream).await;
            }
        }
        if asked {
            let _ = self.house.core.send(Arrival::ClientGone(self.conn)).await;
        }
    }

    /// The next request; `None` where the connection is to be closed between two, which it is only when nothing of
    /// the next one has come: that would be a request taken and never answered.
    async fn request(&self, link: &mut Link, spoke: bool) -> Result<Option<Request>, HttpError> {
        let clock = &self.house.clock;
        let mut leaving = self.house.leaving.clone();
        let mut until = Instant::now() + if spoke { UNUSED } else { SILENT };
        // Something of a request has come, maybe only as far as the system.
        let (mut begun, mut told) = (false, false);
        self.seat.stands(if spoke { IDLE } else { FRESH }, clock);
        loop {
            if !begun && link.begun() {
                begun = true;
                until = if spoke {
                    Instant::now() + SILENT
                } else {
                    until.max(Instant::now() + BEGUN)
                };
                self.seat.stands(BEGUN_ONE, clock);
            }
            tokio::select! {
                biased;
                came = link.come() => match came? {
                    Came::Request(request) => return Ok(Some(request)),
                    Came::Part => continue,
                    Came::End => return Ok(None),
                },
                _ = self.seat.asked_to_leave.notified() => {
                    if link.begun() {
                        return Err(HttpError::Overloaded);
                    }
                }
                _ = async { leaving.wait_for(|l| *l).await.is_ok() }, if !begun && !told => {
                    told = true;
                    if !spoke {
                        // Whoever has just connected is about to ask.
                        until = until.min(Instant::now() + LINGER);
                        continue;
                    }
                }
                _ = sleep_until(until) => {
                    if link.begun() {
                        return Err(HttpError::Unreadable("it does not go on"));
                    }
                }
            }
            if waits(&link.stream) != Waits::Bytes {
                return Ok(None);
            }
            // It has crossed the closing: the runtime has not heard of it yet.
            begun = true;
            until = Instant::now() + BEGUN;
        }
    }

    /// `asked`: whether the engine knows this connection.
    async fn serve(&self, link: &mut Link, asked: &mut bool) -> Result<(), HttpError> {
        let mut n = 0;
        while let Some(request) = self.request(link, n > 0).await? {
            let stays = request.keep_alive;
            let mut answer = match self.check(request) {
                Checked::Answer(answer) => answer,
                Checked::Command { id, mut command } => {
                    *asked = true;
                    self.seat.stands(BUSY, &self.house.clock);
                    n += 1;
                    command.id = n;
                    let (tell, mut told) = oneshot::channel();
                    let arrival = Arrival::Command {
                        conn: self.conn,
                        id,
                        command,
                        answer: tell,
                    };
                    if self.house.core.send(arrival).await.is_err() {
                        return Ok(());
                    }
                    let message = tokio::select! {
                        biased;
                        message = &mut told => message,
                        // Whoever closes has gone away and waits for nothing.
                        _ = link.closed() => return Ok(()),
                    };
                    match message {
                        Ok(message) => worded(message),
                        Err(_) => Response {
                            status: 500,
                            ..Response::default()
                        },
                    }
                }
            };
            // One that has already sent its next request gets an answer to that as well.
            let more = || link.begun() || waits(&link.stream) == Waits::Bytes;
            answer.close |= !stays || self.house.clock.is_shutting_down() && !more();
            link.send(&answer).await?;
            if answer.close {
                link.depart().await;
                return Ok(());
            }
        }
        Ok(())
    }

    /// What is no command of this deployment is told so, and its connection ends with that.
    fn check(&self, request: Request) -> Checked {
        let no = |status| {
            Checked::Answer(Response {
                status,
                close: true,
                ..Response::default()
            })
        };
        if request.target.as_ref() == b"/up" {
            let up = self.house.up.load(Ordering::Relaxed) && !self.house.clock.is_shutting_down();
            return Checked::Answer(Response {
                status: if up { 200 } else { 503 },
                ..Response::default()
            });
        }
        let word = |name| request.fields.single(name).filter(|v| !v.is_empty());
        let (Some(id), Some(op), Some(customer), Some(left)) = (
            word("request-id"),
            word("request-class"),
            word("tenant"),
            word("request-timeout"),
        ) else {
            return no(400);
        };
        let (Some(&(op_type, repeat)), Some(&share), Some(left_us)) = (
            self.house.desk.ops.get(op),
            self.house.desk.customers.get(customer),
            patience(left),
        ) else {
            return no(400);
        };
        let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-_.:".contains(b);
        if id.len() > 64 || !id.iter().all(plain) {
            return no(400);
        }
        // What may run again is asked by GET and has no body; what must not, by POST.
        let method: &[u8] = if repeat == Repeat::Idempotent {
            b"GET"
        } else {
            b"POST"
        };
        if request.method != method {
            return no(405);
        }
        if repeat == Repeat::Idempotent && !request.body.is_empty() {
            return no(400);
        }
        let path = request
            .target
            .split(|b| *b == b'?')
            .next()
            .unwrap_or_default();
        let mut parts = path
            .strip_prefix(b"/")
            .unwrap_or(b"")
            .splitn(2, |b| *b == b'/');
        if parts.next() != Some(op.as_ref()) {
            return no(404);
        }
        // A host that drops repeats knows them by this key; without it the request is not what its client sent.
        let plain_key =
            |key: &&Bytes| key.len() <= 256 && key.iter().all(|b| (0x21..0x7f).contains(b));
        let repeat_key = word("idempotency-key").filter(plain_key);
        let deduplicated = repeat == Repeat::Deduplicated;
        if deduplicated && repeat_key.is_none() {
            return no(400);
        }
        let key = parts
            .next()
            .and_then(|rest| rest.rsplit(|b| *b == b'/').next())
            .unwrap_or_default();
        let command = Command {
            id: 0,
            op: op_type,
            tenant: share,
            key: if key.is_empty() { 0 } else { key_of(key) },
            idempotency_key: 0,
            left_us,
            body: forwarded(
                &request,
                id,
                op,
                customer,
                repeat_key.filter(|_| deduplicated),
            ),
        };
        Checked::Command {
            id: id.clone(),
            command,
        }
    }
}

/// Reads and drops for a short time what a client still sends, so that the answer is not taken back by a reset.
async fn linger(stream: &mut TcpStream) {
    let _ = timeout(LINGER, async {
        stream.shutdown().await?;
        let mut rest = [0; 4096];
        for _ in 0..32 {
            if stream.read(&mut rest).await? == 0 {
                break;
            }
        }
        std::io::Result::Ok(())
    })
    .await;
}

fn worded(message: ToClient) -> Response {
    match message {
        ToClient::Acked { body, .. } => Response {
            status: 200,
            body,
            ..Response::default()
        },
        ToClient::Nacked {
            retry_after_us: come_back_us,
            ..
        } => Response {
            status: 503,
            retry_after: come_back_us.map(|us| us as f64 / 1e6),
            ..Response::default()
        },
        ToClient::Refused(refused) => {
            debug!(refused.text, "command refused");
            Response {
                status: 409,
                close: true,
                ..Response::default()
            }
        }
        _ => Response {
            status: 502,
            ..Response::default()
        },
    }
}

/// `480m` milliseconds or `480u` microseconds.
fn patience(text: &Bytes) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let digits = !number.is_empty()
        && number.len() <= 12
        && number.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    let number: f64 = std::str::from_utf8(number)
        .ok()
        .filter(|_| digits)?
        .parse()
        .ok()?;
    let us = match unit {
        b"m" => number * 1e3,
        b"u" => number,
        _ => return None,
    };
    (us >= 1.0).then_some(us as u64)
}

/// FNV-1a, 64 bits: the same key, the same number at every router. Never 0, which says that there is none.
fn key_of(key: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    key.iter().fold(0xcbf2_9ce4_8422_2325, step).max(1)
}

/// The request as hosts get it, but for the time left, which stands after the first line and is not known before
/// it is sent.
fn forwarded(
    request: &Request,
    id: &[u8],
    op: &[u8],
    customer: &[u8],
    repeat_key: Option<&Bytes>,
) -> Bytes {
    let mut to = BytesMut::with_capacity(192 + request.target.len() + request.body.len());
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| to.put_slice(part));
    put(&[&request.method, b" ", &request.target, b" HTTP/1.1\r\n"]);
    let host = request
        .fields
        .single("host")
        .map_or(&b"origin.svc"[..], |h| h);
    put(&[
        b"Host: ",
        host,
        b"\r\nRequest-Id: ",
        id,
        b"\r\nRequest-Class: ",
        op,
    ]);
    put(&[b"\r\nTenant: ", customer, b"\r\n"]);
    if let Some(key) = repeat_key {
        put(&[b"Idempotency-Key: ", key, b"\r\n"]);
    }
    if request.method != b"GET"[..] {
        put(&[
            b"Content-Length: ",
            request.body.len().to_string().as_bytes(),
            b"\r\n",
        ]);
    }
    put(&[b"\r\n", &request.body]);
    to.freeze()
}

/// Listens with little room for what is not read, so that what clients send at full speed waits with them.
pub fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        tokio::net::TcpSocket::new_v4()?
    } else {
        tokio::net::TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(SYSTEM_QUEUE)?;
    socket.bind(address)?;
    socket.listen(1024)
}
