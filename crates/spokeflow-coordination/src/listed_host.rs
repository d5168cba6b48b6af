//! Hosts of the endpoint list, what the list's source says of them, and what followers are sent.

use serde::{Deserialize, Serialize};

/// Version of the list, counted by the log: one more with each accepted update. 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion(pub u64);

/// Whether a host takes commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HostState {
    /// It is no longer there.
    Gone,
    /// It takes commands.
    Ready,
    /// It ends what it has and takes nothing new.
    Draining,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedHost {
    /// Id of the host.
    pub host: u32,
    /// Its address with a port.
    pub address: String,
    /// The build that it runs, where that is known.
    pub build: Option<u16>,
    /// Its cell.
    pub cell: u16,
    /// Its zone.
    pub zone: u16,
    /// Whether it takes commands.
    pub state: HostState,
    /// Grows with each start of the host's process.
    pub incarnation: u64,
    /// Microseconds since that start, at least; `None` for long ago.
    pub up_us: Option<u64>,
}

impl ListedHost {
    /// Whether both say the same, whatever the time since the start.
    pub(crate) fn says_the_same(&self, other: &ListedHost) -> bool {
        let without_uptime = |host: &ListedHost| ListedHost {
            up_us: None,
            ..host.clone()
        };
        without_uptime(self) == without_uptime(other)
    }
}

/// What the list's source said.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SourceUpdate {
    /// The source's own version.
    pub version: u64,
    /// Whether all hosts are named; those that are not are gone.
    pub complete: bool,
    /// The hosts that it names.
    pub hosts: Vec<ListedHost>,
}

impl SourceUpdate {
    /// Whether this is a second reading of the same complete list: same version, and the same hosts in the same
    /// states.
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

/// Why an update of the source is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// Its version is lower than an earlier one.
    Backwards {
        /// The version of the update. Under its earlier name in JSON, which scripts read.
        #[serde(rename = "told")]
        received: u64,
        /// The version that was accepted before.
        before: u64,
    },
    /// One version came twice, with different hosts.
    Forked {
        /// That version.
        version: u64,
    },
    /// More than half of the hosts are missing from a complete list. Accepted where a second reading confirms it.
    Halved {
        /// How many hosts there were.
        before: usize,
        /// How many of them are missing.
        missing: usize,
    },
}

/// What a follower of the list lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    /// The version that the follower has with it.
    pub version: ListVersion,
    /// Whether it replaces all that the follower has.
    pub complete: bool,
    /// The hosts that have changed, or all.
    pub hosts: Vec<ListedHost>,
}
