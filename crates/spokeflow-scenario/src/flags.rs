//! A day as flags and environment variables: the same words for sockets and for simulated time.

use clap::{Args, ValueEnum};
use thiserror::Error;

use crate::scenario::{Build, CancelPolicy, Fault, FaultKind, FleetSize, Scenario};
use crate::{Micros, SECOND};

/// The built-in days.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum BuiltInScenario {
    /// All in order, no build on trial
    Plain,
    /// One trouble of each family and two builds of which one is bad
    BadDay,
    /// Up to five troubles of any kind and size at any time, on hosts and clients of drawn habits
    Drawn,
}

impl BuiltInScenario {
    /// As it is written in a flag.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |v| v.get_name().to_string())
    }
}

/// The flags that describe a run.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "The day")]
pub struct ScenarioFlags {
    /// Draws the day
    #[arg(long, env = "SPOKEFLOW_DAY_SEED", default_value_t = 1)]
    pub seed: u64,
    /// Seconds in which commands are sent
    #[arg(long, env = "SPOKEFLOW_DAY_SECONDS", default_value_t = 60)]
    pub seconds: u64,
    /// A built-in day
    #[arg(
        long,
        env = "SPOKEFLOW_DAY_SCENARIO",
        value_enum,
        default_value = "bad-day"
    )]
    pub scenario: BuiltInScenario,
    /// One kind of trouble alone, with a good build on trial; bad-build: a bad one and nothing else
    #[arg(long, env = "SPOKEFLOW_DAY_ONLY")]
    pub only: Option<FaultKind>,
    /// In place of the drawn troubles: KIND:at=TIME[:lasts=TIME][:part=NUMBER][:size=NUMBER], repeated or split
    /// by commas
    #[allow(rustdoc::broken_intra_doc_links)] // The text of --help, where brackets mean an optional part.
    #[arg(long, env = "SPOKEFLOW_DAY_SCRIPT", value_delimiter = ',')]
    pub script: Vec<Fault>,
    /// In place of the drawn builds: NUMBER:at=TIME[:flaw=NAME[:size=NUMBER]][:speed=NUMBER], repeated or split
    /// by commas, in the order of their times; NAME is none, errors, one-op, slow, under-load, late, shared
    /// or wrong
    #[arg(long = "build", env = "SPOKEFLOW_DAY_BUILD", value_delimiter = ',')]
    pub builds: Vec<Build>,
    /// Neither troubles nor builds but those of --script and --build
    #[arg(long, env = "SPOKEFLOW_DAY_BARE")]
    pub bare: bool,
    /// Size and habits.
    #[command(flatten)]
    pub size: SizeFlags,
}

/// The flags for the size of a run and the habits of its clients and hosts.
#[derive(Clone, Debug, Default, Args)]
#[command(next_help_heading = "Its size and habits")]
pub struct SizeFlags {
    /// A built-in size
    #[arg(long, env = "SPOKEFLOW_DAY_SIZE", value_enum)]
    pub size: Option<FleetSize>,
    /// Routers, in place of the size's
    #[arg(long, env = "SPOKEFLOW_DAY_ROUTERS")]
    pub routers: Option<u32>,
    /// Hosts, in place of the size's
    #[arg(long, env = "SPOKEFLOW_DAY_HOSTS")]
    pub hosts: Option<u32>,
    /// Sites [default: 3]
    #[arg(long, env = "SPOKEFLOW_DAY_SITES")]
    pub sites: Option<u16>,
    /// Commands a second, customers and keys in step [default: as many as the size's for each host]
    #[arg(long, env = "SPOKEFLOW_DAY_RATE")]
    pub rate: Option<f64>,
    /// Cores of a host [default: 1]
    #[arg(long, env = "SPOKEFLOW_DAY_CORES")]
    pub cores: Option<u32>,
    /// A share of all routers must vote, and routers tell each other what they see; in simulated time only
    #[arg(long, env = "SPOKEFLOW_DAY_MAJORITY")]
    pub majority: bool,
    /// Bursts of a second, as a part of the rate [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_BURST")]
    pub burst: Option<f64>,
    /// Keys whose data a host keeps at hand; 0: all [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_CACHE_KEYS")]
    pub cache_keys: Option<u32>,
    /// How much more work a key takes that is not at hand [default: 2]
    #[arg(long, env = "SPOKEFLOW_DAY_MISS_COST")]
    pub miss_cost: Option<f64>,
    /// How uneven keys are asked for, the exponent of Zipf's law [default: 0.7]
    #[arg(long, env = "SPOKEFLOW_DAY_KEY_SKEW")]
    pub key_skew: Option<f64>,
    /// How much each command that waits beyond two a core slows a host [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_THRASH")]
    pub thrash: Option<f64>,
    /// Hosts that share a machine [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_NEIGHBOURS")]
    pub neighbours: Option<u32>,
    /// How much of its speed a host loses to busy neighbours, 0 to 1 [default: 0]
    #[arg(long, env = "SPOKEFLOW_DAY_STEAL")]
    pub steal: Option<f64>,
    /// What a host does with a cancelled command [default: stops]
    #[arg(long, env = "SPOKEFLOW_DAY_CANCEL")]
    pub cancel: Option<CancelFlag>,
}

/// [`CancelPolicy`] as a flag's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum CancelFlag {
    /// Drops it wherever it is
    Stops,
    /// Drops it where it has not begun
    Waiting,
    /// Goes on
    Ignored,
}

