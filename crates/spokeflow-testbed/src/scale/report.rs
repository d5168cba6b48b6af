//! The report of a run: its figures, the exceeded bounds and other failures.

use std::collections::BTreeMap;

use serde::Serialize;

use super::bounds::{Demand, Machine};
use super::flags::{Phase, ScaleFlags, SizeOf};
use super::sample::Role;

/// Quantities that are printed at the end of a run; the JSON file has all.
const PRINTED: [&str; 6] = [
    "time_to_ready_worst",
    "offer_to_in_force_p50",
    "offer_to_in_force_p99",
    "offer_to_in_force_worst",
    "leaderless",
    "kill_to_first_lease",
];

/// Set of values over which the minimum and maximum of a figure are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SpreadOf {
    /// Processes of the role.
    Processes,
    /// Routers or voters of the role.
    Links,
    /// Each revision at each router.
    Arrivals,
    /// Starts of routers.
    Starts,
    /// A single value.
    One,
}

/// One measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub role: Role,
    pub quantity: String,
    pub unit: String,
    pub phase: String,
    pub size_of: SizeOf,
    pub size: f64,
    pub value: f64,
    pub min: f64,
    pub max: f64,
    pub spread_of: SpreadOf,
    /// All sizes of the run.
    #[serde(rename = "held")]
    pub sizes: RunSizes,
    pub command: String,
    pub date: String,
}

/// The sizes of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunSizes {
    pub routers: u32,
    pub real: u32,
    pub hollow_per_process: u32,
    pub voters: u32,
    pub hosts: u32,
    pub tenants: u32,
    pub changes_per_minute: f64,
    pub lease_seconds: f64,
}

impl RunSizes {
    pub fn of(flags: &ScaleFlags) -> RunSizes {
        RunSizes {
            routers: flags.routers,
            real: flags.real,
            hollow_per_process: flags.hollow_per_process,
            voters: flags.voters,
            hosts: flags.hosts,
            tenants: flags.tenants,
            changes_per_minute: flags.changes_per_minute,
            lease_seconds: flags.lease.as_secs_f64(),
        }
    }
}

/// A value with the minimum and maximum of the values that it was computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    pub value: f64,
    pub min: f64,
    pub max: f64,
}

impl Spread {
    /// Returns the spread of a single value.
    pub fn one(value: f64) -> Spread {
        Spread {
            value,
            min: value,
            max: value,
        }
    }

    /// Returns the mean with the minimum and maximum; `None` if there are no values.
    pub fn mean(values: &[f64]) -> Option<Spread> {
        let min = least(values)?;
        let max = greatest(values)?;
        Some(Spread {
            value: values.iter().sum::<f64>() / values.len() as f64,
            min,
            max,
        })
    }

    /// Returns the maximum with the minimum and maximum; `None` if there are no values.
    pub fn greatest(values: &[f64]) -> Option<Spread> {
        let min = least(values)?;
        let max = greatest(values)?;
        Some(Spread {
            value: max,
            min,
            max,
        })
    }
}

fn least(values: &[f64]) -> Option<f64> {
    values.iter().copied().reduce(f64::min)
}

fn greatest(values: &[f64]) -> Option<f64> {
    values.iter().copied().reduce(f64::max)
}

/// Returns the value below which this fraction of the sorted values lies; 0 if there are no values.
pub(super) fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

/// A bound that was exceeded, or another failure of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The phase in which it happened.
    pub phase: String,
    /// Name of the bound.
    pub bound: String,
    /// Measured and allowed value, or a description of the failure.
    pub text: String,
}

/// A requested size of the run, and whether the control plane carries it. It carries a size if the counted objects
/// occur in its links, messages or settings; a size that it does not carry has no effect on the run.
#[derive(Clone, Debug, Serialize)]
pub struct Carried {
    /// Name of the size.
    pub size: String,
    /// The size by the flags.
    #[serde(rename = "asked")]
    pub requested: u32,
    /// Whether the control plane carries it, so that the run was made at this size.
    pub carried: bool,
    /// How it is carried, or why it is not.
    pub how: String,
}

fn carried(flags: &ScaleFlags) -> Vec<Carried> {
    let of = |size: &str, requested, carried, how: &str| Carried {
        size: size.into(),
        requested,
        carried,
        how: how.into(),
    };
    vec![
        of(
            "routers",
            flags.routers,
            true,
            "each has a link to one voter and requests leases",
        ),
        of(
            "hosts",
            flags.hosts,
            true,
            "entries of the replicated host list",
        ),
        of(
            "tenants",
            flags.tenants,
            true,
            "tenants in every router's settings; a revision that changes one contains all of them",
        ),
        of(
            "services",
            flags.services,
            false,
            "not carried: settings have no notion of a service",
        ),
        of(
            "routes",
            flags.routes,
            false,
            "not carried: settings have no notion of a route",
        ),
    ]
}

/// Result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All bounds were kept.
    Kept,
    /// A bound was exceeded, or the run had to stop.
    Exceeded,
}

/// The report of a run, as written to the JSON file.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Whether the bounds were kept.
    pub outcome: Outcome,
    /// Exceeded bounds and other failures of the run.
    pub findings: Vec<Finding>,
    /// Why the run stopped before the end of its last phase; `None`: it did not.
    pub stopped: Option<String>,
    /// The command as typed, without paths of this machine.
    pub command: String,
    /// Start of the run, in the format of RFC 3339.
    pub date: String,
    /// Resources of the machine that the run used.
    pub machine: Machine,
    /// Resources that the run was expected to need.
    pub demand: Demand,
    /// All bounds, one per line.
    pub bounds: Vec<String>,
    /// Load average of the machine over the last minute before the run.
    pub load_before: f64,
    /// Phases of the run.
    pub phases: Vec<Phase>,
    /// Which of the requested sizes the control plane supports.
    pub carried: Vec<Carried>,
    /// How figures are measured, by their name.
    pub notes: BTreeMap<String, String>,
    /// All figures.
    pub figures: Vec<Figure>,
    #[serde(skip)]
    sizes: RunSizes,
    #[serde(skip)]
    size: (SizeOf, f64),
}

