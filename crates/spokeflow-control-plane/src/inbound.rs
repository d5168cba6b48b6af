//! Connections that routers, operators and other nodes open to this one.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::wire::{
    Caller, ClusterParameters, FromNode, Refusal, ToNode, LIMIT, MAGIC, VERSION,
};
use spokeflow_proto::{FrameCodec, FrameError};
use spokeflow_raft::NodeId;
use spokeflow_runtime::Clock;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tracing::info;

use crate::link::{send_queued, Link};
use crate::node_event::{NodeEvent, PeerHello};

/// Time that a caller has to send its opening message, and to accept what is sent to it.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest frame, in bytes, before the caller is admitted.
const HELLO_LIMIT: usize = 4096;
/// Longest frame of a router or an operator, in bytes; a proposal is the longest of them.
const REQUEST_LIMIT: usize = 64 << 10;
/// Initial size of the read buffer of a connection, in bytes: small, since there are thousands of routers.
const READ_BUFFER: usize = 512;
/// Maximum number of responses queued for one caller; the connection of a caller that does not read them is closed.
const RESPONSE_QUEUE: usize = 256;
/// Pause after a connection could not be accepted, for example because the file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The part that all inbound connections share.
#[derive(Clone)]
pub(crate) struct InboundContext {
    pub(crate) own: NodeId,
    pub(crate) parameters: ClusterParameters,
    pub(crate) events: mpsc::Sender<NodeEvent>,
    pub(crate) clock: Arc<Clock>,
}

/// Accepts connections, at most `max_connections` at a time, until the task is aborted.
pub(crate) async fn accept_connections(
    listener: TcpListener,
    max_connections: usize,
    context: InboundContext,
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut last_connection = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without a permit the connection is closed at once: a router then tries another node.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        last_connection += 1;
        let connection = InboundConnection {
            connection: last_connection,
            context: context.clone(),
            _permit: permit,
        };
        tokio::spawn(connection.run(stream));
    }
}

/// One inbound connection.
struct InboundConnection {
    /// Number of the connection, counted from 1 since the start of the process.
    connection: u64,
    context: InboundContext,
    _permit: OwnedSemaphorePermit,
}

/// Why a caller is not admitted, as sent to it.
struct CallerRefusal {
    why: Refusal,
    text: String,
}

type CallerLink = Link<ToNode, FromNode>;

impl InboundConnection {
    async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link: CallerLink =
            Framed::with_capacity(stream, FrameCodec::new(HELLO_LIMIT), READ_BUFFER);
        let Ok(Some(Ok(first))) = timeout(CALLER_TIMEOUT, link.next()).await else {
            return;
        };
        match self.admit(first).await {
            Ok(caller) => {
                self.serve(link, caller).await;
                let disconnected = NodeEvent::Disconnected {
                    connection: self.connection,
                };
                let _ = self.context.events.send(disconnected).await;
            }
            Err(refusal) => self.refuse(link, refusal).await,
        }
    }

    async fn refuse(&self, mut link: CallerLink, refusal: CallerRefusal) {
        let CallerRefusal { why, text } = refusal;
        if let Some(suppressed) = self.context.clock.allow_log_line() {
            info!(
                connection = self.connection,
                ?why,
                text,
                suppressed,
                "caller refused"
            );
        }
        let refused = FromNode::Refused { why, text };
        let _ = timeout(CALLER_TIMEOUT, link.send(refused)).await;
    }

    /// Checks the opening message and returns the caller that it names.
    async fn admit(&self, first: ToNode) -> Result<Caller, CallerRefusal> {
        let ToNode::Hello {
            magic,
            version,
            caller,
        } = first
        else {
            return Err(CallerRefusal {
                why: Refusal::OutOfOrder,
                text: "an opening message comes first".into(),
            });
        };
        if magic != MAGIC || version != VERSION {
            return Err(CallerRefusal {
                why: Refusal::Version,
                text: format!("this node has version {VERSION} of the control-plane protocol"),
            });
        }
        if matches!(caller, Caller::Node { .. }) {
            self.admit_peer(&caller).await?;
        }
        Ok(caller)
    }

    async fn admit_peer(&self, caller: &Caller) -> Result<(), CallerRefusal> {
        let Caller::Node {
            id,
            start,
            processes,
            parameters,
            addresses,
        } = caller
        else {
            return Ok(());
        };
        if *parameters != self.context.parameters {
            return Err(CallerRefusal {
                why: Refusal::ConfigMismatch,
                text: format!(
                    "node {} was configured with {parameters:?}, this one with {:?}",
                    id.0, self.context.parameters
                ),
            });
        }
        // The node task decides, since it knows all starts that were seen; it answers once this start is on the disk.
        let (admission, admitted) = oneshot::channel();
        let hello = PeerHello {
            id: *id,
            start: *start,
            processes: processes.clone(),
            addresses: addresses.clone(),
            admission,
        };
        let _ = self.context.events.send(NodeEvent::PeerHello(hello)).await;
        match admitted.await {
            Ok(Err(error)) => Err(CallerRefusal {
                why: Refusal::StaleStore,
                text: error.to_string(),
            }),
            // If the node task has ended, the connection ends at its next event.
            _ => Ok(()),
        }
    }

    /// Passes requests to the node task and responses to the caller until either side ends the connection.
    async fn serve(&self, mut link: CallerLink, caller: Caller) {
        let peer = match caller {
            Caller::Node { id, .. } => Some(id),
            Caller::Router { .. } | Caller::Operator => None,
        };
        let limit = if peer.is_some() { LIMIT } else { REQUEST_LIMIT };
        link.codec_mut().set_limit(limit);
        let (responses, mut queue) = mpsc::channel(RESPONSE_QUEUE);
        let connected = NodeEvent::Connected {
            connection: self.connection,
            responses,
        };
        if self.context.events.send(connected).await.is_err() {
            return;
        }
        let welcome = FromNode::Welcome {
            node: self.context.own,
            parameters: self.context.parameters,
        };
        if !matches!(
            timeout(CALLER_TIMEOUT, link.send(welcome)).await,
            Ok(Ok(()))
        ) {
            return;
        }
        loop {
            tokio::select! {
                read = link.next() => {
                    let Some(event) = self.event_of(read, peer) else { return };
                    if self.context.events.send(event).await.is_err() {
                        return;
                    }
                }
                response = queue.recv() => {
                    let Some(first) = response else { return };
                    let sending = send_queued(&mut link, first, &mut queue);
                    if !matches!(timeout(CALLER_TIMEOUT, sending).await, Ok(Ok(()))) {
                        return;
                    }
                }
            }
        }
    }

    /// Converts a message that was read to an event; `None` if the connection is to be closed.
    fn event_of(
        &self,
        read: Option<Result<ToNode, FrameError>>,
        peer: Option<NodeId>,
    ) -> Option<NodeEvent> {
        match read?.ok()? {
            ToNode::Request { number, request } => Some(NodeEvent::Request {
                connection: self.connection,
                number,
                forwarded: peer.is_some(),
                request,
            }),
            ToNode::Raft(message) => Some(NodeEvent::PeerMessage {
                from: peer?,
                message,
            }),
            ToNode::Hello { .. } => None,
        }
    }
}
