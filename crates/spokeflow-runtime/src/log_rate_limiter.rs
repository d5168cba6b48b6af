//! Limits the log lines that a peer can cause.

use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of lines written in one second.
const LINES_PER_SECOND: u64 = 10;

/// Allows ten lines per second and counts the suppressed ones.
#[derive(Default)]
pub struct LogRateLimiter {
    second: AtomicU64,
    lines: AtomicU64,
}

impl LogRateLimiter {
    /// Creates a limiter that has not allowed any line yet.
    pub const fn new() -> Self {
        LogRateLimiter {
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Returns `None` if no line may be written in this `second` any more. Otherwise returns the number of lines that
    /// were suppressed in the last second with lines, on the first line of a second, and 0 on the others.
    pub fn allow(&self, second: u64) -> Option<u64> {
        let new_second = self.second.swap(second, Ordering::Relaxed) != second;
        let suppressed = if new_second {
            let lines = self.lines.swap(0, Ordering::Relaxed);
            lines.saturating_sub(LINES_PER_SECOND)
        } else {
            0
        };
        let written = self.lines.fetch_add(1, Ordering::Relaxed);
        (written < LINES_PER_SECOND).then_some(suppressed)
    }
}
