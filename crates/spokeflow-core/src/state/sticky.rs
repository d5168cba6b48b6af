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
    /// The newest build with an open delivery of the key, which may be answered at any time. `None`
    /// while `open_deliveries` is 0.
    pub newest_open_build: Option<BuildId>,
    /// Number of open deliveries of the key at the build `newest_open_build`.
    pub open_deliveries: u32,
}

impl StickyAssignment {
    /// The newest build that has answered the key or has an open delivery of it.
    pub fn newest_build(&self) -> Option<BuildId> {
        self.answered_by.max(self.newest_open_build)
    }

    /// Records that a delivery of the key has been sent to a build. One to a build earlier than
    /// `newest_open_build` is not counted.
    pub fn add_open_delivery(&mut self, build: BuildId) {
        if self.newest_open_build < Some(build) {
            self.open_deliveries = 0;
            self.newest_open_build = Some(build);
        }
        if self.newest_open_build == Some(build) {
            self.open_deliveries += 1;
        }
    }

    /// Records that a delivery of the key to a build has ended.
    pub fn remove_open_delivery(&mut self, build: BuildId) {
        if self.newest_open_build == Some(build) {
            self.open_deliveries = self.open_deliveries.saturating_sub(1);
        }
        if self.open_deliveries == 0 {
            self.newest_open_build = None;
        }
    }
}
