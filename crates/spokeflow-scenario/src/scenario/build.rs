//! Builds and their defects, and their text form in flags and reports.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::setting::Setting;
use crate::{Micros, SECOND};

/// The defect of a build. Fractions are 0 to 1. The variants appear by name in reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum BuildDefect {
    /// No defect.
    None,
    /// Fails this fraction of all commands.
    Errors(f64),
    /// Fails this fraction of the commands of the last operation.
    OneOp(f64),
    /// Multiplies the work of every command by this factor.
    Slow(f64),
    /// Is slow and fails this fraction of commands while other commands are queued on the host.
    UnderLoad(f64),
    /// Becomes slow and fails this fraction of commands some seconds after its host has started.
    Late(f64),
    /// Slows all hosts down, the more of them run the build the more; the size is the slowdown factor.
    Shared(f64),
    /// Answers this fraction of commands wrong.
    Wrong(f64),
}

/// A build of the service.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Build {
    /// Number of the build; later builds have higher numbers.
    pub number: u16,
    /// Time at which the build is offered to the release controller.
    pub offered: Micros,
    /// Defect of the build.
    #[serde(rename = "flaw")]
    pub defect: BuildDefect,
    /// Speed relative to the first build, which has 1.
    pub speed: f64,
}

impl BuildDefect {
    /// Returns the name in flags and the size, which is 0 for no defect.
    fn name_and_size(self) -> (&'static str, f64) {
        match self {
            BuildDefect::None => ("none", 0.0),
            BuildDefect::Errors(n) => ("errors", n),
            BuildDefect::OneOp(n) => ("one-op", n),
            BuildDefect::Slow(n) => ("slow", n),
            BuildDefect::UnderLoad(n) => ("under-load", n),
            BuildDefect::Late(n) => ("late", n),
            BuildDefect::Shared(n) => ("shared", n),
            BuildDefect::Wrong(n) => ("wrong", n),
        }
    }

    /// Returns the defect with this name in flags; `None` for an unknown name.
    fn from_name(name: &str, size: f64) -> Option<BuildDefect> {
        Some(match name {
            "none" => BuildDefect::None,
            "errors" => BuildDefect::Errors(size),
            "one-op" => BuildDefect::OneOp(size),
            "slow" => BuildDefect::Slow(size),
            "under-load" => BuildDefect::UnderLoad(size),
            "late" => BuildDefect::Late(size),
            "shared" => BuildDefect::Shared(size),
            "wrong" => BuildDefect::Wrong(size),
            _ => return None,
        })
    }
}

/// The accepted names of defects, for error messages.
const DEFECT_NAMES: &str = "none, errors, one-op, slow, under-load, late, shared, wrong";
/// The number of the build that all hosts run from the start.
const FIRST_BUILD: u16 = 1;

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (defect, size) = self.defect.name_and_size();
        let offered_seconds = self.offered as f64 / SECOND as f64;
        write!(
            f,
            "{}:at={offered_seconds}s:flaw={defect}:size={size}:speed={}",
            self.number, self.speed
        )
    }
}

impl FromStr for Build {
    type Err = String;

    /// Parses `NUMBER:at=TIME[:flaw=NAME[:size=NUMBER]][:speed=NUMBER]`.
    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.trim().split(':');
        let number = parse_number(words.next().unwrap_or_default())?;
        let mut offered = None;
        let mut defect_name = "none";
        let mut size = 0.0;
        let mut speed = 1.0;
        for word in words {
            let setting = Setting::parse(word)?;
            match setting.name {
                "at" => offered = Some(setting.time()?),
                "flaw" => defect_name = setting.value,
                "size" => size = setting.number()?,
                "speed" => speed = setting.number()?,
                name => {
                    return Err(format!(
                        "build '{text}': '{name}' is not at, flaw, size or speed"
                    ))
                }
            }
        }
        let defect = BuildDefect::from_name(defect_name, size)
            .ok_or_else(|| format!("flaw '{defect_name}' is not one of {DEFECT_NAMES}"))?;
        let offered = offered.ok_or_else(|| format!("build '{text}': at= is missing"))?;
        Ok(Build {
            number,
            offered,
            defect,
            speed,
        })
    }
}

fn parse_number(text: &str) -> Result<u16, String> {
    let number: u16 = text
        .parse()
        .map_err(|_| format!("'{text}' is not a build number"))?;
    if number <= FIRST_BUILD {
        return Err(format!(
            "build {number}: build 1 runs from the start, further builds are numbered from 2"
        ));
    }
    Ok(number)
}