/// Returns how figures are measured, so that the JSON file can be read without other documentation.
fn notes() -> BTreeMap<String, String> {
    let notes = [
        ("processor_share", "processor time over the phase, from /proc/PID/task/*/schedstat (from /proc/PID/stat if that is not available), as a share of one core"),
        ("memory", "resident memory from /proc/PID/stat, sampled four times a second; proportional: Pss from smaps_rollup at the end of the phase"),
        ("hollow_router", "figures of its process divided by the number of routers in it; figures of links are those of each router"),
        ("real_router", "its whole process, without clients and host connections; its own list source sends nothing"),
        ("bytes, frames", "frames at the tap with their four-byte length prefix, without the headers of TCP and IP"),
        ("offer_to_in_force", "from the proposal, or from the router's return if that was later, to the router's first request that names the revision as in force, at the tap: up to a third of a lease after the grant that names it"),
        ("offer_to_told", "as offer_to_in_force, but to the first grant to the router that names the revision as in force"),
        ("time_to_ready", "from the start of a router to its first grant, or to its first grant with the host list if there is one"),
        ("lease_lapses", "grants that reached a router after its last lease had expired, without those of routers that were absent meanwhile"),
    ];
    notes
        .into_iter()
        .map(|(name, note)| (name.to_string(), note.to_string()))
        .collect()
}

impl Report {
    /// Creates the report of a run that begins, without figures and findings.
    pub fn new(flags: &ScaleFlags, machine: Machine, demand: Demand, command: String) -> Report {
        use procfs::Current;
        Report {
            outcome: Outcome::Kept,
            findings: Vec::new(),
            stopped: None,
            command,
            date: humantime::format_rfc3339_seconds(std::time::SystemTime::now()).to_string(),
            machine,
            demand,
            bounds: bounds(flags, &machine),
            load_before: procfs::LoadAverage::current().map_or(0.0, |load| f64::from(load.one)),
            phases: flags.phases_to_run(),
            carried: carried(flags),
            notes: notes(),
            figures: Vec::new(),
            sizes: RunSizes::of(flags),
            size: (flags.size_of, flags.size()),
        }
    }

    /// Adds a figure.
    pub fn add_figure(
        &mut self,
        phase: &str,
        role: Role,
        quantity: &str,
        unit: &str,
        spread: Spread,
        of: SpreadOf,
    ) {
        let Spread { value, min, max } = spread;
        self.figures.push(Figure {
            role,
            quantity: quantity.into(),
            unit: unit.into(),
            phase: phase.into(),
            size_of: self.size.0,
            size: self.size.1,
            value,
            min,
            max,
            spread_of: of,
            sizes: self.sizes.clone(),
            command: self.command.clone(),
            date: self.date.clone(),
        });
    }

    /// Adds a finding; the outcome is then that bounds were exceeded.
    pub fn add_finding(&mut self, phase: &str, bound: &str, text: String) {
        self.outcome = Outcome::Exceeded;
        self.findings.push(Finding {
            phase: phase.into(),
            bound: bound.into(),
            text,
        });
    }

    /// Records that the run stopped before the end of its last phase, and why.
    pub fn stop(&mut self, reason: String) {
        self.outcome = Outcome::Exceeded;
        self.stopped = Some(reason);
    }

    /// Returns a summary to print: the main times, the sizes that are not carried, the findings and the outcome.
    pub fn text(&self) -> String {
        let mut lines = Vec::new();
        let is_printed = |figure: &&Figure| {
            figure.role == Role::Fleet && PRINTED.contains(&figure.quantity.as_str())
        };
        for figure in self.figures.iter().filter(is_printed) {
            let Figure {
                phase,
                quantity,
                value,
                unit,
                ..
            } = figure;
            lines.push(format!("{phase}: {quantity} {value:.3} {unit}"));
        }
        let not_carried = self
            .carried
            .iter()
            .filter(|size| !size.carried && size.requested > 0);
        lines.extend(
            not_carried.map(|size| format!("{} {}: {}", size.size, size.requested, size.how)),
        );
        lines.extend(self.findings.iter().map(|finding| {
            format!(
                "EXCEEDED {} in {}: {}",
                finding.bound, finding.phase, finding.text
            )
        }));
        lines.extend(
            self.stopped
                .iter()
                .map(|reason| format!("STOPPED {reason}")),
        );
        lines.push(match self.outcome {
            Outcome::Kept => "bounds kept".into(),
            Outcome::Exceeded => "bounds exceeded".into(),
        });
        lines.join("\n")
    }
}

/// Returns all bounds of a run, one per line.
pub(super) fn bounds(flags: &ScaleFlags, machine: &Machine) -> Vec<String> {
    let mut bounds = machine.bounds();
    bounds.push(format!(
        "a revision in force everywhere within {:?} of its proposal",
        flags.in_force_within
    ));
    bounds.push(format!(
        "each router at most {} of a core, {} MB, {} bytes per second",
        flags.router_processor_share, flags.router_memory_mb, flags.router_bytes_per_second
    ));
    bounds.push(format!(
        "all routers ready within {:?} of their start",
        flags.ready_within
    ));
    bounds
}
