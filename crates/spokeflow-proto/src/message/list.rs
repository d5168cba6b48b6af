//! Messages between routers and the endpoint list.

use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// The phase of a host, which decides whether it may get commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// The host has stopped or is about to stop.
    Gone,
    /// The host accepts commands.
    Ready,
    /// The host finishes the commands that it has and must get no new ones.
    Draining,
}

/// One host on the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Number of the host, which stays the same across restarts.
    pub host: u32,
    /// Address and port, as text.
    pub address: String,
    /// Build that the host runs; `None` if unknown.
    pub build: Option<u16>,
    /// Cell that the host belongs to.
    pub cell: u16,
    /// Zone that the host runs in.
    pub zone: u16,
    /// Phase of the host.
    pub phase: EndpointPhase,
    /// Number that increases with each start of the host's process.
    pub incarnation: u64,
    /// Microseconds between the start of the host's process and the sending of this record; `None` if it started
    /// long ago.
    pub up_us: Option<u64>,
}

/// A message from a router to the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToList {
    /// Opens the connection.
    Hello(Hello),
    /// Requests the changes since version `have`, then all further changes.
    Watch {
        /// Version of the list that the router has; `None` for none.
        have: Option<u64>,
    },
    /// Requests the complete list once.
    Fetch,
}

/// A message from the endpoint list to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromList {
    /// Accepts the connection.
    Welcome,
    /// Refuses the connection or closes it with an error.
    Refused(Refused),
    /// The complete list. A host that is not in it is gone.
    Complete {
        /// Version of the list.
        version: u64,
        /// The hosts.
        endpoints: Vec<EndpointRecord>,
    },
    /// The hosts that have changed.
    Changes {
        /// Version of the list after these changes.
        version: u64,
        /// The changed hosts in their current state.
        endpoints: Vec<EndpointRecord>,
    },
    /// The list is currently not available.
    Failed,
    /// Relative capacities of hosts that were listed before; sent only to a caller of version 2.
    Sizes {
        /// The known sizes.
        sizes: Vec<HostSize>,
    },
}

/// The capacity of a host relative to the other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostSize {
    /// Number of the host.
    pub host: u32,
    /// Capacity in any unit that is the same for all hosts.
    pub size: f32,
}
