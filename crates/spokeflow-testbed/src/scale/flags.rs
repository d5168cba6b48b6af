//! Flags of `spokeflow-testbed scale` and their checks, made before any process is started.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};
use serde::Serialize;

/// A phase of the run, by what is done to the fleet in it. Phases run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Nothing changes
    Quiet,
    /// Revisions are proposed at the rate of `--changes-per-minute`
    Changes,
    /// A small part of the routers and hosts repeatedly stops and starts again, while revisions are proposed
    Churn,
    /// All routers and hosts of one zone stop at once and start again at once, while revisions are proposed
    Zone,
    /// All routers stop, then all start at once
    Start,
    /// The leader of the voters is killed, a revision is proposed, the voter starts again
    Leader,
    /// All routers of one region are cut off from the voters, a revision is proposed, then they are connected again
    Region,
    /// One process of hollow routers is suspended (SIGSTOP), a revision is proposed, then it is resumed (SIGCONT)
    Stalled,
}

impl Phase {
    /// Returns the name of the phase on the command line and in the report.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |value| value.get_name().to_string())
    }
}

/// The size that a series of runs varies; the report's `size_of`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum SizeOf {
    /// Number of routers, real and hollow together.
    Routers,
    /// Number of hosts in the replicated list.
    Hosts,
    /// Number of tenants in the settings of routers.
    Tenants,
    /// Number of voters.
    Voters,
    /// Number of revisions proposed per minute.
    ChangesPerMinute,
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|e| format!("{e}; expected a duration with a unit, such as 250ms or 10s"))
}

/// Flags of a scale run.
#[derive(Args, Clone, Debug)]
pub struct ScaleFlags {
    /// Number of routers, real and hollow together
    #[arg(long, default_value_t = 31)]
    pub routers: u32,
    /// How many of the routers are real: complete router processes
    #[arg(long, default_value_t = 1)]
    pub real: u32,
    /// Hollow routers per process. A hollow router is the control side of a router, without clients and hosts
    #[arg(long, default_value_t = 50)]
    pub hollow_per_process: u32,
    /// Number of voters, the control-plane nodes that vote: 3, 5 or 7
    #[arg(long, default_value_t = 3)]
    pub voters: u32,
    /// Hosts in the replicated list; 0: routers get no list from the voters
    #[arg(long, default_value_t = 300)]
    pub hosts: u32,
    /// Tenants in every router's settings; each revision then contains all of them, with the quota of one changed
    #[arg(long, default_value_t = 0)]
    pub tenants: u32,
    /// Accepted, but reported as not carried: settings have no notion of a service
    #[arg(long, default_value_t = 0)]
    pub services: u32,
    /// Accepted, but reported as not carried: settings have no notion of a route
    #[arg(long, default_value_t = 0)]
    pub routes: u32,
    /// Zones, over which routers and hosts are spread evenly
    #[arg(long, default_value_t = 15)]
    pub zones: u16,
    /// Regions, over which zones are spread evenly
    #[arg(long, default_value_t = 6)]
    pub regions: u16,
    /// Revisions proposed per minute, in the phases that propose them at a rate
    #[arg(long, default_value_t = 30.0)]
    pub changes_per_minute: f64,
    /// Seed of the random choice of the routers and hosts that fail, and of the routers' own random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A phase to run; repeat the flag for more. All phases if none is given
    #[arg(long = "phase", value_enum)]
    pub phases: Vec<Phase>,
    /// How long the quiet phase lasts
    #[arg(long, default_value = "10s", value_parser = parse_duration)]
    pub quiet_lasts: Duration,
    /// How long the phases changes and churn last
    #[arg(long, default_value = "20s", value_parser = parse_duration)]
    pub changes_last: Duration,
    /// How long a zone, a region, a voter or a process is absent
    #[arg(long, default_value = "5s", value_parser = parse_duration)]
    pub away_lasts: Duration,
    /// Bound: all routers are ready within this time of their start
    #[arg(long, default_value = "60s", value_parser = parse_duration)]
    pub ready_within: Duration,
    /// Duration of a lease: how long a router may act on its last grant
    #[arg(long, default_value = "3s", value_parser = parse_duration)]
    pub lease: Duration,
    /// Bound: a revision is in force at every router within this time of its proposal
    #[arg(long, default_value = "15s", value_parser = parse_duration)]
    pub in_force_within: Duration,
    /// Bound for each router: control traffic in both directions, in bytes per second, mean over a phase
    #[arg(long, default_value_t = 28_000.0)]
    pub router_bytes_per_second: f64,
    /// Bound for each router: processor time, as a share of one core, mean over a phase
    #[arg(long, default_value_t = 0.014)]
    pub router_processor_share: f64,
    /// Bound for each router: resident memory in megabytes (10^6 bytes), at its peak
    #[arg(long, default_value_t = 128.0)]
    pub router_memory_mb: f64,
    /// Size that a series of runs varies, recorded in each figure of the report
    #[arg(long, value_enum, default_value = "routers")]
    pub size_of: SizeOf,
    /// Writes the report as JSON to this file
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Writes the logs of the processes to this folder
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Log filter of the processes
    #[arg(long, default_value = "warn")]
    pub log: String,
}

