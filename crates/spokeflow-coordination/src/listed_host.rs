//! Hosts of the endpoint list, updates from the list's source, and updates that are sent to routers.

use serde::{Deserialize, Serialize};

/// Version of the endpoint list: grows by one with each accepted update. 0 is the empty list before the first update.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion(pub u64);

/// Whether a host accepts commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HostState {
    /// The host no longer exists.
    Gone,
    /// The host accepts commands.
    Ready,
    /// The host finishes the commands that it has and accepts no new ones.
    Draining,
}

/// A host of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedHost {
    /// Id of the host.
    pub host: u32,
    /// Address of the host, with a port.
    pub address: String,
    /// The build that the host runs; `None` if that is not known.
    pub build: Option<u16>,
    /// Cell of the host.
    pub cell: u16,
    /// Zone of the host.
    pub zone: u16,
    /// Whether the host accepts commands.
    pub state: HostState,
    /// Number that grows with each start of the host's process.
    pub incarnation: u64,
    /// Microseconds since that start, as a lower bound; `None` if the host started long ago.
    pub up_us: Option<u64>,
}

impl ListedHost {
    /// Whether both are equal in all fields but the uptime.
    pub(crate) fn equals_ignoring_uptime(&self, other: &ListedHost) -> bool {
        let without_uptime = |host: &ListedHost| ListedHost {
            up_us: None,
            ..host.clone()
        };
        without_uptime(self) == without_uptime(other)
    }
}

/// An update of the endpoint list, as read from its source.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SourceUpdate {
    /// Version of the update, assigned by the source.
    pub version: u64,
    /// Whether the update names all hosts. Hosts that a complete update does not name are gone.
    pub complete: bool,
    /// The hosts that the update names.
    pub hosts: Vec<ListedHost>,
}

impl SourceUpdate {
    /// Whether this is a second reading of the same complete list: it has the same version, and the same hosts in the
    /// same states.
    pub(crate) fn confirms(&self, earlier: &SourceUpdate) -> bool {
        let states = |update: &SourceUpdate| -> Vec<(u32, HostState)> {
            let hosts = update.hosts.iter();
            hosts.map(|host| (host.host, host.state)).collect()
        };
        self.complete
            && earlier.complete
            && self.version == earlier.version
            && states(self) == states(earlier)
    }
}

/// Why an update from the source is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The version of the update is lower than that of the last accepted one.
    Backwards {
        /// Version of the update. The JSON output, which scripts read, keeps the earlier name of this field.
        #[serde(rename = "told")]
        received: u64,
        /// Version of the last accepted update.
        before: u64,
    },
    /// The source sent one version twice, with different hosts.
    Forked {
        /// That version.
        version: u64,
    },
    /// More than half of the hosts are missing from a complete list. The list is accepted if a second reading confirms
    /// it.
    Halved {
        /// Number of hosts before the update.
        before: usize,
        /// Number of these that are missing from the update.
        missing: usize,
    },
}

/// The part of the endpoint list that a router lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    /// The version that the router has once it has applied the update.
    pub version: ListVersion,
    /// Whether the update replaces the whole list of the router.
    pub complete: bool,
    /// The hosts that have changed, or all hosts if the update is complete.
    pub hosts: Vec<ListedHost>,
}
