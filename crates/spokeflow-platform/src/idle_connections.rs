//! Idle connections to hosts, kept for reuse.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use crate::idle_lifetime::IdleLifetime;
use crate::unread::{unread_state, UnreadState};

/// Time after an answer for which a connection is not reused. A host may send a second answer some milliseconds later
/// (up to 4 ms on the platform), and on a reused connection it would be read as the answer to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// A connection to a host, with the permit that counts it against the limit on connections.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Whether the connection is open and has no unread input. Input after the last answer belongs to no command, so
    /// such a connection must not be reused. Asks the operating system, since the runtime learns of input only when it
    /// waits.
    pub(crate) fn is_reusable(&self) -> bool {
        unread_state(&self.stream) == UnreadState::Nothing
    }
}

/// A connection that is reused.
pub(crate) struct ReusedConnection {
    /// How long it was idle, in microseconds.
    pub(crate) idle_us: u64,
    pub(crate) connection: Connection,
}

/// A connection that is idle.
struct Idle {
    since: Instant,
    connection: Connection,
}

/// The idle connections to one host, the longest idle first.
#[derive(Default)]
pub(crate) struct IdleConnections(VecDeque<Idle>);

impl IdleConnections {
    /// Adds a connection, which is idle from now on.
    pub(crate) fn keep(&mut self, connection: Connection) {
        let since = Instant::now();
        self.0.push_back(Idle { since, connection });
    }

    /// Takes the most recently used connection that has been idle for at least [`REUSE_DELAY`] and is still open. If
    /// `lifetime` does not allow its idle time, it is closed, with all that have been idle longer, and none is
    /// returned.
    pub(crate) fn take(&mut self, lifetime: &IdleLifetime) -> Option<ReusedConnection> {
        let is_past_reuse_delay = |idle: &Idle| idle.since.elapsed() >= REUSE_DELAY;
        let mut end = self.0.partition_point(is_past_reuse_delay);
        while end > 0 {
            end -= 1;
            let Idle { since, connection } = self.0.remove(end)?;
            let idle_us = since.elapsed().as_micros() as u64;
            if !lifetime.allows(idle_us) {
                self.0.drain(..end);
                return None;
            }
            if connection.is_reusable() {
                return Some(ReusedConnection {
                    idle_us,
                    connection,
                });
            }
        }
        None
    }

    /// Closes the connections that have been idle for longer than `longest`.
    pub(crate) fn expire(&mut self, longest: Duration) {
        let has_expired = |idle: &Idle| idle.since.elapsed() > longest;
        while self.0.front().is_some_and(has_expired) {
            self.0.pop_front();
        }
    }

    /// Returns since when the longest idle connection has been idle; `None` if there is none.
    pub(crate) fn oldest(&self) -> Option<Instant> {
        self.0.front().map(|idle| idle.since)
    }

    /// Closes the longest idle connection.
    pub(crate) fn close_oldest(&mut self) {
        self.0.pop_front();
    }

    pub(crate) fn count(&self) -> usize {
        self.0.len()
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
