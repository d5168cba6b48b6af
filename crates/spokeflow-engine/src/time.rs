//! Durations as they come from peers.

use spokeflow_core::Micros;

/// A longer duration counts as this one, so that sums and differences with times cannot overflow.
const LONGEST_DURATION: u64 = Micros::MAX as u64 / 4;

/// Microseconds named by a peer, which may be any number.
pub(crate) fn bounded_micros(microseconds: u64) -> Micros {
    microseconds.min(LONGEST_DURATION) as Micros
}
