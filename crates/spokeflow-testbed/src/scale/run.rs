//! Runs the scale run, from the checks of its flags to its report.

use std::io::IsTerminal;
use std::path::Path;
use std::sync::Arc;

use indicatif::{ProgressBar, ProgressStyle};
use tokio::sync::watch;
use tokio::time::Instant;

use super::bounds::{Demand, Machine};
use super::error::{RunError, ScaleError};
use super::flags::{Phase, ScaleFlags};
use super::measure::{add_times, measure, BudgetScope};
use super::phases::{wait_until_in_force, wait_until_ready, Phases};
use super::proposer::Proposer;
use super::report::{bounds, Report, Spread, SpreadOf};
use super::rig::Rig;
use super::sample::{PhaseSamples, Role, Sampler};
use crate::fleet::Participant;
use crate::routers::Starting;

/// Name of the phase in which all processes are started.
const LAUNCH: &str = "launch";
/// Bytes by which a voter's resident memory may grow while a process of hollow routers does not read.
const MAX_STALL_GROWTH_BYTES: u64 = 32_000_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Flags whose values are paths of this machine, which the report leaves out.
const PATH_FLAGS: [&str; 2] = ["--json", "--logs"];

/// Prints a line to standard error for each phase that begins, and a progress bar if standard error is a terminal.
struct Progress {
    bar: ProgressBar,
    start: Instant,
}

impl Progress {
    fn new(phases: usize) -> Progress {
        let bar = match std::io::stderr().is_terminal() {
            true => ProgressBar::new(phases as u64),
            false => ProgressBar::hidden(),
        };
        if let Ok(style) =
            ProgressStyle::with_template("{pos} of {len} phases, {elapsed} elapsed {wide_msg}")
        {
            bar.set_style(style);
        }
        Progress {
            bar,
            start: Instant::now(),
        }
    }

    fn begin_phase(&self, name: &str) {
        let line = format!("{:>7.1} s  {name}", self.start.elapsed().as_secs_f64());
        match self.bar.is_hidden() {
            true => eprintln!("{line}"),
            false => self.bar.println(line),
        }
    }
}

/// Returns the command line of this process, without paths of this machine.
fn command_line() -> String {
    let mut words = vec!["spokeflow-testbed".to_string()];
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let path_flag = PATH_FLAGS.iter().find(|flag| argument.starts_with(**flag));
        match path_flag {
            Some(flag) if argument == *flag => drop(arguments.next()),
            Some(_) => {}
            None => words.push(argument),
        }
    }
    words.join(" ")
}

/// Runs the scale run and returns its report.
///
/// # Errors
///
/// The flags are invalid, the run is too large for this machine, or a file, a port or the runtime is not available. No
/// process was started, or all were stopped again.
pub fn scale(flags: &ScaleFlags) -> Result<Report, ScaleError> {
    flags.check()?;
    let machine = Machine::detect()?;
    let demand = Demand::of(flags);
    bounds(flags, &machine)
        .iter()
        .for_each(|bound| eprintln!("bound: {bound}"));
    machine.check(&demand)?;
    let mut starting = Starting::own().map_err(ScaleError::OwnProgram)?;
    if let Some(folder) = &flags.logs {
        std::fs::create_dir_all(folder).map_err(|source| ScaleError::Path {
            flag: "--logs",
            path: folder.clone(),
            source,
        })?;
    }
    starting.logs.clone_from(&flags.logs);
    starting.log.clone_from(&flags.log);
    if let Some(file) = &flags.json {
        // Created before the run, so that the report of a long run is not lost because of a wrong path.
        write_report(file, "")?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.map_err(ScaleError::Runtime)?;
    let mut report = Report::new(flags, machine, demand, command_line());
    let stores = std::env::temp_dir().join(format!("spokeflow-scale-{}", std::process::id()));
    runtime.block_on(async {
        let rig = Rig::open(flags.clone(), starting, stores).await?;
        run_until_stopped(&rig, machine, &mut report).await;
        rig.stop_all().await;
        Ok::<(), ScaleError>(())
    })?;
    runtime.shutdown_background();
    if let Some(file) = &flags.json {
        write_report(file, &serde_json::to_string_pretty(&report)?)?;
    }
    Ok(report)
}

fn write_report(file: &Path, text: &str) -> Result<(), ScaleError> {
    std::fs::write(file, text).map_err(|source| ScaleError::Path {
        flag: "--json",
        path: file.to_path_buf(),
        source,
    })
}

/// Waits for SIGTERM or SIGINT and returns why the run stops. Waits forever if the handler of SIGTERM cannot be
/// installed.
async fn wait_for_signal() -> String {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut terminated) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminated.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    "received SIGTERM or SIGINT".into()
}

