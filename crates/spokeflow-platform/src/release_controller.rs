//! The release controller's lines: one subscription that is kept, and a connection of its own for each vote. Votes are
//! few, and so their answers can neither be mixed up nor wait behind one another.

use std::convert::Infallible;
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

use crate::event::EngineEvent;
use crate::rollout_line::RolloutLine;
use spokeflow_runtime::{Backoff, Clock};

/// A line of so many bytes ends the connection, as the platform says.
const MAX_LINE: usize = 8 << 10;
/// A connection is made by then, or another is tried: "some connections come up late (up to 1 s)" (standing test).
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// "A sign of life comes every second" (protocol page): without three of them the connection is taken for dead.
const READ_TIMEOUT: Duration = Duration::from_millis(3500);

/// Lines, without the rest of one that a broken connection leaves: a number cut short reads as another number.
struct CompleteLines(LinesCodec);

impl CompleteLines {
    fn new() -> Self {
        CompleteLines(LinesCodec::new_with_max_length(MAX_LINE))
    }
}

impl Decoder for CompleteLines {
    type Item = String;
    type Error = LinesCodecError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<String>, LinesCodecError> {
        self.0.decode(buffer)
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<String>, LinesCodecError> {
        let line = self.0.decode(buffer)?;
        if line.is_none() {
            buffer.clear();
        }
        Ok(line)
    }
}

impl Encoder<&str> for CompleteLines {
    type Error = LinesCodecError;

    fn encode(&mut self, line: &str, buffer: &mut BytesMut) -> Result<(), LinesCodecError> {
        self.0.encode(line, buffer)
    }
}

/// Why a subscription has ended.
#[derive(Debug, thiserror::Error)]
enum SubscriptionError {
    #[error("not connected in time")]
    ConnectTimeout,
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Lines(#[from] LinesCodecError),
    #[error("silent")]
    ReadTimeout,
    #[error("closed")]
    Closed,
    #[error("news that cannot be read: {0:?}")]
    Status(String),
    #[error("a report that cannot be read: {0:?}")]
    Report(String),
    #[error("a line that cannot be read: {0:?}")]
    EndpointRecord(String),
    #[error("the router ends")]
    RouterEnds,
}

/// The subscription to the release controller, kept for as long as the router runs.
pub(crate) struct Subscription {
    pub(crate) address: watch::Receiver<SocketAddr>,
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    pub(crate) backoff: Backoff,
}

impl Subscription {
    pub(crate) async fn run(mut self) {
        let mut failures = 0;
        loop {
            let address = *self.address.borrow_and_update();
            let mut moved = self.address.clone();
            let mut was_up = false;
            let error = tokio::select! {
                error = self.subscribe(address, &mut was_up) => error,
                // The new address tells the state at once.
                Ok(()) = moved.changed() => {
                    failures = 0;
                    continue;
                }
            };
            failures = if was_up { 0 } else { failures + 1 };
            if let Some(kept_back) = self.clock.allow_log_line() {
                info!(%address, failures, kept_back, %error, "deployer lost");
            }
            tokio::select! {
                _ = sleep(self.backoff.delay(failures)) => {}
                Ok(()) = moved.changed() => {}
            }
        }
    }

    /// Reads one subscription until it fails. `was_up`: whether a line came.
    async fn subscribe(&self, address: SocketAddr, was_up: &mut bool) -> SubscriptionError {
        match self.read_lines(address, was_up).await {
            Err(error) => error,
            Ok(never) => match never {},
        }
    }

    async fn read_lines(
        &self,
        address: SocketAddr,
        was_up: &mut bool,
    ) -> Result<Infallible, SubscriptionError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| SubscriptionError::ConnectTimeout)??;
        let mut lines = Framed::new(stream, CompleteLines::new());
        lines.send("SUB\r").await?;
        loop {
            let line = timeout(READ_TIMEOUT, lines.next())
                .await
                .map_err(|_| SubscriptionError::ReadTimeout)?
                .ok_or(SubscriptionError::Closed)??;
            let event = parse_line(&line)?;
            *was_up = true;
            if let Some(event) = event {
                let sent = self.events.send(event).await;
                sent.map_err(|_| SubscriptionError::RouterEnds)?;
            }
        }
    }
}

