//! Measured lines: points of one quantity over one size, and the value that they give at another size.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{read_text, CapacityError};
use super::fit::Fit;
use super::records::{
    empty_text_problem, is_size, is_spread, is_value, parse_json, size_problem, spread_problem,
    value_problem, FixedParameters, Role,
};

/// A line with fewer sizes is marked where it is used.
pub(super) const MIN_POINTS: usize = 4;
/// A use of a line beyond this many times its largest measured size is marked.
pub(super) const MAX_EXTRAPOLATION_FACTOR: f64 = 4.0;

/// A value at a size, with the smallest and largest value if the run was repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Size at which the value was measured.
    pub size: f64,
    /// Median value of the runs.
    pub value: f64,
    /// Smallest value of the runs; `None` if the run was not repeated.
    pub min: Option<f64>,
    /// Largest value of the runs; `None` if the run was not repeated.
    pub max: Option<f64>,
}

/// Measured values of one quantity of one role over one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Identifier, unique among all lines.
    pub id: String,
    /// The role that has the cost.
    pub role: Role,
    /// Name of the measured quantity.
    pub quantity: String,
    /// Unit of the values.
    pub unit: String,
    /// Name of the size over which the quantity was measured, such as `hosts`.
    pub per: String,
    /// Phase of the run in which the values were measured, such as `quiet`.
    pub phase: String,
    /// Parameters that were held constant over the sizes.
    #[serde(rename = "held")]
    pub fixed: FixedParameters,
    /// Points in ascending order of size, each size once.
    pub points: Vec<Point>,
    /// The command that measured it.
    pub command: String,
    /// File name of the raw run.
    pub run: String,
    /// Date of the run, YYYY-MM-DD.
    pub date: String,
}

/// The value of a line at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Measured value, or fitted value if the size was not measured.
    pub value: f64,
    /// Whether the size is beyond `MAX_EXTRAPOLATION_FACTOR` times the largest measured size.
    pub is_far_extrapolation: bool,
    /// Whether the line has fewer than `MIN_POINTS` sizes.
    pub has_few_points: bool,
}

impl Line {
    fn pairs(&self) -> Vec<(f64, f64)> {
        self.points
            .iter()
            .map(|point| (point.size, point.value))
            .collect()
    }

    /// Returns the fit of the points; `None` for fewer than two sizes.
    pub fn fit(&self) -> Option<Fit> {
        Fit::from_points(&self.pairs())
    }

    /// Returns the smallest measured size; 0 if there is none.
    pub fn smallest(&self) -> f64 {
        self.points.first().map_or(0.0, |point| point.size)
    }

    /// Returns the largest measured size; 0 if there is none.
    pub fn largest(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.size)
    }

    /// Returns the measured value if the size was measured, otherwise the fitted value. Returns `None` if only a single
    /// other size was measured, or if a falling fit has reached 0 or less, because no cost falls to 0.
    pub fn at(&self, size: f64) -> Option<Reading> {
        let has_few_points = self.points.len() < MIN_POINTS;
        if let Some(point) = self.points.iter().find(|point| point.size == size) {
            return Some(Reading {
                value: point.value,
                is_far_extrapolation: false,
                has_few_points,
            });
        }
        let value = self.fit()?.form.at(size);
        let fell_to_zero =
            value < 0.0 || value == 0.0 && self.points.iter().any(|point| point.value > 0.0);
        if fell_to_zero {
            return None;
        }
        Some(Reading {
            value,
            is_far_extrapolation: size > MAX_EXTRAPOLATION_FACTOR * self.largest(),
            has_few_points,
        })
    }

    /// Returns the note on the page for a line with fewer than `MIN_POINTS` sizes; `None` for other lines.
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
    /// Lines in the order of the file.
    pub lines: Vec<Line>,
}

impl Slopes {
    /// Reads and checks measured lines.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or names the first entry that is missing, unknown, of a wrong type
    /// or out of range.
    pub fn read(file: &Path) -> Result<Slopes, CapacityError> {
        let slopes: Slopes = parse_json(file, &read_text(file)?)?;
        slopes.check(file)?;
        Ok(slopes)
    }

    /// Checks all lines; `file` is named in errors.
    ///
    /// # Errors
    /// Returns an error that names the first entry that is not valid.
    pub fn check(&self, file: &Path) -> Result<(), CapacityError> {
        for (n, line) in self.lines.iter().enumerate() {
            check_line(file, n, line)?;
            if self.lines[..n].iter().any(|other| other.id == line.id) {
                let problem = format!("expected unique ids, got '{}' given twice", line.id);
                return Err(CapacityError::new(file, format!("lines[{n}].id"), problem));
            }
        }
        Ok(())
    }
}

fn check_line(file: &Path, n: usize, line: &Line) -> Result<(), CapacityError> {
    let invalid = |entry: String, problem: String| {
        Err(CapacityError::new(
            file,
            format!("lines[{n}].{entry}"),
            problem,
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
    if let Some((entry, text)) = texts.iter().find(|(_, text)| text.trim().is_empty()) {
        return invalid(entry.to_string(), empty_text_problem(text));
    }
    if line.points.is_empty() {
        return invalid(
            "points".into(),
            "expected at least one point, got none".into(),
        );
    }
    for (k, point) in line.points.iter().enumerate() {
        if !is_size(point.size) {
            return invalid(format!("points[{k}].size"), size_problem(point.size));
        }
        if !is_value(point.value) {
            return invalid(format!("points[{k}].value"), value_problem(point.value));
        }
        if !is_spread(point.min, point.value, point.max) {
            return invalid(
                format!("points[{k}].min"),
                spread_problem(point.min, point.value, point.max),
            );
        }
        if k > 0 && point.size <= line.points[k - 1].size {
            return invalid(
                format!("points[{k}].size"),
                format!(
                    "expected sizes that rise from point to point, got {} after {}",
                    point.size,
                    line.points[k - 1].size
                ),
            );
        }
    }
    Ok(())
}
