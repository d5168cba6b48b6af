//! The clients of a load: each sends its part of an open loop of commands, and measures the latency of each command from
//! when it was due.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use spokeflow_proto::*;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};
use tokio_util::codec::Framed;

use super::LoadError;
use crate::locked;

pub(super) const WELCOME_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without an answer after which a client stops reading: longer than the timeout of a command.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
const COMMAND_TIMEOUT_US: u64 = 4_000_000;
/// Number of sticky keys that the commands use.
const KEYS: u64 = 5000;
/// Body size of the commands of clients that read.
const BODY_BYTES: usize = 64;
/// Body size of the commands of the client that never reads.
const STALLED_BODY_BYTES: usize = 60_000;
/// Small, since many client connections are open and idle.
const READ_BUFFER_BYTES: usize = 1024;

pub(super) type ClientLink = Framed<TcpStream, FrameCodec<ToClient, FromClient>>;

/// Connects a client and waits for the welcome of the router.
pub(super) async fn connect(address: SocketAddr) -> Result<ClientLink, LoadError> {
    timeout(WELCOME_TIMEOUT, connect_untimed(address))
        .await
        .map_err(|_| LoadError::WelcomeTimedOut)?
}

async fn connect_untimed(address: SocketAddr) -> Result<ClientLink, LoadError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| LoadError::Connect { address, source })?;
    let _ = stream.set_nodelay(true);
    let codec = FrameCodec::new(WORK_LIMIT);
    let mut link = ClientLink::with_capacity(stream, codec, READ_BUFFER_BYTES);
    link.send(FromClient::Hello(Hello::new(Role::Client, 0, 0)))
        .await?;
    match link.next().await {
        Some(Ok(ToClient::Welcome)) => Ok(link),
        Some(Ok(other)) => Err(LoadError::NotWelcome(Box::new(other))),
        Some(Err(error)) => Err(error.into()),
        None => Err(LoadError::Disconnected),
    }
}

fn command(id: u64, body_bytes: usize) -> FromClient {
    FromClient::Command(Command {
        id,
        op: 0,
        tenant: 0,
        key: 1 + id % KEYS,
        idempotency_key: 0,
        left_us: COMMAND_TIMEOUT_US,
        body: Bytes::from(vec![0; body_bytes]),
    })
}

/// Sends commands without reading answers, until the connection ends.
pub(super) async fn send_without_reading(mut link: ClientLink) {
    for id in 0.. {
        if link.send(command(id, STALLED_BODY_BYTES)).await.is_err() {
            return;
        }
    }
}

/// The measurements of all clients of a load.
pub(super) struct Measurements {
    pub(super) acked: AtomicU64,
    pub(super) nacked: AtomicU64,
    pub(super) failed: AtomicU64,
    /// Latencies of the acked commands, in microseconds.
    pub(super) latencies: Mutex<Histogram<u64>>,
}

/// The times at which the commands of one client are due.
#[derive(Clone, Copy)]
pub(super) struct Schedule {
    first: Instant,
    interval: Duration,
    total: u64,
}

impl Schedule {
    /// Returns the schedule of one of `clients` clients, which together send `rate` commands per second.
    pub(super) fn new(
        client: u32,
        clients: u32,
        rate: u64,
        start: Instant,
        duration: Duration,
    ) -> Schedule {
        let interval = Duration::from_secs(1).mul_f64(f64::from(clients) / rate.max(1) as f64);
        Schedule {
            first: start + interval.mul_f64(f64::from(client) / f64::from(clients)),
            interval,
            total: (duration.as_secs_f64() / interval.as_secs_f64()) as u64,
        }
    }

    /// Returns the time at which a command is due.
    fn due(&self, id: u64) -> Instant {
        self.first + self.interval.mul_f64(id as f64)
    }

    /// Sends all commands when they are due, with one flush for all that are due together.
    async fn send(self, mut sink: SplitSink<ClientLink, FromClient>) {
        let mut id = 0;
        while id < self.total {
            sleep_until(self.due(id).into()).await;
            while id < self.total && self.due(id) <= Instant::now() {
                if sink.feed(command(id, BODY_BYTES)).await.is_err() {
                    return;
                }
                id += 1;
            }
            if sink.flush().await.is_err() {
                return;
            }
        }
    }
}

/// A client that sends commands and measures.
pub(super) struct Client {
    pub(super) schedule: Schedule,
    /// Commands that are due before this are not measured.
    pub(super) measure_from: Instant,
    /// Time that hosts take to answer, which is subtracted from the latencies.
    pub(super) answer_after: Duration,
    pub(super) measurements: Arc<Measurements>,
}

impl Client {
    /// Sends all commands, and reads until all are answered or no answer comes within the timeout.
    pub(super) async fn run(self, link: ClientLink) {
        let (sink, mut source) = link.split();
        let sending = tokio::spawn(self.schedule.send(sink));
        let mut answered = 0;
        while answered < self.schedule.total {
            let Ok(Some(Ok(message))) = timeout(ANSWER_TIMEOUT, source.next()).await else {
                break;
            };
            if self.record(message) {
                answered += 1;
            }
        }
        // If that task panicked, answers are missing in the counts.
        let _ = sending.await;
    }

    /// Records an answer. Returns `false` where the message is not an answer.
    fn record(&self, message: ToClient) -> bool {
        let (id, count) = match message {
            ToClient::Acked { id, .. } => (id, &self.measurements.acked),
            ToClient::Nacked { id, .. } => (id, &self.measurements.nacked),
            ToClient::Failed { id } => (id, &self.measurements.failed),
            _ => return false,
        };
        // Measured from when the command was due, not sent, so that a stall of the router counts in full.
        let due = self.schedule.due(id);
        if due < self.measure_from {
            return true;
        }
        count.fetch_add(1, Ordering::Relaxed);
        if matches!(message, ToClient::Acked { .. }) {
            let latency = due.elapsed().saturating_sub(self.answer_after).as_micros() as u64;
            // A latency is out of the histogram's range only beyond hours.
            let _ = locked(&self.measurements.latencies).record(latency.max(1));
        }
        true
    }
}
