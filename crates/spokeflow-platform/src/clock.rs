use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use spokeflow_core::Micros;
use tokio::time::Instant;

use crate::log::Sparing;

/// Microseconds since the start, and what all tasks share for their log lines.
pub struct Clock {
    start: Instant,
    ending: AtomicBool,
    sparing: Sparing,
}

impl Clock {
    pub fn starting_now() -> Arc<Clock> {
        Arc::new(Clock {
            start: Instant::now(),
            ending: AtomicBool::new(false),
            sparing: Sparing::new(),
        })
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub fn ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    /// Whether a line that a peer causes may be logged now; with it, how many were kept back.
    pub fn line(&self) -> Option<u64> {
        self.sparing.line(self.start.elapsed().as_secs())
    }

    /// From now on [`Clock::ending`].
    pub fn end(&self) {
        self.ending.store(true, Ordering::Relaxed);
    }

    /// The runtime's time for one of the engine's.
    pub fn at(&self, time: Micros) -> Instant {
        // A wake-up that is never due is looked at again in an hour.
        self.start + Duration::from_micros(time.clamp(0, self.now() + 3_600_000_000) as u64)
    }
}
