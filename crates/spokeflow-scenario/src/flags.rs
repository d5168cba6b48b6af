//! Flags and environment variables that describe a scenario, the same for runs on sockets and in simulated time.

use clap::{Args, ValueEnum};
use thiserror::Error;

use crate::scenario::{Build, CancelPolicy, Fault, FaultKind, FleetSize, Scenario};
use crate::{Micros, SECOND};

/// The built-in scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum BuiltInScenario {
    /// No faults and no new builds
    Plain,
    /// One fault of each family, and two builds of which one has a defect
    BadDay,
    /// Up to five faults of any kind and size at any time, with host and client behaviour drawn from the seed
    Drawn,
}

impl BuiltInScenario {
    /// Returns the value of the flag.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |v| v.get_name().to_string())
    }
}

/// The flags that describe a scenario.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "Scenario")]
pub struct ScenarioFlags {
    /// Seed of all random draws
    #[arg(long, env = "SPOKEFLOW_DAY_SEED", default_value_t = 1)]
    pub seed: u64,
    /// Seconds during which commands are sent
    #[arg(long, env = "SPOKEFLOW_DAY_SECONDS", default_value_t = 60)]
    pub seconds: u64,
    /// Built-in scenario
    #[arg(
        long,
        env = "SPOKEFLOW_DAY_SCENARIO",
        value_enum,
        default_value = "bad-day"
    )]
    pub scenario: BuiltInScenario,
    /// A single fault of this kind during the canary of a good build; bad-build: a build with a defect and no fault
    #[arg(long, env = "SPOKEFLOW_DAY_ONLY")]
    pub only: Option<FaultKind>,
    /// Faults that replace the drawn ones: KIND:at=TIME[:lasts=TIME][:part=NUMBER][:size=NUMBER]; may be repeated,
    /// or separated by commas
    #[allow(rustdoc::broken_intra_doc_links)] // The text is shown by --help; brackets mark optional parts.
    #[arg(long, env = "SPOKEFLOW_DAY_SCRIPT", value_delimiter = ',')]
    pub script: Vec<Fault>,
    /// Builds that replace the drawn ones: NUMBER:at=TIME[:flaw=NAME[:size=NUMBER]][:speed=NUMBER]; may be repeated,
    /// or separated by commas, in the order of their times; NAME is none, errors, one-op, slow, under-load, late,
    /// shared or wrong
    #[arg(long = "build", env = "SPOKEFLOW_DAY_BUILD", value_delimiter = ',')]
    pub builds: Vec<Build>,
    /// No faults and builds other than those of --script and --build
    #[arg(long, env = "SPOKEFLOW_DAY_BARE")]
    pub bare: bool,
    /// Size of the fleet and behaviour of clients and hosts.
    #[command(flatten)]
    pub size: SizeFlags,
}

/// The flags for the size of the fleet and the behaviour of its clients and hosts.
#[derive(Clone, Debug, Default, Args)]
#[command(next_help_heading = "Size and behaviour")]
pub struct SizeFlags {
    /// Built-in fleet size
    #[arg(long, env = "SPOKEFLOW_DAY_SIZE", value_enum)]
    pub size: Option<FleetSize>,
    /// Number of routers [default: that of --size]
    #[arg(long, env = "SPOKEFLOW_DAY_ROUTERS")]
    pub routers: Option<u32>,
    /// Number of hosts [default: that of --size]
    #[arg(long, env = "SPOKEFLOW_DAY_HOSTS")]
    pub hosts: Option<u32>,
    /// Number of sites [default: 3]
    #[arg(long, env = "SPOKEFLOW_DAY_SITES")]
    pub sites: Option<u16>,
    /// Commands a second; quotas of customers and the number of keys scale with it [default: as many per core as
    /// --size has]
    #[arg(long, env = "SPOKEFLOW_DAY_RATE")]
    pub rate: Option<f64>,
    /// Cores per host [default: 1]
    #[arg(long, env = "SPOKEFLOW_DAY_CORES")]
    pub cores: Option<u32>,
    /// A majority of the routers must vote, and routers exchange their observations; in simulated time only
    #[arg(long, env = "SPOKEFLOW_DAY_MAJORITY")]
    pub majority: bool,
    /// Additional rate during bursts of one second, as a fraction of the rate [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_BURST")]
    pub burst: Option<f64>,
    /// Number of keys whose data a host caches; 0 for all [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_CACHE_KEYS")]
    pub cache_keys: Option<u32>,
    /// Factor on the work of a command whose key is not cached [default: 2]
    #[arg(long, env = "SPOKEFLOW_DAY_MISS_COST")]
    pub miss_cost: Option<f64>,
    /// Skew of the keys: exponent of a Zipf distribution [default: 0.7]
    #[arg(long, env = "SPOKEFLOW_DAY_KEY_SKEW")]
    pub key_skew: Option<f64>,
    /// Relative slowdown of a host for each waiting command beyond two per core [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_THRASH")]
    pub thrash: Option<f64>,
    /// Number of hosts that share a machine [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_NEIGHBOURS")]
    pub neighbours: Option<u32>,
    /// Fraction of its speed that a host loses to busy hosts on the same machine, 0 to 1 [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_STEAL")]
    pub steal: Option<f64>,
    /// How a host handles a cancelled command [default: stops]
    #[arg(long, env = "SPOKEFLOW_DAY_CANCEL")]
    pub cancel: Option<CancelFlag>,
}