/// The event that a line is; `None` for a sign of life.
fn parse_line(line: &str) -> Result<Option<EngineEvent>, SubscriptionError> {
    let fields: Vec<&str> = line.split_ascii_whitespace().collect();
    match fields.as_slice() {
        ["OK"] | ["*"] => Ok(None),
        ["*", "news", state @ ..] => {
            let status = RolloutLine::parse(state).and_then(|line| line.to_update());
            let status = status.ok_or_else(|| SubscriptionError::Status(line.to_string()))?;
            Ok(Some(EngineEvent::RolloutStatus(status)))
        }
        ["*", "report", unit, _, ago_ms] => {
            let ago_ms: Result<u64, _> = ago_ms.parse();
            let ago_ms = ago_ms.map_err(|_| SubscriptionError::Report(line.to_string()))?;
            Ok(Some(EngineEvent::WrongAnswerReport {
                host_name: unit.to_string(),
                ago_us: ago_ms.saturating_mul(1000),
            }))
        }
        _ => Err(SubscriptionError::EndpointRecord(line.to_string())),
    }
}

/// One vote and what became of it.
pub(crate) struct Vote {
    pub(crate) address: SocketAddr,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// No answer is waited for after this time.
    pub(crate) timeout: Duration,
    pub(crate) ballot: u64,
    pub(crate) build: u16,
    pub(crate) stage: u8,
    pub(crate) choice: VoteChoice,
}

/// The answer to a vote; no result where the vote may count or not.
#[derive(Default)]
struct VoteAnswer {
    result: Option<VoteResult>,
    /// The state that came with it.
    status: Option<RolloutUpdate>,
}

impl From<VoteResult> for VoteAnswer {
    fn from(result: VoteResult) -> Self {
        VoteAnswer {
            result: Some(result),
            status: None,
        }
    }
}

impl Vote {
    pub(crate) async fn run(self) {
        let choice = match self.choice {
            VoteChoice::Abstain => "none",
            VoteChoice::Promote => "on",
            VoteChoice::Hold => "hold",
            VoteChoice::RollBack => "back",
        };
        let line = format!("SAY {} {} {choice}\r\n", self.build, self.stage);
        // After the timeout the engine has counted the vote as unanswered, and another may be out: nothing is sent.
        let Ok(answer) = timeout(self.timeout, self.send(line)).await else {
            return;
        };
        debug!(ballot = self.ballot, result = ?answer.result, "vote answered");
        let event = EngineEvent::VoteAnswered {
            ballot: self.ballot,
            result: answer.result,
            status: answer.status,
        };
        let _ = self.events.send(event).await;
    }

    async fn send(&self, line: String) -> VoteAnswer {
        let opening = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let Ok(Ok(mut stream)) = opening else {
            return VoteResult::Refused.into();
        };
        if stream.write_all(line.as_bytes()).await.is_err() {
            return VoteResult::Refused.into();
        }
        let mut lines = Framed::new(stream, CompleteLines::new());
        match lines.next().await {
            Some(Ok(answer)) => parse_vote_answer(&answer),
            _ => VoteAnswer::default(),
        }
    }
}

fn parse_vote_answer(line: &str) -> VoteAnswer {
    let fields: Vec<&str> = line.split_ascii_whitespace().collect();
    match fields.as_slice() {
        ["OK", state @ ..] => {
            let status = RolloutLine::parse(state).and_then(|line| line.to_update());
            VoteAnswer {
                result: status.as_ref().map(|_| VoteResult::Counted),
                status,
            }
        }
        ["ERR", "throttled"] => VoteResult::RateLimited.into(),
        ["ERR", "conflict" | "invalid"] => VoteResult::Stale.into(),
        ["ERR", "internal"] => VoteResult::Refused.into(),
        _ => VoteAnswer::default(),
    }
}
