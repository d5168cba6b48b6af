//! What a commit of three keepers costs, against bare syncs of the same disk in the same run.

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
use spokeflow_proto::FrameCodec;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::routers::{RouterProcess, Starting};

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

fn text(what: &str, times: &Histogram<u64>, span: Duration) -> String {
    let ms = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
    format!(
        "{what:24} {:9.0} {:9.2} {:9.2}",
        times.len() as f64 / span.as_secs_f64(),
        ms(0.5),
        ms(0.99)
    )
}

/// One write of a small record after the other, each synced.
fn bare(folder: &Path, span: Duration) -> std::io::Result<Histogram<u64>> {
    let mut times = Histogram::<u64>::new(3).map_err(std::io::Error::other)?;
    let mut file = std::fs::File::create(folder.join("bare"))?;
    let start = Instant::now();
    while start.elapsed() < span {
        let begun = Instant::now();
        file.write_all(&[7; 128])?;
        file.sync_data()?;
        let _ = times.record(begun.elapsed().as_micros() as u64);
    }
    Ok(times)
}

/// Offers against a revision that is not the newest: each is an entry of the log, answered once it is committed.
async fn offers(leader: SocketAddr, out: usize, span: Duration) -> Result<Histogram<u64>, String> {
    let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let stream = TcpStream::connect(leader)
        .await
        .map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, FrameCodec::<FromNode, ToNode>::new(LIMIT));
    link.send(ToNode::hello(Caller::Operator))
        .await
        .map_err(|e| e.to_string())?;
    let (mut waits, mut number, start) = (HashMap::new(), 0, Instant::now());
    loop {
        while waits.len() < out && start.elapsed() < span {
            number += 1;
            let token = rand::rng().random();
            let (who, why) = ("load".to_string(), "load".to_string());
            let offer = Proposal {
                token,
                base: RevisionNumber(u64::MAX),
                who,
                why,
                at_s: 0,
                values: Overrides::new(),
            };
            waits.insert(number, Instant::now());
            link.feed(ToNode::Request {
                number,
                request: Request::Propose(offer),
            })
            .await
            .map_err(|e| e.to_string())?;
        }
        link.flush().await.map_err(|e| e.to_string())?;
        if waits.is_empty() {
            return Ok(times);
        }
        match link.next().await {
            Some(Ok(FromNode::Response {
                number,
                response: Response::Proposed(_),
            })) => {
                if let Some(begun) = waits.remove(&number) {
                    let _ = times.record(begun.elapsed().as_micros() as u64);
                }
            }
            Some(Ok(FromNode::Welcome { .. })) => {}
            other => return Err(format!("not an answer to an offer: {other:?}")),
        }
    }
}

/// Starts three keepers and measures. Errors: something cannot be started, or a keeper answers otherwise.
pub async fn commits(flags: &CommitFlags) -> Result<(), String> {
    let folder = flags.stores.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("spokeflow-commits-{}", std::process::id()))
    });
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let starting = Starting {
        first: vec!["keeper".into()],
        ..Starting::own().map_err(|e| e.to_string())?
    };
    let port = || async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        listener.local_addr().map_err(|e| e.to_string())
    };
    let seats = [port().await?, port().await?, port().await?];
    let mut keepers = Vec::new();
    for (n, seat) in seats.iter().enumerate() {
        let store = folder.join(format!("keeper-{n}.redb"));
        let _ = std::fs::remove_file(&store);
        let mut all = vec![
            format!("--id={n}"),
            format!("--listen={seat}"),
            format!("--store={}", store.display()),
        ];
        all.extend(
            seats
                .iter()
                .enumerate()
                .map(|(k, s)| format!("--member={k}={s}")),
        );
        let started = RouterProcess::start(&starting, &all, &format!("keeper-{n}")).await;
        keepers.push(started.map_err(|e| e.to_string())?);
    }
    let Ok(Response::Status(view)) =
        send_request(&seats, Request::Status, Duration::from_secs(10)).await
    else {
        return Err("no leader within 10 s".into());
    };
    let leader = seats[view.leader.0 as usize];
    let span = Duration::from_secs(flags.seconds);
    println!("what                     a second    p50 ms    p99 ms");
    for _ in 0..flags.runs {
        let times = bare(&folder, span).map_err(|e| e.to_string())?;
        println!("{}", text("bare syncs", &times, span));
        for &out in &flags.out {
            let begun = Instant::now();
            let times = offers(leader, out.max(1), span).await?;
            println!(
                "{}",
                text(&format!("commits, {out} out"), &times, begun.elapsed())
            );
        }
    }
    for keeper in &mut keepers {
        keeper.kill().await;
    }
    if flags.stores.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(())
}
