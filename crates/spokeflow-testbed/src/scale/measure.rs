//! Turns the samples of a phase into figures, and holds routers against their budgets.

use std::collections::BTreeMap;

use super::flags::ScaleFlags;
use super::report::{quantile, Report, Spread, SpreadOf};
use super::sample::{LinkSamples, PhaseSamples, ProcessSamples, Role};
use super::traffic::NodeTraffic;

const MEGABYTE: f64 = 1e6;
const MICROS: f64 = 1e6;
/// Name of the bound of a router's memory.
const MEMORY: &str = "memory";
/// Samples less than this many seconds together say nothing of a rate.
const LEAST_SECONDS: f64 = 1.0;

/// Name and unit of a figure, and how it is read from one link's samples.
type LinkQuantity = (&'static str, &'static str, fn(&LinkSamples) -> f64);

fn rate(samples: &LinkSamples, count: impl Fn(&NodeTraffic) -> u64) -> f64 {
    count(&samples.traffic) as f64 / samples.observed_seconds
}

const LINK_QUANTITIES: [LinkQuantity; 6] = [
    ("bytes_sent", "bytes/s", |l| rate(l, |t| t.bytes_sent)),
    ("bytes_received", "bytes/s", |l| {
        rate(l, |t| t.bytes_received)
    }),
    ("frames_sent", "frames/s", |l| rate(l, |t| t.frames_sent)),
    ("frames_received", "frames/s", |l| {
        rate(l, |t| t.frames_received)
    }),
    ("connections", "connections", |l| {
        l.traffic.connections as f64
    }),
    ("connections_opened", "connections", |l| {
        l.traffic.connections_opened as f64
    }),
];

fn share(samples: &ProcessSamples) -> f64 {
    samples.processor_seconds / samples.observed_seconds / f64::from(samples.routers.max(1))
}

/// Resident bytes of a process, a part of them: 0.5 the median, 1 the peak; for each of its routers.
fn resident(samples: &ProcessSamples, part: f64) -> f64 {
    let mut bytes: Vec<f64> = samples.resident_bytes.iter().map(|b| *b as f64).collect();
    bytes.sort_by(f64::total_cmp);
    quantile(&bytes, part) / f64::from(samples.routers.max(1))
}

fn of_role<K, S>(all: &BTreeMap<(Role, K), S>, role: Role) -> Vec<&S> {
    all.iter()
        .filter(|((of, _), _)| *of == role)
        .map(|(_, samples)| samples)
        .collect()
}

fn values<S>(samples: &[&S], value: impl Fn(&S) -> f64) -> Vec<f64> {
    samples.iter().map(|s| value(s)).collect()
}

/// Which budgets of routers hold in a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Judged {
    /// Of memory alone: rates over the moments in which all processes start say nothing of a fleet that runs.
    Memory,
    All,
}

/// Adds the figures of one phase, and a finding for each budget that a router exceeded in it.
pub(super) fn measure(
    report: &mut Report,
    flags: &ScaleFlags,
    phase: &str,
    judged: Judged,
    samples: &PhaseSamples,
) {
    let roles = [
        Role::VoterLeader,
        Role::VoterFollower,
        Role::HollowRouter,
        Role::RealRouter,
        Role::Harness,
    ];
    for role in roles {
        process_figures(report, phase, role, samples);
        link_figures(report, phase, role, samples);
    }
    let memory = Spread::one(samples.memory_peak_bytes as f64);
    report.figure(
        phase,
        Role::Fleet,
        "memory_peak",
        "bytes",
        memory,
        SpreadOf::One,
    );
    let processes = Spread::one(f64::from(samples.process_count));
    report.figure(
        phase,
        Role::Fleet,
        "processes",
        "processes",
        processes,
        SpreadOf::One,
    );
    for role in [Role::HollowRouter, Role::RealRouter] {
        budgets(report, flags, phase, judged, role, samples);
    }
}

