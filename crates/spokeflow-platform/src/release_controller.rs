//! The text protocol of the release controller: one subscription that is kept open, and a separate connection for each
//! vote. Votes are rare, and on separate connections their answers cannot be mixed up or wait for one another.

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

use crate::endpoint_table::MAX_TEXT_LENGTH;
use crate::event::EngineEvent;
use crate::rollout_line::{RolloutLine, EXPECTED_STATE};
use spokeflow_runtime::{Backoff, Clock};

/// Maximum length of a line in bytes, as the platform's protocol sets it; a longer line ends the connection.
const MAX_LINE_LENGTH: usize = 8 << 10;
/// Timeout of opening a connection. On the platform, opening one can take up to 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a line after which the connection counts as dead. The release controller sends a heartbeat every
/// second, so three in a row are missing by then.
const READ_TIMEOUT: Duration = Duration::from_millis(3500);

/// Codec of lines. An incomplete line at the end of a connection is dropped: a number cut short would be read as
/// another number.
struct CompleteLines(LinesCodec);

impl CompleteLines {
    fn new() -> Self {
        CompleteLines(LinesCodec::new_with_max_length(MAX_LINE_LENGTH))
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

/// The reason why a subscription has ended.
#[derive(Debug, thiserror::Error)]
enum SubscriptionError {
    #[error("not connected within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("cannot transfer a line of at most {MAX_LINE_LENGTH} bytes: {0}")]
    Lines(#[from] LinesCodecError),
    #[error("no line within {READ_TIMEOUT:?}")]
    ReadTimeout,
    #[error("release controller has closed the connection")]
    Closed,
    #[error("line {0:?} has no valid rollout state, expected {EXPECTED_STATE}")]
    InvalidState(String),
    #[error("line {0:?} has no valid age, expected a number of milliseconds")]
    InvalidAge(String),
    #[error("line {0:?} is unknown, expected OK, *, * news or * report")]
    UnknownLine(String),
    #[error("router is shutting down")]
    ShuttingDown,
}

/// The task that keeps a subscription to the release controller open for as long as the router runs.
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
                // The release controller has moved; the new address sends the state at once.
                Ok(()) = moved.changed() => {
                    failures = 0;
                    continue;
                }
            };
            failures = if was_up { 0 } else { failures + 1 };
            if let Some(suppressed) = self.clock.allow_log_line() {
                info!(%address, failures, suppressed, %error, "deployer lost");
            }
            tokio::select! {
                _ = sleep(self.backoff.delay(failures)) => {}
                Ok(()) = moved.changed() => {}
            }
        }
    }

    /// Reads one subscription until it fails. Sets `was_up` once a valid line has been received.
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
                sent.map_err(|_| SubscriptionError::ShuttingDown)?;
            }
        }
    }
}

/// Parses a line to an event; `None` for a heartbeat.
fn parse_line(line: &str) -> Result<Option<EngineEvent>, SubscriptionError> {
    let fields: Vec<&str> = line.split_ascii_whitespace().collect();
    match fields.as_slice() {
        ["OK"] | ["*"] => Ok(None),
        ["*", "news", state @ ..] => {
            let update = RolloutLine::parse(state).and_then(|line| line.to_update());
            let update = update.ok_or_else(|| SubscriptionError::InvalidState(line.to_string()))?;
            Ok(Some(EngineEvent::RolloutUpdated(update)))
        }
        ["*", "report", unit, _, ago_ms] => {
            let ago_ms: Result<u64, _> = ago_ms.parse();
            let ago_ms = ago_ms.map_err(|_| SubscriptionError::InvalidAge(line.to_string()))?;
            // No host has a longer name, so the report is of none.
            if unit.len() > MAX_TEXT_LENGTH {
                return Ok(None);
            }
            Ok(Some(EngineEvent::WrongAnswerReport {
                host_name: unit.to_string(),
                sent_ago_us: ago_ms.saturating_mul(1000),
            }))
        }
        _ => Err(SubscriptionError::UnknownLine(line.to_string())),
    }
}

/// The task that sends one vote and waits for its answer.
pub(crate) struct Vote {
    pub(crate) address: SocketAddr,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Time after which an answer is no longer awaited.
    pub(crate) timeout: Duration,
    pub(crate) ballot: u64,
    pub(crate) build: u16,
    pub(crate) stage: u8,
    pub(crate) choice: VoteChoice,
}

/// The answer to a vote.
#[derive(Default)]
struct VoteAnswer {
    /// `None` if it is unknown whether the vote counts.
    result: Option<VoteResult>,
    /// The state of the rollout that the answer contains.
    update: Option<RolloutUpdate>,
}

impl From<VoteResult> for VoteAnswer {
    fn from(result: VoteResult) -> Self {
        VoteAnswer {
            result: Some(result),
            update: None,
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
        // After the timeout the engine counts the vote as unanswered and may have sent another, so no event is sent.
        let Ok(answer) = timeout(self.timeout, self.send(line)).await else {
            return;
        };
        debug!(ballot = self.ballot, result = ?answer.result, "vote answered");
        let event = EngineEvent::VoteAnswered {
            ballot: self.ballot,
            result: answer.result,
            update: answer.update,
        };
        let _ = self.events.send(event).await;
    }

    /// Sends the vote and reads the answer. A vote that could not be written counts as refused.
    async fn send(&self, line: String) -> VoteAnswer {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let Ok(Ok(mut stream)) = connecting else {
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
            let update = RolloutLine::parse(state).and_then(|line| line.to_update());
            VoteAnswer {
                result: update.as_ref().map(|_| VoteResult::Counted),
                update,
            }
        }
        ["ERR", "throttled"] => VoteResult::RateLimited.into(),
        ["ERR", "conflict" | "invalid"] => VoteResult::Stale.into(),
        ["ERR", "internal"] => VoteResult::Refused.into(),
        _ => VoteAnswer::default(),
    }
}