/// [`CancelPolicy`] as a flag's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum CancelFlag {
    /// Drops it whether it is waiting or running
    Stops,
    /// Drops it only if it is still waiting
    Waiting,
    /// Ignores the cancellation
    Ignored,
}

/// A flag has a value that is not accepted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScenarioFlagError {
    /// The value is below the minimum.
    #[error("{flag}: must be at least {least}, got {value}")]
    TooSmall {
        /// The flag.
        flag: &'static str,
        /// Smallest accepted value.
        least: u64,
        /// Value of the flag.
        value: u64,
    },
    /// The value is zero, negative or not finite.
    #[error("{flag}: must be above 0 and finite, got {value}")]
    NotPositive {
        /// The flag.
        flag: &'static str,
        /// Value of the flag.
        value: f64,
    },
    /// The value is outside the accepted range.
    #[error("{flag}: must be 0 to {most}, got {value}")]
    OutOfRange {
        /// The flag.
        flag: &'static str,
        /// Largest accepted value.
        most: f64,
        /// Value of the flag.
        value: f64,
    },
    /// The builds are not in the order in which they are offered.
    #[error("--build: numbers must increase from build to build, and times must not decrease")]
    BuildsOutOfOrder,
}

/// Converts to the error message, for programs whose errors are text.
impl From<ScenarioFlagError> for String {
    fn from(error: ScenarioFlagError) -> String {
        error.to_string()
    }
}

/// The shortest run, in seconds.
const SHORTEST: u64 = 5;
/// Rates that differ by less, in commands a second, are treated as equal.
const SAME_RATE: f64 = 1e-9;

fn at_least(flag: &'static str, least: u64, value: u64) -> Result<(), ScenarioFlagError> {
    if value < least {
        return Err(ScenarioFlagError::TooSmall { flag, least, value });
    }
    Ok(())
}

/// Sets `target` to the value of the flag, if it is given and between 0 and `most`.
fn override_within(
    flag: &'static str,
    value: Option<f64>,
    most: f64,
    target: &mut f64,
) -> Result<(), ScenarioFlagError> {
    let Some(value) = value else {
        return Ok(());
    };
    if !(0.0..=most).contains(&value) {
        return Err(ScenarioFlagError::OutOfRange { flag, most, value });
    }
    *target = value;
    Ok(())
}

impl SizeFlags {
    /// Returns the scenario with this size and behaviour.
    ///
    /// # Errors
    /// Returns an error for the first flag whose value is not accepted.
    pub fn apply(&self, mut scenario: Scenario) -> Result<Scenario, ScenarioFlagError> {
        if let Some(size) = self.size {
            scenario = scenario.sized(size);
        }
        at_least("--routers", 1, self.routers.unwrap_or(1).into())?;
        at_least("--hosts", 1, self.hosts.unwrap_or(1).into())?;
        at_least("--sites", 1, self.sites.unwrap_or(1).into())?;
        at_least("--cores", 1, self.cores.unwrap_or(1).into())?;
        scenario.routers = self.routers.unwrap_or(scenario.routers);
        scenario.sites = self.sites.unwrap_or(scenario.sites);
        self.apply_capacity(&mut scenario)?;
        if self.majority {
            scenario = scenario.with_majority_gate();
        }
        self.apply_behaviour(&mut scenario)?;
        Ok(scenario)
    }

