//! Reading the configuration again after SIGHUP.

use std::time::Duration;

use tokio::time::Instant;
use tracing::warn;

use crate::configuration::Configuration;
use crate::program::PlatformProgram;

/// A file that is no whole text is read again this often: whoever writes it is at it.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// and for so long.
pub(crate) const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A configuration that is to be read, since SIGHUP, and again while it is no whole text.
pub(crate) struct Reload {
    next: Instant,
    until: Instant,
}

impl Reload {
    pub(crate) fn new(now: Instant) -> Self {
        Reload {
            next: now,
            until: now + WRITE_TIMEOUT,
        }
    }

    /// When the file is to be read next.
    pub(crate) fn next(&self) -> Instant {
        self.next
    }

    /// Reads the file. `None`: it is to be read again. `Some(None)`: the configuration before stays.
    pub(crate) fn read(&mut self, program: &PlatformProgram) -> Option<Option<Configuration>> {
        match program.configuration() {
            Ok(fresh) => Some(Some(fresh)),
            Err(error) if error.is_incomplete_file() && self.next < self.until => {
                self.next = Instant::now() + RETRY_INTERVAL;
                None
            }
            Err(error) => {
                warn!(%error, "configuration cannot be read: the previous one stays");
                Some(None)
            }
        }
    }
}
