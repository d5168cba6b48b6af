//! Exponential backoff with jitter between connection attempts.

use std::time::Duration;

use spokeflow_core::Rng;

/// Doublings of the first delay are capped here, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 16;
/// The largest part of a delay that jitter takes off.
const JITTER: f64 = 0.5;

/// Delays that double with each failure in a row. Jitter from the given seed takes up to half off, so that many
/// routers do not reconnect together; equal seeds give equal delays.
pub struct Backoff {
    rng: Rng,
    first: Duration,
    longest: Duration,
}

impl Backoff {
    /// `peer` tells the connections of one process apart: each draws from a generator of its own.
    pub fn new(seed: u64, peer: u64, first: Duration, longest: Duration) -> Self {
        let spread = peer.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Backoff {
            rng: Rng::new(seed ^ spread),
            first,
            longest,
        }
    }

    /// The delay after so many failures in a row.
    pub fn delay(&mut self, failures: u32) -> Duration {
        let doublings = failures.min(MAX_DOUBLINGS);
        let full = self.first.saturating_mul(1 << doublings).min(self.longest);
        full.mul_f64(1.0 - JITTER * self.rng.fraction())
    }
}