/// Runs all phases, or as many as complete before the run has to stop. The report records why it stopped.
async fn run_until_stopped(rig: &Arc<Rig>, machine: Machine, report: &mut Report) {
    let (stop, mut stopped) = watch::channel(None);
    let sampler = Sampler::new(
        rig.processes.clone(),
        rig.tap.clone(),
        machine,
        rig.flags.real,
        stop,
    );
    let sampling = tokio::spawn(sampler.clone().run());
    let stop_reason = tokio::select! {
        result = run_phases(rig, &sampler, report) => result.err().map(|error| error.to_string()),
        reason = wait_for_signal() => Some(reason),
        reason = async {
            match stopped.wait_for(Option::is_some).await {
                Ok(reason) => reason.clone().unwrap_or_default(),
                Err(_) => std::future::pending().await,
            }
        } => Some(reason),
    };
    sampling.abort();
    if let Some(reason) = stop_reason {
        report.stop(reason);
    }
}

async fn run_phases(
    rig: &Arc<Rig>,
    sampler: &Sampler,
    report: &mut Report,
) -> Result<(), RunError> {
    let phases_to_run = rig.flags.phases_to_run();
    let progress = Progress::new(phases_to_run.len());
    progress.begin_phase(LAUNCH);
    rig.launch().await?;
    wait_until_ready(rig).await;
    evaluate_phase(rig, report, LAUNCH, &[], &sampler.take());
    let starting = rig.tap.record().propagation.starting().len();
    if starting > 0 {
        return Err(RunError::NotReady {
            starting,
            routers: rig.flags.routers,
            within: rig.flags.ready_within,
        });
    }
    let mut proposer = Proposer::new(rig.clone());
    let mut phases = Phases::new(rig.clone());
    for phase in phases_to_run {
        let name = phase.name();
        progress.begin_phase(&name);
        sampler.take();
        phases.run(phase, &mut proposer).await?;
        let samples = sampler.take();
        wait_until_in_force(rig).await;
        let revisions = std::mem::take(&mut phases.revisions);
        evaluate_phase(rig, report, &name, &revisions, &samples);
        if let Some(error) = proposer.failure.take() {
            report.add_finding(&name, "revision refused", error.to_string());
        }
        evaluate_election(report, &name, &mut phases);
        if phase == Phase::Stalled {
            evaluate_memory_growth(report, &name, &samples);
        }
        progress.bar.inc(1);
    }
    Ok(())
}

/// Adds the figures and findings of one phase to the report.
fn evaluate_phase(
    rig: &Rig,
    report: &mut Report,
    phase: &str,
    revisions: &[u64],
    samples: &PhaseSamples,
) {
    let scope = match phase {
        LAUNCH => BudgetScope::Memory,
        _ => BudgetScope::All,
    };
    measure(report, &rig.flags, phase, scope, samples);
    evaluate_revisions(rig, report, phase, revisions);
    evaluate_starts(rig, report, phase);
    report_lapses(rig, report, phase);
}

/// Reports how long revisions took to reach the routers, and those that did not reach all routers or took too long.
fn evaluate_revisions(rig: &Rig, report: &mut Report, phase: &str, revisions: &[u64]) {
    let flags = &rig.flags;
    let mut granted = Vec::new();
    let mut confirmed = Vec::new();
    let mut everywhere = Vec::new();
    for number in revisions {
        let delays = rig.tap.record().propagation.delays(*number, flags.routers);
        let Some(delays) = delays else {
            continue;
        };
        if let Some(first) = delays.missing.first() {
            let text = format!(
                "revision {number} is not in force at {} routers, such as router {first}",
                delays.missing.len()
            );
            report.add_finding(phase, "in force", text);
        }
        everywhere.extend(delays.confirmed.iter().max());
        granted.extend(delays.granted);
        confirmed.extend(delays.confirmed);
    }
    if !revisions.is_empty() {
        let count = Spread::one(revisions.len() as f64);
        report.add_figure(
            phase,
            Role::Fleet,
            "revisions",
            "revisions",
            count,
            SpreadOf::One,
        );
    }
    let arrivals = SpreadOf::Arrivals;
    add_times(report, phase, "offer_to_told", &granted, arrivals);
    add_times(
        report,
        phase,
        "offer_to_in_force_everywhere",
        &everywhere,
        arrivals,
    );
    let worst = add_times(report, phase, "offer_to_in_force", &confirmed, arrivals);
    let within = flags.in_force_within.as_secs_f64();
    if let Some(worst) = worst.filter(|worst| *worst > within) {
        report.add_finding(phase, "in force", slowest_router(worst, within));
    }
}

