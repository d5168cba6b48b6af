//! The deployer's lines: one subscription that is kept, and a connection of its own for each vote. Votes are few,
//! and so their answers can neither be mixed up nor wait behind one another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::{RolloutUpdate, VoteChoice, VoteResult};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed, LinesCodec, LinesCodecError};
use tracing::{debug, info};

use crate::arrival::Arrival;
use crate::configuration::Stage;
use spokeflow_runtime::{Backoff, Clock};

/// A line of so many bytes ends the connection, as the platform says.
const LINE_LIMIT: usize = 8 << 10;
/// A connection stands by then, or another is tried: "some connections come up late (up to 1 s)" (standing test).
const CONNECTED: Duration = Duration::from_secs(1);
/// "A sign of life comes every second" (protocol page): without three of them the way is taken for dead.
const SILENCE: Duration = Duration::from_millis(3500);

/// Lines, without the rest of one that a broken connection leaves: a number cut short reads as another number.
struct WholeLines(LinesCodec);

impl WholeLines {
    fn new() -> Self {
        WholeLines(LinesCodec::new_with_max_length(LINE_LIMIT))
    }
}

impl Decoder for WholeLines {
    type Item = String;
    type Error = LinesCodecError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<String>, LinesCodecError> {
        self.0.decode(buf)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<String>, LinesCodecError> {
        let line = self.0.decode(buf)?;
        if line.is_none() {
            buf.clear();
        }
        Ok(line)
    }
}

impl Encoder<&str> for WholeLines {
    type Error = LinesCodecError;

    fn encode(&mut self, line: &str, buf: &mut BytesMut) -> Result<(), LinesCodecError> {
        self.0.encode(line, buf)
    }
}

pub struct Subscription {
    pub address: watch::Receiver<SocketAddr>,
    pub clock: Arc<Clock>,
    pub core: mpsc::Sender<Arrival>,
    pub backoff: Backoff,
}

impl Subscription {
    pub async fn run(mut self) {
        let mut failures = 0;
        loop {
            let address = *self.address.borrow_and_update();
            let mut moved = self.address.clone();
            let mut heard = false;
            let fault = tokio::select! {
                fault = self.hear(address, &mut heard) => fault,
                // The new address tells the state at once.
                Ok(()) = moved.changed() => { failures = 0; continue }
            };
            failures = if heard { 0 } else { failures + 1 };
            if let Some(kept_back) = self.clock.allow_log_line() {
                info!(%address, failures, kept_back, fault, "deployer lost");
            }
            tokio::select! {
                _ = sleep(self.backoff.delay(failures)) => {}
                Ok(()) = moved.changed() => {}
            }
        }
    }

    /// Reads one subscription until it fails.
    async fn hear(&self, address: SocketAddr, heard: &mut bool) -> String {
        let opening = timeout(CONNECTED, TcpStream::connect(address)).await;
        let stream = match opening {
            Err(_) => return "not connected in time".into(),
            Ok(Err(e)) => return e.to_string(),
            Ok(Ok(stream)) => stream,
        };
        let mut lines = Framed::new(stream, WholeLines::new());
        if let Err(e) = lines.send("SUB\r").await {
            return e.to_string();
        }
        loop {
            let line = match timeout(SILENCE, lines.next()).await {
                Err(_) => return "silent".into(),
                Ok(None) => return "closed".into(),
                Ok(Some(Err(e))) => return e.to_string(),
                Ok(Some(Ok(line))) => line,
            };
            let words: Vec<&str> = line.split_ascii_whitespace().collect();
            let arrival = match words.as_slice() {
                ["OK"] | ["*"] => None,
                ["*", "news", state @ ..] => match Stage::of_words(state).and_then(|s| s.news()) {
                    Some(news) => Some(Arrival::RolloutUpdate(news)),
                    None => return format!("news that cannot be read: {line:?}"),
                },
                ["*", "report", unit, _, ago_ms] => match ago_ms.parse::<u64>() {
                    Ok(ago_ms) => Some(Arrival::Report {
                        unit: unit.to_string(),
                        ago_us: ago_ms.saturating_mul(1000),
                    }),
                    Err(_) => return format!("a report that cannot be read: {line:?}"),
                },
                _ => return format!("a line that cannot be read: {line:?}"),
            };
            *heard = true;
            if let Some(arrival) = arrival {
                if self.core.send(arrival).await.is_err() {
                    return "the router ends".into();
                }
            }
        }
    }
}

/// One vote and what became of it.
pub struct Vote {
    pub address: SocketAddr,
    pub core: mpsc::Sender<Arrival>,
    /// No answer is waited for after this time.
    pub wait: Duration,
    pub ballot: u64,
    pub build: u16,
    pub stage: u8,
    pub verdict: VoteChoice,
}

impl Vote {
    pub async fn run(self) {
        let verdict = match self.verdict {
            VoteChoice::Abstain => "none",
            VoteChoice::Promote => "on",
            VoteChoice::Hold => "hold",
            VoteChoice::RollBack => "back",
        };
        let line = format!("SAY {} {} {verdict}\r\n", self.build, self.stage);
        let wait = self.wait;
        // Past the wait the engine has counted the vote as unanswered, and another may be out: nothing is said.
        if let Ok((result, news)) = timeout(wait, self.ask(line)).await {
            debug!(ballot = self.ballot, ?result, "vote answered");
            let _ = self
                .core
                .send(Arrival::Voted {
                    ballot: self.ballot,
                    result,
                    news,
                })
                .await;
        }
    }

    /// The answer, and the state that came with it; no result where the vote may count or not.
    async fn ask(&self, line: String) -> (Option<VoteResult>, Option<RolloutUpdate>) {
        let opening = timeout(CONNECTED, TcpStream::connect(self.address)).await;
        let Ok(Ok(mut stream)) = opening else {
            return (Some(VoteResult::Refused), None);
        };
        if stream.write_all(line.as_bytes()).await.is_err() {
            return (Some(VoteResult::Refused), None);
        }
        let mut lines = Framed::new(stream, WholeLines::new());
        let Some(Ok(answer)) = lines.next().await else {
            return (None, None);
        };
        let words: Vec<&str> = answer.split_ascii_whitespace().collect();
        match words.as_slice() {
            ["OK", state @ ..] => match Stage::of_words(state).and_then(|s| s.news()) {
                Some(news) => (Some(VoteResult::Counted), Some(news)),
                None => (None, None),
            },
            ["ERR", "throttled"] => (Some(VoteResult::RateLimited), None),
            ["ERR", "conflict" | "invalid"] => (Some(VoteResult::Stale), None),
            ["ERR", "internal"] => (Some(VoteResult::Refused), None),
            _ => (None, None),
        }
    }
}
