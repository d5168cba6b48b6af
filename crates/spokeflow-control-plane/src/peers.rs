//! Links that a node opens to the others: what it sends leaves on these, what it receives comes on theirs.

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

/// A node that is not reached, or takes no byte, for this long is tried on a new connection.
const LINK_TIMEOUT: Duration = Duration::from_secs(1);
/// First size of the buffer for what the other node sends, in bytes.
const READ_BUFFER: usize = 4096;
/// Delay before the second connection, doubled with each failure.
pub(crate) const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest delay between two connections: a node that comes back is reached within about an election timeout.
pub(crate) const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// The link to one other node.
pub(crate) struct PeerLink {
    pub(crate) id: NodeId,
    pub(crate) address: SocketAddr,
    /// How this node introduces itself.
    pub(crate) caller: Caller,
    /// Part of the introduction, as they are when a connection is opened.
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
    #[error("no answer in time")]
    TimedOut,
    #[error("no welcome came")]
    NoWelcome,
    #[error("refused ({why:?}): {text}")]
    Refused { why: Refusal, text: String },
}

impl PeerLink {
    /// Connects again and again until the node task is gone.
    pub(crate) async fn run(mut self) {
        let mut failures = 0;
        while !self.events.is_closed() {
            let opened = timeout(LINK_TIMEOUT, self.open()).await;
            match opened.unwrap_or(Err(OpenError::TimedOut)) {
                Ok(link) => {
                    if failures > 0 {
                        info!(node = self.id.0, failures, "peer reached again");
                    }
                    failures = 0;
                    self.exchange(link).await;
                }
                Err(error) => self.report(error).await,
            }
            failures += 1;
            sleep(self.backoff.delay(failures)).await;
            // What was meant for the previous connection is lost, as any message may be.
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
            _ => Err(OpenError::NoWelcome),
        }
    }

    /// Tells of a refusal. A node that cannot be reached is nothing unusual.
    async fn report(&self, error: OpenError) {
        let OpenError::Refused { why, text } = error else {
            return;
        };
        if why == Refusal::StaleStore {
            let _ = self.events.send(NodeEvent::StaleStore(text)).await;
        } else {
            warn!(node = self.id.0, ?why, text, "refused by a peer");
        }
    }

    /// Sends what is queued and takes responses to forwarded requests until the connection fails.
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
