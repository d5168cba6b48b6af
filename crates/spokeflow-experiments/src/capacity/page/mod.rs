//! The capacity page in Markdown.

mod losses;
mod roles;
mod sections;
mod target;

use super::row::Row;
use super::slopes::Slopes;
use super::target::Target;

/// The inputs of the page's sections.
pub(super) struct Page<'a> {
    pub target: &'a Target,
    pub slopes: &'a Slopes,
    pub rows: &'a [Row],
    /// The command line that printed the page, for the opening section.
    pub command: &'a str,
}

impl Page<'_> {
    /// Returns the text of the whole page.
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

/// Formats a table in Markdown.
fn table<const N: usize>(head: [&str; N], rows: Vec<[String; N]>) -> String {
    let rows: Vec<Vec<String>> = rows.into_iter().map(Vec::from).collect();
    crate::tables::markdown(&head, &rows)
}
