//! What a commit of three nodes costs, against bare syncs of the same disk in the same run.

use std::collections::HashMap;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use rand::RngExt;
use spokeflow_control_plane::client::send_request;
use spokeflow_coordination::wire::{Caller, FromNode, Request, Response, ToNode, LIMIT};
use spokeflow_coordination::{Overrides, Proposal, RevisionNumber};
use spokeflow_proto::{FrameCodec, FrameError};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use crate::routers::{RouterProcess, StartError, Starting};

/// Nodes that commit: the smallest control plane that survives a failure.
const NODES: usize = 3;
/// About the size of a log entry with a small revision.
const BARE_RECORD: [u8; 128] = [7; 128];
/// Within which the nodes elect a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Significant figures of the latencies.
const LATENCY_DIGITS: u8 = 3;

/// Flags of the measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct CommitFlags {
    /// Where the stores are put
    #[arg(long)]
    pub stores: Option<PathBuf>,
    /// Requests that are out at a time
    #[arg(long, value_delimiter = ',', default_values_t = [1, 16, 64])]
    pub out: Vec<usize>,
    /// Seconds of each
    #[arg(long, default_value_t = 4)]
    pub seconds: u64,
    /// Runs of each, in turn
    #[arg(long, default_value_t = 3)]
    pub runs: u32,
}

/// Why commits cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum CommitsError {
    /// The directory of the stores, or a file in it, cannot be written.
    #[error("cannot write to {}: {source}", path.display())]
    Write {
        /// The directory.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// This program cannot be started once more.
    #[error("cannot find this program: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// No loopback port can be had.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[source] std::io::Error),
    /// A node does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The nodes elect no leader.
    #[error("no leader within 10 s")]
    NoLeader,
    /// The leader cannot be reached.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// A frame cannot be sent or read.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The leader ended the connection.
    #[error("the connection ended")]
    Disconnected,
    /// The leader sent something else than the outcome of a proposal.
    #[error("not an answer to a proposal: {0:?}")]
    UnexpectedMessage(Box<FromNode>),
}

/// Starts three nodes, measures and prints.
///
/// # Errors
///
/// Something cannot be started, or the leader answers otherwise than expected.
pub async fn commits(flags: &CommitFlags) -> Result<(), CommitsError> {
    let directory = flags.stores.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("spokeflow-commits-{}", std::process::id()))
    });
    let write_error = |source| CommitsError::Write {
        path: directory.clone(),
        source,
    };
    std::fs::create_dir_all(&directory).map_err(write_error)?;
    let addresses = free_addresses().await.map_err(CommitsError::Listen)?;
    let mut nodes = start_nodes(&directory, &addresses).await?;
    let leader = find_leader(&addresses).await?;
    let length = Duration::from_secs(flags.seconds);
    println!("what                     a second    p50 ms    p99 ms");
    for _ in 0..flags.runs {
        let latencies = sync_bare_records(&directory, length).map_err(write_error)?;
        println!("{}", row("bare syncs", &latencies, length));
        for &out in &flags.out {
            let start = Instant::now();
            let latencies = commit_proposals(leader, out.max(1), length).await?;
            let name = format!("commits, {out} out");
            println!("{}", row(&name, &latencies, start.elapsed()));
        }
    }
    for node in &mut nodes {
        node.kill().await;
    }
    if flags.stores.is_none() {
        // Temporary files: what cannot be removed now is the system's to remove.
        let _ = std::fs::remove_dir_all(&directory);
    }
    Ok(())
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new(LATENCY_DIGITS).expect("this many digits are supported")
}

/// Records the time since an instant; out of range only beyond hours.
fn record_since(latencies: &mut Histogram<u64>, start: Instant) {
    let _ = latencies.record(start.elapsed().as_micros() as u64);
}

