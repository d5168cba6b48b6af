//! A model of the endpoint list: its current entries, scheduled updates and a log of recent changes. No I/O.

use std::collections::{BTreeMap, VecDeque};

use crate::observation::Phase;
use crate::Micros;

/// A host on the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Number of the host.
    pub host: u32,
    /// Address that the host listens on; empty in simulated time.
    pub address: String,
    /// Site (zone) of the host.
    pub site: u16,
    /// Build that the host runs.
    pub build: u16,
    /// Phase of the host.
    pub phase: Phase,
    /// Number that increases with each start of the host's process.
    pub incarnation: u64,
    /// Start of the process; `None` if unknown.
    pub started: Option<Micros>,
}

/// Maximum number of changes kept; a router that has missed more gets the complete list.
pub const MAX_RETAINED_CHANGES: usize = 4096;

/// A change of the list.
struct Change {
    version: u64,
    host: u32,
}

/// An update that is scheduled.
struct ScheduledUpdate {
    at: Micros,
    entry: Entry,
}

/// The endpoint list of a run.
#[derive(Default)]
pub struct EndpointRegistry {
    entries: BTreeMap<u32, Entry>,
    version: u64,
    changes: VecDeque<Change>,
    scheduled: Vec<ScheduledUpdate>,
}

impl EndpointRegistry {
    /// Returns the version of the list, which is the number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of entries, including those of hosts that are gone and not yet forgotten.
    pub fn endpoint_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of changes kept.
    pub fn retained_change_count(&self) -> usize {
        self.changes.len()
    }

    /// Schedules an update to appear in the list at `at`, or right after the last scheduled update of the same host if
    /// that is later. Returns the scheduled time.
    pub fn schedule_update(&mut self, at: Micros, entry: Entry) -> Micros {
        let of_host = self
            .scheduled
            .iter()
            .filter(|next| next.entry.host == entry.host);
        let latest = of_host.map(|next| next.at).max();
        let at = latest.map_or(at, |latest| at.max(latest + 1));
        self.scheduled.push(ScheduledUpdate { at, entry });
        at
    }

    /// Applies the updates that are scheduled up to `now`.
    pub fn tick(&mut self, now: Micros) {
        let mut due: Vec<_> = self
            .scheduled
            .extract_if(.., |next| next.at <= now)
            .collect();
        due.sort_by_key(|next| next.at);
        for ScheduledUpdate { entry, .. } in due {
            self.version += 1;
            self.changes.push_back(Change {
                version: self.version,
                host: entry.host,
            });
            self.entries.insert(entry.host, entry);
        }
        while self.changes.len() > MAX_RETAINED_CHANGES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(Change { host, .. }) = self.changes.pop_front() else {
            return;
        };
        // Gone hosts are not on the complete list, so that their entries are needed only for the changes.
        let was_last_change = !self.changes.iter().any(|change| change.host == host);
        let known = self.entries.get(&host);
        if was_last_change && known.is_some_and(|entry| entry.phase == Phase::Gone) {
            self.entries.remove(&host);
        }
    }

    /// Returns the entries that a router with version `have` must be sent, and whether they are the complete list.
    pub fn updates_since(&self, have: Option<u64>) -> (bool, Vec<&Entry>) {
        let oldest = self.changes.front().map_or(0, |change| change.version - 1);
        let known_version = have.filter(|version| *version <= self.version && *version >= oldest);
        match known_version {
            None => (true, self.current_entries().collect()),
            Some(version) => (false, self.changed_after(version)),
        }
    }

    fn current_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|entry| entry.phase != Phase::Gone)
    }

    fn changed_after(&self, version: u64) -> Vec<&Entry> {
        let from = self
            .changes
            .partition_point(|change| change.version <= version);
        let mut hosts: Vec<u32> = self
            .changes
            .range(from..)
            .map(|change| change.host)
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
            .iter()
            .filter_map(|host| self.entries.get(host))
            .collect()
    }
}
