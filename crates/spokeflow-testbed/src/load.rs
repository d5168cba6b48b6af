//! An open loop of commands through one router, or through a plain pass-through on the same codec, to hosts that
//! answer after a fixed time: what the router adds, and what it holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use serde::Serialize;
use spokeflow_proto::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

use crate::routers::{RouterProcess, Starting};

/// What a router under load follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follows {
    Nothing,
    Keeper,
    /// One that takes the connection and says nothing.
    Stalled,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub hosts: u32,
    /// Commands a second.
    pub rate: u64,
    pub seconds: u64,
    pub connections: u32,
    /// Client connections that are only open.
    pub idle: u32,
    /// Each host answers after this time.
    pub answer_after: Duration,
    /// Through the plain pass-through instead of the router.
    pub pass: bool,
    /// One client sends and never reads.
    pub stalled: bool,
    /// A quarter of the hosts run a build that is on trial, with cold starts and votes.
    pub trial: bool,
    /// A fifth of the hosts at a time, each for a second in five, hangs, errs at once, resets its connections or
    /// takes twenty times as long.
    pub bad: bool,
    pub follows: Follows,
}

#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    pub through: &'static str,
    pub hosts: u32,
    pub rate: u64,
    pub acked_per_s: f64,
    pub nacked: u64,
    pub failed: u64,
    /// From when a command was due to its answer, in milliseconds, the hosts' own time taken off.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Processor time of the router for each command, in microseconds.
    pub cpu_us: f64,
    pub resident_start_kib: u64,
    /// With all idle connections open, before the load.
    pub resident_idle_kib: u64,
    pub resident_end_kib: u64,
}

/// Hosts that answer everything after a fixed time.
async fn hosts(count: u32, after: Duration, bad: bool) -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    let since = bad.then(tokio::time::Instant::now);
    for host in 0..count {
        let port = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(port.local_addr()?);
        tokio::spawn(async move {
            while let Ok((stream, _)) = port.accept().await {
                tokio::spawn(host_link(stream, host, after, since));
            }
        });
    }
    Ok(addresses)
}

/// What is wrong with a host for the moment.
enum Ill {
    Not,
    Hangs,
    Errs,
    Resets,
    Crawls,
}

fn ill(host: u32, since: Option<tokio::time::Instant>) -> Ill {
    match since {
        Some(since) if (since.elapsed().as_secs() + u64::from(host)).is_multiple_of(5) => {
            [Ill::Hangs, Ill::Errs, Ill::Resets, Ill::Crawls]
                .into_iter()
                .nth(host as usize % 4)
                .unwrap_or(Ill::Not)
        }
        _ => Ill::Not,
    }
}

async fn host_link(
    stream: TcpStream,
    host: u32,
    after: Duration,
    bad: Option<tokio::time::Instant>,
) {
    let _ = stream.set_nodelay(true);
    let link: Framed<_, FrameCodec<ToHost, FromHost>> =
        Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    let (mut send, mut read) = link.split();
    let (due, mut answers) = mpsc::unbounded_channel::<(tokio::time::Instant, FromHost)>();
    tokio::spawn(async move {
        while let Some((at, message)) = answers.recv().await {
            if at > tokio::time::Instant::now() {
                // What has been answered leaves before this one is waited for.
                if send.flush().await.is_err() {
                    return;
                }
                sleep_until(at).await;
            }
            if send.feed(message).await.is_err()
                || answers.is_empty() && send.flush().await.is_err()
            {
                return;
            }
        }
    });
    while let Some(Ok(message)) = read.next().await {
        let now = tokio::time::Instant::now();
        let answer = match message {
            ToHost::Hello(_) => FromHost::Welcome {
                host,
                build: 1,
                incarnation: 1,
                up_us: 1 << 40,
            },
            ToHost::Deliver { delivery, body, .. } => match ill(host, bad) {
                Ill::Not => FromHost::Acked { delivery, body },
                Ill::Hangs => continue,
                Ill::Errs => FromHost::Error { delivery },
                Ill::Resets => return,
                Ill::Crawls => {
                    let late = (now + 20 * after, FromHost::Acked { delivery, body });
                    if due.send(late).is_err() {
                        return;
                    }
                    continue;
                }
            },
            ToHost::Ping => FromHost::Pong,
            _ => continue,
        };
        let at = if matches!(answer, FromHost::Acked { .. }) {
            now + after
        } else {
            now
        };
        if due.send((at, answer)).is_err() {
            return;
        }
    }
}

