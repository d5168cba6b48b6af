//! The peers of a router under load: hosts that answer after a fixed time, a registry and a release controller that
//! do not change, a node of the control plane, and one that is unresponsive.

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
use crate::routers::{RouterProcess, Starting};

const RELEASED_BUILD: u16 = 1;
const CANARY_BUILD: u16 = 2;
/// One host in so many runs the canary build, where there is one.
const CANARY_HOST_EVERY: usize = 4;
/// What the release controller lets the canary build take.
const CANARY_EXPOSURE_CAP: f32 = 0.35;
/// Uptime that hosts report: long enough for no router to treat them as recently started.
const HOST_UPTIME_US: u64 = 1 << 40;
/// Every host has a fault for one second in so many, a fifth of the hosts at a time.
const FAULT_PERIOD_S: u64 = 5;
/// By how many times a slow host answers later.
const SLOW_HOST_FACTOR: u32 = 20;

type HostLink = Framed<TcpStream, FrameCodec<ToHost, FromHost>>;

/// What hosts do.
#[derive(Clone, Copy)]
pub(super) struct HostBehavior {
    /// From a delivery to its answer.
    pub(super) answer_after: Duration,
    /// Since when they have faults in turn; `None` where they have none.
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

/// What is wrong with a host for the moment.
enum HostFault {
    Hangs,
    Errors,
    Resets,
    Slow,
}

impl HostBehavior {
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

/// An answer and when it leaves.
struct DueAnswer {
    at: Instant,
    message: FromHost,
}

async fn serve_host(stream: TcpStream, host: u32, behavior: HostBehavior) {
    let _ = stream.set_nodelay(true);
    let (sink, source) = HostLink::new(stream, FrameCodec::new(WORK_LIMIT)).split();
    // Unbounded: the load bounds what is under way, and a full queue would show as a slow host.
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

/// Sends answers in order, each at its time, with as few writes as possible.
async fn send_answers(
    mut sink: SplitSink<HostLink, FromHost>,
    mut due: mpsc::UnboundedReceiver<DueAnswer>,
) {
    while let Some(DueAnswer { at, message }) = due.recv().await {
        if at > Instant::now() {
            // What has been answered leaves before this one is waited for.
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

/// Starts a registry of these hosts, and returns its address.
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

/// Starts one node alone: it leads, and grants leases.
pub(super) async fn start_node(starting: &Starting) -> Result<RouterProcess, LoadError> {
    let store = std::env::temp_dir().join(format!("spokeflow-load-{}.redb", std::process::id()));
    // Of an earlier run, if any.
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
    let started = RouterProcess::start(&starting, &flags, "keeper").await;
    // The node has the file open and needs no name for it.
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
