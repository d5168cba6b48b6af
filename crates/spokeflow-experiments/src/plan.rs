//! The plan of a sweep: the product of scenarios, seeds, sizes, overrides and strategies.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use clap::{Args, ValueEnum};
use spokeflow_scenario::flags::{BuiltInScenario, SizeFlags};
use spokeflow_scenario::scenario::{FaultKind, FleetSize, Scenario};
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::StrategyKind;
use thiserror::Error;

/// The shortest time in which a scenario sends commands, in seconds.
const MIN_SECONDS: u64 = 5;

/// The largest value of an override, in the unit of its setting.
const MAX_OVERRIDE_VALUE: f64 = 1e6;

/// The settings that [`ConfigOverrides`] can change.
const OVERRIDE_NAMES: [&str; 9] = [
    "bake",
    "drain-grace",
    "exposure-span",
    "warm-within",
    "exposure-free",
    "slack",
    "reported",
    "retries",
    "forward-only",
];

/// [`OVERRIDE_NAMES`] as error messages list them.
const OVERRIDE_NAMES_SHOWN: &str =
    "bake, drain-grace, exposure-span, warm-within (times in s), exposure-free, slack, \
                                    reported, retries, forward-only";

/// A flag of a plan is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The text is not the name of a scenario.
    #[error("unknown scenario '{0}': expected plain, bad-day, drawn or only:KIND")]
    UnknownScenario(String),
    /// The text after `only:` is not the name of a fault. Holds the message of the scenario package.
    #[error("{0}")]
    UnknownFault(String),
    /// The text is neither a seed nor an ascending range of seeds.
    #[error("invalid seeds '{0}': expected a number, or FIRST-LAST with FIRST not above LAST")]
    InvalidSeeds(String),
    /// An override has no `=`.
    #[error("invalid override '{0}': expected NAME=VALUE")]
    NotAssignment(String),
    /// The value of an override is not a number.
    #[error("invalid override '{0}': the value is not a number")]
    NotNumber(String),
    /// The name of an override is unknown, or its value is out of bounds.
    #[error(
        "invalid override '{0}': expected one of {OVERRIDE_NAMES_SHOWN}, with a value from 0 to \
         {MAX_OVERRIDE_VALUE}"
    )]
    InvalidOverride(String),
    /// `--seconds` is below its minimum.
    #[error("--seconds {0}: expected at least {MIN_SECONDS}")]
    TooShort(u64),
    /// A scenario cannot have this size. Holds the message of the scenario package.
    #[error("{0}")]
    InvalidSize(String),
}

/// The scenario that a flag names: a built-in one, or `only:KIND` for one with a single kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScenarioChoice {
    /// A built-in scenario.
    BuiltIn(BuiltInScenario),
    /// The plain scenario with one kind of fault.
    Only(FaultKind),
}

impl fmt::Display for ScenarioChoice {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScenarioChoice::BuiltIn(built_in) => formatter.write_str(&built_in.name()),
            ScenarioChoice::Only(kind) => write!(formatter, "only:{}", kind.name()),
        }
    }
}

impl FromStr for ScenarioChoice {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        if let Some(kind) = text.strip_prefix("only:") {
            return match FaultKind::from_str(kind) {
                Ok(kind) => Ok(ScenarioChoice::Only(kind)),
                Err(error) => Err(PlanError::UnknownFault(error.to_string())),
            };
        }
        BuiltInScenario::from_str(text, false)
            .map(ScenarioChoice::BuiltIn)
            .map_err(|_| PlanError::UnknownScenario(text.to_string()))
    }
}

impl ScenarioChoice {
    /// Generates the scenario from a seed, `length` microseconds long.
    pub fn scenario(self, seed: u64, length: Micros) -> Scenario {
        match self {
            ScenarioChoice::Only(kind) => Scenario::only(kind, seed, length),
            ScenarioChoice::BuiltIn(BuiltInScenario::Plain) => Scenario::plain(seed, length),
            ScenarioChoice::BuiltIn(BuiltInScenario::BadDay) => Scenario::bad_day(seed, length),
            ScenarioChoice::BuiltIn(BuiltInScenario::Drawn) => Scenario::drawn(seed, length),
        }
    }
}

