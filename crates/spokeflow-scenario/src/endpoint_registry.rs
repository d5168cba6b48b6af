//! A model of the host list: what it knows, what it will learn, and the changes that it remembers. No I/O.

use std::collections::{BTreeMap, VecDeque};

use crate::observation::Phase;
use crate::Micros;

/// A host as the list knows it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its number.
    pub host: u32,
    /// Where it listens; empty in simulated time.
    pub address: String,
    /// Its site.
    pub site: u16,
    /// The build it runs.
    pub build: u16,
    /// Whether it takes commands.
    pub phase: Phase,
    /// Which of its processes this is.
    pub incarnation: u64,
    /// When it started, where that is known.
    pub started: Option<Micros>,
}

/// Changes remembered; who has missed more gets the whole list.
pub const REMEMBERED_CHANGES: usize = 4096;

/// A change of the list.
struct Change {
    version: u64,
    host: u32,
}

/// What the list will learn.
struct Upcoming {
    at: Micros,
    entry: Entry,
}

/// The host list of a run.
#[derive(Default)]
pub struct EndpointRegistry {
    entries: BTreeMap<u32, Entry>,
    version: u64,
    changes: VecDeque<Change>,
    upcoming: Vec<Upcoming>,
}

impl EndpointRegistry {
    /// Counts the changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many endpoints are known, the gone that are remembered included.
    pub fn endpoints(&self) -> usize {
        self.entries.len()
    }

    /// How many changes are remembered.
    pub fn remembered_changes(&self) -> usize {
        self.changes.len()
    }

    /// The list learns this at `at`, and of one host in order. Returns when it does.
    pub fn schedule_update(&mut self, at: Micros, entry: Entry) -> Micros {
        let of_host = self
            .upcoming
            .iter()
            .filter(|next| next.entry.host == entry.host);
        let before = of_host.map(|next| next.at).max();
        let at = before.map_or(at, |before| at.max(before + 1));
        self.upcoming.push(Upcoming { at, entry });
        at
    }

    /// Takes in what is learned by now.
    pub fn tick(&mut self, now: Micros) {
        let mut due: Vec<_> = self
            .upcoming
            .extract_if(.., |next| next.at <= now)
            .collect();
        due.sort_by_key(|next| next.at);
        for Upcoming { entry, .. } in due {
            self.version += 1;
            self.changes.push_back(Change {
                version: self.version,
                host: entry.host,
            });
            self.entries.insert(entry.host, entry);
        }
        while self.changes.len() > REMEMBERED_CHANGES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(Change { host, .. }) = self.changes.pop_front() else {
            return;
        };
        // Who gets the whole list needs no word of hosts that are gone.
        let last = !self.changes.iter().any(|change| change.host == host);
        let known = self.entries.get(&host);
        if last && known.is_some_and(|entry| entry.phase == Phase::Gone) {
            self.entries.remove(&host);
        }
    }

    /// What one who holds version `have` must be told; true where it is the whole list.
    pub fn updates_since(&self, have: Option<u64>) -> (bool, Vec<&Entry>) {
        let oldest = self.changes.front().map_or(0, |change| change.version - 1);
        let known = have.filter(|version| *version <= self.version && *version >= oldest);
        match known {
            None => (true, self.present().collect()),
            Some(version) => (false, self.changed_after(version)),
        }
    }

    fn present(&self) -> impl Iterator<Item = &Entry> {
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
