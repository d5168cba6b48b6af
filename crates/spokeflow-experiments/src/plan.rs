//! What a sweep plays: scenario x seed x size x terms x who decides.

use std::fmt;
use std::str::FromStr;

use clap::{Args, ValueEnum};
use spokeflow_scenario::flags::{BuiltInScenario, SizeFlags};
use spokeflow_scenario::scenario::{FaultKind, FleetSize, Scenario};
use spokeflow_scenario::{Micros, SECOND};
use spokeflow_simulator::StrategyKind;

/// A built-in day, or `only:KIND`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Which {
    Built(BuiltInScenario),
    Only(FaultKind),
}

impl fmt::Display for Which {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Which::Built(built) => f.write_str(&built.name()),
            Which::Only(kind) => write!(f, "only:{}", kind.name()),
        }
    }
}

impl FromStr for Which {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        match text.strip_prefix("only:") {
            Some(kind) => Ok(Which::Only(kind.parse()?)),
            None => Ok(Which::Built(
                BuiltInScenario::from_str(text, false)
                    .map_err(|_| format!("'{text}' is not plain, bad-day, drawn or only:KIND"))?,
            )),
        }
    }
}

impl Which {
    pub fn day(self, seed: u64, length: Micros) -> Scenario {
        match self {
            Which::Only(kind) => Scenario::only(kind, seed, length),
            Which::Built(BuiltInScenario::Plain) => Scenario::plain(seed, length),
            Which::Built(BuiltInScenario::BadDay) => Scenario::bad_day(seed, length),
            Which::Built(BuiltInScenario::Drawn) => Scenario::drawn(seed, length),
        }
    }
}

/// Seeds as `7` or `1-20`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seeds(pub u64, pub u64);

impl FromStr for Seeds {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let fault = || format!("'{text}' is not a seed or FIRST-LAST");
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        let seeds = Seeds(
            first.parse().map_err(|_| fault())?,
            last.parse().map_err(|_| fault())?,
        );
        (seeds.0 <= seeds.1).then_some(seeds).ok_or_else(fault)
    }
}

/// Changes of a day's terms, joined by `+`; `usual` for none.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms(String, Vec<(String, f64)>);

const TERMS: &str =
    "bake, drain-grace, exposure-span, warm-within (times in s), exposure-free, slack, reported, \
                     retries, forward-only";

impl FromStr for Terms {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let mut changes = Vec::new();
        for change in text.split('+').filter(|t| *t != "usual") {
            let (name, value) = change
                .split_once('=')
                .ok_or(format!("'{change}' is not NAME=VALUE"))?;
            let known = TERMS
                .replace(" (times in s)", "")
                .split(", ")
                .any(|t| t == name);
            let number: f64 = value
                .strip_suffix('s')
                .unwrap_or(value)
                .parse()
                .map_err(|_| format!("'{change}': not a number"))?;
            if !known || !(0.0..=1e6).contains(&number) {
                return Err(format!("'{change}' is not one of {TERMS}, from 0"));
            }
            changes.push((name.to_string(), number));
        }
        Ok(Terms(text.to_string(), changes))
    }
}

impl fmt::Display for Terms {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Terms {
    pub fn apply(&self, day: &mut Scenario) {
        for (name, n) in &self.1 {
            let time = (n * SECOND as f64) as Micros;
            match name.as_str() {
                "bake" => day.bake = time,
                "drain-grace" => day.drain_grace = time,
                "exposure-span" => day.exposure_span = time,
                "warm-within" => day.warm_within = time,
                "exposure-free" => day.exposure_free = *n,
                "slack" => day.slack = *n,
                "reported" => day.reported = n.min(1.0),
                "retries" => day.retries = *n as u32,
                _ => day.forward_only = *n > 0.0,
            }
        }
    }
}

#[derive(Clone, Debug, Args)]
#[command(next_help_heading = "What is played")]
pub struct MatrixFlags {
    /// Days: plain, bad-day, drawn or only:KIND, split by commas
    #[arg(
        long = "days",
        env = "SPOKEFLOW_LAB_DAYS",
        value_delimiter = ',',
        default_value = "bad-day"
    )]
    pub days: Vec<Which>,
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
        long,
        env = "SPOKEFLOW_LAB_TERMS",
        value_delimiter = ',',
        default_value = "usual"
    )]
    pub terms: Vec<Terms>,
    /// StrategyKind decides: engine, random, round-robin, two-choices, full-sight; split by commas
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_WHO",
        value_delimiter = ',',
        default_value = "engine,random,two-choices,full-sight"
    )]
    pub who: Vec<StrategyKind>,
    /// Seconds in which commands are sent
    #[arg(long, env = "SPOKEFLOW_LAB_SECONDS", default_value_t = 120)]
    pub seconds: u64,
    /// A share of all routers must vote, and routers tell each other what they see
    #[arg(long, env = "SPOKEFLOW_LAB_MAJORITY")]
    pub majority: bool,
}

