//! Sends an open loop of commands through one router, or through a plain pass-through on the same codec, to hosts that
//! answer after a fixed time, and measures the latency, processor time and memory of the router.

mod clients;
mod error;
mod flags;
mod pass_through;
mod peers;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use self::clients::{connect, send_without_reading, Client, Measurements, Schedule};
pub use self::error::LoadError;
pub use self::flags::LoadFlags;
pub use self::pass_through::pass_through;
use self::peers::{
    start_hosts, start_list, start_node, start_release_controller, start_unresponsive_node,
    HostBehavior,
};
use crate::locked;
use crate::routers::{ChildProcess, StartError, Starting};

/// Time in which a router connects to its peers.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Time in which all clients become ready before the first command.
const START_DELAY: Duration = Duration::from_millis(100);
/// Time under load that is not measured: a router that has just started must first learn the rate of answers.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time within which a client must get its last answers after the measurement.
const CLIENT_END_TIMEOUT: Duration = Duration::from_secs(10);
/// Precision of the recorded latencies, in significant figures.
const LATENCY_DIGITS: u8 = 3;

/// What the router under load connects to besides hosts, clients and the endpoint registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follows {
    /// The release controller only.
    Nothing,
    /// The release controller and a control-plane node.
    Node,
    /// The release controller and a control-plane node that accepts the connection and sends nothing.
    UnresponsiveNode,
}

/// One measurement: the load, and the router or pass-through that it is sent through.
#[derive(Clone, Debug)]
pub struct Load {
    /// Number of hosts.
    pub hosts: u32,
    /// Commands sent per second, over all clients.
    pub rate: u64,
    /// Duration of the measurement in seconds, after the warm-up.
    pub seconds: u64,
    /// Client connections that send commands.
    pub connections: u32,
    /// Client connections that are open and send nothing.
    pub idle: u32,
    /// Time from a delivery to the answer of a host.
    pub answer_after: Duration,
    /// Whether the load is sent through the pass-through instead of the router.
    pub pass: bool,
    /// Whether one more client sends without reading its answers.
    pub stalled: bool,
    /// Whether a quarter of the hosts run a canary build, with slow starts and votes.
    pub canary: bool,
    /// Whether hosts have faults in turn, a fifth of them at a time and each for one second in five: a faulty host does
    /// not answer, answers with an error at once, closes its connections or answers after twenty times as long.
    pub faulty_hosts: bool,
    /// The control-plane node of the router, if any.
    pub follows: Follows,
}

/// The results of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Name of what the load was sent through.
    pub through: &'static str,
    /// Number of hosts.
    pub hosts: u32,
    /// Commands sent per second.
    pub rate: u64,
    /// Commands acked per second.
    pub acked_per_s: f64,
    /// Number of commands that were nacked.
    pub nacked: u64,
    /// Number of commands that failed.
    pub failed: u64,
    /// Median latency of the acked commands in milliseconds: from when a command was due to its answer, less the time
    /// that hosts take to answer.
    pub p50_ms: f64,
    /// 99th percentile of that latency in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of that latency in milliseconds.
    pub p999_ms: f64,
    /// Processor time of the router or pass-through per command sent, in microseconds.
    pub cpu_us: f64,
    /// Resident memory after the start, in KiB.
    pub resident_start_kib: u64,
    /// Resident memory with all idle connections open, before the load, in KiB.
    pub resident_idle_kib: u64,
    /// Resident memory at the end of the load, in KiB.
    pub resident_end_kib: u64,
}

/// Measures the pass-through and the router in turn, and prints each run.
///
/// # Errors
///
/// A count of the flags is 0, a process does not start, or a run fails.
pub fn load(flags: &LoadFlags) -> Result<(), LoadError> {
    if flags.hosts == 0 || flags.rate == 0 || flags.connections == 0 || flags.seconds == 0 {
        return Err(LoadError::ZeroCount);
    }
    let starting = Starting::own().map_err(LoadError::OwnProgram)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(LoadError::Runtime)?;
    if !flags.json {
        println!("{}", Measured::HEADER);
    }
    for _ in 0..flags.runs {
        for target in flags.targets() {
            let measured = runtime.block_on(measure_load(&flags.load(target), &starting))?;
            match flags.json {
                true => println!("{}", serde_json::to_string(&measured)?),
                false => println!("{}", measured.row()),
            }
        }
    }
    Ok(())
}

impl Measured {
    const HEADER: &str = "through       hosts  rate  acked/s  nacked  failed  p50 ms  p99 ms  p99.9 ms  cpu us  start KiB  idle KiB  end KiB";

    fn row(&self) -> String {
        format!(
            "{:12} {:6} {:5} {:8.0} {:7} {:7} {:7.2} {:7.2} {:9.2} {:7.1} {:10} {:9} {:8}",
            self.through,
            self.hosts,
            self.rate,
            self.acked_per_s,
            self.nacked,
            self.failed,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.cpu_us,
            self.resident_start_kib,
            self.resident_idle_kib,
            self.resident_end_kib
        )
    }
}