/// A range of seeds that includes both ends, written `7` or `1-20`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seeds {
    /// The smallest seed.
    pub first: u64,
    /// The largest seed, not below `first`.
    pub last: u64,
}

impl Seeds {
    /// Returns the seeds in ascending order.
    pub fn iter(self) -> RangeInclusive<u64> {
        self.first..=self.last
    }
}

impl FromStr for Seeds {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        let error = || PlanError::InvalidSeeds(text.to_string());
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        let seeds = Seeds {
            first: first.parse().map_err(|_| error())?,
            last: last.parse().map_err(|_| error())?,
        };
        if seeds.first > seeds.last {
            return Err(error());
        }
        Ok(seeds)
    }
}

/// A new value for one setting of a scenario. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
struct Override {
    name: &'static str,
    value: f64,
}

impl FromStr for Override {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        let (name, value) = text
            .split_once('=')
            .ok_or_else(|| PlanError::NotAssignment(text.to_string()))?;
        let value: f64 = value
            .strip_suffix('s')
            .unwrap_or(value)
            .parse()
            .map_err(|_| PlanError::NotNumber(text.to_string()))?;
        let known = OVERRIDE_NAMES.into_iter().find(|known| *known == name);
        match known {
            Some(name) if (0.0..=MAX_OVERRIDE_VALUE).contains(&value) => {
                Ok(Override { name, value })
            }
            _ => Err(PlanError::InvalidOverride(text.to_string())),
        }
    }
}

/// New values for settings of a scenario, written as `NAME=VALUE` joined by `+`, or `usual` for none.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigOverrides {
    /// The overrides as they were written.
    text: String,
    changes: Vec<Override>,
}

impl FromStr for ConfigOverrides {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        let changes = text
            .split('+')
            .filter(|change| *change != "usual")
            .map(str::parse)
            .collect::<Result<_, _>>()?;
        Ok(ConfigOverrides {
            text: text.to_string(),
            changes,
        })
    }
}

impl fmt::Display for ConfigOverrides {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

impl ConfigOverrides {
    /// Applies the overrides to the scenario in the order in which they were written.
    pub fn apply(&self, scenario: &mut Scenario) {
        for Override { name, value } in &self.changes {
            let time = (value * SECOND as f64) as Micros;
            match *name {
                "bake" => scenario.bake = time,
                "drain-grace" => scenario.drain_grace = time,
                "exposure-span" => scenario.exposure_span = time,
                "warm-within" => scenario.warm_within = time,
                "exposure-free" => scenario.exposure_free = *value,
                "slack" => scenario.slack = *value,
                "reported" => scenario.reported = value.min(1.0),
                "retries" => scenario.retries = *value as u32,
                _ => scenario.forward_only = *value > 0.0,
            }
        }
    }
}

/// Flags that select the runs of a plan.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "Runs")]
pub struct PlanFlags {
    /// Scenarios: plain, bad-day, drawn or only:KIND, separated by commas
    #[arg(
        value_name = "DAYS",
        long = "days",
        env = "SPOKEFLOW_LAB_DAYS",
        value_delimiter = ',',
        default_value = "bad-day"
    )]
    pub scenarios: Vec<ScenarioChoice>,
    /// Seeds: one, or FIRST-LAST; repeated or separated by commas
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_SEEDS",
        value_delimiter = ',',
        default_value = "1-8"
    )]
    pub seeds: Vec<Seeds>,
    /// Sizes of the deployment, separated by commas
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_SIZES",
        value_delimiter = ',',
        value_enum,
        default_value = "small"
    )]
    pub sizes: Vec<FleetSize>,
    /// Overrides of settings, separated by commas: each is usual (none), or NAME=VALUE joined by +; NAME is bake,
    /// drain-grace, exposure-span, warm-within (times in s), exposure-free, slack, reported, retries or forward-only
    #[arg(
        value_name = "TERMS",
        long = "terms",
        env = "SPOKEFLOW_LAB_TERMS",
        value_delimiter = ',',
        default_value = "usual"
    )]
    pub overrides: Vec<ConfigOverrides>,
    /// Routing strategies: engine, random, round-robin, two-choices, full-sight; separated by commas
    #[arg(
        value_name = "WHO",
        long = "who",
        env = "SPOKEFLOW_LAB_WHO",
        value_delimiter = ',',
        default_value = "engine,random,two-choices,full-sight"
    )]
    pub strategies: Vec<StrategyKind>,
    /// Time in which commands are sent, in seconds
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 120)]
    pub seconds: u64,
    /// A share of all routers must vote, and routers gossip their observations
    #[arg(long, env = "SPOKEFLOW_LAB_MAJORITY")]
    pub majority: bool,
}

