//! A run of the fleet rig: starts nodes and routers, proposes revisions, injects faults, restores all, checks.

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

const HOSTS: u32 = 6;
/// Hosts of the released build that drain in turn: one of three always stays.
const DRAINING_HOSTS: [u32; 2] = [2, 4];
/// Keeps the draws of the proposals apart from those of the faults.
const PROPOSALS_SEED: u64 = 0x0ffe2;
/// Keeps the draws of the drains apart from those of the faults.
const DRAINS_SEED: u64 = 0xd4a1;
/// Between the beginnings of two drawn faults.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..1800;
/// How often a run without faults looks whether it is over.
const FAULT_FREE_POLL: Duration = Duration::from_millis(200);
/// Each fault ends by itself; a replacement may need a while.
const FAULTS_END_TIMEOUT: Duration = Duration::from_secs(40);
/// For what the processes sent last.
const END_PAUSE: Duration = Duration::from_millis(300);
/// A frame and a delivery are each recorded by a task of this program, which may run late by twice its lag.
const RECORD_SLACK: Micros = 200 * MS;

/// What a run gave.
#[derive(Debug)]
pub struct FleetRun {
    /// The outcome of the checks.
    pub report: Report,
    /// All frames that crossed the switchboard.
    pub frames: Vec<Frame>,
    /// The faults that were injected, each with the time at which it began.
    pub faults: Vec<String>,
}

/// Runs the fleet to the end of its faults, and checks. `progress` is called with the time and each fault that begins.
///
/// # Errors
///
/// The rig cannot be set up.
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
    let addresses = peers.open(HOSTS).await.map_err(FleetError::Listen)?;
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
    progress(rig.now(), "all restored");
    rig.check_recovery().await;
    sleep(END_PAUSE).await;
    let run = finish(&rig, tasks).await;
    if !config.keep_stores {
        // Temporary files: what cannot be removed now is the system's to remove.
        let _ = std::fs::remove_dir_all(&config.store_directory);
    }
    Ok(run)
}

/// Ends all processes and tasks, and checks what was recorded.
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

/// Injects the faults of the script or drawn ones, and waits until each has ended.
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
    // What does not end in time is cut short: the report shows where that matters.
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

/// Begins a fault and waits for its pause.
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

/// Drains hosts of the released build and brings them back in their next incarnation, one after the other.
async fn drain_hosts(peers: Arc<Peers>, seed: u64, lease: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    sleep(lease * 2).await;
    loop {
        for host in DRAINING_HOSTS {
            // Away for longer than the bound, so that a router that did not learn of it is seen.
            peers.toggle_drain(host);
            sleep(lease.mul_f64(rng.random_range(1.2..3.0))).await;
            peers.toggle_drain(host);
            sleep(lease.mul_f64(rng.random_range(0.2..1.5))).await;
        }
    }
}
