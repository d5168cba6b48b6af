//! The endpoint list as the log has it: which updates of its source are accepted, and what its followers lack.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{EndpointListUpdate, HostState, ListVersion, ListedHost, Rejection, SourceUpdate};

/// Changes that are kept for followers that lag; one that lacks more is sent the whole list.
const MAX_RETAINED_CHANGES: usize = 4096;

/// The endpoint list. The order of fields is the encoding of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    pub version: ListVersion,
    /// The source's version of the last accepted update.
    pub source_version: u64,
    /// By id; those that are gone stay until no kept change names them.
    hosts: BTreeMap<u32, ListedHost>,
    /// The newest last.
    changes: VecDeque<ListChange>,
}

/// The version that changed a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct ListChange {
    version: ListVersion,
    host: u32,
}

impl EndpointList {
    /// All hosts that the list knows, also some that are gone.
    pub fn hosts(&self) -> impl Iterator<Item = &ListedHost> {
        self.hosts.values()
    }

    /// The hosts that are not gone.
    pub(crate) fn present_hosts(&self) -> impl Iterator<Item = &ListedHost> {
        self.hosts().filter(|host| host.state != HostState::Gone)
    }

    /// What of an update differs from the list; `Ok(None)` where nothing does. `confirmed`: a second reading said the
    /// same.
    ///
    /// # Errors
    ///
    /// The update is rejected.
    pub fn evaluate(
        &self,
        update: &SourceUpdate,
        confirmed: bool,
    ) -> Result<Option<SourceUpdate>, Rejection> {
        if update.version < self.source_version {
            return Err(Rejection::Backwards {
                received: update.version,
                before: self.source_version,
            });
        }
        let mut hosts = self.changed_hosts(update);
        if update.complete {
            hosts.extend(self.missing_hosts(update, confirmed)?);
        }
        if hosts.is_empty() {
            return Ok(None);
        }
        if update.version == self.source_version && self.version.0 > 0 {
            return Err(Rejection::Forked {
                version: update.version,
            });
        }
        Ok(Some(SourceUpdate {
            version: update.version,
            complete: false,
            hosts,
        }))
    }

    /// The hosts of the update that the list has otherwise or not at all.
    fn changed_hosts(&self, update: &SourceUpdate) -> Vec<ListedHost> {
        let is_changed = |host: &&ListedHost| match self.hosts.get(&host.host) {
            Some(known) => !known.says_the_same(host),
            // One that was never there need not be listed as gone.
            None => host.state != HostState::Gone,
        };
        update.hosts.iter().filter(is_changed).cloned().collect()
    }

    /// The hosts that a complete update does not name, as gone.
    fn missing_hosts(
        &self,
        update: &SourceUpdate,
        confirmed: bool,
    ) -> Result<Vec<ListedHost>, Rejection> {
        let named: BTreeSet<u32> = update.hosts.iter().map(|host| host.host).collect();
        let missing: Vec<ListedHost> = self
            .present_hosts()
            .filter(|host| !named.contains(&host.host))
            .map(|host| ListedHost {
                state: HostState::Gone,
                ..host.clone()
            })
            .collect();
        let before = self.present_hosts().count();
        if missing.len() * 2 > before && before > 1 && !confirmed {
            return Err(Rejection::Halved {
                before,
                missing: missing.len(),
            });
        }
        Ok(missing)
    }

    /// Applies an update that [`EndpointList::evaluate`] has returned.
    pub fn apply(&mut self, update: SourceUpdate) {
        self.version.0 += 1;
        self.source_version = update.version;
        for host in update.hosts {
            self.changes.push_back(ListChange {
                version: self.version,
                host: host.host,
            });
            self.hosts.insert(host.host, host);
        }
        while self.changes.len() > MAX_RETAINED_CHANGES {
            if let Some(dropped) = self.changes.pop_front() {
                self.forget_if_gone(dropped.host);
            }
        }
    }

    /// Forgets a host that is gone and that no kept change names: whoever is sent the whole list needs no word of it.
    fn forget_if_gone(&mut self, host: u32) {
        if self.changes.iter().any(|change| change.host == host) {
            return;
        }
        let is_gone = |known: &ListedHost| known.state == HostState::Gone;
        if self.hosts.get(&host).is_some_and(is_gone) {
            self.hosts.remove(&host);
        }
    }

    /// Lets the source begin again from any version; decided by an operator.
    pub fn trust_source(&mut self) {
        self.source_version = 0;
    }

    /// What a follower lacks that has this version of the list; `None` where it lacks nothing.
    pub fn update_since(&self, version: ListVersion) -> Option<EndpointListUpdate> {
        if version == self.version {
            return None;
        }
        let oldest = self.changes.front();
        let oldest = oldest.map_or(ListVersion(u64::MAX), |change| change.version);
        // The oldest kept version may lack some of its changes, so a follower needs to have at least that one.
        let is_complete = version.0 == 0 || version >= self.version || version < oldest;
        let hosts = if is_complete {
            self.present_hosts().cloned().collect()
        } else {
            self.hosts_changed_since(version)
        };
        Some(EndpointListUpdate {
            version: self.version,
            complete: is_complete,
            hosts,
        })
    }

    fn hosts_changed_since(&self, version: ListVersion) -> Vec<ListedHost> {
        let changed: BTreeSet<u32> = self
            .changes
            .iter()
            .filter(|change| change.version > version)
            .map(|change| change.host)
            .collect();
        let hosts = changed.iter().filter_map(|host| self.hosts.get(host));
        hosts.cloned().collect()
    }
}