/// Starts hosts and a router or pass-through, sends the load through it and measures.
///
/// # Errors
///
/// A peer or process cannot be started, or a client gets no welcome.
pub async fn measure_load(load: &Load, starting: &Starting) -> Result<Measured, LoadError> {
    let mut subject = Subject::start(load, starting).await?;
    sleep(CONNECT_TIME).await;
    let resident_start_kib = subject.resident_kib();
    let mut idle = Vec::new();
    for _ in 0..load.idle {
        idle.push(connect(subject.address()).await?);
    }
    let resident_idle_kib = subject.resident_kib();
    if load.stalled {
        let link = connect(subject.address()).await?;
        tokio::spawn(send_without_reading(link));
    }
    let measurements = Arc::new(Measurements {
        acked: AtomicU64::new(0),
        nacked: AtomicU64::new(0),
        failed: AtomicU64::new(0),
        latencies: Mutex::new(
            Histogram::new(LATENCY_DIGITS).expect("this many digits are supported"),
        ),
    });
    let clients = start_clients(load, subject.address(), &measurements).await?;
    sleep(WARM_UP).await;
    let processor_time_before = subject.processor_time();
    sleep(Duration::from_secs(load.seconds)).await;
    let processor_time = subject
        .processor_time()
        .saturating_sub(processor_time_before);
    let resident_end_kib = subject.resident_kib();
    for client in clients {
        // Commands that are not answered by then are missing in the counts.
        let _ = timeout(CLIENT_END_TIMEOUT, client).await;
    }
    subject.kill().await;
    let latencies = locked(&measurements.latencies);
    let latency_ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    let sent = (load.rate * load.seconds) as f64;
    Ok(Measured {
        through: load.through(),
        hosts: load.hosts,
        rate: load.rate,
        acked_per_s: measurements.acked.load(Ordering::Relaxed) as f64 / load.seconds as f64,
        nacked: measurements.nacked.load(Ordering::Relaxed),
        failed: measurements.failed.load(Ordering::Relaxed),
        p50_ms: latency_ms(0.5),
        p99_ms: latency_ms(0.99),
        p999_ms: latency_ms(0.999),
        cpu_us: processor_time.as_micros() as f64 / sent.max(1.0),
        resident_start_kib,
        resident_idle_kib,
        resident_end_kib,
    })
}

impl Load {
    /// Returns the name of what the load is sent through. Scripts read these names: they must not change.
    fn through(&self) -> &'static str {
        match self.follows {
            _ if self.pass => "pass-through",
            Follows::Nothing => "router",
            Follows::Node => "+ keeper",
            Follows::UnresponsiveNode => "+ stalled",
        }
    }
}

/// Connects the clients that send commands, and starts them.
async fn start_clients(
    load: &Load,
    address: SocketAddr,
    measurements: &Arc<Measurements>,
) -> Result<Vec<tokio::task::JoinHandle<()>>, LoadError> {
    let start = Instant::now() + START_DELAY;
    let duration = WARM_UP + Duration::from_secs(load.seconds);
    let mut clients = Vec::new();
    for index in 0..load.connections {
        let link = connect(address).await?;
        let client = Client {
            schedule: Schedule::new(index, load.connections, load.rate, start, duration),
            measure_from: start + WARM_UP,
            answer_after: load.answer_after,
            measurements: measurements.clone(),
        };
        clients.push(tokio::spawn(client.run(link)));
    }
    Ok(clients)
}

/// The router or pass-through under load, and the control-plane node that it follows.
struct Subject {
    process: ChildProcess,
    node: Option<ChildProcess>,
}

impl Subject {
    /// Starts the hosts, the node if there is one, and the router or pass-through.
    async fn start(load: &Load, starting: &Starting) -> Result<Subject, LoadError> {
        let behavior = HostBehavior {
            answer_after: load.answer_after,
            faulty_since: load.faulty_hosts.then(tokio::time::Instant::now),
        };
        let hosts = start_hosts(load.hosts, behavior)
            .await
            .map_err(LoadError::Listen)?;
        if load.pass {
            let process = start_pass_through(&hosts, starting).await?;
            return Ok(Subject {
                process,
                node: None,
            });
        }
        let node = match load.follows {
            Follows::Node => Some(start_node(starting).await?),
            Follows::Nothing | Follows::UnresponsiveNode => None,
        };
        let node_address = match load.follows {
            Follows::UnresponsiveNode => {
                Some(start_unresponsive_node().await.map_err(LoadError::Listen)?)
            }
            Follows::Nothing | Follows::Node => node.as_ref().map(|node| node.address),
        };
        let process = start_router(load, &hosts, node_address, starting).await?;
        Ok(Subject { process, node })
    }

    fn address(&self) -> SocketAddr {
        self.process.address
    }

    fn resident_kib(&self) -> u64 {
        self.process.resident_kib().unwrap_or(0)
    }

    fn processor_time(&self) -> Duration {
        self.process.processor_time().unwrap_or_default()
    }

    async fn kill(&mut self) {
        self.process.kill().await;
        if let Some(node) = &mut self.node {
            node.kill().await;
        }
    }
}

async fn start_pass_through(
    hosts: &[SocketAddr],
    starting: &Starting,
) -> Result<ChildProcess, StartError> {
    let starting = Starting {
        first: vec!["pass".into()],
        ..starting.clone()
    };
    let flags: Vec<String> = hosts.iter().map(|host| format!("--host={host}")).collect();
    ChildProcess::start_without_log(&starting, &flags).await
}

async fn start_router(
    load: &Load,
    hosts: &[SocketAddr],
    node: Option<SocketAddr>,
    starting: &Starting,
) -> Result<ChildProcess, LoadError> {
    let list = start_list(hosts, load.canary)
        .await
        .map_err(LoadError::Listen)?;
    let release_controller = start_release_controller(load.canary)
        .await
        .map_err(LoadError::Listen)?;
    let mut flags = vec![
        "--listen=127.0.0.1:0".into(),
        format!("--list={list}"),
        format!("--release-controller={release_controller}"),
        "--op=note:redeliverable:target=1s:timeout=4s".into(),
        "--max-waiting=200000".into(),
        "--seed=1".into(),
    ];
    flags.extend(node.map(|address| format!("--control-plane={address}")));
    Ok(ChildProcess::start(starting, &flags, "router").await?)
}
