//! A run of the fleet rig: starts nodes and routers, proposes revisions, drains hosts, injects faults, restores all
//! links, and checks the records of the run.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use super::check::Evidence;
use super::error::FleetError;
use super::faults::{Fault, ScriptedFault};
use super::peers::Peers;
use super::plan::FaultPlan;
use super::report::Report;
use super::rig::{FleetConfig, Rig};
use super::switchboard::{Frame, Switchboard};
use crate::locked;
use crate::routers::Starting;
use crate::{Micros, MS};

const HOST_COUNT: u32 = 6;
/// Hosts of the released build that drain in turn. The third host of that build is always ready.
const DRAINING_HOSTS: [u32; 2] = [2, 4];
/// Combined with the seed of the run, so that proposals are drawn independently of faults.
const PROPOSALS_SEED: u64 = 0x0ffe2;
/// Combined with the seed of the run, so that drains are drawn independently of faults.
const DRAINS_SEED: u64 = 0xd4a1;
/// Time between the beginnings of two drawn faults.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..1800;
/// How often a run without faults checks whether its time is over.
const FAULT_FREE_POLL: Duration = Duration::from_millis(200);
/// Time that faults have to end once no more of them begin. Each ends by itself; the replacement of a node takes
/// longest.
const FAULTS_END_TIMEOUT: Duration = Duration::from_secs(40);
/// Time before the processes end, so that frames and deliveries on their way are recorded.
const FINAL_RECORDS_PAUSE: Duration = Duration::from_millis(300);
/// Allowed time between an event and its record without any lag of the rig. A frame and a delivery are each recorded by
/// a task of this program, so twice the measured lag is added.
const RECORD_SLACK: Micros = 200 * MS;

/// Results of a run.
#[derive(Debug)]
pub struct FleetRun {
    /// The outcome of the checks.
    pub report: Report,
    /// All frames that the switchboard recorded.
    pub frames: Vec<Frame>,
    /// The faults of the run, one line each with the time at which the fault began.
    pub faults: Vec<String>,
}

/// Runs the fleet until all faults have ended and checks the records of the run. `progress` is called with the time and
/// a text for each fault that begins and for the end of all faults.
///
/// # Errors
///
/// Fails if the rig cannot be set up.
pub async fn run(
    config: FleetConfig,
    starting: Starting,
    progress: impl Fn(Micros, &str) + Send + Sync + 'static,
) -> Result<FleetRun, FleetError> {
    let directory = &config.store_directory;
    std::fs::create_dir_all(directory).map_err(|source| FleetError::CreateDirectory {
        directory: directory.clone(),
        source,
    })?;
    let start = Instant::now();
    let switchboard = Switchboard::new(start);
    let peers = Peers::new(start, config.routers as usize);
    let mut tasks = JoinSet::new();
    tasks.spawn(peers.clone().watch_lag());
    let addresses = peers.open(HOST_COUNT).await.map_err(FleetError::Listen)?;
    let rig = Rig::start(config, starting, switchboard, peers, addresses).await?;
    let config = &rig.config;
    for router in 0..config.routers {
        rig.start_router(router).await;
        tasks.spawn(
            rig.peers
                .clone()
                .run_client(router, config.command_interval),
        );
    }
    let proposing = tasks.spawn(rig.clone().propose_revisions(config.seed ^ PROPOSALS_SEED));
    let draining = tasks.spawn(drain_hosts(
        rig.peers.clone(),
        config.seed ^ DRAINS_SEED,
        config.lease,
    ));
    sleep(config.lease * 2).await;
    inject_faults(&rig, &progress).await;
    rig.switchboard.restore();
    proposing.abort();
    draining.abort();
    progress(rig.now(), "all links restored");
    rig.check_recovery().await;
    sleep(FINAL_RECORDS_PAUSE).await;
    let run = finish(&rig, tasks).await;
    if !config.keep_stores {
        // Files that cannot be removed are left to the system's cleaning of its temporary directory.
        let _ = std::fs::remove_dir_all(&config.store_directory);
    }
    Ok(run)
}

