//! Reload of the configuration after SIGHUP.

use std::time::Duration;

use tokio::time::Instant;
use tracing::warn;

use crate::configuration::Configuration;
use crate::program::PlatformProgram;

/// Interval at which a file that is missing or incomplete is read again: another process may be writing it.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an incomplete file is an error.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A reload in progress: the file is read, and read again while it is incomplete.
pub(crate) struct Reload {
    /// When the file is to be read next.
    next: Instant,
    /// Deadline after which an incomplete file is no longer read again.
    until: Instant,
}

impl Reload {
    /// Starts a reload; the file is to be read at once.
    pub(crate) fn new(now: Instant) -> Self {
        Reload {
            next: now,
            until: now + WRITE_TIMEOUT,
        }
    }

    /// Returns when the file is to be read next.
    pub(crate) fn next(&self) -> Instant {
        self.next
    }

    /// Reads the file. Returns `None` if it is incomplete and is to be read again, and `Some(None)` if it is not valid
    /// and the previous configuration stays in force.
    pub(crate) fn read(&mut self, program: &PlatformProgram) -> Option<Option<Configuration>> {
        match program.configuration() {
            Ok(configuration) => Some(Some(configuration)),
            Err(error) if error.is_incomplete_file() && self.next < self.until => {
                self.next = Instant::now() + RETRY_INTERVAL;
                None
            }
            Err(error) => {
                warn!(%error, "configuration not reloaded: the previous one stays in force");
                Some(None)
            }
        }
    }
}
