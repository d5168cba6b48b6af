//! The page in Markdown.

mod losses;
mod roles;
mod sections;
mod target;

use super::row::Row;
use super::slopes::Slopes;
use super::target::Target;

/// What sections are written from.
pub(super) struct Page<'a> {
    pub target: &'a Target,
    pub slopes: &'a Slopes,
    pub rows: &'a [Row],
    /// As given on the command line, for the page to name.
    pub command: &'a str,
}

impl Page<'_> {
    /// The whole page.
    pub(super) fn text(&self) -> String {
        let sections = [
            self.opening(),
            self.over_budget(),
            self.what_to_build_first(),
            self.target_and_assumptions(),
            self.sizes_without_mechanism(),
            self.roles(),
            self.control_machines(),
            self.lease_bounds(),
            self.services_and_routers(),
            self.evidence(),
            self.not_measured(),
            self.measured_lines(),
        ];
        sections.join("\n")
    }
}

/// A table in Markdown.
fn table<const N: usize>(head: [&str; N], rows: Vec<[String; N]>) -> String {
    let rows: Vec<Vec<String>> = rows.into_iter().map(Vec::from).collect();
    crate::tables::markdown(&head, &rows)
}
