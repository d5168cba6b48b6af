//! A monotonic clock in the engine's unit of time, shared by the tasks of one process.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use spokeflow_core::Micros;
use tokio::time::Instant;

use crate::LogRateLimiter;

/// A wake-up that is never due is looked at again after this time, in microseconds: one hour.
const LONGEST_WAIT: Micros = 3_600_000_000;

/// Microseconds since the start of the process, with the state that its tasks share: whether it is shutting down, and
/// the limit on log lines that peers cause.
pub struct Clock {
    start: Instant,
    shutting_down: AtomicBool,
    log_rate_limiter: LogRateLimiter,
}

impl Clock {
    /// A clock that reads zero now.
    pub fn starting_now() -> Arc<Clock> {
        Arc::new(Clock {
            start: Instant::now(),
            shutting_down: AtomicBool::new(false),
            log_rate_limiter: LogRateLimiter::new(),
        })
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Whether [`Clock::begin_shutdown`] has been called.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Tells all tasks that the process is shutting down.
    pub fn begin_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Whether a line that a peer causes may be logged now; with it, how many were suppressed before.
    pub fn allow_log_line(&self) -> Option<u64> {
        self.log_rate_limiter.allow(self.start.elapsed().as_secs())
    }

    /// The runtime's instant for a time of the engine, in microseconds since the start; an hour from now at the latest.
    pub fn instant_at(&self, time: Micros) -> Instant {
        let time = time.clamp(0, self.now() + LONGEST_WAIT);
        self.start + Duration::from_micros(time as u64)
    }
}
