//! Measured lines: points of one quantity over one size, and what they say at another size.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{read_text, CapacityError};
use super::fit::Fit;
use super::records::{is_size, is_spread, is_value, parse_json, FixedParameters, Role, SPREAD};

/// Sizes that a line is measured at, at least.
pub(super) const ENOUGH_POINTS: usize = 4;
/// A line that is used beyond so many times its largest measured size says so.
pub(super) const FAR: f64 = 4.0;

/// A value at a size, with its spread where the run was repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Of the deployment.
    pub size: f64,
    /// Median of the runs.
    pub value: f64,
    /// Smallest of the runs.
    pub min: Option<f64>,
    /// Largest of the runs.
    pub max: Option<f64>,
}

/// One quantity of one role over one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Unique among all lines.
    pub id: String,
    /// Who has the cost.
    pub role: Role,
    /// What was measured.
    pub quantity: String,
    /// Of the values.
    pub unit: String,
    /// The size that it grows with.
    pub per: String,
    /// What went on meanwhile, such as `quiet`.
    pub phase: String,
    /// Parameters that stay the same over the sizes.
    #[serde(rename = "held")]
    pub fixed: FixedParameters,
    /// By rising size, each size once.
    pub points: Vec<Point>,
    /// The command that measured it.
    pub command: String,
    /// Raw file of the run.
    pub run: String,
    /// Of the run, YYYY-MM-DD.
    pub date: String,
}

/// What a line says at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Measured or fitted.
    pub value: f64,
    /// Beyond `FAR` times the largest measured size.
    pub far: bool,
    /// Rests on fewer than `ENOUGH_POINTS` sizes.
    pub few: bool,
}

impl Line {
    fn pairs(&self) -> Vec<(f64, f64)> {
        self.points
            .iter()
            .map(|point| (point.size, point.value))
            .collect()
    }

    /// `None`: fewer than two sizes.
    pub fn fit(&self) -> Option<Fit> {
        Fit::of(&self.pairs())
    }

    /// The smallest measured size; 0 where there is none.
    pub fn smallest(&self) -> f64 {
        self.points.first().map_or(0.0, |point| point.size)
    }

    /// The largest measured size; 0 where there is none.
    pub fn largest(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.size)
    }

    /// The measured value where the size was measured, else the fit's; `None` where a single size was measured and
    /// another is asked for, and where a fit that falls has come to nothing, which no cost does.
    pub fn at(&self, size: f64) -> Option<Reading> {
        let few = self.points.len() < ENOUGH_POINTS;
        if let Some(point) = self.points.iter().find(|point| point.size == size) {
            return Some(Reading {
                value: point.value,
                far: false,
                few,
            });
        }
        let value = self.fit()?.form.at(size);
        let nothing =
            value < 0.0 || value == 0.0 && self.points.iter().any(|point| point.value > 0.0);
        if nothing {
            return None;
        }
        Some(Reading {
            value,
            far: size > FAR * self.largest(),
            few,
        })
    }

    /// How many sizes it rests on, where they are too few.
    pub fn caution(&self) -> Option<&'static str> {
        match self.points.len() {
            1 => Some("one point only"),
            2 => Some("two points only"),
            3 => Some("three points only"),
            _ => None,
        }
    }
}

/// All measured lines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// In the order of the file.
    pub lines: Vec<Line>,
}

impl Slopes {
    /// Reads and checks measured lines.
    ///
    /// # Errors
    /// The first entry that is missing, unknown, of a wrong type or out of its limits.
    pub fn read(file: &Path) -> Result<Slopes, CapacityError> {
        let slopes: Slopes = parse_json(file, &read_text(file)?)?;
        slopes.check(file)?;
        Ok(slopes)
    }

    /// Checks lines as they are read from this file.
    ///
    /// # Errors
    /// The first entry that is out of its limits.
    pub fn check(&self, file: &Path) -> Result<(), CapacityError> {
        for (n, line) in self.lines.iter().enumerate() {
            check_line(file, n, line)?;
            if self.lines[..n].iter().any(|other| other.id == line.id) {
                let expected = format!("'{}' is given twice, each id once wanted", line.id);
                return Err(CapacityError::new(file, format!("lines[{n}].id"), expected));
            }
        }
        Ok(())
    }
}

fn check_line(file: &Path, n: usize, line: &Line) -> Result<(), CapacityError> {
    let fault = |entry: String, wanted: &str| {
        Err(CapacityError::new(
            file,
            format!("lines[{n}].{entry}"),
            format!("{wanted} wanted"),
        ))
    };
    let texts = [
        ("id", &line.id),
        ("quantity", &line.quantity),
        ("unit", &line.unit),
        ("per", &line.per),
        ("command", &line.command),
        ("run", &line.run),
        ("date", &line.date),
    ];
    if let Some((entry, _)) = texts.iter().find(|(_, text)| text.trim().is_empty()) {
        return fault(entry.to_string(), "a text");
    }
    if line.points.is_empty() {
        return fault("points".into(), "at least one point");
    }
    for (k, point) in line.points.iter().enumerate() {
        if !is_size(point.size) {
            return fault(
                format!("points[{k}].size"),
                "a number above 0 and at most 1e15",
            );
        }
        if !is_value(point.value) {
            return fault(format!("points[{k}].value"), "a number from 0 to 1e15");
        }
        if !is_spread(point.min, point.value, point.max) {
            return fault(format!("points[{k}].min"), SPREAD);
        }
        if k > 0 && point.size <= line.points[k - 1].size {
            return fault(
                format!("points[{k}].size"),
                "sizes that rise from point to point",
            );
        }
    }
    Ok(())
}
