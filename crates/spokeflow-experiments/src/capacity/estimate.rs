//! Estimates computed from measured lines. Each estimate records the lines that it is computed from.

use std::collections::BTreeSet;

use serde::Serialize;

use super::records::Role;
use super::slopes::{Line, Slopes};

/// The key of a measured line that an estimate needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Need {
    pub role: Role,
    pub quantity: &'static str,
    pub phase: &'static str,
    pub per: &'static str,
}

impl Need {
    fn is_measured_by(&self, line: &Line) -> bool {
        let has_same_names =
            line.quantity == self.quantity && line.phase == self.phase && line.per == self.per;
        has_same_names && line.role == self.role
    }

    /// Returns the name under which the page lists the line if it was not measured.
    fn name(&self) -> String {
        format!(
            "{}: {} ({}) by {}",
            self.role, self.quantity, self.phase, self.per
        )
    }
}

/// An estimated value, the measured lines that it is computed from, and the lines that are missing for it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct Estimate {
    /// The estimated value; `None` if a line that it needs was not measured.
    pub value: Option<f64>,
    /// Ids of the lines that the value is computed from.
    pub lines: BTreeSet<String>,
    /// Names of the lines that were not measured.
    pub missing: BTreeSet<String>,
    /// Whether a line is used beyond `MAX_EXTRAPOLATION_FACTOR` times its largest measured size.
    #[serde(rename = "far")]
    pub is_far_extrapolation: bool,
    /// Whether a line has fewer than `MIN_POINTS` sizes.
    #[serde(rename = "few")]
    pub has_few_points: bool,
    /// Whether the real value may be larger because a cost that adds to it is not included.
    #[serde(rename = "at_least")]
    pub is_lower_bound: bool,
}

impl Estimate {
    /// Returns an estimate that follows from the target or from a limit of the programs and needs no measured line.
    pub(super) fn given(value: f64) -> Estimate {
        Estimate {
            value: Some(value),
            ..Estimate::default()
        }
    }

    /// Returns the value of the line for `need` at `size`, or an estimate without a value if there is none.
    pub(super) fn measured(slopes: &Slopes, need: Need, size: f64) -> Estimate {
        let reading = best_line(slopes, need).and_then(|line| Some((line, line.at(size)?)));
        match reading {
            Some((line, reading)) => Estimate {
                value: Some(reading.value),
                lines: BTreeSet::from([line.id.clone()]),
                is_far_extrapolation: reading.is_far_extrapolation,
                has_few_points: reading.has_few_points,
                ..Estimate::default()
            },
            None => Estimate {
                missing: BTreeSet::from([need.name()]),
                ..Estimate::default()
            },
        }
    }

    pub(super) fn times(self, factor: f64) -> Estimate {
        Estimate {
            value: self.value.map(|value| value * factor),
            ..self
        }
    }

    pub(super) fn plus(self, other: Estimate) -> Estimate {
        let value = self.value.zip(other.value).map(|(a, b)| a + b);
        self.combined_with(other, value)
    }

    /// Returns the largest of the estimates that have a value, marked as a lower bound: each was measured with the
    /// other sizes held constant, so that all together may cost more.
    pub(super) fn largest_as_lower_bound(all: impl IntoIterator<Item = Estimate>) -> Estimate {
        let largest = Estimate::largest(all);
        Estimate {
            is_lower_bound: largest.value.is_some(),
            ..largest
        }
    }

    /// Returns the largest of the estimates that have a value, for costs of which only one occurs at a time.
    pub(super) fn largest(all: impl IntoIterator<Item = Estimate>) -> Estimate {
        let mut largest: Option<Estimate> = None;
        let mut missing = BTreeSet::new();
        for estimate in all {
            missing.extend(estimate.missing.iter().cloned());
            let Some(value) = estimate.value else {
                continue;
            };
            if largest
                .as_ref()
                .is_none_or(|known| known.value < Some(value))
            {
                largest = Some(estimate);
            }
        }
        largest.unwrap_or(Estimate {
            missing,
            ..Estimate::default()
        })
    }

    fn combined_with(mut self, other: Estimate, value: Option<f64>) -> Estimate {
        self.lines.extend(other.lines);
        self.missing.extend(other.missing);
        Estimate {
            value,
            is_far_extrapolation: self.is_far_extrapolation || other.is_far_extrapolation,
            has_few_points: self.has_few_points || other.has_few_points,
            is_lower_bound: self.is_lower_bound || other.is_lower_bound,
            ..self
        }
    }
}

/// Returns the line to use if several runs measured the same: one whose run was not made before a change of the program
/// (file name with `before`) if there is one, then the one with the most sizes, then the latest.
fn best_line(slopes: &Slopes, need: Need) -> Option<&Line> {
    let matching = slopes.lines.iter().filter(|line| need.is_measured_by(line));
    matching.max_by_key(|line| {
        (
            !line.run.contains("before"),
            line.points.len(),
            &line.date,
            &line.id,
        )
    })
}
