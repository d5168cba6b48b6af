//! The watch on discovery: one connection to the address in the configuration, which is reopened with backoff.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use spokeflow_http::{HttpError, ResponseCodec, ResponsePart};
use spokeflow_runtime::{Backoff, Clock};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tokio_util::codec::Decoder;
use tracing::info;

use crate::endpoint_table::Listing;
use crate::event::EngineEvent;
use crate::listing_decoder::{ListingDecoder, ListingError, ListingLimits};

/// Time without input, or with an incomplete listing, after which the connection counts as dead. Discovery sends an
/// empty line every 2 s while nothing changes, so this is more than two of them.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest backoff before jitter, for discovery and for the release controller.
pub(crate) const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest backoff before jitter, for discovery and for the release controller.
pub(crate) const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// Time for discovery to accept a connection, and to answer the request. The address belongs to an agent on the
/// router's own machine, which answers at once. From 6 s after a watch fell silent, the platform holds the
/// router responsible for the changes that it missed, so the time has to be short enough for several attempts before
/// that; and a long attempt from before discovery's return would miss its first message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest backoff after an attempt that discovery did not answer: it may return at any moment.
const MAX_UNANSWERED_DELAY: Duration = Duration::from_millis(200);
/// First size of the read buffer, and its minimum free space for each read, in bytes.
const READ_BUFFER_SIZE: usize = 4 << 10;

