//! Duration of leases, and what clocks that differ make of it.

use spokeflow_core::Micros;

/// Duration of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// Longest time, in microseconds of a true clock, for which one grant may be acted on.
    pub duration: Micros,
    /// How much faster or slower than true time a clock may run, as a fraction.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// By the holder's own clock, from the sending of its request: no longer than the lease though it run slow.
    pub fn holder_duration(&self) -> Micros {
        (self.duration as f64 * (1.0 - self.max_clock_drift)) as Micros
    }

    /// By the granter's own clock: no shorter than the lease though it run fast.
    pub fn granter_duration(&self) -> Micros {
        (self.duration as f64 * (1.0 + self.max_clock_drift)).ceil() as Micros
    }

    /// The longest time for which two routers may act on revisions that contradict each other, whatever fails: what
    /// was granted before the first grant of the later revision has expired after one lease.
    pub fn longest_contradiction(&self) -> Micros {
        self.duration
    }
}
