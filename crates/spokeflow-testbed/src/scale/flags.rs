//! Flags of `spokeflow-testbed scale`, checked before anything is started.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};
use serde::Serialize;

/// What is done to the fleet, in the order in which the phases are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Nothing changes
    Quiet,
    /// Revisions are offered at the given rate
    Changes,
    /// A few routers and hosts leave and return, again and again, while revisions are offered
    Churn,
    /// All routers and hosts of one zone are lost at once and return at once
    Zone,
    /// All routers stop, then start at once
    Start,
    /// The leading voter is killed, a revision is offered, the voter returns
    Leader,
    /// All routers of one region are cut off from the voters, a revision is offered, the cut ends
    Region,
    /// One process of hollow routers is stopped (SIGSTOP), a revision is offered, it goes on
    Stalled,
}

impl Phase {
    /// The name as on the command line and in the report.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |value| value.get_name().to_string())
    }
}

/// The size that a series of runs varies, for the report's `size_of`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum SizeOf {
    /// Routers, real and hollow.
    Routers,
    /// Hosts in the replicated list.
    Hosts,
    /// Customers in the settings of routers.
    Tenants,
    /// Nodes that vote.
    Voters,
    /// Revisions proposed a minute.
    ChangesPerMinute,
}

fn span(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|e| format!("{e}; a time with its unit, such as 250ms or 10s"))
}

/// Flags of a scale run.
#[derive(Args, Clone, Debug)]
pub struct ScaleFlags {
    /// Routers, real and hollow together
    #[arg(long, default_value_t = 31)]
    pub routers: u32,
    /// How many of the routers are real processes of their own
    #[arg(long, default_value_t = 1)]
    pub real: u32,
    /// Hollow routers in one process: the control side of a router without clients and hosts
    #[arg(long, default_value_t = 50)]
    pub hollow_per_process: u32,
    /// Keepers that vote: 3, 5 or 7
    #[arg(long, default_value_t = 3)]
    pub voters: u32,
    /// Hosts in the replicated list; 0: routers take no list from the nodes
    #[arg(long, default_value_t = 300)]
    pub hosts: u32,
    /// Customers in every router's settings; each revision then names all of them, one with another share
    #[arg(long, default_value_t = 0)]
    pub tenants: u32,
    /// Accepted and reported as not carried: settings have no notion of a service
    #[arg(long, default_value_t = 0)]
    pub services: u32,
    /// Accepted and reported as not carried: settings have no notion of a route
    #[arg(long, default_value_t = 0)]
    pub routes: u32,
    /// Zones, over which routers and hosts are spread evenly
    #[arg(long, default_value_t = 15)]
    pub zones: u16,
    /// Regions, over which zones are spread evenly
    #[arg(long, default_value_t = 6)]
    pub regions: u16,
    /// Revisions offered a minute, in the phases that offer them at a rate
    #[arg(long, default_value_t = 30.0)]
    pub changes_per_minute: f64,
    /// Draws which routers and hosts leave
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A phase to play; repeat the flag. All of them where none is named
    #[arg(long = "phase", value_enum)]
    pub phases: Vec<Phase>,
    /// How long the quiet phase lasts
    #[arg(long, default_value = "10s", value_parser = span)]
    pub quiet_lasts: Duration,
    /// How long the phases of changes and churn last
    #[arg(long, default_value = "20s", value_parser = span)]
    pub changes_last: Duration,
    /// How long a zone, a region, a voter or a process is away
    #[arg(long, default_value = "5s", value_parser = span)]
    pub away_lasts: Duration,
    /// All routers have to be ready within this time after they were started
    #[arg(long, default_value = "60s", value_parser = span)]
    pub ready_within: Duration,
    /// For how long a router may act on what it was told last
    #[arg(long, default_value = "3s", value_parser = span)]
    pub lease: Duration,
    /// Bound: a revision is in force at every router within this time of its offer
    #[arg(long, default_value = "15s", value_parser = span)]
    pub in_force_within: Duration,
    /// Bound for each router: bytes a second of its control traffic, both ways, mean over a phase
    #[arg(long, default_value_t = 28_000.0)]
    pub router_bytes_per_second: f64,
    /// Bound for each router: processor time, as a share of one core, mean over a phase
    #[arg(long, default_value_t = 0.014)]
    pub router_processor_share: f64,
    /// Bound for each router: resident memory in megabytes (10^6 bytes), at its peak
    #[arg(long, default_value_t = 128.0)]
    pub router_memory_mb: f64,
    /// Names in each figure which size a series of runs varies
    #[arg(long, value_enum, default_value = "routers")]
    pub size_of: SizeOf,
    /// Writes the report as JSON to this file
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Keeps the processes' logs in this folder
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Which lines they log
    #[arg(long, default_value = "warn")]
    pub log: String,
}

/// Flags that do not fit together.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.join("; "))]
pub struct FlagsError(Vec<String>);

/// Elections take a good part of a shorter one.
const SHORTEST_LEASE: Duration = Duration::from_millis(500);

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

impl ScaleFlags {
    /// Checks the flags against each other.
    ///
    /// # Errors
    ///
    /// Every flag that does not fit, one after the other.
    pub fn check(&self) -> Result<(), FlagsError> {
        let mut faults = Vec::new();
        self.check_sizes(&mut faults);
        self.check_times(&mut faults);
        self.check_budgets(&mut faults);
        if self.phases.contains(&Phase::Stalled) && self.hollow() == 0 {
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
        if self.lease < SHORTEST_LEASE {
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

    /// Phases to play, each once, in their order.
    pub fn played(&self) -> Vec<Phase> {
        let all = Phase::value_variants().iter().copied();
        let named = |phase: &Phase| self.phases.is_empty() || self.phases.contains(phase);
        let possible = |phase: &Phase| *phase != Phase::Stalled || self.hollow() > 0;
        all.filter(named).filter(possible).collect()
    }

    /// Hollow routers.
    pub fn hollow(&self) -> u32 {
        self.routers.saturating_sub(self.real)
    }

    /// Processes that hold them.
    pub fn hollow_processes(&self) -> u32 {
        self.hollow().div_ceil(self.hollow_per_process.max(1))
    }

    /// The zone of a router or a host, by its number.
    pub fn zone(&self, number: u32) -> u16 {
        (number % u32::from(self.zones)) as u16
    }

    /// The region of a zone.
    pub fn region(&self, zone: u16) -> u16 {
        (u32::from(zone) * u32::from(self.regions) / u32::from(self.zones)) as u16
    }

    /// The value of the size that is varied.
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
