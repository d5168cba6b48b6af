//! Rows of the page: one quantity of one role in each situation, compared with its budget.

use serde::Serialize;

use super::estimate::Estimate;
use super::records::Role;
use super::remedy::Remedy;
use super::situation::Situation;

/// The unit of a row's values and budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Unit {
    Bytes,
    BytesPerSecond,
    /// Messages or changes per second.
    PerSecond,
    /// Number of busy cores.
    Cores,
    Seconds,
    Count,
}

impl Unit {
    /// Formats a value with its unit, scaled to a readable magnitude.
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

/// Values below this are printed with an exponent.
const MIN_DECIMAL: f64 = 1e-3;
/// Smaller ratios are printed as "under" this value.
const MIN_PRINTED_RATIO: f64 = 0.01;
/// Significant digits of a printed number.
const SIGNIFICANT_DIGITS: i32 = 3;

/// Formats a number with three significant digits, or with all digits if it is a whole number below a million.
pub(super) fn format_number(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e6 {
        return format!("{value:.0}");
    }
    if value.abs() < MIN_DECIMAL || value.abs() >= 1e6 {
        return format!("{value:.2e}");
    }
    let digits = SIGNIFICANT_DIGITS - 1 - value.abs().log10().floor() as i32;
    format!("{value:.*}", digits.max(0) as usize)
}

/// Formats the ratio of a value to its budget.
pub(super) fn ratio_text(ratio: f64) -> String {
    if ratio > 0.0 && ratio < MIN_PRINTED_RATIO {
        return format!("under {MIN_PRINTED_RATIO}");
    }
    format_number(ratio)
}

/// The limit that a value is compared with.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Budget {
    pub value: f64,
    /// Origin of the limit, as the page names it.
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

/// The estimate of a row in one situation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Cell {
    pub situation: Situation,
    pub estimate: Estimate,
}

/// One quantity of one role, with its estimate in each situation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Row {
    pub role: Role,
    pub quantity: String,
    pub unit: Unit,
    pub budget: Option<Budget>,
    pub cells: Vec<Cell>,
    /// Crate and type that implement the quantity's mechanism today, or `missing`.
    pub mechanism: &'static str,
    /// The mechanism that would bring the row within its budget.
    pub remedy: Option<Remedy>,
    /// The condition under which the row's values can occur at all, if the current programs rule them out by a limit.
    /// Such a row does not count when the first mechanism to build is chosen.
    pub reached_after: Option<&'static str>,
}

impl Row {
    /// Creates a row with the same estimate in every situation, without a budget.
    pub(super) fn constant(
        role: Role,
        quantity: impl Into<String>,
        unit: Unit,
        estimate: Estimate,
    ) -> Row {
        Row::by_situation(role, quantity, unit, |_| estimate.clone())
    }

    /// Creates a row with a separate estimate for each situation, without a budget.
    pub(super) fn by_situation(
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

    pub(super) fn with_budget(self, budget: Option<Budget>) -> Row {
        Row { budget, ..self }
    }

    pub(super) fn carried_by(self, mechanism: &'static str) -> Row {
        Row { mechanism, ..self }
    }

    pub(super) fn remedied_by(self, remedy: Remedy) -> Row {
        Row {
            remedy: Some(remedy),
            ..self
        }
    }

    pub(super) fn reached_after(self, condition: &'static str) -> Row {
        Row {
            reached_after: Some(condition),
            ..self
        }
    }

    /// Returns the ratio of the estimate to the budget; `None` if either is missing.
    pub(super) fn ratio(&self, cell: &Cell) -> Option<f64> {
        Some(cell.estimate.value? / self.budget.as_ref()?.value)
    }

    /// Returns the cell with the largest ratio to the budget, the first one of equal ratios.
    pub(super) fn worst_cell(&self) -> Option<(&Cell, f64)> {
        let rated = self
            .cells
            .iter()
            .filter_map(|cell| Some((cell, self.ratio(cell)?)));
        rated.reduce(|worst, next| if next.1 > worst.1 { next } else { worst })
    }

    /// Returns the situations in which the row is over its budget.
    pub(super) fn situations_over_budget(&self) -> Vec<Situation> {
        let over = self
            .cells
            .iter()
            .filter(|cell| self.ratio(cell).is_some_and(|ratio| ratio > 1.0));
        over.map(|cell| cell.situation).collect()
    }

    /// Returns whether the row has no value in any situation.
    pub(super) fn is_unmeasured(&self) -> bool {
        self.cells.iter().all(|cell| cell.estimate.value.is_none())
    }
}
