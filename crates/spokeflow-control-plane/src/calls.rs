//! Connections that others make to a keeper.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::wire::{
    Caller, ClusterParameters, FromNode, Refusal, ToNode, LIMIT, MAGIC, VERSION,
};
use spokeflow_proto::FrameCodec;
use spokeflow_raft::NodeId;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tracing::info;

use spokeflow_runtime::Clock;

use crate::event::NodeEvent;

/// A caller says who it is, and takes what it is sent, within this time.
const PATIENCE: Duration = Duration::from_secs(2);
/// Longest frame, in bytes, before the caller has said who it is.
const HELLO_LIMIT: usize = 4096;
/// Longest frame of a router or a person, in bytes: an offer.
const ASK_LIMIT: usize = 64 << 10;
/// Answers that wait for one caller at most; one that does not read them is closed.
pub const ANSWERS: usize = 256;

pub struct Call {
    pub conn: u64,
    pub own: NodeId,
    pub common: ClusterParameters,
    pub core: mpsc::Sender<NodeEvent>,
    pub clock: Arc<Clock>,
    pub _place: OwnedSemaphorePermit,
}

type Link = Framed<TcpStream, FrameCodec<ToNode, FromNode>>;

impl Call {
    pub async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link: Link = Framed::with_capacity(stream, FrameCodec::new(HELLO_LIMIT), 512);
        let Ok(Some(Ok(first))) = timeout(PATIENCE, link.next()).await else {
            return;
        };
        let refused = match self.admit(first).await {
            Ok(caller) => {
                let keeper = matches!(caller, Caller::Node { .. });
                link.codec_mut()
                    .set_limit(if keeper { LIMIT } else { ASK_LIMIT });
                self.talk(link, caller).await;
                let _ = self.core.send(NodeEvent::Left(self.conn)).await;
                return;
            }
            Err(refused) => refused,
        };
        if let Some(kept_back) = self.clock.allow_log_line() {
            info!(conn = self.conn, why = ?refused.0, text = refused.1, kept_back, "caller refused");
        }
        let _ = timeout(
            PATIENCE,
            link.send(FromNode::Refused {
                why: refused.0,
                text: refused.1,
            }),
        )
        .await;
    }

    async fn admit(&self, first: ToNode) -> Result<Caller, (Refusal, String)> {
        let ToNode::Hello {
            magic,
            version,
            caller,
        } = first
        else {
            return Err((Refusal::OutOfOrder, "an opening message comes first".into()));
        };
        if magic != MAGIC || version != VERSION {
            return Err((
                Refusal::Version,
                format!("this end speaks version {VERSION} of keepers"),
            ));
        }
        if let Caller::Node {
            id,
            start,
            processes,
            parameters: common,
            addresses,
        } = &caller
        {
            if *common != self.common {
                let text = format!(
                    "keeper {} was told {common:?}, this one {:?}",
                    id.0, self.common
                );
                return Err((Refusal::ConfigMismatch, text));
            }
            // Answered by the task that knows all that was met, once it is on the disk.
            let (answer, met) = oneshot::channel();
            let asked = NodeEvent::Met {
                id: *id,
                start: *start,
                processes: processes.clone(),
                addresses: addresses.clone(),
                answer,
            };
            let _ = self.core.send(asked).await;
            if let Ok(Err(text)) = met.await {
                return Err((Refusal::StaleStore, text));
            }
        }
        Ok(caller)
    }

    async fn talk(&self, mut link: Link, caller: Caller) {
        let (answers, mut to_send) = mpsc::channel(ANSWERS);
        let welcome = FromNode::Welcome {
            node: self.own,
            parameters: self.common,
        };
        let keeper = match caller {
            Caller::Node { id, .. } => Some(id),
            _ => None,
        };
        if self
            .core
            .send(NodeEvent::Came(self.conn, answers))
            .await
            .is_err()
        {
            return;
        }
        if !matches!(timeout(PATIENCE, link.send(welcome)).await, Ok(Ok(()))) {
            return;
        }
        loop {
            tokio::select! {
                read = link.next() => {
                    let arrival = match read {
                        Some(Ok(ToNode::Request { number, request: ask })) => {
                            NodeEvent::Asked { conn: self.conn, number, keeper: keeper.is_some(), ask }
                        }
                        Some(Ok(ToNode::Raft(message))) => match keeper {
                            Some(from) => NodeEvent::Heard(from, message),
                            None => return,
                        },
                        _ => return,
                    };
                    if self.core.send(arrival).await.is_err() {
                        return;
                    }
                }
                answer = to_send.recv() => {
                    let Some((number, answer)) = answer else { return };
                    let sending = async {
                        link.feed(FromNode::Response { number, response: answer }).await?;
                        while let Ok((number, answer)) = to_send.try_recv() {
                            link.feed(FromNode::Response { number, response: answer }).await?;
                        }
                        link.flush().await
                    };
                    if !matches!(timeout(PATIENCE, sending).await, Ok(Ok(()))) {
                        return;
                    }
                }
            }
        }
    }
}
