//! Revisions of the configuration: their values, how one is proposed, and what becomes of a proposal.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number of a revision. 0 is the state before the first one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RevisionNumber(pub u64);

/// Names of flags without their dashes, and their values as one would write them. What is not named is as each
/// router's own flags say.
pub type Overrides = BTreeMap<String, String>;

/// A revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Its number.
    pub number: RevisionNumber,
    /// All values of the revision, also those that the one before had.
    pub values: Overrides,
}

/// A change that an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Random number of the proposal: one that is sent again has the same, and counts once.
    pub token: u64,
    /// The newest revision that the author knew of, in force or pending.
    pub base: RevisionNumber,
    /// The author's name.
    pub who: String,
    /// The author's reason.
    pub why: String,
    /// Seconds since 1970 by the clock of the node that accepted it. For operators: nothing is decided by it.
    pub at_s: u64,
    /// The values of the proposed revision.
    pub values: Overrides,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is the pending revision, under this number.
    Pending(RevisionNumber),
    /// It was made against another revision than the newest.
    Stale {
        /// The newest revision.
        newest: RevisionNumber,
    },
    /// Another revision is pending.
    Busy {
        /// That revision.
        pending: RevisionNumber,
    },
}

/// A revision of the past or present, with its author, reason and times.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The revision.
    pub revision: Revision,
    /// The author's name.
    pub who: String,
    /// The author's reason.
    pub why: String,
    /// When it was proposed, in seconds since 1970. Under its earlier name in JSON, which scripts read.
    #[serde(rename = "offered_s")]
    pub proposed_s: u64,
    /// When it came into force, in seconds since 1970.
    pub in_force_s: Option<u64>,
}