/// Flags that are out of range or contradict each other.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.join("; "))]
pub struct FlagsError(Vec<String>);

/// An election would take a large part of a shorter lease.
const MIN_LEASE: Duration = Duration::from_millis(500);

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

impl ScaleFlags {
    /// Checks the range of each flag and the flags against each other.
    ///
    /// # Errors
    ///
    /// All flags that fail a check.
    pub fn check(&self) -> Result<(), FlagsError> {
        let mut faults = Vec::new();
        self.check_sizes(&mut faults);
        self.check_times(&mut faults);
        self.check_budgets(&mut faults);
        if self.phases.contains(&Phase::Stalled) && self.hollow_routers() == 0 {
            faults.push("--phase stalled: needs a hollow router".into());
        }
        match faults.is_empty() {
            true => Ok(()),
            false => Err(FlagsError(faults)),
        }
    }

    fn check_sizes(&self, faults: &mut Vec<String>) {
        let routers = self.routers;
        if routers == 0 {
            faults.push("--routers: at least 1".into());
        }
        if self.real > routers {
            faults.push(format!(
                "--real {}: more than --routers {routers}",
                self.real
            ));
        }
        if self.hollow_per_process == 0 {
            faults.push("--hollow-per-process: at least 1".into());
        }
        if ![3, 5, 7].contains(&self.voters) {
            faults.push(format!("--voters {}: 3, 5 or 7", self.voters));
        }
        if self.regions == 0 {
            faults.push("--regions: at least 1".into());
        }
        if self.zones < self.regions {
            let regions = self.regions;
            faults.push(format!(
                "--zones {}: fewer than --regions {regions}",
                self.zones
            ));
        }
    }

    fn check_times(&self, faults: &mut Vec<String>) {
        let rate = self.changes_per_minute;
        if !is_positive(rate) {
            faults.push(format!("--changes-per-minute {rate}: above 0"));
        }
        let times = [
            ("quiet-lasts", self.quiet_lasts),
            ("changes-last", self.changes_last),
            ("away-lasts", self.away_lasts),
            ("ready-within", self.ready_within),
            ("in-force-within", self.in_force_within),
        ];
        for (flag, time) in times {
            if time.is_zero() {
                faults.push(format!("--{flag}: above 0s"));
            }
        }
        if self.lease < MIN_LEASE {
            faults.push("--lease: at least 500ms".into());
        }
    }

    fn check_budgets(&self, faults: &mut Vec<String>) {
        let budgets = [
            ("router-bytes-per-second", self.router_bytes_per_second),
            ("router-processor-share", self.router_processor_share),
            ("router-memory-mb", self.router_memory_mb),
        ];
        for (flag, budget) in budgets {
            if !is_positive(budget) {
                faults.push(format!("--{flag} {budget}: above 0"));
            }
        }
    }

    /// Returns the phases to run, each once, in their order.
    pub fn phases_to_run(&self) -> Vec<Phase> {
        let all = Phase::value_variants().iter().copied();
        let named = |phase: &Phase| self.phases.is_empty() || self.phases.contains(phase);
        let possible = |phase: &Phase| *phase != Phase::Stalled || self.hollow_routers() > 0;
        all.filter(named).filter(possible).collect()
    }

    /// Returns the number of hollow routers.
    pub fn hollow_routers(&self) -> u32 {
        self.routers.saturating_sub(self.real)
    }

    /// Returns the number of processes of hollow routers.
    pub fn hollow_processes(&self) -> u32 {
        self.hollow_routers()
            .div_ceil(self.hollow_per_process.max(1))
    }

    /// Returns the zone of a router or a host, by its number.
    pub fn zone(&self, number: u32) -> u16 {
        (number % u32::from(self.zones)) as u16
    }

    /// Returns the region of a zone.
    pub fn region(&self, zone: u16) -> u16 {
        (u32::from(zone) * u32::from(self.regions) / u32::from(self.zones)) as u16
    }

    /// Returns the value of the size that is varied.
    pub fn size(&self) -> f64 {
        match self.size_of {
            SizeOf::Routers => f64::from(self.routers),
            SizeOf::Hosts => f64::from(self.hosts),
            SizeOf::Tenants => f64::from(self.tenants),
            SizeOf::Voters => f64::from(self.voters),
            SizeOf::ChangesPerMinute => self.changes_per_minute,
        }
    }
}