/// A list and a desk that say one thing.
async fn office(hosts: &[SocketAddr], trial: bool) -> std::io::Result<(SocketAddr, SocketAddr)> {
    let (list, desk) = (
        TcpListener::bind("127.0.0.1:0").await?,
        TcpListener::bind("127.0.0.1:0").await?,
    );
    let addresses = (list.local_addr()?, desk.local_addr()?);
    let line = |(n, address): (usize, &SocketAddr)| EndpointRecord {
        host: n as u32,
        address: address.to_string(),
        build: Some(if trial && n % 4 == 0 { 2 } else { 1 }),
        cell: 0,
        zone: 0,
        phase: EndpointPhase::Ready,
        incarnation: 1,
        up_us: None,
    };
    let lines: Vec<EndpointRecord> = hosts.iter().enumerate().map(line).collect();
    tokio::spawn(async move {
        while let Ok((stream, _)) = list.accept().await {
            let lines = lines.clone();
            tokio::spawn(async move {
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
                            endpoints: lines.clone(),
                        },
                    };
                    if link.send(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = desk.accept().await {
            tokio::spawn(async move {
                let mut link: Framed<_, FrameCodec<ToController, FromController>> =
                    Framed::new(stream, FrameCodec::new(WORK_LIMIT));
                let (build, standing, cap) = match trial {
                    true => (2, RolloutPhase::Canary, 0.35),
                    false => (1, RolloutPhase::Released, 1.0),
                };
                let news = RolloutUpdate {
                    build,
                    stage: 2,
                    phase: standing,
                    exposure_cap: cap,
                    age_us: 0,
                };
                for message in [FromController::Welcome, FromController::RolloutUpdate(news)] {
                    if link.send(message).await.is_err() {
                        return;
                    }
                }
                while let Some(Ok(_)) = link.next().await {}
            });
        }
    });
    Ok(addresses)
}

/// One keeper alone: it leads, and gives leases.
async fn keeper(starting: &Starting) -> Result<RouterProcess, String> {
    let store = std::env::temp_dir().join(format!("spokeflow-load-{}.redb", std::process::id()));
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
    // It has the file open and needs no name for it.
    let _ = std::fs::remove_file(&store);
    started.map_err(|e| e.to_string())
}

async fn silent() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            held.push(stream);
        }
    });
    Ok(address)
}

