//! The sticky assignment of a key: the build that serves it, and the builds that have answered it
//! or may still do so.

use crate::{BuildId, Micros};

/// The sticky assignment of one key.
#[derive(Clone, Copy, Debug, Default)]
pub struct StickyAssignment {
    /// The build that serves the key.
    pub build: BuildId,
    /// When the key was last routed.
    pub used_at: Micros,
    /// The newest build that has answered the key; under forward-only rules the key must never go
    /// to an earlier build.
    pub answered_by: Option<BuildId>,
    /// The newest build with an open delivery of the key, which may be answered at any time.
    pub claimed_by: Option<BuildId>,
    /// Number of open deliveries of the key at the build `claimed_by`.
    pub claims: u32,
}

impl StickyAssignment {
    /// The newest build that has answered the key or has an open delivery of it.
    pub fn newest_build(&self) -> Option<BuildId> {
        self.answered_by.max(self.claimed_by)
    }

    /// Records that a delivery of the key has been sent to a build.
    pub fn claim(&mut self, build: BuildId) {
        if self.claimed_by < Some(build) {
            self.claims = 0;
            self.claimed_by = Some(build);
        }
        if self.claimed_by == Some(build) {
            self.claims += 1;
        }
    }

    /// Records that a delivery of the key to a build has ended.
    pub fn release(&mut self, build: BuildId) {
        if self.claimed_by == Some(build) {
            self.claims = self.claims.saturating_sub(1);
        }
        if self.claims == 0 {
            self.claimed_by = None;
        }
    }
}
