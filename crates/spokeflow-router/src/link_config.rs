//! How a router's links are opened: what it says of itself, and the times that it allows.

use std::time::Duration;

use spokeflow_proto::Hello;
use spokeflow_runtime::Backoff;

/// How connections are opened and when they are given up.
#[derive(Clone, Debug)]
pub(crate) struct LinkConfig {
    pub(crate) hello: Hello,
    /// Seed of the jitter of all backoff.
    pub(crate) seed: u64,
    pub(crate) connect_timeout: Duration,
    /// Backoff after the first failure.
    pub(crate) min_reconnect_delay: Duration,
    pub(crate) max_reconnect_delay: Duration,
    /// A connection to a host that has carried nothing for this long is closed.
    pub(crate) idle_timeout: Duration,
    /// A connection on which nothing has arrived for this long, the answer to a ping included, is dropped.
    pub(crate) ping_timeout: Duration,
}

impl LinkConfig {
    /// The backoff of one of this router's links, by the link's number.
    pub(crate) fn backoff(&self, link: u64) -> Backoff {
        Backoff::new(
            self.seed,
            link,
            self.min_reconnect_delay,
            self.max_reconnect_delay,
        )
    }

    /// The same, with the newest version of the protocol in the opening message.
    pub(crate) fn with_newest_version(&self) -> Self {
        LinkConfig {
            hello: self.hello.clone().with_newest_version(),
            ..self.clone()
        }
    }
}