/// One day to play.
#[derive(Clone, Debug)]
pub struct Cell {
    pub day: String,
    pub seed: u64,
    pub size: String,
    pub terms: String,
    pub who: StrategyKind,
    pub scenario: Scenario,
}

impl Cell {
    /// By which a result is known again: of what it depends on nothing is left out but the program itself.
    pub fn key(&self) -> String {
        let day = serde_json::to_string(&self.scenario).unwrap_or_default();
        format!(
            "{}|{}|{}|{}|{}|{:016x}",
            self.day,
            self.size,
            self.terms,
            self.who,
            self.seed,
            mix(&day)
        )
    }
}

/// FNV-1a, 64 bits: tells days apart, not adversaries.
pub fn mix(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl MatrixFlags {
    /// All days, in a stated order. Errors: a flag and what is wrong with it.
    pub fn cells(&self) -> Result<Vec<Cell>, String> {
        if self.seconds < 5 {
            return Err("--seconds: at least 5".into());
        }
        let length = self.seconds as Micros * SECOND;
        let seeds: Vec<u64> = self.seeds.iter().flat_map(|s| s.0..=s.1).collect();
        let mut cells = Vec::new();
        for which in &self.days {
            for size in &self.sizes {
                for terms in &self.terms {
                    for seed in &seeds {
                        let mut scenario = which.day(*seed, length);
                        let sized = SizeFlags {
                            size: Some(*size),
                            majority: self.majority,
                            ..SizeFlags::default()
                        };
                        scenario = sized.apply(scenario)?;
                        terms.apply(&mut scenario);
                        for who in &self.who {
                            cells.push(Cell {
                                day: which.to_string(),
                                seed: *seed,
                                size: size
                                    .to_possible_value()
                                    .map_or_else(String::new, |v| v.get_name().into()),
                                terms: terms.to_string(),
                                who: *who,
                                scenario: scenario.clone(),
                            });
                        }
                    }
                }
            }
        }
        Ok(cells)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use clap::Parser;

    #[derive(Parser)]
    struct Program {
        #[command(flatten)]
        matrix: MatrixFlags,
    }

    #[test]
    fn a_matrix_has_each_day_once_and_keys_tell_all_apart() {
        let flags = [
            "x",
            "--days=plain,only:cut",
            "--seeds=1-3,9",
            "--terms=usual,bake=4s+slack=2",
            "--who=engine,random",
        ];
        let cells = Program::parse_from(flags).matrix.cells().unwrap();
        assert_eq!(cells.len(), 2 * 4 * 2 * 2);
        let keys: std::collections::BTreeSet<String> = cells.iter().map(Cell::key).collect();
        assert_eq!(keys.len(), cells.len());
        let changed = cells.iter().find(|c| c.terms != "usual").unwrap();
        assert_eq!(
            (changed.scenario.bake, changed.scenario.slack),
            (4 * SECOND, 2.0)
        );
    }

    #[test]
    fn wrong_words_are_named() {
        assert!("quake".parse::<Which>().unwrap_err().contains("only:KIND"));
        assert!("only:quake"
            .parse::<Which>()
            .unwrap_err()
            .contains("router-roll"));
        assert!("5-2".parse::<Seeds>().is_err() && "a".parse::<Seeds>().is_err());
        assert!("baking=2"
            .parse::<Terms>()
            .unwrap_err()
            .contains("drain-grace"));
    }
}
