//! Revisions of the configuration: their values, proposals of new ones, and the outcomes of proposals.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number of a revision. 0 is the configuration before the first revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RevisionNumber(pub u64);

/// Flag names without the leading dashes, and values as written on the command line. A setting that is not named keeps
/// the value from each router's own flags.
pub type Overrides = BTreeMap<String, String>;

/// A revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Number of the revision.
    pub number: RevisionNumber,
    /// All values of the revision, including those that are unchanged from the revision before.
    pub values: Overrides,
}

/// A new revision that an operator proposes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Random number that identifies the proposal. A proposal that is sent again has the same token and counts once.
    pub token: u64,
    /// The newest revision, in force or pending, that the author knew of.
    pub base: RevisionNumber,
    /// The author's name.
    pub who: String,
    /// The author's reason.
    pub why: String,
    /// When the proposal was accepted, in seconds since 1970 by the accepting node's clock. Only shown to operators; no
    /// decision depends on it.
    pub at_s: u64,
    /// The values of the proposed revision.
    pub values: Overrides,
}

/// Outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal became the pending revision with this number.
    Pending(RevisionNumber),
    /// The proposal is not based on the newest revision.
    Stale {
        /// The newest revision.
        newest: RevisionNumber,
    },
    /// The proposal was refused because another revision is pending.
    Busy {
        /// The pending revision.
        pending: RevisionNumber,
    },
}

/// Record of a past, current or pending revision, with its author, reason and times.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The revision.
    pub revision: Revision,
    /// The author's name.
    pub who: String,
    /// The author's reason.
    pub why: String,
    /// When the revision was proposed, in seconds since 1970. The JSON output, which scripts read, keeps the earlier
    /// name of this field.
    #[serde(rename = "offered_s")]
    pub proposed_s: u64,
    /// When the revision was put in force, in seconds since 1970; `None` if it is pending.
    pub in_force_s: Option<u64>,
}
