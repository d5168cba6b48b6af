//! Builds, their defects, and both as text.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use super::setting::Setting;
use crate::{Micros, SECOND};

/// What is wrong with a build.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum BuildDefect {
    /// Nothing.
    None,
    /// Fails this part of all commands.
    Errors(f64),
    /// Fails this part of one op type.
    OneOp(f64),
    /// Needs so many times the work.
    Slow(f64),
    /// Slow and failing only where commands wait.
    UnderLoad(f64),
    /// Turns slow and fails some seconds after its host has started.
    Late(f64),
    /// Slows all hosts in step with its traffic.
    Shared(f64),
    /// Gives wrong answers to this part.
    Wrong(f64),
}

/// A build of the service that hosts run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Build {
    /// Its number; later builds have higher ones.
    pub number: u16,
    /// When it is offered to the release controller.
    pub offered: Micros,
    /// What is wrong with it.
    #[serde(rename = "flaw")]
    pub defect: BuildDefect,
    /// Its speed, 1 for that of the first build.
    pub speed: f64,
}

impl BuildDefect {
    fn named(self) -> (&'static str, f64) {
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

    fn of(name: &str, size: f64) -> Option<BuildDefect> {
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

/// What a defect may be called, for error messages.
const DEFECT_NAMES: &str = "none, errors, one-op, slow, under-load, late, shared, wrong";
/// The number of the build that is there from the start.
const FIRST_BUILD: u16 = 1;

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (defect, size) = self.defect.named();
        let at = self.offered as f64 / SECOND as f64;
        write!(
            f,
            "{}:at={at}s:flaw={defect}:size={size}:speed={}",
            self.number, self.speed
        )
    }
}

impl FromStr for Build {
    type Err = String;

    /// `NUMBER:at=TIME[:flaw=NAME[:size=NUMBER]][:speed=NUMBER]`
    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.trim().split(':');
        let number = parse_number(words.next().unwrap_or_default())?;
        let mut offered = None;
        let mut defect = "none";
        let mut size = 0.0;
        let mut speed = 1.0;
        for word in words {
            let setting = Setting::parse(word)?;
            match setting.name {
                "at" => offered = Some(setting.time()?),
                "flaw" => defect = setting.value,
                "size" => size = setting.number()?,
                "speed" => speed = setting.number()?,
                name => return Err(format!("'{name}' is not at, flaw, size or speed")),
            }
        }
        let flaw = BuildDefect::of(defect, size)
            .ok_or_else(|| format!("flaw '{defect}' is not one of {DEFECT_NAMES}"))?;
        let offered = offered.ok_or_else(|| format!("'{text}': at= is missing"))?;
        Ok(Build {
            number,
            offered,
            defect: flaw,
            speed,
        })
    }
}

fn parse_number(text: &str) -> Result<u16, String> {
    let number: u16 = text
        .parse()
        .map_err(|_| format!("'{text}' is no number of a build"))?;
    if number <= FIRST_BUILD {
        return Err(format!(
            "build {number}: build 1 stands from the start, others are from 2"
        ));
    }
    Ok(number)
}