/// The reason why a watch has ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error("no connection or no response within {ANSWER_TIMEOUT:?}")]
    Unanswered,
    #[error("connection to discovery: {0}")]
    Io(#[from] io::Error),
    #[error("response has status {0}, expected 200")]
    Status(u16),
    #[error("cannot read the response: {0}")]
    Http(HttpError),
    #[error("cannot read a listing in the response: {0}")]
    Listing(#[from] ListingError),
    #[error("response has ended, expected listings without end")]
    Ended,
    #[error("no input, or no complete listing, within {READ_TIMEOUT:?}")]
    Silent,
    #[error("discovery has closed the connection")]
    Closed,
    #[error("router is shutting down")]
    ShuttingDown,
}

/// The task that keeps a watch on discovery open for as long as the router runs.
pub(crate) struct DiscoveryWatch {
    pub(crate) address: watch::Receiver<SocketAddr>,
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// The newest revision that was handed to the engine's task.
    pub(crate) after: u64,
    pub(crate) backoff: Backoff,
    pub(crate) limits: ListingLimits,
}

/// Returns the number of failures in a row after one more. A watch that was up counts as no failure, also if the list
/// did not change, so that it is reopened with the shortest backoff: a silent watch ends after [`READ_TIMEOUT`], and
/// one second later the platform holds the router responsible for the changes that it missed.
fn failures_in_a_row(before: u32, was_up: bool) -> u32 {
    if was_up {
        0
    } else {
        before + 1
    }
}

impl DiscoveryWatch {
    pub(crate) async fn run(mut self) {
        let mut failures = 0;
        loop {
            let address = *self.address.borrow_and_update();
            let before = self.after;
            let mut moved = self.address.clone();
            let error = tokio::select! {
                error = self.watch(address) => error,
                // Discovery has moved. The old address stays in service for a while; the new one sends what has changed
                // since the last revision.
                Ok(()) = moved.changed() => {
                    failures = 0;
                    continue;
                }
            };
            let was_up = matches!(error, WatchError::Silent) || self.after != before;
            failures = failures_in_a_row(failures, was_up);
            if let Some(suppressed) = self.clock.allow_log_line() {
                info!(%address, failures, suppressed, %error, "discovery lost");
            }
            let mut delay = self.backoff.delay(failures);
            // An address that refuses or answers with an error may be retried less often than one that is silent.
            if matches!(error, WatchError::Unanswered) {
                delay = delay.min(MAX_UNANSWERED_DELAY);
            }
            tokio::select! {
                _ = sleep(delay) => {}
                Ok(()) = moved.changed() => {}
            }
        }
    }

    /// Reads one watch until it fails. Cancel-safe: discovery sends again, on the next watch, what has not been handed
    /// over.
    async fn watch(&mut self, address: SocketAddr) -> WatchError {
        match self.read_watch(address).await {
            Err(error) => error,
            Ok(never) => match never {},
        }
    }

    async fn read_watch(&mut self, address: SocketAddr) -> Result<Infallible, WatchError> {
        let mut reader = WatchReader::open(address, self.after, self.limits).await?;
        loop {
            reader.decode()?;
            while let Some(listing) = reader.next_listing()? {
                self.hand_over(listing).await?;
            }
            reader.read().await?;
        }
    }

    /// Hands a listing to the engine's task and waits until it has been applied, so that one listing at a time is held.
    /// After a move, the new address may lag behind the old one, so changes older than those received are dropped.
    async fn hand_over(&mut self, listing: Listing) -> Result<(), WatchError> {
        let revision = listing.revision;
        if !listing.complete && revision < self.after {
            return Ok(());
        }
        let (applied, is_applied) = oneshot::channel();
        let event = EngineEvent::EndpointsListed { listing, applied };
        let sent = self.events.send(event).await;
        sent.map_err(|_| WatchError::ShuttingDown)?;
        self.after = revision;
        is_applied.await.map_err(|_| WatchError::ShuttingDown)
    }
}

/// The connection of one watch, with its decoders.
struct WatchReader {
    stream: TcpStream,
    buffer: BytesMut,
    codec: ResponseCodec,
    listings: ListingDecoder,
    /// Whether discovery has answered the request.
    has_begun: bool,
    /// Since when a listing has been incomplete.
    mid_listing_since: Option<Instant>,
}

impl WatchReader {
    /// Connects and requests the changes after a revision.
    async fn open(
        address: SocketAddr,
        after: u64,
        limits: ListingLimits,
    ) -> Result<Self, WatchError> {
        let mut stream = timeout(ANSWER_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| WatchError::Unanswered)??;
        let request = format!(
            "GET /discovery/hosts?watch=1&after={after} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        Ok(WatchReader {
            stream,
            buffer: BytesMut::with_capacity(READ_BUFFER_SIZE),
            codec: ResponseCodec::new(u64::MAX),
            listings: ListingDecoder::new(limits),
            has_begun: false,
            mid_listing_since: None,
        })
    }

    /// Decodes the bytes that have been read.
    fn decode(&mut self) -> Result<(), WatchError> {
        while let Some(part) = self
            .codec
            .decode(&mut self.buffer)
            .map_err(WatchError::Http)?
        {
            match part {
                ResponsePart::Head { status: 200, .. } => self.has_begun = true,
                ResponsePart::Head { status, .. } => return Err(WatchError::Status(status)),
                ResponsePart::Data(data) => self.listings.push(&data),
                ResponsePart::End => return Err(WatchError::Ended),
            }
        }
        Ok(())
    }

    fn next_listing(&mut self) -> Result<Option<Listing>, WatchError> {
        let listing = self.listings.next()?;
        if listing.is_some() {
            self.mid_listing_since = None;
        }
        Ok(listing)
    }

    /// Reads once. Empty lines inside a listing do not extend its time: it has to be complete within [`READ_TIMEOUT`].
    async fn read(&mut self) -> Result<(), WatchError> {
        if self.listings.is_mid_object() {
            self.mid_listing_since.get_or_insert(Instant::now());
        } else {
            self.mid_listing_since = None;
        }
        self.buffer.reserve(READ_BUFFER_SIZE);
        let limit = if self.has_begun {
            READ_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        let read_deadline = Instant::now() + limit;
        let listing_deadline = self.mid_listing_since.map(|since| since + READ_TIMEOUT);
        let until = listing_deadline.map_or(read_deadline, |deadline| read_deadline.min(deadline));
        match timeout_at(until, self.stream.read_buf(&mut self.buffer)).await {
            Err(_) if !self.has_begun => Err(WatchError::Unanswered),
            Err(_) => Err(WatchError::Silent),
            Ok(read) => match read? {
                0 => Err(WatchError::Closed),
                _ => Ok(()),
            },
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/discovery.rs"]
mod tests;
