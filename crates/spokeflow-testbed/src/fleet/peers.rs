//! The servers to which the routers of the rig connect: hosts that ack every delivery, an endpoint registry that
//! changes only when the rig drains a host, and a release controller that stays at one stage. Also holds the records of
//! hosts and clients.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{interval, sleep, Instant};
use tokio_util::codec::Framed;

use super::clients::{command_number, CommandRecord};
use crate::locked;
use crate::Micros;

/// The released build, which hosts with even numbers run.
pub(super) const RELEASED_BUILD: u16 = 1;
/// The canary build, which hosts with odd numbers run.
pub(super) const CANARY_BUILD: u16 = 2;

/// Interval at which the rig measures the delay of its own tasks.
const LAG_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two rollout updates of the release controller.
const ROLLOUT_INTERVAL: Duration = Duration::from_secs(1);
/// Uptime that hosts report: long enough for no router to treat them as recently started.
const HOST_UPTIME_US: u64 = 3_600_000_000;
/// Connections that the silent registry keeps open, the newest ones. Must be more than the routers that run at a time.
const SILENT_CONNECTIONS: usize = 200;

/// A delivery as its host received it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeliveryRecord {
    pub(super) at: Micros,
    pub(super) router: u32,
    pub(super) host: u32,
    pub(super) build: u16,
    pub(super) command: u64,
}

/// Records of hosts and clients.
#[derive(Default)]
pub(super) struct Recorded {
    pub(super) deliveries: Vec<DeliveryRecord>,
    /// By command number.
    pub(super) commands: HashMap<u64, CommandRecord>,
}

/// The endpoints that the registry serves.
#[derive(Clone, Default)]
pub(super) struct EndpointList {
    version: u64,
    endpoints: Vec<EndpointRecord>,
}

/// Addresses of the servers to which routers connect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerAddresses {
    /// The endpoint registry.
    pub(crate) list: SocketAddr,
    pub(crate) release_controller: SocketAddr,
    /// A registry that accepts connections and sends nothing.
    pub(crate) silent_list: SocketAddr,
}

/// The servers to which routers connect, and the records of hosts and clients.
pub(crate) struct Peers {
    start: Instant,
    list: watch::Sender<EndpointList>,
    pub(super) recorded: Mutex<Recorded>,
    /// By number of the router: the address at which it listens, `None` while it does not run.
    pub(super) router_addresses: Mutex<Vec<Option<SocketAddr>>>,
    /// Longest delay of a task of this program. On a busy machine records may be this late through no fault of a
    /// router.
    lag: Mutex<Micros>,
}

impl Peers {
    /// Creates the peers of a number of routers. Times of records count from `start`.
    pub(crate) fn new(start: Instant, routers: usize) -> Arc<Peers> {
        Arc::new(Peers {
            start,
            list: watch::Sender::new(EndpointList::default()),
            recorded: Mutex::default(),
            router_addresses: Mutex::new(vec![None; routers]),
            lag: Mutex::default(),
        })
    }

    pub(super) fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Measures the delay of this program's tasks. Never ends.
    pub(super) async fn watch_lag(self: Arc<Self>) {
        loop {
            let before = Instant::now();
            sleep(LAG_INTERVAL).await;
            let late = before.elapsed().as_micros() as Micros - LAG_INTERVAL.as_micros() as Micros;
            let mut lag = locked(&self.lag);
            *lag = late.max(*lag);
        }
    }

    /// Returns the longest lag so far.
    pub(super) fn lag(&self) -> Micros {
        *locked(&self.lag)
    }

    /// Sets the address at which a router listens; `None` while it does not run.
    pub(super) fn set_router_address(&self, router: u32, address: Option<SocketAddr>) {
        locked(&self.router_addresses)[router as usize] = address;
    }

    /// Returns all records so far and clears them.
    pub(super) fn take_recorded(&self) -> Recorded {
        std::mem::take(&mut *locked(&self.recorded))
    }

    /// Returns whether a router has delivered to the canary build since `since`.
    pub(super) fn used_canary_since(&self, router: u32, since: Micros) -> bool {
        let recorded = locked(&self.recorded);
        let recent = recorded.deliveries.iter().rev();
        recent
            .take_while(|delivery| delivery.at >= since)
            .any(|delivery| delivery.router == router && delivery.build == CANARY_BUILD)
    }

    /// Lists a ready host as draining, and any other host as ready in its next incarnation.
    pub(super) fn toggle_drain(&self, host: u32) {
        self.list.send_modify(|list| {
            list.version += 1;
            let mut endpoints = list.endpoints.iter_mut();
            let Some(endpoint) = endpoints.find(|endpoint| endpoint.host == host) else {
                return;
            };
            if endpoint.phase == EndpointPhase::Ready {
                endpoint.phase = EndpointPhase::Draining;
            } else {
                endpoint.phase = EndpointPhase::Ready;
                endpoint.incarnation += 1;
            }
        });
    }