fn process_figures(report: &mut Report, phase: &str, role: Role, samples: &PhaseSamples) {
    let processes = of_role(&samples.processes, role);
    let long: Vec<&ProcessSamples> = processes
        .iter()
        .copied()
        .filter(|p| p.observed_seconds >= LEAST_SECONDS)
        .collect();
    let mut add = |quantity, unit, spread: Option<Spread>| {
        if let Some(spread) = spread {
            report.figure(phase, role, quantity, unit, spread, SpreadOf::Processes);
        }
    };
    add(
        "processor_share",
        "share of a core",
        Spread::mean(&values(&long, share)),
    );
    add(
        "memory_steady",
        "bytes",
        Spread::mean(&values(&processes, |p| resident(p, 0.5))),
    );
    add(
        "memory_peak",
        "bytes",
        Spread::greatest(&values(&processes, |p| resident(p, 1.0))),
    );
    let proportional: Vec<f64> = processes
        .iter()
        .filter_map(|p| Some(p.proportional_bytes? as f64 / f64::from(p.routers.max(1))))
        .collect();
    add("memory_proportional", "bytes", Spread::mean(&proportional));
    add(
        "descriptors_of_process",
        "descriptors",
        Spread::greatest(&values(&processes, |p| p.descriptors as f64)),
    );
}

fn link_figures(report: &mut Report, phase: &str, role: Role, samples: &PhaseSamples) {
    let links = of_role(&samples.links, role);
    let long: Vec<&LinkSamples> = links
        .iter()
        .copied()
        .filter(|l| l.observed_seconds >= LEAST_SECONDS)
        .collect();
    for (quantity, unit, value) in LINK_QUANTITIES {
        if let Some(spread) = Spread::mean(&values(&long, value)) {
            report.figure(phase, role, quantity, unit, spread, SpreadOf::Links);
        }
    }
}

fn budgets(
    report: &mut Report,
    flags: &ScaleFlags,
    phase: &str,
    judged: Judged,
    role: Role,
    samples: &PhaseSamples,
) {
    let processes = of_role(&samples.processes, role);
    let long: Vec<&ProcessSamples> = processes
        .iter()
        .copied()
        .filter(|p| p.observed_seconds >= LEAST_SECONDS)
        .collect();
    let links = of_role(&samples.links, role);
    let both = |l: &LinkSamples| rate(l, |t| t.bytes_sent + t.bytes_received);
    let measured = [
        (
            "processor",
            "of a core",
            values(&long, share),
            flags.router_processor_share,
        ),
        (
            MEMORY,
            "MB",
            values(&processes, |p| resident(p, 1.0) / MEGABYTE),
            flags.router_memory_mb,
        ),
        (
            "bytes",
            "bytes a second",
            values(&links, both),
            flags.router_bytes_per_second,
        ),
    ];
    for (bound, unit, values, allowed) in measured {
        let Some(Spread {
            value: mean, max, ..
        }) = Spread::mean(&values)
        else {
            continue;
        };
        if max > allowed && (judged == Judged::All || bound == MEMORY) {
            let text = format!(
                "{role:?}: {max:.4} {unit} at the most, {mean:.4} in the mean, {allowed} allowed"
            );
            report.find(phase, bound, text);
        }
    }
}

/// Adds median, 99th percentile and worst of some times in microseconds. Answers the worst in seconds.
pub(super) fn times(
    report: &mut Report,
    phase: &str,
    quantity: &str,
    micros: &[crate::Micros],
    of: SpreadOf,
) -> Option<f64> {
    let mut seconds: Vec<f64> = micros.iter().map(|t| *t as f64 / MICROS).collect();
    seconds.sort_by(f64::total_cmp);
    let min = *seconds.first()?;
    let max = *seconds.last()?;
    for (name, value) in [
        ("p50", quantile(&seconds, 0.5)),
        ("p99", quantile(&seconds, 0.99)),
        ("worst", max),
    ] {
        let spread = Spread { value, min, max };
        report.figure(
            phase,
            Role::Fleet,
            &format!("{quantity}_{name}"),
            "s",
            spread,
            of,
        );
    }
    Some(max)
}
