//! Durations received from peers.

use spokeflow_core::Micros;

/// Longest duration in microseconds that is accepted from a peer, so that sums and differences with times cannot
/// overflow.
const LONGEST_DURATION: u64 = Micros::MAX as u64 / 4;

/// Converts microseconds received from a peer, which may be any number, to at most the longest accepted duration.
pub(crate) fn bounded_micros(microseconds: u64) -> Micros {
    microseconds.min(LONGEST_DURATION) as Micros
}
