//! Which build a key is assigned to, and which builds have or may have answered it.

use crate::{BuildId, Micros};

/// One key's sticky assignment.
#[derive(Clone, Copy, Debug, Default)]
pub struct StickyAssignment {
    /// The build that serves the key.
    pub build: BuildId,
    /// When the key was last routed.
    pub used_at: Micros,
    /// The newest build that has answered the key: under forward-only rules it never goes to an
    /// earlier one.
    pub answered_by: Option<BuildId>,
    /// The newest build that has an open delivery of the key, which may answer at any time.
    pub claimed_by: Option<BuildId>,
    /// How many deliveries are open there.
    pub claims: u32,
}

impl StickyAssignment {
    /// The newest build that has answered the key or may do so.
    pub fn newest_build(&self) -> Option<BuildId> {
        self.answered_by.max(self.claimed_by)
    }

    /// A delivery of the key has gone to a build.
    pub fn claim(&mut self, build: BuildId) {
        if self.claimed_by < Some(build) {
            self.claims = 0;
            self.claimed_by = Some(build);
        }
        if self.claimed_by == Some(build) {
            self.claims += 1;
        }
    }

    /// A delivery of the key to a build has ended.
    pub fn release(&mut self, build: BuildId) {
        if self.claimed_by == Some(build) {
            self.claims = self.claims.saturating_sub(1);
        }
        if self.claims == 0 {
            self.claimed_by = None;
        }
    }
}
