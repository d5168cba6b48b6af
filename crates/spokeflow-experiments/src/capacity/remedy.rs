//! Mechanisms, not implemented yet, that would bring rows within their budgets, and the order in which to implement
//! them.

use serde::Serialize;

use super::row::Row;

/// A mechanism that is not implemented yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Remedy {
    ChangesByTenant,
    ListInParts,
    #[serde(rename = "kept-figures")]
    IncrementalFigures,
    RelayPerRegion,
    LeaseInBatches,
    OneListReader,
    ManyChangesAtOnce,
    CheckedOnce,
}

impl Remedy {
    /// Returns the name of the mechanism on the page.
    pub(super) fn name(self) -> &'static str {
        match self {
            Remedy::ChangesByTenant => "changes that carry only what changed",
            Remedy::ListInParts => "the host list in parts",
            Remedy::IncrementalFigures => "figures kept in the decision module",
            Remedy::RelayPerRegion => "a relay in each region",
            Remedy::LeaseInBatches => "leases renewed for many routers at once",
            Remedy::OneListReader => "one reader of the list source",
            Remedy::ManyChangesAtOnce => "several changes announced at once",
            Remedy::CheckedOnce => "settings checked once for each revision",
        }
    }

    /// Returns the description of the mechanism on the page.
    pub(super) fn text(self) -> &'static str {
        match self {
            Remedy::ChangesByTenant => {
                "Offers, log entries, grants and the ledger name the settings that change (one tenant's share) instead of \
                 repeating the value for all tenants, and a router that lags is told the differences since its revision."
            }
            Remedy::ListInParts => {
                "A router that starts, or lags far, gets the host list in several grants, each within the frame limit, and \
                 only the hosts of the services that it serves."
            }
            Remedy::IncrementalFigures => {
                "The module keeps counts, sums and orders of hosts as they change, in place of walks over all hosts for each \
                 command and beat."
            }
            Remedy::RelayPerRegion => {
                "One process in each region follows the voters and hands revisions and the host list to the routers there, so \
                 that the leader sends each change once to a region and not once to a router."
            }
            Remedy::LeaseInBatches => {
                "One request renews the leases of many routers, so that the leader answers regions and not single routers."
            }
            Remedy::OneListReader => {
                "Routers take the list from the voters or a relay alone, and the leader reads changes in place of the whole \
                 list every two seconds."
            }
            Remedy::ManyChangesAtOnce => {
                "Changes that touch different settings are announced together and come into force together."
            }
            Remedy::CheckedOnce => {
                "A renewed lease that changes nothing only moves the lease's end: today each grant makes the router read, \
                 check and apply all settings again (`ControlPlaneLink::act`, `RouterFlags::agreed`; read from the code, not \
                 profiled)."
            }
        }
    }
}

/// A mechanism with the rows over budget that it would remedy.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidate<'a> {
    pub remedy: Remedy,
    /// The largest ratio to the budget among the rows that the current programs can reach.
    pub ratio: f64,
    /// Rows over budget, in descending order of their ratio.
    pub rows: Vec<&'a Row>,
}

/// Returns the mechanisms in descending order of the largest ratio among the rows that the current programs can reach.
pub(super) fn candidates(rows: &[Row]) -> Vec<Candidate<'_>> {
    let mut candidates: Vec<Candidate> = Vec::new();
    for row in rows_over_budget(rows) {
        let (Some(remedy), Some((_, ratio))) = (row.remedy, row.worst_cell()) else {
            continue;
        };
        let reachable_ratio = if row.reached_after.is_none() {
            ratio
        } else {
            0.0
        };
        match candidates
            .iter_mut()
            .find(|candidate| candidate.remedy == remedy)
        {
            Some(candidate) => {
                candidate.ratio = candidate.ratio.max(reachable_ratio);
                candidate.rows.push(row);
            }
            None => candidates.push(Candidate {
                remedy,
                ratio: reachable_ratio,
                rows: vec![row],
            }),
        }
    }
    candidates.retain(|candidate| candidate.ratio > 1.0);
    candidates.sort_by(|left, right| right.ratio.total_cmp(&left.ratio));
    candidates
}

/// Returns the rows over their budget, in descending order of their ratio.
pub(super) fn rows_over_budget(rows: &[Row]) -> Vec<&Row> {
    let worst_ratio = |row: &Row| row.worst_cell().map_or(0.0, |(_, ratio)| ratio);
    let mut over: Vec<&Row> = rows.iter().filter(|row| worst_ratio(row) > 1.0).collect();
    over.sort_by(|left, right| worst_ratio(right).total_cmp(&worst_ratio(left)));
    over
}