/// Puts the load on and measures. Errors: something cannot be started.
pub async fn put(load: &Load, starting: &Starting) -> Result<Measured, String> {
    let fault = |e: std::io::Error| e.to_string();
    let addresses = hosts(load.hosts, load.answer_after, load.bad)
        .await
        .map_err(fault)?;
    let (keeper, silent) = match load.follows {
        Follows::Keeper => (Some(keeper(starting).await?), None),
        Follows::Stalled => (None, Some(silent().await.map_err(fault)?)),
        Follows::Nothing => (None, None),
    };
    let started = if load.pass {
        let mut pass = starting.clone();
        pass.first = vec!["pass".into()];
        let flags: Vec<String> = addresses.iter().map(|a| format!("--host={a}")).collect();
        RouterProcess::start_plain(&pass, &flags).await
    } else {
        let (list, desk) = office(&addresses, load.trial).await.map_err(fault)?;
        let mut flags = vec![
            "--listen=127.0.0.1:0".into(),
            format!("--list={list}"),
            format!("--release-controller={desk}"),
            "--op=note:redeliverable:target=1s:timeout=4s".into(),
            "--max-waiting=200000".into(),
            "--seed=1".into(),
        ];
        flags.extend(
            keeper
                .as_ref()
                .map(|k| format!("--control-plane={}", k.address)),
        );
        flags.extend(silent.map(|address| format!("--control-plane={address}")));
        RouterProcess::start(starting, &flags, "router").await
    };
    let mut router = started.map_err(|e| e.to_string())?;
    sleep(Duration::from_millis(500)).await;
    let resident = |r: &RouterProcess| r.resident_kib().unwrap_or(0);
    let resident_start_kib = resident(&router);
    let mut idle = Vec::new();
    for _ in 0..load.idle {
        idle.push(client(router.address).await?);
    }
    let resident_idle_kib = resident(&router);
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let times = Arc::new(Mutex::new(
        Histogram::<u64>::new(3).map_err(|e| e.to_string())?,
    ));
    if load.stalled {
        let mut link = client(router.address).await?;
        tokio::spawn(async move {
            for id in 0.. {
                if link.send(command(id, 60_000)).await.is_err() {
                    return;
                }
            }
        });
    }
    // A router that has just started learns first how much comes back: that is no part of the measurement.
    let warm = Duration::from_secs(4);
    let start = Instant::now() + Duration::from_millis(100);
    let mut senders = Vec::new();
    for n in 0..load.connections {
        let link = client(router.address).await?;
        let (counts, times) = (counts.clone(), times.clone());
        senders.push(tokio::spawn(sender(
            link,
            load.clone(),
            n,
            start,
            warm,
            counts,
            times,
        )));
    }
    sleep(warm).await;
    let cpu = router.processor_time().unwrap_or_default();
    sleep(Duration::from_secs(load.seconds)).await;
    let cpu = router
        .processor_time()
        .unwrap_or_default()
        .saturating_sub(cpu);
    let resident_end_kib = resident(&router);
    for sender in senders {
        let _ = timeout(Duration::from_secs(10), sender).await;
    }
    router.kill().await;
    if let Some(mut keeper) = keeper {
        keeper.kill().await;
    }
    let count = |n: usize| counts[n].load(Ordering::Relaxed);
    let times = times.lock().map_err(|e| e.to_string())?;
    let at = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
    let asked = (load.rate * load.seconds) as f64;
    Ok(Measured {
        through: match load.follows {
            _ if load.pass => "pass-through",
            Follows::Nothing => "router",
            Follows::Keeper => "+ keeper",
            Follows::Stalled => "+ stalled",
        },
        hosts: load.hosts,
        rate: load.rate,
        acked_per_s: count(0) as f64 / load.seconds as f64,
        nacked: count(1),
        failed: count(2),
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        cpu_us: cpu.as_micros() as f64 / asked.max(1.0),
        resident_start_kib,
        resident_idle_kib,
        resident_end_kib,
    })
}

type Client = Framed<TcpStream, FrameCodec<ToClient, FromClient>>;

async fn client(address: SocketAddr) -> Result<Client, String> {
    let opening = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let mut link: Client = Framed::with_capacity(stream, FrameCodec::new(WORK_LIMIT), 1024);
        link.send(FromClient::Hello(Hello::new(Role::Client, 0, 0)))
            .await
            .map_err(|e| e.to_string())?;
        match link.next().await {
            Some(Ok(ToClient::Welcome)) => Ok(link),
            other => Err(format!("no welcome but {other:?}")),
        }
    };
    timeout(Duration::from_secs(5), opening)
        .await
        .map_err(|_| "no welcome in time".to_string())?
}

fn command(id: u64, body: usize) -> FromClient {
    let body = Bytes::from(vec![0; body]);
    FromClient::Command(Command {
        id,
        op: 0,
        tenant: 0,
        key: 1 + id % 5000,
        idempotency_key: 0,
        left_us: 4_000_000,
        body,
    })
}

