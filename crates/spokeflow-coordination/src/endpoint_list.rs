//! The replicated endpoint list, called the replicated list: which updates of its source are accepted, and which hosts
//! a lagging router lacks. Operators know it as the host list.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{EndpointListUpdate, HostState, ListVersion, ListedHost, Rejection, SourceUpdate};

/// Maximum number of changes that are kept for routers that lag behind. A router that lacks more gets the whole list.
const MAX_RETAINED_CHANGES: usize = 4096;

/// The endpoint list. The binary encoding in snapshots depends on the order of fields, which must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    pub version: ListVersion,
    /// Version that the source gave to the last accepted update; 0 before the first one, or if an operator has reset
    /// it.
    pub source_version: u64,
    /// Hosts by id. A host that is gone stays until no kept change names it.
    hosts: BTreeMap<u32, ListedHost>,
    /// The kept changes, the newest last.
    changes: VecDeque<ListChange>,
}

/// A change of a host, and the version of the list that made it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct ListChange {
    version: ListVersion,
    host: u32,
}

impl EndpointList {
    /// Returns all hosts that the list has, including some that are gone.
    pub fn hosts(&self) -> impl Iterator<Item = &ListedHost> {
        self.hosts.values()
    }

    /// Returns the hosts that are not gone.
    pub(crate) fn present_hosts(&self) -> impl Iterator<Item = &ListedHost> {
        self.hosts().filter(|host| host.state != HostState::Gone)
    }

    /// Returns the part of an update that differs from the list, or `Ok(None)` if nothing differs. `confirmed` says
    /// that a second reading of the source gave the same update.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] if the update is not accepted.
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

    /// Returns the hosts of the update that differ from the list or are not in it.
    fn changed_hosts(&self, update: &SourceUpdate) -> Vec<ListedHost> {
        let is_changed = |host: &&ListedHost| match self.hosts.get(&host.host) {
            Some(known) => !known.equals_ignoring_uptime(host),
            // A host that was never in the list need not be added as gone.
            None => host.state != HostState::Gone,
        };
        update.hosts.iter().filter(is_changed).cloned().collect()
    }

    /// Returns the present hosts that a complete update does not name, with their state set to gone.
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

    /// Applies an update returned by [`EndpointList::evaluate`].
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
                self.remove_if_gone(dropped.host);
            }
        }
    }

    /// Removes a host that is gone and that no kept change names. Only routers that get the whole list lack that
    /// change, and they do not need hosts that are gone.
    fn remove_if_gone(&mut self, host: u32) {
        if self.changes.iter().any(|change| change.host == host) {
            return;
        }
        let is_gone = |known: &ListedHost| known.state == HostState::Gone;
        if self.hosts.get(&host).is_some_and(is_gone) {
            self.hosts.remove(&host);
        }
    }

    /// Sets the version of the source to 0, so that any version is accepted as the next one; requested by an operator.
    pub fn reset_source_version(&mut self) {
        self.source_version = 0;
    }

    /// Returns the update for a router that has this version of the list; `None` if the router lacks nothing.
    pub fn update_since(&self, version: ListVersion) -> Option<EndpointListUpdate> {
        if version == self.version {
            return None;
        }
        let oldest = self.changes.front();
        let oldest = oldest.map_or(ListVersion(u64::MAX), |change| change.version);
        // Some changes of the oldest kept version may have been dropped, so a router must have at least that version to
        // get changes alone.
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
