//! The watch on discovery: one connection, made anew with growing pauses, told where to by the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use rand::RngExt;
use spokeflow_http::{AnswerCodec, Part};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Decoder;
use tracing::info;

use crate::roster::Listing;
use crate::serve::Arrival;
use crate::Clock;

/// An empty line comes every 2 s while nothing changes: silence for longer than two of them is a dead way.
const SILENCE: Duration = Duration::from_secs(5);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// One line of the watch at most.
const LINE_LIMIT: usize = 4 << 20;

pub struct Watching {
    pub address: watch::Receiver<SocketAddr>,
    pub clock: Arc<Clock>,
    pub core: mpsc::Sender<Arrival>,
    pub connect_timeout: Duration,
    /// The newest revision heard.
    pub after: u64,
}

/// The pause after so many failures in a row, with jitter so that many routers do not return as one.
pub fn pause(failures: u32) -> Duration {
    let whole = FIRST_PAUSE.saturating_mul(1 << failures.min(8)).min(LONGEST_PAUSE);
    whole.mul_f64(rand::rng().random_range(0.5..1.0))
}

impl Watching {
    pub async fn run(mut self) {
        let mut failures = 0;
        loop {
            let address = *self.address.borrow_and_update();
            let before = self.after;
            let mut moved = self.address.clone();
            let fault = tokio::select! {
                fault = self.watch(address) => fault,
                // The old address goes on for a while; the new one tells what has changed since.
                Ok(()) = moved.changed() => { failures = 0; continue }
            };
            failures = if self.after != before { 0 } else { failures + 1 };
            if let Some(kept_back) = self.clock.line() {
                info!(%address, failures, kept_back, fault, "discovery lost");
            }
            tokio::select! {
                _ = sleep(pause(failures)) => {}
                Ok(()) = moved.changed() => {}
            }
        }
    }

    /// Reads one watch until it fails.
    async fn watch(&mut self, address: SocketAddr) -> String {
        let opening = timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let mut stream = match opening {
            Err(_) => return "not connected in time".into(),
            Ok(Err(e)) => return e.to_string(),
            Ok(Ok(stream)) => stream,
        };
        let ask =
            format!("GET /discovery/hosts?watch=1&after={} HTTP/1.1\r\nHost: {address}\r\n\r\n", self.after);
        if let Err(e) = stream.write_all(ask.as_bytes()).await {
            return e.to_string();
        }
        let mut codec = AnswerCodec::new(u64::MAX);
        let (mut buf, mut text) = (BytesMut::with_capacity(4 << 10), BytesMut::new());
        loop {
            loop {
                match codec.decode(&mut buf) {
                    Ok(None) => break,
                    Ok(Some(Part::Head { status: 200, .. })) => {}
                    Ok(Some(Part::Head { status, .. })) => return format!("answered {status}"),
                    Ok(Some(Part::Data(data))) => text.extend_from_slice(&data),
                    Ok(Some(Part::End)) => return "the watch has ended".into(),
                    Err(fault) => return fault.to_string(),
                }
            }
            while let Some(at) = text.iter().position(|b| *b == b'\n') {
                let line = text.split_to(at + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let listing: Listing = match serde_json::from_slice(&line) {
                    Ok(listing) => listing,
                    Err(e) => return format!("a line that cannot be read: {e}"),
                };
                self.after = listing.revision;
                if self.core.send(Arrival::Listed(listing)).await.is_err() {
                    return "the router ends".into();
                }
            }
            if text.len() > LINE_LIMIT {
                return "a line that does not end".into();
            }
            buf.reserve(4 << 10);
            match timeout(SILENCE, stream.read_buf(&mut buf)).await {
                Err(_) => return "silent".into(),
                Ok(Ok(0)) => return "closed".into(),
                Ok(Err(e)) => return e.to_string(),
                Ok(Ok(_)) => {}
            }
        }
    }
}