/// Ends all processes and tasks, and checks the records of the run.
async fn finish(rig: &Rig, mut tasks: JoinSet<()>) -> FleetRun {
    let ended_at = rig.now();
    let recorded = rig.peers.take_recorded();
    let frames = rig.switchboard.take_frames();
    tasks.abort_all();
    rig.kill_all().await;
    let mut log = std::mem::take(&mut *locked(&rig.log));
    log.ended_at = ended_at;
    let lag = rig.peers.lag();
    let evidence = Evidence {
        frames: &frames,
        recorded: &recorded,
        log: &log,
        lease: rig.config.lease.as_micros() as Micros,
        slack: RECORD_SLACK + 2 * lag,
    };
    let mut report = evidence.check();
    report.lag_us = lag;
    FleetRun {
        report,
        frames,
        faults: log.faults,
    }
}

/// Injects the faults of the script, or drawn ones without a script, and waits until all have ended.
async fn inject_faults(rig: &Arc<Rig>, progress: &impl Fn(Micros, &str)) {
    let config = &rig.config;
    let mut rng = StdRng::seed_from_u64(config.seed);
    let mut injected = JoinSet::new();
    let deadline = Instant::now() + config.duration;
    if config.script.is_empty() {
        while Instant::now() < deadline {
            if config.fault_free {
                sleep(FAULT_FREE_POLL).await;
                continue;
            }
            let next = draw_fault(rig, &mut rng).await;
            inject_fault(rig, progress, &mut injected, next).await;
        }
    } else {
        for next in config.script.iter().cloned() {
            inject_fault(rig, progress, &mut injected, next).await;
        }
    }
    // A fault that does not end in time is aborted; if that leaves the fleet unable to recover, the report shows it.
    let _ = timeout(FAULTS_END_TIMEOUT, async {
        while injected.join_next().await.is_some() {}
    })
    .await;
    injected.abort_all();
}

async fn draw_fault(rig: &Rig, rng: &mut StdRng) -> ScriptedFault {
    let nodes = rig.current_nodes().await;
    let mut plan = FaultPlan {
        rng,
        nodes: &nodes,
        routers: rig.config.routers,
        lease: rig.config.lease,
    };
    let fault = plan.draw();
    let pause = Duration::from_millis(rng.random_range(FAULT_PAUSE_MS));
    ScriptedFault { fault, pause }
}

/// Begins a fault in a task of its own and waits until the next one may begin.
async fn inject_fault(
    rig: &Arc<Rig>,
    progress: &impl Fn(Micros, &str),
    injected: &mut JoinSet<()>,
    next: ScriptedFault,
) {
    let ScriptedFault { fault, pause } = next;
    record_fault(rig, progress, &fault);
    let rig = rig.clone();
    injected.spawn(async move { rig.inject(fault).await });
    sleep(pause).await;
}

fn record_fault(rig: &Rig, progress: &impl Fn(Micros, &str), fault: &Fault) {
    let text = fault.to_string();
    progress(rig.now(), &text);
    let entry = format!("{} ms: {text}", rig.now() / MS);
    locked(&rig.log).faults.push(entry);
}

/// Drains hosts of the released build one after the other, and brings each back in its next incarnation. Never ends.
async fn drain_hosts(peers: Arc<Peers>, seed: u64, lease: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    sleep(lease * 2).await;
    loop {
        for host in DRAINING_HOSTS {
            // The host drains for longer than the lease, so that a router with a stale list violates the bound.
            peers.toggle_drain(host);
            sleep(lease.mul_f64(rng.random_range(1.2..3.0))).await;
            peers.toggle_drain(host);
            sleep(lease.mul_f64(rng.random_range(0.2..1.5))).await;
        }
    }
}
