//! Sections made of rows: rows over budget, the mechanism to build first, the rows of each role, rows without a
//! measurement.

use super::super::estimate::Estimate;
use super::super::records::Role;
use super::super::remedy::{candidates, rows_over_budget, Candidate};
use super::super::row::{format_number, ratio_text, Row, Unit};
use super::super::situation::Situation;
use super::{table, Page};

const NOT_MEASURED: &str = "not measured";
/// Number of mechanisms that are listed after the first.
const NEXT_MECHANISMS: usize = 2;
/// Roles in the order of their sections on the page.
const ROLES: [Role; 9] = [
    Role::RouterData,
    Role::RouterControl,
    Role::VoterLeader,
    Role::VoterFollower,
    Role::Voter,
    Role::Relay,
    Role::ListSource,
    Role::ReleaseController,
    Role::Tool,
];

impl Page<'_> {
    pub(super) fn over_budget(&self) -> String {
        let (reachable, unreachable): (Vec<&Row>, Vec<&Row>) = rows_over_budget(self.rows)
            .into_iter()
            .partition(|row| row.reached_after.is_none());
        let mut text = String::from(
            "## Over budget\n\nThe largest ratio of value to budget first; one line for each row, in its worst situation.\n\n",
        );
        if reachable.is_empty() {
            text += "Nothing that was measured is over its budget.\n";
        } else {
            text += &over_budget_table(&reachable);
        }
        if let Some(condition) = unreachable.iter().find_map(|row| row.reached_after) {
            text += &format!(
                "\nRows (a) come to this only once {condition}: today's programs refuse it, so that no run can reach them.\n\n"
            );
            text += &over_budget_table(&unreachable);
        }
        text
    }

    pub(super) fn what_to_build_first(&self) -> String {
        let all = candidates(self.rows);
        let mut text = String::from("## What to build first\n\n");
        let Some(first) = all.first() else {
            return text + "No measured row that today's programs can reach is over its budget.\n";
        };
        text += &format!(
            "**{}**, ratio {}.\n\n",
            sentence_case(first.remedy.name()),
            format_number(first.ratio)
        );
        text += &format!("{}\n\n{}\n", first.remedy.text(), reason(first, all.get(1)));
        let next: Vec<&Candidate> = all.iter().skip(1).take(NEXT_MECHANISMS).collect();
        if next.is_empty() {
            return text + "\nNo other mechanism is needed for a measured row.\n";
        }
        text += "\nThen:\n\n";
        for (n, candidate) in next.iter().enumerate() {
            let name = sentence_case(candidate.remedy.name());
            let what = candidate.remedy.text();
            text += &format!(
                "{}. **{name}**, ratio {}: {}. {what}\n",
                n + 1,
                format_number(candidate.ratio),
                describe_first_row(candidate)
            );
        }
        text
    }

    pub(super) fn roles(&self) -> String {
        let mut text = String::from("## Each role, in each situation\n\n");
        text += &format!(
            "Rates are counted over windows of {} s, the time in which a change has to be in force. In brackets: ratio to the \
             budget. `>=`: measured over one size with the others held, so that all together may cost more. `!`: a line is \
             used beyond four times its largest measured size. `~`: a line of fewer than four sizes.\n",
            format_number(self.target.load.change_bound_seconds)
        );
        for role in ROLES {
            let rows: Vec<&Row> = self.rows.iter().filter(|row| row.role == role).collect();
            if !rows.is_empty() {
                text += &format!("\n### {}\n\n", sentence_case(&role.to_string()));
                text += &role_table(&rows);
            }
        }
        text
    }

    pub(super) fn not_measured(&self) -> String {
        let unmeasured: Vec<&Row> = self.rows.iter().filter(|row| row.is_unmeasured()).collect();
        let mut text = String::from("## Not measured\n\n");
        if unmeasured.is_empty() {
            return text + "Every row has a figure in at least one situation.\n";
        }
        text += "No run has these lines yet; nothing on this page stands in for them.\n\n";
        let row = |row: &&Row| {
            let missing = row
                .cells
                .iter()
                .flat_map(|cell| cell.estimate.missing.iter());
            let first = missing.min().cloned().unwrap_or_default();
            [row.role.to_string(), row.quantity.clone(), first]
        };
        text + &table(
            ["role", "what", "first line that is missing"],
            unmeasured.iter().map(row).collect(),
        )
    }
}

fn over_budget_table(rows: &[&Row]) -> String {
    let head = [
        "ratio",
        "role",
        "what",
        "worst situation",
        "value",
        "budget",
        "also over in",
        "mended by",
    ];
    table(
        head,
        rows.iter().filter_map(|row| over_budget_row(row)).collect(),
    )
}

