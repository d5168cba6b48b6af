//! The peers of a router under load: hosts that answer after a fixed time, an endpoint registry and a release controller
//! whose contents do not change, a control-plane node, and a node that accepts connections and sends nothing.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};
use tokio_util::codec::Framed;

use super::LoadError;
use crate::routers::{ChildProcess, Starting};

const RELEASED_BUILD: u16 = 1;
const CANARY_BUILD: u16 = 2;
/// Every fourth host runs the canary build in a load that has one.
const CANARY_HOST_EVERY: usize = 4;
/// Exposure cap that the release controller sets for the canary build.
const CANARY_EXPOSURE_CAP: f32 = 0.35;
/// Uptime that hosts report: long enough that routers do not treat them as recently started.
const HOST_UPTIME_US: u64 = 1 << 40;
/// Period in seconds in which each host is faulty for one second, so that a fifth of the hosts are faulty at a time.
const FAULT_PERIOD_S: u64 = 5;
/// Factor on the answer time of a slow host.
const SLOW_HOST_FACTOR: u32 = 20;

type HostLink = Framed<TcpStream, FrameCodec<ToHost, FromHost>>;

/// How the hosts of a load answer.
#[derive(Clone, Copy)]
pub(super) struct HostBehavior {
    /// Time from a delivery to its answer.
    pub(super) answer_after: Duration,
    /// Start of the faults that hosts have in turn, or `None` for no faults.
    pub(super) faulty_since: Option<Instant>,
}

/// Starts hosts and returns their addresses.
pub(super) async fn start_hosts(
    count: u32,
    behavior: HostBehavior,
) -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for host in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_host(stream, host, behavior));
            }
        });
    }
    Ok(addresses)
}

/// The current fault of a host.
enum HostFault {
    Hangs,
    Errors,
    Resets,
    Slow,
}

impl HostBehavior {
    /// Returns the current fault of a host.
    fn fault(&self, host: u32) -> Option<HostFault> {
        let seconds = self.faulty_since?.elapsed().as_secs();
        if !(seconds + u64::from(host)).is_multiple_of(FAULT_PERIOD_S) {
            return None;
        }
        Some(match host % 4 {
            0 => HostFault::Hangs,
            1 => HostFault::Errors,
            2 => HostFault::Resets,
            _ => HostFault::Slow,
        })
    }
}

/// An answer and the time at which it is sent.
struct DueAnswer {
    at: Instant,
    message: FromHost,
}

async fn serve_host(stream: TcpStream, host: u32, behavior: HostBehavior) {
    let _ = stream.set_nodelay(true);
    let (sink, source) = HostLink::new(stream, FrameCodec::new(WORK_LIMIT)).split();
    // Unbounded: the load bounds the open deliveries, and a full queue would make the host seem slow.
    let (answers, due) = mpsc::unbounded_channel();
    tokio::spawn(send_answers(sink, due));
    answer_deliveries(source, host, behavior, answers).await;
}

async fn answer_deliveries(
    mut source: SplitStream<HostLink>,
    host: u32,
    behavior: HostBehavior,
    answers: mpsc::UnboundedSender<DueAnswer>,
) {
    while let Some(Ok(message)) = source.next().await {
        let now = Instant::now();
        let (at, message) = match message {
            ToHost::Hello(_) => {
                let welcome = FromHost::Welcome {
                    host,
                    build: RELEASED_BUILD,
                    incarnation: 1,
                    up_us: HOST_UPTIME_US,
                };
                (now, welcome)
            }
            ToHost::Deliver { delivery, body, .. } => {
                let acked = FromHost::Acked { delivery, body };
                let answer_after = behavior.answer_after;
                match behavior.fault(host) {
                    None => (now + answer_after, acked),
                    Some(HostFault::Hangs) => continue,
                    Some(HostFault::Errors) => (now, FromHost::Error { delivery }),
                    Some(HostFault::Resets) => return,
                    Some(HostFault::Slow) => (now + SLOW_HOST_FACTOR * answer_after, acked),
                }
            }
            ToHost::Ping => (now, FromHost::Pong),
            _ => continue,
        };
        if answers.send(DueAnswer { at, message }).is_err() {
            return;
        }
    }
}

