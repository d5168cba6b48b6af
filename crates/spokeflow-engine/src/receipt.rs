//! The receipt that an answer carries, with which a client may later report the answer as wrong.

use spokeflow_core::{HostId, Micros};

/// Microseconds in a millisecond, the unit of a receipt's time on the wire.
const MICROS_PER_MILLISECOND: Micros = 1000;

/// The host that gave an answer, and when its delivery was sent. On the wire it is one opaque number: the host in the
/// upper 32 bits, milliseconds since the engine's start in the lower 32.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Receipt {
    pub(crate) host: HostId,
    /// Microseconds from the engine's start to the delivery; in whole milliseconds after decoding.
    pub(crate) sent_after: Micros,
}

impl From<u64> for Receipt {
    fn from(number: u64) -> Self {
        let milliseconds = number as u32;
        Receipt {
            host: HostId((number >> 32) as u32),
            sent_after: Micros::from(milliseconds) * MICROS_PER_MILLISECOND,
        }
    }
}

impl From<Receipt> for u64 {
    fn from(receipt: Receipt) -> Self {
        let milliseconds = (receipt.sent_after / MICROS_PER_MILLISECOND) as u32;
        u64::from(receipt.host.0) << 32 | u64::from(milliseconds)
    }
}
