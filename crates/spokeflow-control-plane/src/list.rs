//! The link to the source of the replicated list, which only the leader reads.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::{HostState, ListedHost, SourceUpdate};
use spokeflow_proto::{
    EndpointPhase, EndpointRecord, FrameCodec, FrameError, FromList, Hello, Role, ToList,
    LIST_LIMIT,
};
use spokeflow_runtime::Backoff;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::link::Link;
use crate::node_event::NodeEvent;

/// Time that the source has to welcome this node on a new connection, and to accept a request.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a message from the source after which the complete list is requested: an update that was not applied,
/// for whatever reason, is then received again.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of requests in a row without any message from the source; after that the connection is reopened.
const MAX_UNANSWERED: u32 = 3;

/// The link to the source of the replicated list.
pub(crate) struct ListLink {
    pub(crate) address: SocketAddr,
    pub(crate) backoff: Backoff,
    pub(crate) events: mpsc::Sender<NodeEvent>,
    /// Whether this node reads the source: true while it holds the leader lease.
    pub(crate) is_reader: watch::Receiver<bool>,
}

/// Why the source of the replicated list cannot be read.
#[derive(Debug, Error)]
enum SourceError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("no welcome within {SOURCE_TIMEOUT:?}")]
    OpenTimedOut,
    #[error("expected a welcome, got {0}")]
    NoWelcome(String),
    #[error("refused by the source: {0}")]
    Refused(String),
    #[error("connection closed by the source")]
    Closed,
    #[error("the source did not accept a request within {SOURCE_TIMEOUT:?}")]
    SendTimedOut,
    #[error("no message from the source after {MAX_UNANSWERED} requests")]
    Unresponsive,
}

type SourceLink = Link<FromList, ToList>;

impl ListLink {
    /// Reads the source while this node is the reader, until the node task has ended.
    pub(crate) async fn run(mut self) {
        let mut failures = 0;
        loop {
            if self
                .is_reader
                .wait_for(|is_reader| *is_reader)
                .await
                .is_err()
            {
                return;
            }
            info!(source = %self.address, "host list reading started");
            match self.read().await {
                Ok(()) => failures = 0,
                Err(error) => {
                    failures += 1;
                    // Logged as a string, which is escaped: part of the text may come from the source.
                    let error = error.to_string();
                    warn!(source = %self.address, failures, error, "host list reading failed");
                    sleep(self.backoff.delay(failures)).await;
                }
            }
        }
    }

    /// Reads the source until this node is no longer the reader or the node task has ended.
    async fn read(&mut self) -> Result<(), SourceError> {
        let mut link = timeout(SOURCE_TIMEOUT, self.open())
            .await
            .map_err(|_| SourceError::OpenTimedOut)??;
        let mut unanswered = 0;
        loop {
            tokio::select! {
                read = link.next() => {
                    unanswered = 0;
                    let message = read.ok_or(SourceError::Closed)??;
                    let Some(update) = update_of(message)? else {
                        continue;
                    };
                    if self.events.send(NodeEvent::HostList(update)).await.is_err() {
                        return Ok(());
                    }
                }
                changed = self.is_reader.changed() => {
                    if changed.is_err() || !*self.is_reader.borrow() {
                        return Ok(());
                    }
                }
                _ = sleep(FULL_SYNC_INTERVAL) => {
                    unanswered += 1;
                    if unanswered > MAX_UNANSWERED {
                        return Err(SourceError::Unresponsive);
                    }
                    timeout(SOURCE_TIMEOUT, link.send(ToList::Fetch))
                        .await
                        .map_err(|_| SourceError::SendTimedOut)??;
                }
            }
        }
    }

    async fn open(&self) -> Result<SourceLink, SourceError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(FrameError::from)?;
        let _ = stream.set_nodelay(true);
        let mut link: SourceLink = Framed::new(stream, FrameCodec::new(LIST_LIMIT));
        // Connects in the role of a router: the source's protocol has no role for control-plane nodes.
        let hello = Hello::new(Role::Router, 0, 0);
        link.send(ToList::Hello(hello)).await?;
        match link.next().await {
            Some(Ok(FromList::Welcome)) => {}
            other => return Err(SourceError::NoWelcome(format!("{other:?}"))),
        }
        link.send(ToList::Watch { have: None }).await?;
        Ok(link)
    }
}

/// Returns the update that a message carries, or `None` if it carries none.
fn update_of(message: FromList) -> Result<Option<SourceUpdate>, SourceError> {
    match message {
        FromList::Complete { version, endpoints } => {
            Ok(Some(source_update(version, true, endpoints)))
        }
        FromList::Changes { version, endpoints } => {
            Ok(Some(source_update(version, false, endpoints)))
        }
        FromList::Refused(refused) => Err(SourceError::Refused(refused.text)),
        FromList::Sizes { .. } | FromList::Failed | FromList::Welcome => Ok(None),
    }
}

fn source_update(version: u64, complete: bool, endpoints: Vec<EndpointRecord>) -> SourceUpdate {
    SourceUpdate {
        version,
        complete,
        hosts: endpoints.into_iter().map(listed_host).collect(),
    }
}

fn listed_host(record: EndpointRecord) -> ListedHost {
    let state = match record.phase {
        EndpointPhase::Gone => HostState::Gone,
        EndpointPhase::Ready => HostState::Ready,
        EndpointPhase::Draining => HostState::Draining,
    };
    ListedHost {
        host: record.host,
        address: record.address,
        build: record.build,
        cell: record.cell,
        zone: record.zone,
        state,
        incarnation: record.incarnation,
        up_us: record.up_us,
    }
}