fn over_budget_row(row: &Row) -> Option<[String; 8]> {
    let (cell, ratio) = row.worst_cell()?;
    let budget = row.budget.as_ref()?;
    let other_situations: Vec<String> = row
        .situations_over_budget()
        .into_iter()
        .filter(|s| *s != cell.situation)
        .map(|s| s.to_string())
        .collect();
    let other_situations = if other_situations.len() + 1 == Situation::ALL.len() {
        "all others".into()
    } else {
        other_situations.join(", ")
    };
    let note = if row.reached_after.is_some() {
        " (a)"
    } else {
        ""
    };
    Some([
        format_number(ratio),
        row.role.to_string(),
        format!("{}{note}", row.quantity),
        cell.situation.to_string(),
        marked_value(&cell.estimate, row.unit),
        format!("{}: {}", row.unit.text(budget.value), budget.source),
        other_situations,
        row.remedy
            .map_or(String::new(), |remedy| remedy.name().to_string()),
    ])
}

/// Explains why the first mechanism comes first.
fn reason(first: &Candidate, second: Option<&Candidate>) -> String {
    let unreachable = first
        .rows
        .iter()
        .filter(|row| row.reached_after.is_some())
        .count();
    let reachable = first.rows.len() - unreachable;
    let mut text = format!("Why this one: {}", describe_first_row(first));
    text += &match second {
        Some(second) => format!(
            "; no row of another mechanism exceeds ratio {}.",
            format_number(second.ratio)
        ),
        None => "; no row of another mechanism is over its budget.".to_string(),
    };
    text += &format!(" It would mend {reachable} of the rows above");
    text += &match unreachable {
        0 => ".".to_string(),
        n => format!(
            ", and {n} more that come up once {}.",
            first
                .rows
                .iter()
                .find_map(|r| r.reached_after)
                .unwrap_or("")
        ),
    };
    text
}

/// Describes the candidate's row with the largest ratio among those that the current programs can reach.
fn describe_first_row(candidate: &Candidate) -> String {
    let reachable = candidate
        .rows
        .iter()
        .find(|row| row.reached_after.is_none());
    let Some((row, (cell, ratio))) = reachable.and_then(|row| Some((row, row.worst_cell()?)))
    else {
        return String::new();
    };
    let budget = row.budget.as_ref().map_or(0.0, |budget| budget.value);
    format!(
        "{}, \"{}\" ({}), comes to {} where {} are allowed, {} times",
        row.role,
        row.quantity,
        cell.situation,
        marked_value(&cell.estimate, row.unit),
        row.unit.text(budget),
        format_number(ratio)
    )
}

fn role_table(rows: &[&Row]) -> String {
    let mut head = vec!["what".to_string(), "budget".to_string()];
    head.extend(Situation::ALL.iter().map(ToString::to_string));
    head.push("carried by".into());
    let lines: Vec<Vec<String>> = rows.iter().map(|row| role_line(row)).collect();
    let head: Vec<&str> = head.iter().map(String::as_str).collect();
    crate::tables::markdown(&head, &lines)
}

fn role_line(row: &Row) -> Vec<String> {
    let note = if row.reached_after.is_some() {
        " (a)"
    } else {
        ""
    };
    let budget = row
        .budget
        .as_ref()
        .map_or("none told".into(), |budget| row.unit.text(budget.value));
    let mut line = vec![format!("{}{note}", row.quantity), budget];
    let is_same_everywhere = row
        .cells
        .windows(2)
        .all(|pair| pair[0].estimate == pair[1].estimate);
    for (n, cell) in row.cells.iter().enumerate() {
        let text = match (is_same_everywhere, n) {
            (true, 1..) => "same".into(),
            _ => cell_text(row, cell),
        };
        line.push(text);
    }
    line.push(row.mechanism.to_string());
    line
}

fn cell_text(row: &Row, cell: &super::super::row::Cell) -> String {
    let value = marked_value(&cell.estimate, row.unit);
    match row.ratio(cell) {
        Some(ratio) if ratio > 1.0 => format!("**{value} ({})**", format_number(ratio)),
        Some(ratio) => format!("{value} ({})", ratio_text(ratio)),
        None => value,
    }
}

/// Formats the value with the marks that the section on roles explains.
fn marked_value(estimate: &Estimate, unit: Unit) -> String {
    let Some(value) = estimate.value else {
        return NOT_MEASURED.into();
    };
    let lower_bound = if estimate.is_lower_bound { ">= " } else { "" };
    let far = if estimate.is_far_extrapolation {
        "!"
    } else {
        ""
    };
    let few = if estimate.has_few_points { "~" } else { "" };
    format!("{lower_bound}{}{far}{few}", unit.text(value))
}

fn sentence_case(text: &str) -> String {
    let mut letters = text.chars();
    letters.next().map_or(String::new(), |first| {
        first.to_uppercase().collect::<String>() + letters.as_str()
    })
}