/// A value that a flag does not take.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScenarioFlagError {
    /// There must be one.
    #[error("{flag}: at least {least}")]
    TooSmall {
        /// The flag.
        flag: &'static str,
        /// Its least value.
        least: u64,
    },
    /// Zero, less, or not finite.
    #[error("{flag}: more than 0")]
    NotPositive {
        /// The flag.
        flag: &'static str,
    },
    /// Beyond what makes sense.
    #[error("{flag}: 0 to {most}")]
    OutOfRange {
        /// The flag.
        flag: &'static str,
        /// Its greatest value.
        most: f64,
    },
    /// Builds must be given in the order of their offers.
    #[error("--build: numbers and times must rise")]
    BuildsOutOfOrder,
}

/// For programs that show a refused flag as text.
impl From<ScenarioFlagError> for String {
    fn from(error: ScenarioFlagError) -> String {
        error.to_string()
    }
}

/// The shortest run, in seconds.
const SHORTEST: u64 = 5;
/// Rates closer than this are the same.
const SAME_RATE: f64 = 1e-9;

fn at_least(flag: &'static str, least: u64, value: u64) -> Result<(), ScenarioFlagError> {
    if value < least {
        return Err(ScenarioFlagError::TooSmall { flag, least });
    }
    Ok(())
}

/// Puts the flag's value in place of the scenario's.
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
        return Err(ScenarioFlagError::OutOfRange { flag, most });
    }
    *target = value;
    Ok(())
}

impl SizeFlags {
    /// The scenario at this size and with these habits.
    ///
    /// # Errors
    /// Names the first flag with a value it does not take.
    pub fn apply(&self, mut day: Scenario) -> Result<Scenario, ScenarioFlagError> {
        if let Some(size) = self.size {
            day = day.sized(size);
        }
        at_least("--routers", 1, self.routers.unwrap_or(1).into())?;
        at_least("--hosts", 1, self.hosts.unwrap_or(1).into())?;
        at_least("--sites", 1, self.sites.unwrap_or(1).into())?;
        at_least("--cores", 1, self.cores.unwrap_or(1).into())?;
        day.routers = self.routers.unwrap_or(day.routers);
        day.sites = self.sites.unwrap_or(day.sites);
        self.apply_capacity(&mut day)?;
        if self.majority {
            day = day.with_majority_gate();
        }
        self.apply_habits(&mut day)?;
        Ok(day)
    }

    /// Hosts, cores, and the rate that goes with them.
    fn apply_capacity(&self, day: &mut Scenario) -> Result<(), ScenarioFlagError> {
        let hosts = self.hosts.unwrap_or(day.hosts);
        let cores = self.cores.unwrap_or(day.cores);
        let capacity = |hosts: u32, cores: u32| f64::from(hosts) * f64::from(cores);
        let grown = day.rate * capacity(hosts, cores) / capacity(day.hosts, day.cores);
        let rate = self.rate.unwrap_or(grown);
        if !(rate > 0.0 && rate.is_finite()) {
            return Err(ScenarioFlagError::NotPositive { flag: "--rate" });
        }
        day.hosts = hosts;
        day.cores = cores;
        if (rate - day.rate).abs() > SAME_RATE {
            day.set_rate(rate);
        }
        Ok(())
    }

    /// How clients and hosts behave.
    fn apply_habits(&self, day: &mut Scenario) -> Result<(), ScenarioFlagError> {
        override_within("--burst", self.burst, 100.0, &mut day.burst)?;
        override_within("--thrash", self.thrash, 10.0, &mut day.thrash)?;
        override_within("--miss-cost", self.miss_cost, 100.0, &mut day.miss_cost)?;
        override_within("--key-skew", self.key_skew, 10.0, &mut day.key_skew)?;
        override_within("--steal", self.steal, 1.0, &mut day.steal)?;
        day.cache_keys = self.cache_keys.unwrap_or(day.cache_keys);
        day.neighbours = self.neighbours.unwrap_or(day.neighbours);
        day.cancel = self.cancel.map_or(day.cancel, CancelPolicy::from);
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
    /// The scenario that the flags describe.
    ///
    /// # Errors
    /// Names the first flag with a value it does not take.
    pub fn to_scenario(&self) -> Result<Scenario, ScenarioFlagError> {
        self.with_seed(self.seed)
    }

    /// The same with another seed.
    ///
    /// # Errors
    /// Names the first flag with a value it does not take.
    pub fn with_seed(&self, seed: u64) -> Result<Scenario, ScenarioFlagError> {
        at_least("--seconds", SHORTEST, self.seconds)?;
        let length = self.seconds as Micros * SECOND;
        let mut day = match (self.only, self.scenario) {
            (Some(kind), _) => Scenario::only(kind, seed, length),
            (None, BuiltInScenario::Plain) => Scenario::plain(seed, length),
            (None, BuiltInScenario::BadDay) => Scenario::bad_day(seed, length),
            (None, BuiltInScenario::Drawn) => Scenario::drawn(seed, length),
        };
        if !self.script.is_empty() || self.bare {
            day.name = "script".into();
            day.faults.clone_from(&self.script);
            day.faults.sort_by_key(|fault| fault.at);
        }
        if !self.builds.is_empty() || self.bare {
            let rises = |builds: &[Build]| {
                builds[0].offered <= builds[1].offered && builds[0].number < builds[1].number
            };
            if !self.builds.windows(2).all(rises) {
                return Err(ScenarioFlagError::BuildsOutOfOrder);
            }
            day.builds.truncate(1);
            day.builds.extend(&self.builds);
        }
        self.size.apply(day)
    }
}
