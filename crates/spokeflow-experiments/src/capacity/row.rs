//! Rows of the page: one quantity of one role in each situation, against its budget.

use serde::Serialize;

use super::estimate::Estimate;
use super::records::Role;
use super::remedy::Remedy;
use super::situation::Situation;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Unit {
    Bytes,
    BytesPerSecond,
    /// Messages or changes a second.
    PerSecond,
    /// Cores that are busy.
    Cores,
    Seconds,
    Count,
}

impl Unit {
    /// A value for people.
    pub(super) fn text(self, value: f64) -> String {
        match self {
            Unit::Bytes => bytes(value),
            Unit::BytesPerSecond => format!("{}/s", bytes(value)),
            Unit::PerSecond => format!("{}/s", format_number(value)),
            Unit::Cores => format!("{} cores", format_number(value)),
            Unit::Seconds => seconds(value),
            Unit::Count => format_number(value),
        }
    }
}

fn bytes(value: f64) -> String {
    let steps = [(1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    let step = steps.iter().find(|(size, _)| value >= *size);
    step.map_or_else(
        || format!("{} B", format_number(value)),
        |(size, name)| format!("{} {name}", format_number(value / size)),
    )
}

fn seconds(value: f64) -> String {
    let steps = [(1.0, "s"), (1e-3, "ms"), (1e-6, "us")];
    let step = steps.iter().find(|(size, _)| value >= *size);
    step.map_or_else(
        || format!("{} s", format_number(value)),
        |(size, name)| format!("{} {name}", format_number(value / size)),
    )
}

/// Values below this are written with an exponent.
const TINY: f64 = 1e-3;
/// Ratios below this are not told apart.
const LEAST_RATIO: f64 = 0.01;
/// Digits that count.
const DIGITS: i32 = 3;

/// Three digits that count, and all of a whole number below a million.
pub(super) fn format_number(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e6 {
        return format!("{value:.0}");
    }
    if value.abs() < TINY || value.abs() >= 1e6 {
        return format!("{value:.2e}");
    }
    let digits = DIGITS - 1 - value.abs().log10().floor() as i32;
    format!("{value:.*}", digits.max(0) as usize)
}

/// A ratio of a value to its budget.
pub(super) fn ratio_text(ratio: f64) -> String {
    if ratio > 0.0 && ratio < LEAST_RATIO {
        return format!("under {LEAST_RATIO}");
    }
    format_number(ratio)
}

/// What a value is held against.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Budget {
    pub value: f64,
    /// Where it comes from.
    pub source: String,
}

impl Budget {
    pub(super) fn new(value: f64, source: impl Into<String>) -> Option<Budget> {
        Some(Budget {
            value,
            source: source.into(),
        })
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Cell {
    pub situation: Situation,
    pub estimate: Estimate,
}

/// One quantity of one role.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Row {
    pub role: Role,
    pub quantity: String,
    pub unit: Unit,
    pub budget: Option<Budget>,
    pub cells: Vec<Cell>,
    /// What carries it today: crate and type, or `missing`.
    pub mechanism: &'static str,
    /// What would bring it within its budget.
    pub remedy: Option<Remedy>,
    /// What has to be lifted before it can come to this; such a row does not say what to build first.
    pub reached_after: Option<&'static str>,
}

impl Row {
    /// A row with the same estimate in every situation.
    pub(super) fn steady(
        role: Role,
        quantity: impl Into<String>,
        unit: Unit,
        estimate: Estimate,
    ) -> Row {
        Row::varying(role, quantity, unit, |_| estimate.clone())
    }

    /// A row with an estimate for each situation.
    pub(super) fn varying(
        role: Role,
        quantity: impl Into<String>,
        unit: Unit,
        estimate: impl Fn(Situation) -> Estimate,
    ) -> Row {
        let cell = |situation| Cell {
            situation,
            estimate: estimate(situation),
        };
        let cells = Situation::ALL.into_iter().map(cell).collect();
        let budget = None;
        let remedy = None;
        let reached_after = None;
        Row {
            role,
            quantity: quantity.into(),
            unit,
            budget,
            cells,
            mechanism: "missing",
            remedy,
            reached_after,
        }
    }

    pub(super) fn within(self, budget: Option<Budget>) -> Row {
        Row { budget, ..self }
    }

    pub(super) fn by(self, mechanism: &'static str) -> Row {
        Row { mechanism, ..self }
    }

    pub(super) fn mended_by(self, remedy: Remedy) -> Row {
        Row {
            remedy: Some(remedy),
            ..self
        }
    }

    pub(super) fn reached_after(self, what: &'static str) -> Row {
        Row {
            reached_after: Some(what),
            ..self
        }
    }

    /// The estimate over the budget, where there are both.
    pub(super) fn ratio(&self, cell: &Cell) -> Option<f64> {
        Some(cell.estimate.value? / self.budget.as_ref()?.value)
    }

    /// The cell with the largest ratio, the first of equal ones.
    pub(super) fn worst(&self) -> Option<(&Cell, f64)> {
        let rated = self
            .cells
            .iter()
            .filter_map(|cell| Some((cell, self.ratio(cell)?)));
        rated.reduce(|worst, next| if next.1 > worst.1 { next } else { worst })
    }

    /// Situations in which it is over its budget.
    pub(super) fn over(&self) -> Vec<Situation> {
        let over = self
            .cells
            .iter()
            .filter(|cell| self.ratio(cell).is_some_and(|ratio| ratio > 1.0));
        over.map(|cell| cell.situation).collect()
    }

    /// Whether nothing was measured for it in any situation.
    pub(super) fn is_unmeasured(&self) -> bool {
        self.cells.iter().all(|cell| cell.estimate.value.is_none())
    }
}
