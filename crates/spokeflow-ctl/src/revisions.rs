//! The commands on revisions of the configuration: `propose`, `diff`, `check`, `watch`.

use rand::RngExt;
use serde::Serialize;
use spokeflow_config::check_overrides;
use spokeflow_coordination::wire::{ClusterStatus, Request, Response};
use spokeflow_coordination::{Overrides, Proposal, ProposalOutcome, Revision, RevisionNumber};

use crate::args::ProposeFlags;
use crate::error::CtlError;
use crate::output::{changes_table, Output};
use crate::session::Session;

/// A value that a revision would change. The names of the fields are JSON keys, which scripts read.
#[derive(Serialize)]
pub(crate) struct Change {
    pub(crate) name: String,
    /// The value in the newest revision; `None` if each router uses its own flag.
    pub(crate) before: Option<String>,
    /// The value in the proposed revision; `None` if each router uses its own flag.
    pub(crate) after: Option<String>,
}

/// Proposes a revision; with `--wait` returns once it is in force.
pub(crate) async fn propose(
    session: &Session,
    output: &Output,
    flags: ProposeFlags,
) -> Result<(), CtlError> {
    let given_values = parse_overrides(&flags.values)?;
    let status = session.status().await?;
    let newest = newest_revision(&status);
    let mut values = Overrides::new();
    if flags.keep {
        values.clone_from(&newest.values);
    }
    values.extend(given_values);
    let base = flags.against.map_or(newest.number, RevisionNumber);
    let proposal = Proposal {
        token: rand::rng().random(),
        base,
        who: flags.who,
        why: flags.why,
        at_s: 0,
        values,
    };
    match session.send(Request::Propose(proposal)).await? {
        Response::Proposed(ProposalOutcome::Pending(RevisionNumber(number))) => {
            output.print(&number, || format!("revision {number} is announced"))?;
            if flags.wait {
                wait_for(session, output, number).await?;
            }
            Ok(())
        }
        Response::Proposed(ProposalOutcome::Stale { newest }) => Err(CtlError::Stale {
            base: base.0,
            newest: newest.0,
        }),
        Response::Proposed(ProposalOutcome::Busy { pending }) => {
            Err(CtlError::Busy { pending: pending.0 })
        }
        other => Err(CtlError::UnexpectedResponse(Box::new(other))),
    }
}

/// Prints what a revision with these values would change.
pub(crate) async fn diff(
    session: &Session,
    output: &Output,
    values: &[String],
) -> Result<(), CtlError> {
    let status = session.status().await?;
    let newest = newest_revision(&status);
    let changes = changes(&newest.values, &parse_overrides(values)?);
    output.print(&changes, || changes_table(newest.number, &changes))
}

/// Checks values without a connection.
pub(crate) fn check(output: &Output, values: &[String]) -> Result<(), CtlError> {
    let values = parse_overrides(values)?;
    check_overrides(&values)?;
    output.print(&values, || {
        "each value fits by itself; each router checks them with its own flags".into()
    })
}

/// Waits until this revision or a later one is in force, and prints the one in force.
pub(crate) async fn wait_for(
    session: &Session,
    output: &Output,
    revision: u64,
) -> Result<(), CtlError> {
    let status = session
        .wait_until(
            |status| status.in_force.number.0 >= revision,
            |status| CtlError::NotInForce {
                in_force: status.in_force.number.0,
                expected: revision,
            },
        )
        .await?;
    output.print(&status.in_force, || {
        format!("revision {} is in force", status.in_force.number.0)
    })
}

fn newest_revision(status: &ClusterStatus) -> &Revision {
    status.pending.as_ref().unwrap_or(&status.in_force)
}

fn parse_overrides(values: &[String]) -> Result<Overrides, CtlError> {
    values
        .iter()
        .map(|text| {
            let (name, value) = text
                .split_once('=')
                .ok_or_else(|| CtlError::NotNameValue(text.clone()))?;
            let name = name.trim_start_matches('-');
            Ok((name.to_string(), value.to_string()))
        })
        .collect()
}

/// Returns the values that differ, sorted by name.
fn changes(before: &Overrides, after: &Overrides) -> Vec<Change> {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| Change {
            name: name.clone(),
            before: before.get(name).cloned(),
            after: after.get(name).cloned(),
        })
        .collect()
}
