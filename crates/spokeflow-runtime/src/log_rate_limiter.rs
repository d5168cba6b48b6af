//! A bound on log lines that a peer can cause.

use std::sync::atomic::{AtomicU64, Ordering};

/// Lines that may be written in one second.
const LINES_PER_SECOND: u64 = 10;

/// Lets ten lines a second pass and counts the rest.
#[derive(Default)]
pub struct LogRateLimiter {
    second: AtomicU64,
    lines: AtomicU64,
}

impl LogRateLimiter {
    /// A limiter that has let nothing pass yet.
    pub const fn new() -> Self {
        LogRateLimiter {
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Whether a line may be written in this second; with it, how many were suppressed in the one before.
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