/// A run of a plan.
#[derive(Clone, Debug)]
pub struct PlannedRun {
    /// The scenario's name, as [`ScenarioChoice`] formats it.
    pub scenario_name: String,
    /// The seed that generated the scenario.
    pub seed: u64,
    /// The name of the deployment size.
    pub size: String,
    /// The overrides, as [`ConfigOverrides`] formats them.
    pub overrides: String,
    /// The routing strategy.
    pub strategy: StrategyKind,
    /// The scenario, with its size and overrides applied.
    pub scenario: Scenario,
}

impl PlannedRun {
    /// Returns the key of this run's result in a store. The key covers everything that the result depends on except
    /// the program itself.
    pub fn key(&self) -> String {
        let scenario = serde_json::to_string(&self.scenario).unwrap_or_default();
        format!(
            "{}|{}|{}|{}|{}|{:016x}",
            self.scenario_name,
            self.size,
            self.overrides,
            self.strategy,
            self.seed,
            fnv1a(scenario.as_bytes())
        )
    }
}

/// Returns the 64-bit FNV-1a hash (Fowler, Noll and Vo; RFC 9923). It does not resist deliberate collisions, which
/// its inputs here do not attempt.
pub(crate) fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

impl PlanFlags {
    /// Returns all runs, ordered by scenario, then size, overrides, seed and strategy, each in the order of its flag.
    ///
    /// # Errors
    /// `--seconds` is too small, or a scenario cannot have one of the sizes.
    pub fn runs(&self) -> Result<Vec<PlannedRun>, PlanError> {
        if self.seconds < MIN_SECONDS {
            return Err(PlanError::TooShort(self.seconds));
        }
        let mut runs = Vec::new();
        for choice in &self.scenarios {
            for size in &self.sizes {
                for overrides in &self.overrides {
                    for seed in self.seeds.iter().flat_map(|seeds| seeds.iter()) {
                        runs.extend(self.runs_of(*choice, seed, *size, overrides)?);
                    }
                }
            }
        }
        Ok(runs)
    }

    /// Returns the runs of one scenario, one for each strategy.
    fn runs_of(
        &self,
        choice: ScenarioChoice,
        seed: u64,
        size: FleetSize,
        overrides: &ConfigOverrides,
    ) -> Result<Vec<PlannedRun>, PlanError> {
        let length = self.seconds as Micros * SECOND;
        let size_flags = SizeFlags {
            size: Some(size),
            majority: self.majority,
            ..SizeFlags::default()
        };
        let mut scenario = size_flags
            .apply(choice.scenario(seed, length))
            .map_err(|error| PlanError::InvalidSize(error.to_string()))?;
        overrides.apply(&mut scenario);
        let size_name = size.to_possible_value();
        let planned_run = |strategy: &StrategyKind| PlannedRun {
            scenario_name: choice.to_string(),
            seed,
            size: size_name
                .as_ref()
                .map_or_else(String::new, |value| value.get_name().into()),
            overrides: overrides.to_string(),
            strategy: *strategy,
            scenario: scenario.clone(),
        };
        Ok(self.strategies.iter().map(planned_run).collect())
    }
}
