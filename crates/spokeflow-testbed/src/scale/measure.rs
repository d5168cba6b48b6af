//! Computes the figures of a phase from its samples, and checks routers against their budgets.

use std::collections::BTreeMap;

use super::flags::ScaleFlags;
use super::report::{quantile, Report, Spread, SpreadOf};
use super::sample::{LinkSamples, PhaseSamples, ProcessSamples, Role};
use super::traffic::NodeTraffic;

const BYTES_PER_MEGABYTE: f64 = 1e6;
const MICROS_PER_SECOND: f64 = 1e6;
/// Name of the bound on a router's memory.
const MEMORY: &str = "memory";
/// Time in seconds for which a process or link must have been observed for a rate to be reported; over less, a rate is
/// not meaningful.
const MIN_OBSERVED_SECONDS: f64 = 1.0;

/// Name and unit of a figure, and the function that computes it from the samples of one link.
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

/// Returns the share of one core that a process used, per router in it.
fn processor_share(samples: &ProcessSamples) -> f64 {
    samples.processor_seconds / samples.observed_seconds / f64::from(samples.routers.max(1))
}

/// Returns a quantile of the sampled resident bytes of a process, per router in it: 0.5 is the median, 1 the peak.
fn resident_bytes(samples: &ProcessSamples, fraction: f64) -> f64 {
    let mut bytes: Vec<f64> = samples.resident_bytes.iter().map(|b| *b as f64).collect();
    bytes.sort_by(f64::total_cmp);
    quantile(&bytes, fraction) / f64::from(samples.routers.max(1))
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

/// Budgets of routers that are checked in a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BudgetScope {
    /// The memory budget only: rates while all processes start do not show those of a running fleet.
    Memory,
    /// All budgets.
    All,
}

/// Adds the figures of one phase to the report, and a finding for each budget that a router exceeded in it.
pub(super) fn measure(
    report: &mut Report,
    flags: &ScaleFlags,
    phase: &str,
    scope: BudgetScope,
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
        add_process_figures(report, phase, role, samples);
        add_link_figures(report, phase, role, samples);
    }
    let memory = Spread::one(samples.memory_peak_bytes as f64);
    report.add_figure(
        phase,
        Role::Fleet,
        "memory_peak",
        "bytes",
        memory,
        SpreadOf::One,
    );
    let processes = Spread::one(f64::from(samples.process_count));
    report.add_figure(
        phase,
        Role::Fleet,
        "processes",
        "processes",
        processes,
        SpreadOf::One,
    );
    for role in [Role::HollowRouter, Role::RealRouter] {
        check_budgets(report, flags, phase, scope, role, samples);
    }
}

fn add_process_figures(report: &mut Report, phase: &str, role: Role, samples: &PhaseSamples) {
    let processes = of_role(&samples.processes, role);
    let measurable: Vec<&ProcessSamples> = processes
        .iter()
        .copied()
        .filter(|p| p.observed_seconds >= MIN_OBSERVED_SECONDS)
        .collect();
    let mut add = |quantity, unit, spread: Option<Spread>| {
        if let Some(spread) = spread {
            report.add_figure(phase, role, quantity, unit, spread, SpreadOf::Processes);
        }
    };
    add(
        "processor_share",
        "share of a core",
        Spread::mean(&values(&measurable, processor_share)),
    );
    add(
        "memory_steady",
        "bytes",
        Spread::mean(&values(&processes, |p| resident_bytes(p, 0.5))),
    );
    add(
        "memory_peak",
        "bytes",
        Spread::greatest(&values(&processes, |p| resident_bytes(p, 1.0))),
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

fn add_link_figures(report: &mut Report, phase: &str, role: Role, samples: &PhaseSamples) {
    let links = of_role(&samples.links, role);
    let measurable: Vec<&LinkSamples> = links
        .iter()
        .copied()
        .filter(|l| l.observed_seconds >= MIN_OBSERVED_SECONDS)
        .collect();
    for (quantity, unit, value) in LINK_QUANTITIES {
        if let Some(spread) = Spread::mean(&values(&measurable, value)) {
            report.add_figure(phase, role, quantity, unit, spread, SpreadOf::Links);
        }
    }
}

fn check_budgets(
    report: &mut Report,
    flags: &ScaleFlags,
    phase: &str,
    scope: BudgetScope,
    role: Role,
    samples: &PhaseSamples,
) {
    let processes = of_role(&samples.processes, role);
    let measurable: Vec<&ProcessSamples> = processes
        .iter()
        .copied()
        .filter(|p| p.observed_seconds >= MIN_OBSERVED_SECONDS)
        .collect();
    let links = of_role(&samples.links, role);
    let bytes_both_ways = |l: &LinkSamples| rate(l, |t| t.bytes_sent + t.bytes_received);
    let measured = [
        (
            "processor",
            "of a core",
            values(&measurable, processor_share),
            flags.router_processor_share,
        ),
        (
            MEMORY,
            "MB",
            values(&processes, |p| resident_bytes(p, 1.0) / BYTES_PER_MEGABYTE),
            flags.router_memory_mb,
        ),
        (
            "bytes",
            "bytes per second",
            values(&links, bytes_both_ways),
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
        if max > allowed && (scope == BudgetScope::All || bound == MEMORY) {
            let text =
                format!("{role:?}: maximum {max:.4} {unit}, mean {mean:.4}, {allowed} allowed");
            report.add_finding(phase, bound, text);
        }
    }
}

/// Adds the median, the 99th percentile and the maximum of these times as figures. Returns the maximum in seconds, or
/// `None` if there are no times.
pub(super) fn add_times(
    report: &mut Report,
    phase: &str,
    quantity: &str,
    micros: &[crate::Micros],
    of: SpreadOf,
) -> Option<f64> {
    let mut seconds: Vec<f64> = micros
        .iter()
        .map(|t| *t as f64 / MICROS_PER_SECOND)
        .collect();
    seconds.sort_by(f64::total_cmp);
    let min = *seconds.first()?;
    let max = *seconds.last()?;
    for (name, value) in [
        ("p50", quantile(&seconds, 0.5)),
        ("p99", quantile(&seconds, 0.99)),
        ("worst", max),
    ] {
        let spread = Spread { value, min, max };
        report.add_figure(
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