    fn incarnation(&self, host: u32) -> u64 {
        let list = self.list.borrow();
        let mut endpoints = list.endpoints.iter();
        endpoints
            .find(|endpoint| endpoint.host == host)
            .map_or(1, |endpoint| endpoint.incarnation)
    }

    /// Starts a number of hosts, the endpoint registry, the release controller and a silent registry.
    ///
    /// # Errors
    ///
    /// Fails if no port is available.
    pub(crate) async fn open(self: &Arc<Self>, hosts: u32) -> std::io::Result<PeerAddresses> {
        let mut endpoints = Vec::new();
        for host in 0..hosts {
            endpoints.push(self.open_host(host).await?);
        }
        self.list.send_replace(EndpointList {
            version: 1,
            endpoints,
        });
        Ok(PeerAddresses {
            list: self.open_list().await?,
            release_controller: open_release_controller().await?,
            silent_list: open_silent_list().await?,
        })
    }

    async fn open_host(self: &Arc<Self>, host: u32) -> std::io::Result<EndpointRecord> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let build = match host % 2 {
            0 => RELEASED_BUILD,
            _ => CANARY_BUILD,
        };
        let peers = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(peers.clone().serve_host(host, build, stream));
            }
        });
        Ok(EndpointRecord {
            host,
            address,
            build: Some(build),
            cell: 0,
            zone: 0,
            phase: EndpointPhase::Ready,
            incarnation: 1,
            up_us: None,
        })
    }

    async fn open_list(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let peers = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_list(stream, peers.list.subscribe()));
            }
        });
        Ok(address)
    }

    /// Serves a router's connection to a host: records and acks each delivery.
    async fn serve_host(self: Arc<Self>, host: u32, build: u16, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link: Framed<TcpStream, FrameCodec<ToHost, FromHost>> =
            Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        let Some(Ok(ToHost::Hello(hello))) = link.next().await else {
            return;
        };
        let welcome = FromHost::Welcome {
            host,
            build,
            incarnation: self.incarnation(host),
            up_us: HOST_UPTIME_US,
        };
        if link.send(welcome).await.is_err() {
            return;
        }
        while let Some(Ok(message)) = link.next().await {
            let answer = match message {
                ToHost::Deliver { delivery, body, .. } => {
                    locked(&self.recorded).deliveries.push(DeliveryRecord {
                        at: self.now(),
                        router: hello.index,
                        host,
                        build,
                        command: command_number(&body),
                    });
                    FromHost::Acked {
                        delivery,
                        body: Bytes::new(),
                    }
                }
                ToHost::Ping => FromHost::Pong,
                ToHost::Probe { probe } => FromHost::Probed { probe },
                _ => continue,
            };
            if link.send(answer).await.is_err() {
                return;
            }
        }
    }
}

async fn open_release_controller() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_release_controller(stream));
        }
    });
    Ok(address)
}

async fn open_silent_list() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let mut connections = VecDeque::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.push_back(stream);
            connections.drain(..connections.len().saturating_sub(SILENT_CONNECTIONS));
        }
    });
    Ok(address)
}

async fn serve_list(stream: TcpStream, mut list: watch::Receiver<EndpointList>) {
    let mut link: Framed<TcpStream, FrameCodec<ToList, FromList>> =
        Framed::new(stream, FrameCodec::new(LIST_LIMIT));
    let mut is_watched = false;
    loop {
        let answer = tokio::select! {
            read = link.next() => match read {
                Some(Ok(ToList::Hello(_))) => FromList::Welcome,
                Some(Ok(request)) => {
                    is_watched |= matches!(request, ToList::Watch { .. });
                    let EndpointList { version, endpoints } = list.borrow_and_update().clone();
                    FromList::Complete { version, endpoints }
                }
                _ => return,
            },
            Ok(()) = list.changed(), if is_watched => {
                let EndpointList { version, endpoints } = list.borrow_and_update().clone();
                FromList::Changes { version, endpoints }
            }
        };
        if link.send(answer).await.is_err() {
            return;
        }
    }
}

/// Serves a connection to the release controller with an exposure cap of 1, so that only the replicated configuration
/// limits deliveries to the canary build.
async fn serve_release_controller(stream: TcpStream) {
    let mut link: Framed<TcpStream, FrameCodec<ToController, FromController>> =
        Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    let Some(Ok(ToController::Hello(_))) = link.next().await else {
        return;
    };
    if link.send(FromController::Welcome).await.is_err() {
        return;
    }
    let start = Instant::now();
    let mut ticks = interval(ROLLOUT_INTERVAL);
    loop {
        let message = tokio::select! {
            read = link.next() => match read {
                Some(Ok(ToController::Vote { ballot, .. })) => FromController::Voted {
                    ballot,
                    result: VoteResult::Counted,
                },
                _ => return,
            },
            _ = ticks.tick() => FromController::RolloutUpdate(RolloutUpdate {
                build: CANARY_BUILD,
                stage: 1,
                phase: RolloutPhase::Canary,
                exposure_cap: 1.0,
                age_us: start.elapsed().as_micros() as u64,
            }),
        };
        if link.send(message).await.is_err() {
            return;
        }
    }
}
