//! What a sweep plays: scenario x seed x size x overrides x strategy.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use clap::{Args, ValueEnum};
use spokeflow_scenario::flags::{BuiltInScenario, SizeFlags};
use spokeflow_scenario::scenario::{FaultKind, FleetSize, Scenario};
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::StrategyKind;
use thiserror::Error;

/// Shortest scenario, in seconds in which commands are sent.
const LEAST_SECONDS: u64 = 5;

/// Largest value of an override, whatever its unit.
const LARGEST_OVERRIDE: f64 = 1e6;

/// Names that [`ConfigOverrides`] knows.
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

/// [`OVERRIDE_NAMES`] as messages show them.
const OVERRIDE_NAMES_SHOWN: &str =
    "bake, drain-grace, exposure-span, warm-within (times in s), exposure-free, slack, \
                                    reported, retries, forward-only";

/// What is wrong with a flag of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The text names no scenario.
    #[error("'{0}' is not plain, bad-day, drawn or only:KIND")]
    UnknownScenario(String),
    /// The text after `only:` names no fault, as the scenario package says.
    #[error("{0}")]
    UnknownFault(String),
    /// The text is no seed, and no range from a smaller to a larger one.
    #[error("'{0}' is not a seed or FIRST-LAST")]
    Seeds(String),
    /// An override lacks its `=`.
    #[error("'{0}' is not NAME=VALUE")]
    NotAssignment(String),
    /// The value of an override is no number.
    #[error("'{0}': not a number")]
    NotNumber(String),
    /// The name of an override is unknown, or its value out of bounds.
    #[error("'{0}' is not one of {OVERRIDE_NAMES_SHOWN}, from 0")]
    Override(String),
    /// `--seconds` is below its least.
    #[error("--seconds: at least {LEAST_SECONDS}")]
    TooShort,
    /// A scenario cannot have this size, as the scenario package says.
    #[error("{0}")]
    Size(String),
}

/// A built-in scenario, or `only:KIND`: one with a single kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScenarioChoice {
    /// One of the scenarios with a name.
    BuiltIn(BuiltInScenario),
    /// A plain scenario with one kind of fault.
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
    /// The scenario that a seed makes, `length` microseconds long.
    pub fn scenario(self, seed: u64, length: Micros) -> Scenario {
        match self {
            ScenarioChoice::Only(kind) => Scenario::only(kind, seed, length),
            ScenarioChoice::BuiltIn(BuiltInScenario::Plain) => Scenario::plain(seed, length),
            ScenarioChoice::BuiltIn(BuiltInScenario::BadDay) => Scenario::bad_day(seed, length),
            ScenarioChoice::BuiltIn(BuiltInScenario::Drawn) => Scenario::drawn(seed, length),
        }
    }
}

/// Seeds as `7` or `1-20`, the last among them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seeds {
    /// The smallest.
    pub first: u64,
    /// The largest, not below `first`.
    pub last: u64,
}

impl Seeds {
    /// Each seed, upwards.
    pub fn iter(self) -> RangeInclusive<u64> {
        self.first..=self.last
    }
}

impl FromStr for Seeds {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        let error = || PlanError::Seeds(text.to_string());
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

/// One changed setting of a scenario. Times are in seconds.
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
            Some(name) if (0.0..=LARGEST_OVERRIDE).contains(&value) => Ok(Override { name, value }),
            _ => Err(PlanError::Override(text.to_string())),
        }
    }
}

/// Changes of a scenario's settings, joined by `+`; `usual` for none.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigOverrides {
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
    /// Changes the scenario, in the order in which the changes were written.
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

