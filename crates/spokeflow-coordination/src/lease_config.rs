//! Duration of leases, adjusted for clock drift on either side.

use spokeflow_core::Micros;

/// Duration of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseConfig {
    /// Longest time, in microseconds of true time, for which a router may act on one grant.
    pub duration: Micros,
    /// Largest deviation of a clock's rate from true time, in either direction, as a fraction.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// Returns the duration of a lease by the holder's clock, counted from the sending of its request. Shortened so
    /// that it is not longer than `duration` in true time even if that clock runs slow.
    pub fn holder_duration(&self) -> Micros {
        (self.duration as f64 * (1.0 - self.max_clock_drift)) as Micros
    }

    /// Returns the duration of a lease by the granter's clock. Lengthened so that it is not shorter than `duration` in
    /// true time even if that clock runs fast.
    pub fn granter_duration(&self) -> Micros {
        (self.duration as f64 * (1.0 + self.max_clock_drift)).ceil() as Micros
    }

    /// Returns the longest time, in microseconds, for which two routers may act on contradicting revisions, whatever
    /// fails. Leases that were granted before the first grant of the later revision have expired after one lease
    /// duration.
    pub fn longest_contradiction(&self) -> Micros {
        self.duration
    }
}
