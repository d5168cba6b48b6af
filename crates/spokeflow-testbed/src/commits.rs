//! Measures the rate and latency of commits by three control-plane nodes, and of bare disk syncs in the same run for
//! comparison.

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

use crate::routers::{ChildProcess, StartError, Starting};

/// Number of control-plane nodes: the smallest control plane that survives the failure of one node.
const NODE_COUNT: usize = 3;
/// Record written for a bare sync: about the size of a log entry with a small revision.
const BARE_RECORD: [u8; 128] = [7; 128];
/// Time within which the nodes must elect a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Significant figures of the recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Flags of `commits`.
#[derive(Clone, Debug, clap::Args)]
pub struct CommitFlags {
    /// Directory for the stores of the nodes. Without it they go to a temporary directory that is removed at the end
    #[arg(long)]
    pub stores: Option<PathBuf>,
    /// Numbers of proposals in flight; each is measured separately
    #[arg(long, value_delimiter = ',', default_values_t = [1, 16, 64])]
    pub out: Vec<usize>,
    /// Duration of each measurement, in seconds
    #[arg(long, default_value_t = 4)]
    pub seconds: u64,
    /// Number of rounds; each measures bare syncs and then every number of proposals
    #[arg(long, default_value_t = 3)]
    pub runs: u32,
}

/// Why a measurement of commits failed.
#[derive(Debug, thiserror::Error)]
pub enum CommitsError {
    /// The directory of the stores, or a file in it, cannot be written.
    #[error("cannot write to store directory {}: {source}", path.display())]
    Write {
        /// The directory.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The path of this program, which also runs the nodes, is not known.
    #[error("cannot find the path of this program: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// No loopback port is available.
    #[error("cannot listen on a loopback port: {0}")]
    Listen(#[source] std::io::Error),
    /// A node did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The nodes did not elect a leader in time.
    #[error("nodes elected no leader within 10 s")]
    NoLeader,
    /// The leader does not accept a connection.
    #[error("cannot connect to the leader: {0}")]
    Connect(#[source] std::io::Error),
    /// A frame to or from the leader cannot be sent or read.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The leader closed the connection before all proposals were answered.
    #[error("leader closed the connection before all proposals were answered")]
    Disconnected,
    /// The leader sent a message other than the outcome of a proposal.
    #[error("leader sent an unexpected message: expected the outcome of a proposal, got {0:?}")]
    UnexpectedMessage(Box<FromNode>),
}

/// Starts three nodes, measures bare syncs and commits, and prints a line for each measurement.
///
/// # Errors
///
/// Fails if the stores cannot be written, a node does not start, no leader is elected, or the connection to the leader
/// fails.
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
        for &in_flight in &flags.out {
            let start = Instant::now();
            let latencies = commit_proposals(leader, in_flight.max(1), length).await?;
            let name = format!("commits, {in_flight} out");
            println!("{}", row(&name, &latencies, start.elapsed()));
        }
    }
    for node in &mut nodes {
        node.kill().await;
    }
    if flags.stores.is_none() {
        // Files that cannot be removed are left to the system's cleaning of its temporary directory.
        let _ = std::fs::remove_dir_all(&directory);
    }
    Ok(())
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new(LATENCY_DIGITS).expect("this many digits are supported")
}

/// Records the time since `start`, in microseconds. Only latencies of hours are out of the histogram's range.
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

/// Writes one small record after the other and syncs each; returns the latency of each write with its sync.
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

/// Returns loopback addresses that were free when they were reserved; the nodes bind them later, since each must know
/// the addresses of all others before it starts.
async fn free_addresses() -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..NODE_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
    }
    Ok(addresses)
}

/// Starts a node with an empty store for each address; a node's number is the index of its address.
async fn start_nodes(
    directory: &Path,
    addresses: &[SocketAddr],
) -> Result<Vec<ChildProcess>, CommitsError> {
    let starting = Starting {
        first: vec!["keeper".into()],
        ..Starting::own().map_err(CommitsError::OwnProgram)?
    };
    let mut nodes = Vec::new();
    for (id, address) in addresses.iter().enumerate() {
        let name = format!("keeper-{id}");
        let store = directory.join(format!("{name}.redb"));
        // An earlier run in the same directory may have left a store.
        let _ = std::fs::remove_file(&store);
        let mut flags = vec![
            format!("--id={id}"),
            format!("--listen={address}"),
            format!("--store={}", store.display()),
        ];
        let members = addresses.iter().enumerate();
        flags.extend(members.map(|(member, address)| format!("--member={member}={address}")));
        nodes.push(ChildProcess::start(&starting, &flags, &name).await?);
    }
    Ok(nodes)
}

async fn find_leader(addresses: &[SocketAddr]) -> Result<SocketAddr, CommitsError> {
    match send_request(addresses, Request::Status, LEADER_TIMEOUT).await {
        Ok(Response::Status(status)) => Ok(addresses[status.leader.0 as usize]),
        _ => Err(CommitsError::NoLeader),
    }
}

/// Builds a proposal whose base is not the newest revision: the leader appends it to the log and answers once that
/// entry is committed, but no revision results from it.
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

/// Keeps `in_flight` proposals in flight for `length`; returns the time from sending each to its outcome.
async fn commit_proposals(
    leader: SocketAddr,
    in_flight: usize,
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
        while sent_at.len() < in_flight && start.elapsed() < length {
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