    /// Sets hosts, cores and rate. Without `--rate`, the rate scales with the total number of cores.
    fn apply_capacity(&self, scenario: &mut Scenario) -> Result<(), ScenarioFlagError> {
        let hosts = self.hosts.unwrap_or(scenario.hosts);
        let cores = self.cores.unwrap_or(scenario.cores);
        let capacity = |hosts: u32, cores: u32| f64::from(hosts) * f64::from(cores);
        let scaled_rate =
            scenario.rate * capacity(hosts, cores) / capacity(scenario.hosts, scenario.cores);
        let rate = self.rate.unwrap_or(scaled_rate);
        if !(rate > 0.0 && rate.is_finite()) {
            return Err(ScenarioFlagError::NotPositive {
                flag: "--rate",
                value: rate,
            });
        }
        scenario.hosts = hosts;
        scenario.cores = cores;
        if (rate - scenario.rate).abs() > SAME_RATE {
            scenario.set_rate(rate);
        }
        Ok(())
    }

    /// Sets the behaviour of clients and hosts.
    fn apply_behaviour(&self, scenario: &mut Scenario) -> Result<(), ScenarioFlagError> {
        override_within("--burst", self.burst, 100.0, &mut scenario.burst)?;
        override_within("--thrash", self.thrash, 10.0, &mut scenario.thrash)?;
        override_within(
            "--miss-cost",
            self.miss_cost,
            100.0,
            &mut scenario.miss_cost,
        )?;
        override_within("--key-skew", self.key_skew, 10.0, &mut scenario.key_skew)?;
        override_within("--steal", self.steal, 1.0, &mut scenario.steal)?;
        scenario.cache_keys = self.cache_keys.unwrap_or(scenario.cache_keys);
        scenario.neighbours = self.neighbours.unwrap_or(scenario.neighbours);
        scenario.cancel = self.cancel.map_or(scenario.cancel, CancelPolicy::from);
        Ok(())
    }
}

impl From<CancelFlag> for CancelPolicy {
    fn from(flag: CancelFlag) -> CancelPolicy {
        match flag {
            CancelFlag::Stops => CancelPolicy::Stops,
            CancelFlag::Waiting => CancelPolicy::Waiting,
            CancelFlag::Ignored => CancelPolicy::Ignored,
        }
    }
}

impl ScenarioFlags {
    /// Returns the scenario that the flags describe.
    ///
    /// # Errors
    /// Returns an error for the first flag whose value is not accepted.
    pub fn to_scenario(&self) -> Result<Scenario, ScenarioFlagError> {
        self.with_seed(self.seed)
    }

    /// Returns the scenario that the flags describe with another seed.
    ///
    /// # Errors
    /// Returns an error for the first flag whose value is not accepted.
    pub fn with_seed(&self, seed: u64) -> Result<Scenario, ScenarioFlagError> {
        at_least("--seconds", SHORTEST, self.seconds)?;
        let length = self.seconds as Micros * SECOND;
        let mut scenario = match (self.only, self.scenario) {
            (Some(kind), _) => Scenario::only(kind, seed, length),
            (None, BuiltInScenario::Plain) => Scenario::plain(seed, length),
            (None, BuiltInScenario::BadDay) => Scenario::bad_day(seed, length),
            (None, BuiltInScenario::Drawn) => Scenario::drawn(seed, length),
        };
        if !self.script.is_empty() || self.bare {
            scenario.name = "script".into();
            scenario.faults.clone_from(&self.script);
            scenario.faults.sort_by_key(|fault| fault.at);
        }
        if !self.builds.is_empty() || self.bare {
            let in_order = |builds: &[Build]| {
                builds[0].offered <= builds[1].offered && builds[0].number < builds[1].number
            };
            if !self.builds.windows(2).all(in_order) {
                return Err(ScenarioFlagError::BuildsOutOfOrder);
            }
            scenario.builds.truncate(1);
            scenario.builds.extend(&self.builds);
        }
        self.size.apply(scenario)
    }
}
