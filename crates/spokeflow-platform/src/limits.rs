//! What the platform grants this router, and how its descriptors are shared out.

use serde::Deserialize;
use spokeflow_core::ROUTERS_PER_HOST;

/// Bytes of a body at most, as the platform says.
pub(crate) const BODY_LIMIT: usize = 64 << 10;
/// Descriptors for all but clients and hosts: standard streams, signals, the listener, discovery, the release
/// controller.
const RESERVED_DESCRIPTORS: u64 = 24;
/// Descriptors without which nothing can be served: two clients' and one host's beside the reserved ones.
pub(crate) const MIN_DESCRIPTORS: u64 = RESERVED_DESCRIPTORS + 3;

/// What the platform grants this router.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Limits {
    /// Parts of a core.
    #[serde(default = "one")]
    #[expect(dead_code, reason = "checked as a part of the file")]
    pub(crate) cores: f64,
    /// Mebibytes.
    #[expect(dead_code, reason = "checked as a part of the file")]
    pub(crate) memory_mb: u64,
    /// File descriptors.
    pub(crate) sockets: u64,
}

fn one() -> f64 {
    1.0
}

/// Connections of clients and to hosts at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    pub(crate) clients: usize,
    pub(crate) hosts: usize,
}

impl ConnectionLimits {
    /// Shares out what the reserved descriptors leave. A command holds a connection of a client and one to a host, and
    /// those to the hosts that this router reaches are idle between: what the fleet's size, the number of `hosts` and
    /// the commands `in_flight` come to, a third at least and half at most, goes to hosts.
    pub(crate) fn new(limits: &Limits, fleet: u32, hosts: usize, in_flight: f64) -> Self {
        let free = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let reached = hosts as f64 * (ROUTERS_PER_HOST / f64::from(fleet.max(1))).min(1.0);
        let to_hosts = ((reached + in_flight).ceil() as usize).clamp(free / 3, free / 2);
        ConnectionLimits {
            clients: free - to_hosts,
            hosts: to_hosts,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/limits.rs"]
mod tests;