/// Flags that say what is played.
#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "What is played")]
pub struct PlanFlags {
    /// Days: plain, bad-day, drawn or only:KIND, split by commas
    #[arg(
        value_name = "DAYS",
        long = "days",
        env = "SPOKEFLOW_LAB_DAYS",
        value_delimiter = ',',
        default_value = "bad-day"
    )]
    pub scenarios: Vec<ScenarioChoice>,
    /// Seeds: one, or FIRST-LAST; repeated or split by commas
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_SEEDS",
        value_delimiter = ',',
        default_value = "1-8"
    )]
    pub seeds: Vec<Seeds>,
    /// Sizes, split by commas
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_SIZES",
        value_delimiter = ',',
        value_enum,
        default_value = "small"
    )]
    pub sizes: Vec<FleetSize>,
    /// Changes of the terms, each usual or NAME=VALUE joined by +, split by commas; NAME is bake, drain-grace,
    /// exposure-span, warm-within (times in s), exposure-free, slack, reported, retries or forward-only
    #[arg(
        value_name = "TERMS",
        long = "terms",
        env = "SPOKEFLOW_LAB_TERMS",
        value_delimiter = ',',
        default_value = "usual"
    )]
    pub overrides: Vec<ConfigOverrides>,
    /// Who decides: engine, random, round-robin, two-choices, full-sight; split by commas
    #[arg(
        value_name = "WHO",
        long = "who",
        env = "SPOKEFLOW_LAB_WHO",
        value_delimiter = ',',
        default_value = "engine,random,two-choices,full-sight"
    )]
    pub strategies: Vec<StrategyKind>,
    /// Seconds in which commands are sent
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 120)]
    pub seconds: u64,
    /// A share of all routers must vote, and routers tell each other what they see
    #[arg(long, env = "SPOKEFLOW_LAB_MAJORITY")]
    pub majority: bool,
}

/// One run to play.
#[derive(Clone, Debug)]
pub struct Cell {
    /// As [`ScenarioChoice`] shows itself.
    pub scenario_name: String,
    /// By which the scenario was made.
    pub seed: u64,
    /// Name of the size.
    pub size: String,
    /// As [`ConfigOverrides`] shows itself.
    pub overrides: String,
    /// Who decides.
    pub strategy: StrategyKind,
    /// The scenario itself, with its size and overrides.
    pub scenario: Scenario,
}

impl Cell {
    /// The key of this run's result in a store. It holds all that the result depends on but the program itself.
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

/// FNV-1a, 64 bits (Fowler, Noll and Vo; RFC 9923): tells texts apart that nobody chose to collide.
pub(crate) fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

impl PlanFlags {
    /// All runs: by scenario, then size, overrides, seed and strategy, each in the order of its flag.
    ///
    /// # Errors
    /// The runs are too short, or a scenario cannot have a size.
    pub fn cells(&self) -> Result<Vec<Cell>, PlanError> {
        if self.seconds < LEAST_SECONDS {
            return Err(PlanError::TooShort);
        }
        let mut cells = Vec::new();
        for choice in &self.scenarios {
            for size in &self.sizes {
                for overrides in &self.overrides {
                    for seed in self.seeds.iter().flat_map(|seeds| seeds.iter()) {
                        cells.extend(self.cells_of(*choice, seed, *size, overrides)?);
                    }
                }
            }
        }
        Ok(cells)
    }

    /// The runs of one scenario, one by strategy.
    fn cells_of(
        &self,
        choice: ScenarioChoice,
        seed: u64,
        size: FleetSize,
        overrides: &ConfigOverrides,
    ) -> Result<Vec<Cell>, PlanError> {
        let length = self.seconds as Micros * SECOND;
        let sized = SizeFlags {
            size: Some(size),
            majority: self.majority,
            ..SizeFlags::default()
        };
        let mut scenario = sized
            .apply(choice.scenario(seed, length))
            .map_err(|error| PlanError::Size(error.to_string()))?;
        overrides.apply(&mut scenario);
        let size_name = size.to_possible_value();
        let cell = |strategy: &StrategyKind| Cell {
            scenario_name: choice.to_string(),
            seed,
            size: size_name
                .as_ref()
                .map_or_else(String::new, |value| value.get_name().into()),
            overrides: overrides.to_string(),
            strategy: *strategy,
            scenario: scenario.clone(),
        };
        Ok(self.strategies.iter().map(cell).collect())
    }
}
