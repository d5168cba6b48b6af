//! Measures the send latency of deliveries.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Send latencies since the last call of [`SendLatency::take_summary`]. A send latency lasts from the decision module's
/// call until the operating system has taken the last byte of the delivery.
#[derive(Default)]
pub(crate) struct SendLatency {
    count: AtomicU64,
    total_us: AtomicU64,
    longest_us: AtomicU64,
}

/// Summary of the send latencies in a span.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendLatencySummary {
    pub(crate) count: u64,
    pub(crate) mean_us: u64,
    pub(crate) longest_us: u64,
}

impl SendLatency {
    /// Adds the send latency of one delivery.
    pub(crate) fn record(&self, latency: Duration) {
        let micros = latency.as_micros() as u64;
        self.count.fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(micros, Ordering::Relaxed);
        self.longest_us.fetch_max(micros, Ordering::Relaxed);
    }

    /// Returns the summary since the last call and starts anew.
    pub(crate) fn take_summary(&self) -> SendLatencySummary {
        let count = self.count.swap(0, Ordering::Relaxed);
        let total_us = self.total_us.swap(0, Ordering::Relaxed);
        SendLatencySummary {
            count,
            mean_us: total_us / count.max(1),
            longest_us: self.longest_us.swap(0, Ordering::Relaxed),
        }
    }
}