async fn sender(
    link: Client,
    load: Load,
    n: u32,
    start: Instant,
    warm: Duration,
    counts: Arc<[AtomicU64; 3]>,
    times: Arc<Mutex<Histogram<u64>>>,
) {
    let (mut send, mut read) = link.split();
    let every =
        Duration::from_secs(1).mul_f64(f64::from(load.connections) / load.rate.max(1) as f64);
    let first = start + every.mul_f64(f64::from(n) / f64::from(load.connections));
    let total = ((warm.as_secs_f64() + load.seconds as f64) / every.as_secs_f64()) as u64;
    let due_of = move |id: u64| first + every.mul_f64(id as f64);
    let writing = tokio::spawn(async move {
        let mut id = 0;
        while id < total {
            sleep_until(due_of(id).into()).await;
            while id < total && due_of(id) <= Instant::now() {
                if send.feed(command(id, 64)).await.is_err() {
                    return;
                }
                id += 1;
            }
            if send.flush().await.is_err() {
                return;
            }
        }
    });
    let mut got = 0;
    while got < total {
        let Ok(Some(Ok(message))) = timeout(Duration::from_secs(6), read.next()).await else {
            break;
        };
        let (id, kind) = match message {
            ToClient::Acked { id, .. } => (id, 0),
            ToClient::Nacked { id, .. } => (id, 1),
            ToClient::Failed { id } => (id, 2),
            _ => continue,
        };
        got += 1;
        // Told apart by when it was due, not when it was sent: a stall of the router counts in full.
        if due_of(id) < start + warm {
            continue;
        }
        counts[kind].fetch_add(1, Ordering::Relaxed);
        if kind == 0 {
            let took = due_of(id)
                .elapsed()
                .saturating_sub(load.answer_after)
                .as_micros() as u64;
            if let Ok(mut times) = times.lock() {
                let _ = times.record(took.max(1));
            }
        }
    }
    let _ = writing.await;
}

/// By delivery, whom its answer goes to and under which number.
type Waiting = Mutex<HashMap<u64, (mpsc::Sender<ToClient>, u64)>>;

/// The baseline: every frame goes to the next host in turn and its answer back, on the same codec and with the
/// same number of hops, and nothing is decided.
pub async fn pass_through(hosts: &[SocketAddr]) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(|e| e.to_string())?;
    println!(
        "listening on {}",
        listener.local_addr().map_err(|e| e.to_string())?
    );
    let waiting: Arc<Waiting> = Arc::default();
    let mut to_hosts = Vec::new();
    for address in hosts {
        let (tell, mut told) = mpsc::channel::<ToHost>(1024);
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let mut link: Framed<_, FrameCodec<FromHost, ToHost>> =
            Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        link.send(ToHost::Hello(Hello::new(Role::Router, 0, 0)))
            .await
            .map_err(|e| e.to_string())?;
        let waiting = waiting.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    Some(message) = told.recv() => {
                        if link.feed(message).await.is_err() { return }
                        while let Ok(message) = told.try_recv() {
                            if link.feed(message).await.is_err() { return }
                        }
                        if link.flush().await.is_err() { return }
                    }
                    read = link.next() => {
                        let Some(Ok(message)) = read else { return };
                        if let FromHost::Acked { delivery, body } = message {
                            let waits = waiting.lock().ok().and_then(|mut w| w.remove(&delivery));
                            if let Some((client, id)) = waits {
                                let _ = client.send(ToClient::Acked { id, build: 1, receipt: 0, body }).await;
                            }
                        }
                    }
                }
            }
        });
        to_hosts.push(tell);
    }
    let (next, to_hosts) = (Arc::new(AtomicU64::new(0)), Arc::new(to_hosts));
    loop {
        let (stream, _) = listener.accept().await.map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let (waiting, next, to_hosts) = (waiting.clone(), next.clone(), to_hosts.clone());
        tokio::spawn(async move {
            let mut link: Framed<_, FrameCodec<FromClient, ToClient>> =
                Framed::with_capacity(stream, FrameCodec::new(WORK_LIMIT), 512);
            let (answer, mut answers) = mpsc::channel(1024);
            loop {
                tokio::select! {
                    read = link.next() => match read {
                        Some(Ok(FromClient::Hello(_))) => drop(link.send(ToClient::Welcome).await),
                        Some(Ok(FromClient::Command(c))) => {
                            let delivery = next.fetch_add(1, Ordering::Relaxed);
                            if let Ok(mut waiting) = waiting.lock() {
                                waiting.insert(delivery, (answer.clone(), c.id));
                            }
                            let Command { op, tenant, key, idempotency_key, left_us, body, .. } = c;
                            let message = ToHost::Deliver { delivery, op, tenant, key, idempotency_key, left_us, body };
                            let host = delivery as usize % to_hosts.len();
                            if to_hosts[host].send(message).await.is_err() { return }
                        }
                        Some(Ok(_)) => {}
                        _ => return,
                    },
                    Some(message) = answers.recv() => {
                        if link.feed(message).await.is_err() { return }
                        while let Ok(message) = answers.try_recv() {
                            if link.feed(message).await.is_err() { return }
                        }
                        if link.flush().await.is_err() { return }
                    }
                }
            }
        });
    }
}

