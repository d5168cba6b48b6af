//! Helpers shared by the tests of leases and proposals.

use spokeflow_coordination::{Overrides, Proposal, RevisionNumber};

/// Returns a proposal without values.
pub(crate) fn proposal(token: u64, base: RevisionNumber) -> Proposal {
    Proposal {
        token,
        base,
        who: "operator".into(),
        why: "test".into(),
        at_s: 0,
        values: Overrides::new(),
    }
}