/// Sends answers in order, each at its time, and flushes only before a wait.
async fn send_answers(
    mut sink: SplitSink<HostLink, FromHost>,
    mut due: mpsc::UnboundedReceiver<DueAnswer>,
) {
    while let Some(DueAnswer { at, message }) = due.recv().await {
        if at > Instant::now() {
            // Earlier answers are written before the wait for this one.
            if sink.flush().await.is_err() {
                return;
            }
            sleep_until(at).await;
        }
        if sink.feed(message).await.is_err() || due.is_empty() && sink.flush().await.is_err() {
            return;
        }
    }
}

/// Starts an endpoint registry that lists the hosts, and returns its address.
pub(super) async fn start_list(hosts: &[SocketAddr], canary: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let list_address = listener.local_addr()?;
    let endpoints: Vec<EndpointRecord> = hosts
        .iter()
        .enumerate()
        .map(|(index, address)| EndpointRecord {
            host: index as u32,
            address: address.to_string(),
            build: Some(match canary && index % CANARY_HOST_EVERY == 0 {
                true => CANARY_BUILD,
                false => RELEASED_BUILD,
            }),
            cell: 0,
            zone: 0,
            phase: EndpointPhase::Ready,
            incarnation: 1,
            up_us: None,
        })
        .collect();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_list(stream, endpoints.clone()));
        }
    });
    Ok(list_address)
}

async fn serve_list(stream: TcpStream, endpoints: Vec<EndpointRecord>) {
    let mut link: Framed<_, FrameCodec<ToList, FromList>> =
        Framed::new(stream, FrameCodec::new(LIST_LIMIT));
    while let Some(Ok(message)) = link.next().await {
        let answer = match message {
            ToList::Hello(_) => FromList::Welcome,
            ToList::Watch { have: Some(_) } => FromList::Changes {
                version: 1,
                endpoints: vec![],
            },
            _ => FromList::Complete {
                version: 1,
                endpoints: endpoints.clone(),
            },
        };
        if link.send(answer).await.is_err() {
            return;
        }
    }
}

/// Starts a release controller, and returns its address.
pub(super) async fn start_release_controller(canary: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_release_controller(stream, canary));
        }
    });
    Ok(address)
}

async fn serve_release_controller(stream: TcpStream, canary: bool) {
    let mut link: Framed<_, FrameCodec<ToController, FromController>> =
        Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    let (build, phase, exposure_cap) = match canary {
        true => (CANARY_BUILD, RolloutPhase::Canary, CANARY_EXPOSURE_CAP),
        false => (RELEASED_BUILD, RolloutPhase::Released, 1.0),
    };
    let update = RolloutUpdate {
        build,
        stage: 2,
        phase,
        exposure_cap,
        age_us: 0,
    };
    for message in [
        FromController::Welcome,
        FromController::RolloutUpdate(update),
    ] {
        if link.send(message).await.is_err() {
            return;
        }
    }
    while let Some(Ok(_)) = link.next().await {}
}

/// Starts a single control-plane node, which elects itself leader and grants leases.
pub(super) async fn start_node(starting: &Starting) -> Result<ChildProcess, LoadError> {
    let store = std::env::temp_dir().join(format!("spokeflow-load-{}.redb", std::process::id()));
    // An earlier run may have left the file.
    let _ = std::fs::remove_file(&store);
    let starting = Starting {
        first: vec!["keeper".into()],
        ..starting.clone()
    };
    let flags = [
        "--id=1".into(),
        "--listen=127.0.0.1:0".into(),
        "--member=1=127.0.0.1:1".into(),
        format!("--store={}", store.display()),
    ];
    let started = ChildProcess::start(&starting, &flags, "keeper").await;
    // The node keeps the file open and works on without its name.
    let _ = std::fs::remove_file(&store);
    Ok(started?)
}

/// Starts a node that accepts connections and sends nothing, and returns its address.
pub(super) async fn start_unresponsive_node() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    Ok(address)
}