fn row(name: &str, latencies: &Histogram<u64>, length: Duration) -> String {
    let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    let per_second = latencies.len() as f64 / length.as_secs_f64();
    format!(
        "{name:24} {per_second:9.0} {:9.2} {:9.2}",
        ms(0.5),
        ms(0.99)
    )
}

/// Writes one small record after the other, each synced.
fn sync_bare_records(directory: &Path, length: Duration) -> std::io::Result<Histogram<u64>> {
    let mut latencies = latency_histogram();
    let mut file = std::fs::File::create(directory.join("bare"))?;
    let start = Instant::now();
    while start.elapsed() < length {
        let written_at = Instant::now();
        file.write_all(&BARE_RECORD)?;
        file.sync_data()?;
        record_since(&mut latencies, written_at);
    }
    Ok(latencies)
}

/// Addresses that were free a moment ago: each node must know those of all others before it starts.
async fn free_addresses() -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..NODES {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
    }
    Ok(addresses)
}

/// Starts the nodes on empty stores, numbered by their addresses.
async fn start_nodes(
    directory: &Path,
    addresses: &[SocketAddr],
) -> Result<Vec<RouterProcess>, CommitsError> {
    let starting = Starting {
        first: vec!["keeper".into()],
        ..Starting::own().map_err(CommitsError::OwnProgram)?
    };
    let mut nodes = Vec::new();
    for (id, address) in addresses.iter().enumerate() {
        let name = format!("keeper-{id}");
        let store = directory.join(format!("{name}.redb"));
        // Of an earlier run in the same directory, if any.
        let _ = std::fs::remove_file(&store);
        let mut flags = vec![
            format!("--id={id}"),
            format!("--listen={address}"),
            format!("--store={}", store.display()),
        ];
        let members = addresses.iter().enumerate();
        flags.extend(members.map(|(member, address)| format!("--member={member}={address}")));
        nodes.push(RouterProcess::start(&starting, &flags, &name).await?);
    }
    Ok(nodes)
}

async fn find_leader(addresses: &[SocketAddr]) -> Result<SocketAddr, CommitsError> {
    match send_request(addresses, Request::Status, LEADER_TIMEOUT).await {
        Ok(Response::Status(status)) => Ok(addresses[status.leader.0 as usize]),
        _ => Err(CommitsError::NoLeader),
    }
}

/// A proposal whose base is not the newest revision: it is an entry of the log, answered once that is committed, and
/// changes nothing.
fn stale_proposal() -> Proposal {
    Proposal {
        token: rand::rng().random(),
        base: RevisionNumber(u64::MAX),
        who: "load".into(),
        why: "load".into(),
        at_s: 0,
        values: Overrides::new(),
    }
}

/// Keeps so many proposals out at a time, and measures each until its outcome.
async fn commit_proposals(
    leader: SocketAddr,
    out: usize,
    length: Duration,
) -> Result<Histogram<u64>, CommitsError> {
    let mut latencies = latency_histogram();
    let stream = TcpStream::connect(leader)
        .await
        .map_err(CommitsError::Connect)?;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, FrameCodec::<FromNode, ToNode>::new(LIMIT));
    link.send(ToNode::hello(Caller::Operator)).await?;
    let mut sent_at = HashMap::new();
    let mut number = 0;
    let start = Instant::now();
    loop {
        while sent_at.len() < out && start.elapsed() < length {
            number += 1;
            let request = Request::Propose(stale_proposal());
            sent_at.insert(number, Instant::now());
            link.feed(ToNode::Request { number, request }).await?;
        }
        link.flush().await?;
        if sent_at.is_empty() {
            return Ok(latencies);
        }
        match link.next().await.ok_or(CommitsError::Disconnected)?? {
            FromNode::Response {
                number,
                response: Response::Proposed(_),
            } => {
                if let Some(sent_at) = sent_at.remove(&number) {
                    record_since(&mut latencies, sent_at);
                }
            }
            FromNode::Welcome { .. } => {}
            other => return Err(CommitsError::UnexpectedMessage(Box::new(other))),
        }
    }
}
