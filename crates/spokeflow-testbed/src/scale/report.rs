//! The report: figures one by one, and the bounds that were exceeded.

use std::collections::BTreeMap;

use serde::Serialize;

use super::bounds::{Demand, Machine};
use super::flags::{Phase, ScaleFlags, SizeOf};
use super::sample::Role;

/// Quantities that are printed at the end of a run; the file has all.
const PRINTED: [&str; 6] = [
    "time_to_ready_worst",
    "offer_to_in_force_p50",
    "offer_to_in_force_p99",
    "offer_to_in_force_worst",
    "leaderless",
    "kill_to_first_lease",
];

/// What the spread of a figure, its least and greatest value, is taken over.
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

/// A value with its spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    pub value: f64,
    pub min: f64,
    pub max: f64,
}

impl Spread {
    pub fn one(value: f64) -> Spread {
        Spread {
            value,
            min: value,
            max: value,
        }
    }

    /// The mean, the least and the greatest; `None` of no values.
    pub fn mean(values: &[f64]) -> Option<Spread> {
        let min = least(values)?;
        let max = greatest(values)?;
        Some(Spread {
            value: values.iter().sum::<f64>() / values.len() as f64,
            min,
            max,
        })
    }

    /// The greatest, with the spread of all.
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

/// The value below which this part of the sorted values lies; 0 of none.
pub(super) fn quantile(sorted: &[f64], part: f64) -> f64 {
    let index = (sorted.len() as f64 * part) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

/// A bound that was exceeded, or something else that must not happen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The phase in which it happened.
    pub phase: String,
    /// Name of the bound.
    pub bound: String,
    /// What was measured and what is allowed.
    pub text: String,
}

/// Whether the control plane knows of a size that was asked for.
#[derive(Clone, Debug, Serialize)]
pub struct Carried {
    /// Name of the size.
    pub size: String,
    /// The size by the flags.
    #[serde(rename = "asked")]
    pub requested: u32,
    /// Whether it is known of.
    pub carried: bool,
    /// How, or why not.
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
            "each holds a link to one voter and asks for leases",
        ),
        of("hosts", flags.hosts, true, "lines of the agreed list"),
        of(
            "tenants",
            flags.tenants,
            true,
            "customers in every router's settings; a revision that changes one names all of them",
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

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All bounds were kept.
    Kept,
    /// A bound was exceeded, or the run had to stop.
    Exceeded,
}

/// All that a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// How the run ended.
    pub outcome: Outcome,
    /// What was exceeded.
    pub findings: Vec<Finding>,
    /// Why the run ended before its last phase.
    pub stopped: Option<String>,
    /// The command as typed, without paths of this machine.
    pub command: String,
    /// When the run began, by RFC 3339.
    pub date: String,
    /// On which the run was made.
    pub machine: Machine,
    /// What was expected before the run.
    pub demand: Demand,
    /// All bounds, one line each.
    pub bounds: Vec<String>,
    /// Load of the machine over the last minute before the run, in running processes.
    pub load_before: f64,
    /// Phases of the run.
    pub phases: Vec<Phase>,
    /// Whether each size was known of.
    pub carried: Vec<Carried>,
    /// How figures are taken, by their name.
    pub notes: BTreeMap<String, String>,
    /// All figures.
    pub figures: Vec<Figure>,
    #[serde(skip)]
    sizes: RunSizes,
    #[serde(skip)]
    size: (SizeOf, f64),
}

/// How figures are taken, for whoever reads the file alone.
fn notes() -> BTreeMap<String, String> {
    let notes = [
        ("processor_share", "time on a processor over the phase, by /proc/PID/task/*/schedstat (/proc/PID/stat where there is none), as a share of one core"),
        ("memory", "resident memory of /proc/PID/stat, four times a second; proportional: Pss of smaps_rollup at the end of the phase"),
        ("hollow_router", "figures of its process divided by the routers in it; links are each router's own"),
        ("real_router", "its whole process, without clients and host connections; its own list says nothing"),
        ("bytes, frames", "frames at the tap with their four bytes of length, without headers of TCP and IP"),
        ("offer_to_in_force", "from the offer, or the router's return where that came later, to the router's next request that names the revision as in force, at the tap: up to a third of a lease after it was told"),
        ("offer_to_told", "the same, to the grant that told the router"),
        ("time_to_ready", "from the start of a router to its first lease, with the host list where there is one"),
        ("lease_lapses", "grants that reached a router that was there after its last lease was over"),
    ];
    notes
        .into_iter()
        .map(|(name, note)| (name.to_string(), note.to_string()))
        .collect()
}

impl Report {
    /// The report of a run that begins.
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
            phases: flags.played(),
            carried: carried(flags),
            notes: notes(),
            figures: Vec::new(),
            sizes: RunSizes::of(flags),
            size: (flags.size_of, flags.size()),
        }
    }

    /// Adds a figure.
    pub fn figure(
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

    /// Adds a finding: the bounds are exceeded.
    pub fn find(&mut self, phase: &str, bound: &str, text: String) {
        self.outcome = Outcome::Exceeded;
        self.findings.push(Finding {
            phase: phase.into(),
            bound: bound.into(),
            text,
        });
    }

    /// The run ends before its last phase.
    pub fn stop(&mut self, why: String) {
        self.outcome = Outcome::Exceeded;
        self.stopped = Some(why);
    }

    /// A few lines for people: what took how long, what is not carried, what was exceeded, the verdict.
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
        let left_out = self
            .carried
            .iter()
            .filter(|size| !size.carried && size.requested > 0);
        lines
            .extend(left_out.map(|size| format!("{} {}: {}", size.size, size.requested, size.how)));
        lines.extend(self.findings.iter().map(|finding| {
            format!(
                "EXCEEDED {} in {}: {}",
                finding.bound, finding.phase, finding.text
            )
        }));
        lines.extend(self.stopped.iter().map(|why| format!("STOPPED {why}")));
        lines.push(match self.outcome {
            Outcome::Kept => "bounds kept".into(),
            Outcome::Exceeded => "bounds exceeded".into(),
        });
        lines.join("\n")
    }
}

/// All bounds of a run, one a line.
pub(super) fn bounds(flags: &ScaleFlags, machine: &Machine) -> Vec<String> {
    let mut bounds = machine.bounds();
    bounds.push(format!(
        "a revision in force everywhere within {:?} of its offer",
        flags.in_force_within
    ));
    bounds.push(format!(
        "each router at most {} of a core, {} MB, {} bytes a second",
        flags.router_processor_share, flags.router_memory_mb, flags.router_bytes_per_second
    ));
    bounds.push(format!(
        "all routers ready within {:?} of their start",
        flags.ready_within
    ));
    bounds
}
