//! The link to the host list's source, which the leading keeper reads.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_coordination::{HostState, ListedHost, SourceUpdate};
use spokeflow_proto::{
    EndpointPhase, EndpointRecord, FrameCodec, FromList, Hello, Role, ToList, LIST_LIMIT,
};
use spokeflow_runtime::Backoff;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::event::NodeEvent;

const PATIENCE: Duration = Duration::from_secs(1);
/// The whole list is asked for this often: news that was not taken in, for whatever reason, comes again.
const WHOLE_EVERY: Duration = Duration::from_secs(2);

pub struct ListLink {
    pub address: SocketAddr,
    pub backoff: Backoff,
    pub core: mpsc::Sender<NodeEvent>,
    /// Whether this keeper is the one to read.
    pub reads: watch::Receiver<bool>,
}

impl ListLink {
    pub async fn run(mut self) {
        let mut failures = 0;
        loop {
            if self.reads.wait_for(|reads| *reads).await.is_err() {
                return;
            }
            info!("reads the host list");
            match self.read().await {
                Ok(()) => failures = 0,
                Err(what) => {
                    failures += 1;
                    warn!(failures, what, "host list cannot be read");
                    sleep(self.backoff.delay(failures)).await;
                }
            }
        }
    }

    /// Until another keeper is to read. Errors: the source, in a few words.
    async fn read(&mut self) -> Result<(), String> {
        let opening = async {
            let stream = TcpStream::connect(self.address)
                .await
                .map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            let mut link: Framed<TcpStream, FrameCodec<FromList, ToList>> =
                Framed::new(stream, FrameCodec::new(LIST_LIMIT));
            // Of the routers' kind: the list tells its callers apart by nothing else.
            link.send(ToList::Hello(Hello::new(Role::Router, 0, 0)))
                .await
                .map_err(|e| e.to_string())?;
            match link.next().await {
                Some(Ok(FromList::Welcome)) => {}
                other => return Err(format!("no welcome but {other:?}")),
            }
            link.send(ToList::Watch { have: None })
                .await
                .map_err(|e| e.to_string())?;
            Ok(link)
        };
        let mut link = timeout(PATIENCE, opening)
            .await
            .map_err(|_| "no answer in time".to_string())??;
        let mut unheard = 0;
        loop {
            tokio::select! {
                read = link.next() => {
                    unheard = 0;
                    let news = match read {
                        Some(Ok(FromList::Complete { version, endpoints: lines })) => news(version, true, lines),
                        Some(Ok(FromList::Changes { version, endpoints: lines })) => news(version, false, lines),
                        Some(Ok(FromList::Sizes { .. } | FromList::Failed | FromList::Welcome)) => continue,
                        Some(Ok(FromList::Refused(refused))) => return Err(refused.text),
                        Some(Err(fault)) => return Err(fault.to_string()),
                        None => return Err("the connection ended".into()),
                    };
                    if self.core.send(NodeEvent::List(news)).await.is_err() {
                        return Ok(());
                    }
                }
                changed = self.reads.changed() => {
                    if changed.is_err() || !*self.reads.borrow() {
                        return Ok(());
                    }
                }
                _ = sleep(WHOLE_EVERY) => {
                    unheard += 1;
                    if unheard > 3 {
                        return Err("it says nothing".into());
                    }
                    timeout(PATIENCE, link.send(ToList::Fetch)).await.map_err(|_| "it does not read")?.map_err(|e| e.to_string())?;
                }
            }
        }
    }
}

fn news(version: u64, whole: bool, lines: Vec<EndpointRecord>) -> SourceUpdate {
    let host = |line: EndpointRecord| {
        let EndpointRecord {
            host,
            address,
            build,
            cell,
            zone,
            phase,
            incarnation,
            up_us,
        } = line;
        let state = match phase {
            EndpointPhase::Gone => HostState::Gone,
            EndpointPhase::Ready => HostState::Ready,
            EndpointPhase::Draining => HostState::Draining,
        };
        ListedHost {
            host,
            address,
            build,
            cell,
            zone,
            state,
            incarnation,
            up_us,
        }
    };
    SourceUpdate {
        version,
        complete: whole,
        hosts: lines.into_iter().map(host).collect(),
    }
}
