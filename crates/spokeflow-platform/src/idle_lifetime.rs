//! Estimate of how long a connection may be idle and still be reused, learned from what happened to reused connections.
//!
//! Hosts and middleboxes close idle connections at any time. A request written to a closed connection is lost, and the
//! router has to assume that it may have run; a new connection costs only one or two round trips. So a connection is
//! not reused after an idle time at which connections break clearly more often than new ones do. This guards against
//! idle timeouts shorter than documented and against middleboxes that forget connections. The cost is that
//! connections which could still have been reused are opened anew. Where opening a connection is expensive, that cost
//! may exceed the benefit.

/// Number of buckets. The first is for new connections, the others for idle times from 1 ms on, each up to twice the
/// one before.
const BUCKETS: usize = 18;
/// Excess of the fraction of broken connections over that of new ones, above which an idle time is not allowed.
const EXCESS_BROKEN: f64 = 0.08;
/// Number of unbroken uses assumed in each bucket before any evidence, so that one break among few uses is not
/// decisive.
const PRIOR_USES: f64 = 4.0;
/// Factor by which each use of a connection reduces the weight of earlier evidence, so that an idle time is tried again
/// after its cause has been removed.
const DECAY: f64 = 0.997;

/// The uses of connections in one bucket, each weighted by its age.
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

/// The use of a connection for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionUse {
    /// How long the connection was idle before, in microseconds; `None` for a new one.
    pub(crate) idle_us: Option<u64>,
    /// Whether the connection broke before the answer was received.
    pub(crate) broke: bool,
}

/// Evidence of how long connections may be idle, in buckets of idle times.
#[derive(Debug, Default)]
pub(crate) struct IdleLifetime {
    buckets: [UseCounts; BUCKETS],
}

impl IdleLifetime {
    /// Adds the evidence of one use.
    pub(crate) fn learn(&mut self, connection_use: ConnectionUse) {
        for uses in &mut self.buckets {
            uses.all *= DECAY;
            uses.broken *= DECAY;
        }
        let uses = &mut self.buckets[bucket_index(connection_use.idle_us)];
        uses.all += 1.0;
        uses.broken += f64::from(u8::from(connection_use.broke));
    }

    /// Whether a connection may be reused after this idle time, in microseconds. An idle time that is not allowed rules
    /// out all longer ones.
    pub(crate) fn allows(&self, idle_us: u64) -> bool {
        let broken_when_new = self.buckets[0].broken_fraction();
        self.buckets[1..=bucket_index(Some(idle_us))]
            .iter()
            .all(|uses| uses.broken_fraction() <= broken_when_new + EXCESS_BROKEN)
    }
}

/// Returns the index of the bucket of an idle time.
fn bucket_index(idle_us: Option<u64>) -> usize {
    idle_us.map_or(0, |micros| {
        (1 + (micros / 1000 + 1).ilog2() as usize).min(BUCKETS - 1)
    })
}

#[cfg(test)]
#[path = "../tests/unit/idle_lifetime.rs"]
mod tests;