#[derive(Clone, Debug, clap::Args)]
pub struct LoadFlags {
    /// Hosts, each answering after --answer-after
    #[arg(long, default_value_t = 20)]
    pub hosts: u32,
    /// Commands a second
    #[arg(long, default_value_t = 2000)]
    pub rate: u64,
    /// Seconds measured, after four that are not
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Connections that send
    #[arg(long, default_value_t = 20)]
    pub connections: u32,
    /// Client connections that are only open
    #[arg(long, default_value_t = 0)]
    pub idle: u32,
    /// Milliseconds until a host answers
    #[arg(long, default_value_t = 2)]
    pub answer_after: u64,
    /// Runs of each, in turn
    #[arg(long, default_value_t = 3)]
    pub runs: u32,
    /// One more client sends 60 kB commands and never reads
    #[arg(long)]
    pub stalled: bool,
    /// A quarter of the hosts run a build on trial
    #[arg(long)]
    pub trial: bool,
    /// Hosts hang, err, reset or crawl in turn, a fifth of them at a time; the pass-through's stay well
    #[arg(long)]
    pub bad: bool,
    /// Plays the router also with a keeper to follow and with one that stalls, in turn
    #[arg(long)]
    pub keepers: bool,
    /// Prints one JSON value for each run
    #[arg(long)]
    pub json: bool,
}

/// Errors: wrong use, or a router that does not start.
pub fn load(flags: &LoadFlags) -> Result<(), String> {
    if flags.hosts == 0 || flags.rate == 0 || flags.connections == 0 || flags.seconds == 0 {
        return Err("--hosts, --rate, --connections, --seconds: at least 1".into());
    }
    let starting = Starting::own().map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    if !flags.json {
        println!("through       hosts  rate  acked/s  nacked  failed  p50 ms  p99 ms  p99.9 ms  cpu us  start KiB  idle KiB  end KiB");
    }
    let kinds = match flags.keepers {
        true => vec![
            Follows::Nothing,
            Follows::Nothing,
            Follows::Keeper,
            Follows::Stalled,
        ],
        false => vec![Follows::Nothing; 2],
    };
    for run in 0..kinds.len() as u32 * flags.runs {
        let turn = run as usize % kinds.len();
        let load = Load {
            hosts: flags.hosts,
            rate: flags.rate,
            seconds: flags.seconds,
            connections: flags.connections,
            idle: flags.idle,
            answer_after: std::time::Duration::from_millis(flags.answer_after),
            pass: turn == 0,
            follows: kinds[turn],
            stalled: flags.stalled,
            trial: flags.trial,
            bad: flags.bad && turn > 0,
        };
        let m = runtime.block_on(put(&load, &starting))?;
        if flags.json {
            println!("{}", serde_json::to_string(&m).map_err(|e| e.to_string())?);
        } else {
            println!(
                "{:12} {:6} {:5} {:8.0} {:7} {:7} {:7.2} {:7.2} {:9.2} {:7.1} {:10} {:9} {:8}",
                m.through,
                m.hosts,
                m.rate,
                m.acked_per_s,
                m.nacked,
                m.failed,
                m.p50_ms,
                m.p99_ms,
                m.p999_ms,
                m.cpu_us,
                m.resident_start_kib,
                m.resident_idle_kib,
                m.resident_end_kib
            );
        }
    }
    Ok(())
}
