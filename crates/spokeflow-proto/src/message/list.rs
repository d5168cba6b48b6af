//! The link between routers and the endpoint list.

use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// Whether a host may get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// It runs no more, or is about to end.
    Gone,
    /// It takes commands.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// One host on the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Number of the host, which it keeps over restarts.
    pub host: u32,
    /// Address and port, as text.
    pub address: String,
    /// The build that it runs, where that is known.
    pub build: Option<u16>,
    /// The cell that it belongs to.
    pub cell: u16,
    /// The zone that it runs in.
    pub zone: u16,
    /// Whether it may get work.
    pub phase: EndpointPhase,
    /// Grows with each start of the host's process.
    pub incarnation: u64,
    /// Microseconds since the start of its process when this was sent; `None` for long ago.
    pub up_us: Option<u64>,
}

/// From a router to the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToList {
    /// Opens the connection.
    Hello(Hello),
    /// Asks for the changes from now on, after those missed.
    Watch {
        /// The version that the router has, if any.
        have: Option<u64>,
    },
    /// Asks for the complete list, once.
    Fetch,
}

/// From the endpoint list to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromList {
    /// The connection is open.
    Welcome,
    /// The connection is closed.
    Refused(Refused),
    /// All hosts: one that is not among them is gone.
    Complete {
        /// Version of the list.
        version: u64,
        /// The hosts.
        endpoints: Vec<EndpointRecord>,
    },
    /// Hosts that have changed.
    Changes {
        /// Version of the list with these changes.
        version: u64,
        /// The hosts as they are now.
        endpoints: Vec<EndpointRecord>,
    },
    /// The list cannot be read now.
    Failed,
    /// Relative capacities of hosts that have been listed before; only to a caller of version 2.
    Sizes {
        /// Those that are known.
        sizes: Vec<HostSize>,
    },
}

/// The capacity of a host against other hosts'.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostSize {
    /// Number of the host.
    pub host: u32,
    /// In any unit, the same for all hosts.
    pub size: f32,
}
