//! A run from its checks to its report.

use std::io::IsTerminal;
use std::path::Path;
use std::sync::Arc;

use indicatif::{ProgressBar, ProgressStyle};
use tokio::sync::watch;
use tokio::time::Instant;

use super::bounds::{Demand, Machine};
use super::error::{RunError, ScaleError};
use super::flags::{Phase, ScaleFlags};
use super::measure::{measure, times, Judged};
use super::offers::Offers;
use super::phases::{until_in_force, until_ready, Phases};
use super::report::{bounds, Report, Spread, SpreadOf};
use super::rig::Rig;
use super::sample::{PhaseSamples, Role, Sampler};
use crate::fleet::Participant;
use crate::routers::Starting;

/// The phase in which all processes are started.
const LAUNCH: &str = "launch";
/// A voter's memory may grow by so many bytes while routers do not read.
const STALL_GROWTH_AT_MOST: u64 = 32_000_000;
const MICROS: f64 = 1e6;
/// Flags whose values are places of this machine: the report does not repeat them.
const PLACES: [&str; 2] = ["--json", "--logs"];

/// One line on standard error for each thing that begins, and a bar where someone watches.
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
            ProgressStyle::with_template("{pos} of {len} phases, {elapsed} gone {wide_msg}")
        {
            bar.set_style(style);
        }
        Progress {
            bar,
            start: Instant::now(),
        }
    }

    fn say(&self, what: &str) {
        let line = format!("{:>7.1} s  {what}", self.start.elapsed().as_secs_f64());
        match self.bar.is_hidden() {
            true => eprintln!("{line}"),
            false => self.bar.println(line),
        }
    }
}

/// The command as typed, without places of this machine.
fn command() -> String {
    let mut words = vec!["spokeflow-testbed".to_string()];
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let place = PLACES.iter().find(|place| argument.starts_with(**place));
        match place {
            Some(place) if argument == *place => drop(arguments.next()),
            Some(_) => {}
            None => words.push(argument),
        }
    }
    words.join(" ")
}

/// Makes a run and returns its report.
///
/// # Errors
///
/// Wrong use, or a run that is too large for this machine; nothing was started.
pub fn scale(flags: &ScaleFlags) -> Result<Report, ScaleError> {
    flags.check()?;
    let machine = Machine::here()?;
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
        // Before anything is started: the report of a long run is not lost for a wrong name.
        write(file, "")?;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.map_err(ScaleError::Runtime)?;
    let mut report = Report::new(flags, machine, demand, command());
    let stores = std::env::temp_dir().join(format!("spokeflow-scale-{}", std::process::id()));
    runtime.block_on(async {
        let rig = Rig::open(flags.clone(), starting, stores).await?;
        play(&rig, machine, &mut report).await;
        rig.end().await;
        Ok::<(), ScaleError>(())
    })?;
    runtime.shutdown_background();
    if let Some(file) = &flags.json {
        write(file, &serde_json::to_string_pretty(&report)?)?;
    }
    Ok(report)
}

fn write(file: &Path, text: &str) -> Result<(), ScaleError> {
    std::fs::write(file, text).map_err(|source| ScaleError::Path {
        flag: "--json",
        path: file.to_path_buf(),
        source,
    })
}

/// Resolves once someone tells this program to end. Errors of the signal's handler leave it waiting.
async fn interrupted() -> String {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut terminated) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminated.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    "told to end".into()
}

/// Plays all phases, or until the run has to stop; whatever ends it is in the report.
async fn play(rig: &Arc<Rig>, machine: Machine, report: &mut Report) {
    let (stop, mut stopped) = watch::channel(None);
    let sampler = Sampler::new(
        rig.processes.clone(),
        rig.tap.clone(),
        machine,
        rig.flags.real,
        stop,
    );
    let sampling = tokio::spawn(sampler.clone().run());
    let ended = tokio::select! {
        played = phases(rig, &sampler, report) => played.err().map(|error| error.to_string()),
        why = interrupted() => Some(why),
        why = async {
            match stopped.wait_for(Option::is_some).await {
                Ok(why) => why.clone().unwrap_or_default(),
                Err(_) => std::future::pending().await,
            }
        } => Some(why),
    };
    sampling.abort();
    if let Some(why) = ended {
        report.stop(why);
    }
}

async fn phases(rig: &Arc<Rig>, sampler: &Sampler, report: &mut Report) -> Result<(), RunError> {
    let played = rig.flags.played();
    let progress = Progress::new(played.len());
    progress.say(LAUNCH);
    rig.launch().await?;
    until_ready(rig).await;
    judge(rig, report, LAUNCH, &[], &sampler.take());
    let starting = rig.tap.record().propagation.starting().len();
    if starting > 0 {
        return Err(RunError::NotReady {
            starting,
            routers: rig.flags.routers,
        });
    }
    let mut offers = Offers::new(rig.clone());
    let mut phases = Phases::new(rig.clone());
    for phase in played {
        let name = phase.name();
        progress.say(&name);
        sampler.take();
        phases.play(phase, &mut offers).await?;
        let sampled = sampler.take();
        until_in_force(rig).await;
        let revisions = std::mem::take(&mut phases.revisions);
        judge(rig, report, &name, &revisions, &sampled);
        if let Some(error) = offers.refused.take() {
            report.find(&name, "revision refused", error.to_string());
        }
        judge_election(report, &name, &mut phases);
        if phase == Phase::Stalled {
            judge_growth(report, &name, &sampled);
        }
        progress.bar.inc(1);
    }
    Ok(())
}