/// Reports how long routers took to become ready, and those that are not ready or took too long.
fn evaluate_starts(rig: &Rig, report: &mut Report, phase: &str) {
    let mut record = rig.tap.record();
    let ready = record.propagation.take_ready();
    let worst = add_times(report, phase, "time_to_ready", &ready, SpreadOf::Starts);
    let within = rig.flags.ready_within.as_secs_f64();
    let not_ready = record.propagation.starting();
    if let Some(first) = not_ready.first() {
        let traffic = record
            .traffic
            .get(&Participant::Router(*first))
            .copied()
            .unwrap_or_default();
        let text = format!(
            "{} routers were not ready within {within} s, such as router {first}: {} connections opened, {} frames sent, {} received",
            not_ready.len(),
            traffic.connections_opened,
            traffic.frames_sent,
            traffic.frames_received
        );
        report.add_finding(phase, "ready", text);
    } else if let Some(worst) = worst.filter(|worst| *worst > within) {
        report.add_finding(phase, "ready", slowest_router(worst, within));
    }
}

fn slowest_router(worst: f64, within: f64) -> String {
    format!("{worst:.3} s at the slowest router, {within} s allowed")
}

/// Reports grants that reached a router after its previous lease had expired.
fn report_lapses(rig: &Rig, report: &mut Report, phase: &str) {
    let lapses = std::mem::take(&mut rig.tap.record().lapses);
    let count = Spread::one(lapses.count as f64);
    report.add_figure(
        phase,
        Role::Fleet,
        "lease_lapses",
        "lapses",
        count,
        SpreadOf::One,
    );
    let longest = Spread::one(lapses.longest as f64 / MICROS_PER_SECOND);
    report.add_figure(
        phase,
        Role::Fleet,
        "longest_lease_lapse",
        "s",
        longest,
        SpreadOf::One,
    );
}

/// Reports how long there was no leader and no grant after the leader was killed, if it was killed in this phase.
fn evaluate_election(report: &mut Report, phase: &str, phases: &mut Phases) {
    let Some(election) = phases.election.take() else {
        return;
    };
    let figures = [
        ("leaderless", election.leaderless),
        ("kill_to_first_lease", election.first_grant),
    ];
    for (quantity, micros) in figures {
        match micros {
            Some(micros) => {
                let spread = Spread::one(micros as f64 / MICROS_PER_SECOND);
                report.add_figure(phase, Role::Fleet, quantity, "s", spread, SpreadOf::One);
            }
            None => report.add_finding(
                phase,
                "election",
                format!("{quantity}: not observed while the killed voter was absent"),
            ),
        }
    }
}

/// Reports voters whose memory grew too much: a router that does not read must not cost a voter memory.
fn evaluate_memory_growth(report: &mut Report, phase: &str, samples: &PhaseSamples) {
    let voters = samples
        .processes
        .iter()
        .filter(|((role, _), _)| matches!(role, Role::VoterLeader | Role::VoterFollower));
    for ((_, name), process) in voters {
        let first = process.resident_bytes.first().copied().unwrap_or(0);
        let most = process.resident_bytes.iter().max().copied().unwrap_or(0);
        let growth = most.saturating_sub(first);
        if growth > MAX_STALL_GROWTH_BYTES {
            let text = format!("resident memory of {name} grew by {growth} bytes, {MAX_STALL_GROWTH_BYTES} allowed");
            report.add_finding(phase, "voter's memory", text);
        }
    }
}
