//! Figures that are computed from measured lines, and remember from which.

use std::collections::BTreeSet;

use serde::Serialize;

use super::records::Role;
use super::slopes::{Line, Slopes};

/// What a figure needs to have been measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Need {
    pub role: Role,
    pub quantity: &'static str,
    pub phase: &'static str,
    pub per: &'static str,
}

impl Need {
    fn is_measured_by(&self, line: &Line) -> bool {
        let named =
            line.quantity == self.quantity && line.phase == self.phase && line.per == self.per;
        named && line.role == self.role
    }

    /// As it is named where nothing was measured.
    fn name(&self) -> String {
        format!(
            "{}: {} ({}) by {}",
            self.role, self.quantity, self.phase, self.per
        )
    }
}

/// A figure, the lines that it rests on, and the lines that are missing for it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct Estimate {
    /// `None`: not measured.
    pub value: Option<f64>,
    /// Ids of lines.
    pub lines: BTreeSet<String>,
    pub missing: BTreeSet<String>,
    /// A line is used beyond four times its largest measured size.
    pub far: bool,
    /// A line has too few sizes.
    pub few: bool,
    /// Something that adds to it is not in it.
    pub at_least: bool,
}

impl Estimate {
    /// Follows from the target or from a limit of the programs; nothing was measured for it.
    pub(super) fn given(value: f64) -> Estimate {
        Estimate {
            value: Some(value),
            ..Estimate::default()
        }
    }

    /// What the lines say of `need` at `size`.
    pub(super) fn measured(slopes: &Slopes, need: Need, size: f64) -> Estimate {
        let reading = best_line(slopes, need).and_then(|line| Some((line, line.at(size)?)));
        match reading {
            Some((line, reading)) => Estimate {
                value: Some(reading.value),
                lines: BTreeSet::from([line.id.clone()]),
                far: reading.far,
                few: reading.few,
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
        self.joined(other, value)
    }

    /// The greatest of those that are measured: each was measured with the other sizes held, so that all together
    /// may cost more.
    pub(super) fn greatest(all: impl IntoIterator<Item = Estimate>) -> Estimate {
        let dearest = Estimate::dearest(all);
        Estimate {
            at_least: dearest.value.is_some(),
            ..dearest
        }
    }

    /// The greatest of those that are measured, where only one of them happens at a time.
    pub(super) fn dearest(all: impl IntoIterator<Item = Estimate>) -> Estimate {
        let mut dearest: Option<Estimate> = None;
        let mut missing = BTreeSet::new();
        for estimate in all {
            missing.extend(estimate.missing.iter().cloned());
            let Some(value) = estimate.value else {
                continue;
            };
            if dearest.as_ref().is_none_or(|d| d.value < Some(value)) {
                dearest = Some(estimate);
            }
        }
        dearest.unwrap_or(Estimate {
            missing,
            ..Estimate::default()
        })
    }

    fn joined(mut self, other: Estimate, value: Option<f64>) -> Estimate {
        self.lines.extend(other.lines);
        self.missing.extend(other.missing);
        Estimate {
            value,
            far: self.far || other.far,
            few: self.few || other.few,
            at_least: self.at_least || other.at_least,
            ..self
        }
    }
}

/// Of several runs: not of a text before a change, then the one with the most sizes, then the latest.
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