/// Figures and findings of one phase.
fn judge(rig: &Rig, report: &mut Report, phase: &str, revisions: &[u64], samples: &PhaseSamples) {
    let judged = match phase {
        LAUNCH => Judged::Memory,
        _ => Judged::All,
    };
    measure(report, &rig.flags, phase, judged, samples);
    judge_revisions(rig, report, phase, revisions);
    judge_starts(rig, report, phase);
    report_lapses(rig, report, phase);
}

/// How long revisions took to the routers, and which did not arrive.
fn judge_revisions(rig: &Rig, report: &mut Report, phase: &str, revisions: &[u64]) {
    let flags = &rig.flags;
    let mut granted = Vec::new();
    let mut confirmed = Vec::new();
    let mut everywhere = Vec::new();
    for number in revisions {
        let spread = rig.tap.record().propagation.spread(*number, flags.routers);
        let Some(spread) = spread else {
            continue;
        };
        if let Some(first) = spread.missing.first() {
            let text = format!(
                "revision {number} is not in force at {} routers, such as {first}",
                spread.missing.len()
            );
            report.find(phase, "in force", text);
        }
        everywhere.extend(spread.confirmed.iter().max());
        granted.extend(spread.granted);
        confirmed.extend(spread.confirmed);
    }
    if !revisions.is_empty() {
        let count = Spread::one(revisions.len() as f64);
        report.figure(
            phase,
            Role::Fleet,
            "revisions",
            "revisions",
            count,
            SpreadOf::One,
        );
    }
    let arrivals = SpreadOf::Arrivals;
    times(report, phase, "offer_to_told", &granted, arrivals);
    times(
        report,
        phase,
        "offer_to_in_force_everywhere",
        &everywhere,
        arrivals,
    );
    let worst = times(report, phase, "offer_to_in_force", &confirmed, arrivals);
    let within = flags.in_force_within.as_secs_f64();
    if let Some(worst) = worst.filter(|worst| *worst > within) {
        report.find(phase, "in force", slowest_router(worst, within));
    }
}

/// How long routers took to be ready, and which are not.
fn judge_starts(rig: &Rig, report: &mut Report, phase: &str) {
    let mut record = rig.tap.record();
    let ready = record.propagation.take_ready();
    let worst = times(report, phase, "time_to_ready", &ready, SpreadOf::Starts);
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
        report.find(phase, "ready", text);
    } else if let Some(worst) = worst.filter(|worst| *worst > within) {
        report.find(phase, "ready", slowest_router(worst, within));
    }
}

fn slowest_router(worst: f64, within: f64) -> String {
    format!("{worst:.3} s at the slowest router, {within} s allowed")
}

/// Grants that came after the last lease was over.
fn report_lapses(rig: &Rig, report: &mut Report, phase: &str) {
    let lapses = std::mem::take(&mut rig.tap.record().lapses);
    let count = Spread::one(lapses.count as f64);
    report.figure(
        phase,
        Role::Fleet,
        "lease_lapses",
        "lapses",
        count,
        SpreadOf::One,
    );
    let longest = Spread::one(lapses.longest as f64 / MICROS);
    report.figure(
        phase,
        Role::Fleet,
        "longest_lease_lapse",
        "s",
        longest,
        SpreadOf::One,
    );
}

fn judge_election(report: &mut Report, phase: &str, phases: &mut Phases) {
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
                let spread = Spread::one(micros as f64 / MICROS);
                report.figure(phase, Role::Fleet, quantity, "s", spread, SpreadOf::One);
            }
            None => report.find(
                phase,
                "election",
                format!("{quantity}: not seen while the voter was away"),
            ),
        }
    }
}

/// A process that does not read must cost a voter no memory.
fn judge_growth(report: &mut Report, phase: &str, samples: &PhaseSamples) {
    let voters = samples
        .processes
        .iter()
        .filter(|((role, _), _)| matches!(role, Role::VoterLeader | Role::VoterFollower));
    for ((_, name), process) in voters {
        let first = process.resident_bytes.first().copied().unwrap_or(0);
        let most = process.resident_bytes.iter().max().copied().unwrap_or(0);
        let growth = most.saturating_sub(first);
        if growth > STALL_GROWTH_AT_MOST {
            let text = format!("{name} grew by {growth} bytes, {STALL_GROWTH_AT_MOST} allowed");
            report.find(phase, "voter's memory", text);
        }
    }
}
