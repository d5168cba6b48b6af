//! Links that this node opens to the others. It sends its messages on these, and receives the others' messages on the
//! links that they open.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::wire::{Caller, FromNode, Refusal, ToNode, LIMIT};
use spokeflow_proto::{FrameCodec, FrameError};
use spokeflow_raft::NodeId;
use spokeflow_runtime::Backoff;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::link::{send_queued, Link};
use crate::node_event::NodeEvent;

/// Time that another node has to welcome this one, and to accept what is sent; after it a new connection is opened.
const LINK_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial size of the read buffer of a link, in bytes.
const READ_BUFFER: usize = 4096;
/// Base of the delay between two connections, doubled with each failure in a row.
pub(crate) const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest delay between two connections: a node that comes back is reached within about one election timeout.
pub(crate) const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// The link to one other node.
pub(crate) struct PeerLink {
    pub(crate) id: NodeId,
    pub(crate) address: SocketAddr,
    /// Sent in the opening message, with `addresses`.
    pub(crate) caller: Caller,
    /// The node addresses that this node knows; the current ones are sent when a connection is opened.
    pub(crate) addresses: watch::Receiver<Vec<(NodeId, String)>>,
    pub(crate) backoff: Backoff,
    pub(crate) events: mpsc::Sender<NodeEvent>,
    pub(crate) queue: mpsc::Receiver<ToNode>,
}

/// Why a link could not be opened.
#[derive(Debug, Error)]
enum OpenError {
    #[error(transparent)]
    Connection(#[from] FrameError),
    #[error("no welcome within {LINK_TIMEOUT:?}")]
    TimedOut,
    #[error("connection closed before the welcome")]
    Closed,
    #[error("expected a welcome, got {0:?}")]
    NoWelcome(Box<FromNode>),
    #[error("refused ({why:?}): {text}")]
    Refused { why: Refusal, text: String },
}

impl PeerLink {
    /// Keeps the link open, with a new connection after each failure, until the node task has ended.
    pub(crate) async fn run(mut self) {
        let mut failures = 0;
        while !self.events.is_closed() {
            let opened = timeout(LINK_TIMEOUT, self.open()).await;
            match opened.unwrap_or(Err(OpenError::TimedOut)) {
                Ok(link) => {
                    if failures > 0 {
                        info!(node = self.id.0, failures, "peer connected again");
                    }
                    failures = 0;
                    self.exchange(link).await;
                }
                Err(error) => self.report(error).await,
            }
            failures += 1;
            sleep(self.backoff.delay(failures)).await;
            // Messages queued for the previous connection are dropped, since Raft allows any message to be lost.
            while self.queue.try_recv().is_ok() {}
        }
    }

    async fn open(&self) -> Result<Link<FromNode, ToNode>, OpenError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(FrameError::from)?;
        let _ = stream.set_nodelay(true);
        let mut link: Link<FromNode, ToNode> =
            Framed::with_capacity(stream, FrameCodec::new(LIMIT), READ_BUFFER);
        let mut caller = self.caller.clone();
        if let Caller::Node { addresses, .. } = &mut caller {
            addresses.clone_from(&self.addresses.borrow());
        }
        link.send(ToNode::hello(caller)).await?;
        match link.next().await {
            Some(Ok(FromNode::Welcome { .. })) => Ok(link),
            Some(Ok(FromNode::Refused { why, text })) => Err(OpenError::Refused { why, text }),
            Some(Ok(other)) => Err(OpenError::NoWelcome(Box::new(other))),
            Some(Err(error)) => Err(error.into()),
            None => Err(OpenError::Closed),
        }
    }

    /// Logs a refusal, or sends it to the node task if this node's store is an older copy. Other errors are not logged:
    /// it is not unusual that a node cannot be reached.
    async fn report(&self, error: OpenError) {
        let OpenError::Refused { why, text } = error else {
            return;
        };
        if why == Refusal::StaleStore {
            let _ = self.events.send(NodeEvent::StaleStore(text)).await;
        } else {
            warn!(node = self.id.0, ?why, text, "connection refused by peer");
        }
    }

    /// Sends queued messages and receives responses to forwarded requests until the connection fails.
    async fn exchange(&mut self, mut link: Link<FromNode, ToNode>) {
        loop {
            tokio::select! {
                message = self.queue.recv() => {
                    let Some(first) = message else { return };
                    let sending = send_queued(&mut link, first, &mut self.queue);
                    if !matches!(timeout(LINK_TIMEOUT, sending).await, Ok(Ok(()))) {
                        return;
                    }
                }
                read = link.next() => {
                    let Some(Ok(FromNode::Response { number, response })) = read else { return };
                    let event = NodeEvent::ForwardResponse { number, response };
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
