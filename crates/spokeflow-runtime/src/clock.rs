//! A monotonic clock in the engine's unit of time, shared by the tasks of one process.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use spokeflow_core::Micros;
use tokio::time::Instant;

use crate::LogRateLimiter;

/// Longest wait for a wake-up, in microseconds: one hour. A wake-up that is never due is checked again after it.
const LONGEST_WAIT: Micros = 3_600_000_000;

/// Microseconds since the start of the process, with the state that its tasks share: whether it is shutting down, and
/// the limit on log lines that peers cause.
pub struct Clock {
    start: Instant,
    shutting_down: AtomicBool,
    log_rate_limiter: LogRateLimiter,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn starting_now() -> Arc<Clock> {
        Arc::new(Clock {
            start: Instant::now(),
            shutting_down: AtomicBool::new(false),
            log_rate_limiter: LogRateLimiter::new(),
        })
    }

    /// Returns the microseconds since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Whether [`Clock::begin_shutdown`] has been called.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Marks the process as shutting down, for all tasks that share the clock.
    pub fn begin_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Whether a line that a peer caused may be logged now; see [`LogRateLimiter::allow`].
    pub fn allow_log_line(&self) -> Option<u64> {
        self.log_rate_limiter.allow(self.start.elapsed().as_secs())
    }

    /// Converts a time of the engine, in microseconds since the start, to the runtime's instant; at most an hour from
    /// now.
    pub fn instant_at(&self, time: Micros) -> Instant {
        let time = time.clamp(0, self.now() + LONGEST_WAIT);
        self.start + Duration::from_micros(time as u64)
    }
}
