//! Estimate of how long a connection may rest and still be used again, learned from what became of those that were.
//!
//! Hosts, and what is between, close resting connections when they like, and a request written to one that is
//! closed is lost as if it might have run. A new connection costs a round trip or two. So rests of a length that
//! breaks clearly more often than new connections do are not used. Guards against idle limits shorter than stated and
//! middleboxes that forget connections; it could harm where new connections are dear, and then only by their price.

/// Lengths of rest, each up to twice the one before, from 1 ms on; the first entry is that of new connections.
const LENGTHS: usize = 18;
/// Broken beyond the share among new connections from which a length is left alone.
const EXCESS_BROKEN: f64 = 0.08;
/// Uses that count as unbroken beforehand: one break among few is chance.
const PRIOR_USES: f64 = 4.0;
/// What is left of the evidence after each use of any connection: a path that has been repaired is tried again.
const DECAY: f64 = 0.997;

#[derive(Clone, Copy, Debug, Default)]
struct UseCounts {
    all: f64,
    broken: f64,
}

impl UseCounts {
    fn broken_fraction(&self) -> f64 {
        self.broken / (self.all + PRIOR_USES)
    }
}

/// A connection that was used, and what became of the request on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionUse {
    /// Microseconds for which it had rested; `None` for a new one.
    pub(crate) rested: Option<u64>,
    /// Whether it broke before an answer came.
    pub(crate) broke: bool,
}

/// Evidence of how long connections may rest, by length of rest.
#[derive(Debug, Default)]
pub(crate) struct IdleLifetime {
    lengths: [UseCounts; LENGTHS],
}

impl IdleLifetime {
    /// Learns what became of one use.
    pub(crate) fn learn(&mut self, connection_use: ConnectionUse) {
        for uses in &mut self.lengths {
            uses.all *= DECAY;
            uses.broken *= DECAY;
        }
        let uses = &mut self.lengths[length_index(connection_use.rested)];
        uses.all += 1.0;
        uses.broken += f64::from(u8::from(connection_use.broke));
    }

    /// Whether one that has rested for so long is as good as new. What is left alone for one length is so for all
    /// longer ones.
    pub(crate) fn allows(&self, rested: u64) -> bool {
        let of_new = self.lengths[0].broken_fraction();
        self.lengths[1..=length_index(Some(rested))]
            .iter()
            .all(|uses| uses.broken_fraction() <= of_new + EXCESS_BROKEN)
    }
}

fn length_index(rested: Option<u64>) -> usize {
    rested.map_or(0, |micros| {
        (1 + (micros / 1000 + 1).ilog2() as usize).min(LENGTHS - 1)
    })
}

#[cfg(test)]
#[path = "../tests/unit/idle_lifetime.rs"]
mod tests;
