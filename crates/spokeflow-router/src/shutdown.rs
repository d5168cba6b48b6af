//! Graceful shutdown, without I/O: when a router that accepts nothing more has ended.

use std::time::Duration;

use tokio::time::Instant;

/// After the last answer, commands that were on their way are still nacked for this long.
const LINGER: Duration = Duration::from_millis(250);

/// The shutdown, once it has begun.
#[derive(Default)]
pub(crate) struct Shutdown {
    /// The end at the latest.
    end_by: Option<Instant>,
    /// Since when no command has waited for an answer.
    idle_since: Option<Instant>,
}

impl Shutdown {
    pub(crate) fn has_begun(&self) -> bool {
        self.end_by.is_some()
    }

    /// Begins it, to end at `end_by` at the latest.
    pub(crate) fn begin(&mut self, end_by: Instant) {
        self.end_by = Some(end_by);
    }

    /// Whether the router has ended. `waiting`: commands that are owed an answer.
    pub(crate) fn is_over(&mut self, now: Instant, waiting: usize) -> bool {
        let Some(end_by) = self.end_by else {
            return false;
        };
        self.idle_since = match waiting {
            0 => self.idle_since.or(Some(now)),
            _ => None,
        };
        let has_lingered = self.idle_since.is_some_and(|since| now >= since + LINGER);
        now >= end_by || has_lingered
    }
}
