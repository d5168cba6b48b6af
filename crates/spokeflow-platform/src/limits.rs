//! The resources that the platform grants to this router, and how its file descriptors are divided.

use serde::Deserialize;
use spokeflow_core::ROUTERS_PER_HOST;

use crate::memory_limits::MemoryLimits;

/// Maximum length of a body in bytes, as the platform's protocol sets it.
pub(crate) const BODY_LIMIT: usize = 64 << 10;
/// Number of descriptors that are not for clients or hosts: standard streams, signals, the listener, discovery and the
/// release controller.
const RESERVED_DESCRIPTORS: u64 = 24;
/// Minimum number of connections to serve any command: two of clients and one to a host.
const MIN_CONNECTIONS: usize = 3;
/// Minimum number of descriptors to serve any command.
pub(crate) const MIN_DESCRIPTORS: u64 = RESERVED_DESCRIPTORS + MIN_CONNECTIONS as u64;

/// The resources that the platform grants to this router.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Limits {
    /// Share of the processor, in cores.
    #[serde(default = "one")]
    #[expect(
        dead_code,
        reason = "must be present and valid in the configuration file"
    )]
    pub(crate) cores: f64,
    /// Memory, in megabytes.
    pub(crate) memory_mb: u64,
    /// Number of file descriptors.
    pub(crate) sockets: u64,
}

fn one() -> f64 {
    1.0
}

/// Maximum numbers of connections of clients and to hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    pub(crate) clients: usize,
    pub(crate) hosts: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors that are not reserved. A command holds a connection of a client and one to a host, and
    /// between commands one idle connection is kept to each host that this router reaches. Hosts therefore get one
    /// descriptor for each host reached, which depends on the size of the `fleet` of routers and the number of `hosts`,
    /// and one for each of the commands `in_flight`; at least a third of the descriptors and at most half of them. Where
    /// memory allows fewer connections than descriptors, these are divided.
    pub(crate) fn new(limits: &Limits, fleet: u32, hosts: usize, in_flight: f64) -> Self {
        let descriptors = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS) as usize;
        let memory = MemoryLimits::new(limits.memory_mb);
        let free = descriptors.min(memory.connections.max(MIN_CONNECTIONS));
        let reached = hosts as f64 * (ROUTERS_PER_HOST / f64::from(fleet.max(1))).min(1.0);
        let for_hosts = ((reached + in_flight).ceil() as usize).clamp(free / 3, free / 2);
        ConnectionLimits {
            clients: free - for_hosts,
            hosts: for_hosts,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/limits.rs"]
mod tests;
