//! Decides when a graceful shutdown is complete; does no I/O.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the last answer in which commands that were already on their way to the router are still nacked.
const LINGER: Duration = Duration::from_millis(250);

/// The state of the shutdown; before [`Shutdown::begin`] none is in progress.
#[derive(Default)]
pub(crate) struct Shutdown {
    /// When the shutdown ends at the latest; `None`: it has not begun.
    deadline: Option<Instant>,
    /// Since when no command has been waiting for an answer; `None`: one is waiting, or the shutdown has not begun.
    idle_since: Option<Instant>,
}

impl Shutdown {
    pub(crate) fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Begins the shutdown, which ends at `deadline` at the latest.
    pub(crate) fn begin(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Returns whether the router may end. `waiting`: number of commands that still wait for an answer.
    pub(crate) fn is_over(&mut self, now: Instant, waiting: usize) -> bool {
        let Some(deadline) = self.deadline else {
            return false;
        };
        self.idle_since = match waiting {
            0 => self.idle_since.or(Some(now)),
            _ => None,
        };
        let has_lingered = self.idle_since.is_some_and(|since| now >= since + LINGER);
        now >= deadline || has_lingered
    }
}
