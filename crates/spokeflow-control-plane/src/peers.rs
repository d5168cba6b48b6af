//! Links that a keeper makes to the others: what it says leaves on its own, what it hears comes on theirs.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::wire::{Caller, FromNode, Refusal, ToNode, LIMIT};
use spokeflow_proto::FrameCodec;
use spokeflow_raft::NodeId;
use spokeflow_runtime::Backoff;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::event::NodeEvent;

/// A keeper that is not reached, or takes no byte, for this long is tried on a new connection.
const PATIENCE: Duration = Duration::from_secs(1);
pub const FIRST_PAUSE: Duration = Duration::from_millis(20);
pub const LONGEST_PAUSE: Duration = Duration::from_millis(500);

pub struct PeerLink {
    pub id: NodeId,
    pub address: SocketAddr,
    pub caller: Caller,
    /// Told with each call, as it is then.
    pub addresses: watch::Receiver<Vec<(NodeId, String)>>,
    pub backoff: Backoff,
    pub core: mpsc::Sender<NodeEvent>,
    pub queue: mpsc::Receiver<ToNode>,
}

type Link = Framed<TcpStream, FrameCodec<FromNode, ToNode>>;

impl PeerLink {
    pub async fn run(mut self) {
        let mut failures = 0;
        while !self.core.is_closed() {
            match timeout(PATIENCE, self.open()).await {
                Ok(Ok(link)) => {
                    if failures > 0 {
                        info!(keeper = self.id.0, failures, "keeper reached again");
                    }
                    failures = 0;
                    self.talk(link).await;
                }
                Ok(Err(Some((Refusal::StaleStore, text)))) => {
                    let _ = self.core.send(NodeEvent::OldDisk(text)).await;
                }
                Ok(Err(Some((why, text)))) => {
                    warn!(keeper = self.id.0, ?why, text, "refused by a keeper");
                }
                _ => {}
            }
            failures += 1;
            sleep(self.backoff.delay(failures)).await;
            // What was meant for the connection before is lost, as any message may be.
            while self.queue.try_recv().is_ok() {}
        }
    }

    async fn open(&self) -> Result<Link, Option<(Refusal, String)>> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| None)?;
        let _ = stream.set_nodelay(true);
        let mut link: Link = Framed::with_capacity(stream, FrameCodec::new(LIMIT), 4096);
        let mut caller = self.caller.clone();
        if let Caller::Node { addresses, .. } = &mut caller {
            addresses.clone_from(&self.addresses.borrow());
        }
        link.send(ToNode::hello(caller)).await.map_err(|_| None)?;
        match link.next().await {
            Some(Ok(FromNode::Welcome { .. })) => Ok(link),
            Some(Ok(FromNode::Refused { why, text })) => Err(Some((why, text))),
            _ => Err(None),
        }
    }

    async fn talk(&mut self, mut link: Link) {
        loop {
            tokio::select! {
                message = self.queue.recv() => {
                    let Some(message) = message else { return };
                    let sending = async {
                        link.feed(message).await?;
                        while let Ok(message) = self.queue.try_recv() {
                            link.feed(message).await?;
                        }
                        link.flush().await
                    };
                    match timeout(PATIENCE, sending).await {
                        Ok(Ok(())) => {}
                        _ => return,
                    }
                }
                heard = link.next() => match heard {
                    Some(Ok(FromNode::Response { number, response: answer })) => {
                        if self.core.send(NodeEvent::PassedBack(number, answer)).await.is_err() {
                            return;
                        }
                    }
                    _ => return,
                },
            }
        }
    }
}
