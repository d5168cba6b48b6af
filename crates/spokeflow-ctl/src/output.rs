//! The output of the commands: JSON, or text and tables. Scripts read both, so the labels and keys must not change;
//! some of them are former names, such as `keeper` for a control-plane node and `announced` for a pending revision.

use std::time::{Duration, UNIX_EPOCH};

use comfy_table::Table;
use serde::Serialize;
use spokeflow_coordination::wire::ClusterStatus;
use spokeflow_coordination::{Overrides, RevisionNumber, RevisionRecord};

use crate::error::CtlError;
use crate::revisions::Change;

/// Prints results in the form that the command line asks for.
pub(crate) struct Output {
    /// Whether results are printed as JSON.
    pub(crate) json: bool,
}

impl Output {
    /// Prints `value` as JSON if that was asked for, otherwise the result of `text`.
    pub(crate) fn print(
        &self,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> Result<(), CtlError> {
        let printed = if self.json {
            serde_json::to_string_pretty(value)?
        } else {
            text()
        };
        println!("{printed}");
        Ok(())
    }
}

/// Returns the lines of `status`.
pub(crate) fn status_text(status: &ClusterStatus) -> String {
    let voters: Vec<u32> = status.voters.iter().map(|voter| voter.0).collect();
    let mut lines = vec![
        format!(
            "leader          keeper {}, term {}",
            status.leader.0, status.term.0
        ),
        format!(
            "keepers         {voters:?}, log committed to {}",
            status.committed.0
        ),
        format!(
            "in force        revision {}: {}",
            status.in_force.number.0,
            overrides_text(&status.in_force.values)
        ),
    ];
    if let Some(pending) = &status.pending {
        lines.push(format!(
            "announced       revision {}: {}",
            pending.number.0,
            overrides_text(&pending.values)
        ));
    }
    lines.extend(host_list_text(status));
    lines.push(format!(
        "routers         {} hold a lease, {} act on the newest revision",
        status.leases, status.up_to_date_leases
    ));
    lines.join("\n")
}

/// Returns the line on the host list, or `None` if the control plane has no host list.
fn host_list_text(status: &ClusterStatus) -> Option<String> {
    if status.list == 0 && status.list_rejection.is_none() {
        return None;
    }
    let rejection = status.list_rejection.map_or(String::new(), |rejection| {
        format!("; rejected: {rejection:?}")
    });
    Some(format!(
        "host list       version {} (source's {}), {} hosts{rejection}",
        status.list, status.list_source, status.hosts
    ))
}

/// Returns the table of `history`.
pub(crate) fn history_table(history: &[RevisionRecord]) -> String {
    let mut table = Table::new();
    table.set_header([
        "revision",
        "values",
        "who",
        "why",
        "offered",
        "in force after",
    ]);
    for record in history {
        let proposed_at = UNIX_EPOCH + Duration::from_secs(record.proposed_s);
        let in_force_after = record.in_force_s.map_or("not yet".into(), |in_force_s| {
            format!("{} s", in_force_s.saturating_sub(record.proposed_s))
        });
        table.add_row([
            record.revision.number.0.to_string(),
            overrides_text(&record.revision.values),
            record.who.clone(),
            record.why.clone(),
            humantime::format_rfc3339_seconds(proposed_at).to_string(),
            in_force_after,
        ]);
    }
    table.to_string()
}

/// Returns the table of `diff` against the revision `newest`.
pub(crate) fn changes_table(newest: RevisionNumber, changes: &[Change]) -> String {
    let value_text = |value: &Option<String>| match value {
        Some(value) => value.clone(),
        None => "router's own".to_string(),
    };
    let mut table = Table::new();
    table.set_header([
        "flag".to_string(),
        format!("revision {}", newest.0),
        "offered".to_string(),
    ]);
    for change in changes {
        table.add_row([
            change.name.clone(),
            value_text(&change.before),
            value_text(&change.after),
        ]);
    }
    table.to_string()
}

fn overrides_text(values: &Overrides) -> String {
    if values.is_empty() {
        return "each router's own flags".into();
    }
    let assignments: Vec<String> = values
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    assignments.join(" ")
}
