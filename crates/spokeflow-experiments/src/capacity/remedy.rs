//! Mechanisms that would bring rows within their budgets, and the order in which to build them.

use serde::Serialize;

use super::row::Row;

/// A mechanism that is not there yet.
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

/// A mechanism with the rows over budget that wait for it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidate<'a> {
    pub remedy: Remedy,
    /// The largest ratio of a row that today's programs reach.
    pub ratio: f64,
    /// Rows over budget, the largest ratio first.
    pub rows: Vec<&'a Row>,
}

/// Mechanisms by the largest ratio over budget among the rows that today's programs reach.
pub(super) fn candidates(rows: &[Row]) -> Vec<Candidate<'_>> {
    let mut found: Vec<Candidate> = Vec::new();
    for row in by_ratio(rows) {
        let (Some(remedy), Some((_, ratio))) = (row.remedy, row.worst()) else {
            continue;
        };
        let reached = if row.reached_after.is_none() {
            ratio
        } else {
            0.0
        };
        match found
            .iter_mut()
            .find(|candidate| candidate.remedy == remedy)
        {
            Some(candidate) => {
                candidate.ratio = candidate.ratio.max(reached);
                candidate.rows.push(row);
            }
            None => found.push(Candidate {
                remedy,
                ratio: reached,
                rows: vec![row],
            }),
        }
    }
    found.retain(|candidate| candidate.ratio > 1.0);
    found.sort_by(|left, right| right.ratio.total_cmp(&left.ratio));
    found
}

/// Rows over their budget, the largest ratio first.
pub(super) fn by_ratio(rows: &[Row]) -> Vec<&Row> {
    let worst = |row: &Row| row.worst().map_or(0.0, |(_, ratio)| ratio);
    let mut over: Vec<&Row> = rows.iter().filter(|row| worst(row) > 1.0).collect();
    over.sort_by(|left, right| worst(right).total_cmp(&worst(left)));
    over
}
