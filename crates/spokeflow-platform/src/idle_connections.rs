//! Connections to hosts that carry nothing and may be used again.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use crate::idle_lifetime::IdleLifetime;
use crate::unread::{unread_state, UnreadState};

/// "A second answer may come some milliseconds late" (standing test): a connection carries nothing for so long after an
/// answer, or what comes late would be read as the answer to the next request on it. Seen on the bench: 1 to 4 ms.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// A connection to a host, with its permit among those that the descriptors allow.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Whether nothing has come since its last answer, and no end: what has come belongs to no command. Asks the
    /// system: the runtime knows only what it had learned when it last waited.
    pub(crate) fn is_quiet(&self) -> bool {
        unread_state(&self.stream) == UnreadState::Nothing
    }
}

/// A connection that may be used again.
pub(crate) struct Rested {
    /// Microseconds for which it has rested.
    pub(crate) micros: u64,
    pub(crate) connection: Connection,
}

/// A connection that carries nothing.
struct Idle {
    since: Instant,
    connection: Connection,
}

/// Connections of one host that carry nothing, the longest idle first.
#[derive(Default)]
pub(crate) struct IdleConnections(VecDeque<Idle>);

impl IdleConnections {
    pub(crate) fn keep(&mut self, connection: Connection) {
        let since = Instant::now();
        self.0.push_back(Idle { since, connection });
    }

    /// The one used last that has settled and is still open, if so short a rest is allowed; what has rested longer is
    /// closed with it.
    pub(crate) fn take(&mut self, lifetime: &IdleLifetime) -> Option<Rested> {
        let has_settled = |idle: &Idle| idle.since.elapsed() >= REUSE_DELAY;
        let mut settled = self.0.partition_point(has_settled);
        while settled > 0 {
            settled -= 1;
            let Idle { since, connection } = self.0.remove(settled)?;
            let micros = since.elapsed().as_micros() as u64;
            if !lifetime.allows(micros) {
                self.0.drain(..settled);
                return None;
            }
            if connection.is_quiet() {
                return Some(Rested { micros, connection });
            }
        }
        None
    }

    /// Closes those idle for longer than `longest`; each look ends at the first that is not.
    pub(crate) fn expire(&mut self, longest: Duration) {
        let is_over = |idle: &Idle| idle.since.elapsed() > longest;
        while self.0.front().is_some_and(is_over) {
            self.0.pop_front();
        }
    }

    /// Since when the longest idle one has rested.
    pub(crate) fn oldest(&self) -> Option<Instant> {
        self.0.front().map(|idle| idle.since)
    }

    pub(crate) fn close_oldest(&mut self) {
        self.0.pop_front();
    }

    pub(crate) fn count(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
