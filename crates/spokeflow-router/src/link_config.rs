//! The configuration of a router's links: the opening message, and the timeouts and backoff.

use std::time::Duration;

use spokeflow_proto::Hello;
use spokeflow_runtime::Backoff;

/// Settings by which connections are opened and closed.
#[derive(Clone, Debug)]
pub(crate) struct LinkConfig {
    /// The opening message, by which the router introduces itself.
    pub(crate) hello: Hello,
    /// Seed of the backoff's jitter, for all links.
    pub(crate) seed: u64,
    pub(crate) connect_timeout: Duration,
    /// Backoff after the first failure.
    pub(crate) min_reconnect_delay: Duration,
    pub(crate) max_reconnect_delay: Duration,
    /// Time without work after which a connection to a host is closed.
    pub(crate) idle_timeout: Duration,
    /// Time after which a connection to a host is dropped if work is outstanding and nothing, not even the answer to a
    /// ping, has arrived on it.
    pub(crate) ping_timeout: Duration,
}

impl LinkConfig {
    /// Creates the backoff of the link with number `link`.
    pub(crate) fn backoff(&self, link: u64) -> Backoff {
        Backoff::new(
            self.seed,
            link,
            self.min_reconnect_delay,
            self.max_reconnect_delay,
        )
    }

    /// Returns a copy whose opening message announces the newest version of the protocol.
    pub(crate) fn with_newest_version(&self) -> Self {
        LinkConfig {
            hello: self.hello.clone().with_newest_version(),
            ..self.clone()
        }
    }
}
