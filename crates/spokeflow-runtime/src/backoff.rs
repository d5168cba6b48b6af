//! Exponential backoff with jitter between connection attempts.

use std::time::Duration;

use spokeflow_core::Rng;

/// Maximum number of doublings of the first delay, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Largest fraction of a delay that jitter subtracts.
const JITTER: f64 = 0.5;

/// Delays that double with each failure in a row. Jitter drawn from the given seed subtracts up to half of each delay,
/// so that many routers do not reconnect at the same time; equal seeds give equal delays.
pub struct Backoff {
    rng: Rng,
    first: Duration,
    longest: Duration,
}

impl Backoff {
    /// Creates the backoff of one connection. `peer` tells the connections of one process apart: each draws from a
    /// generator of its own.
    pub fn new(seed: u64, peer: u64, first: Duration, longest: Duration) -> Self {
        let spread = peer.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Backoff {
            rng: Rng::new(seed ^ spread),
            first,
            longest,
        }
    }

    /// Returns the delay after `failures` failures in a row.
    pub fn delay(&mut self, failures: u32) -> Duration {
        let doublings = failures.min(MAX_DOUBLINGS);
        let full = self.first.saturating_mul(1 << doublings).min(self.longest);
        full.mul_f64(1.0 - JITTER * self.rng.fraction())
    }
}
