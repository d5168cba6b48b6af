//! Hosts by the platform's names, and the numbers that the engine knows them by. Numbers are used again once their
//! host has been gone for longer than anything of it can still be out, so that no table grows with hosts ever seen.

use std::collections::HashMap;

use serde::Deserialize;
use spokeflow_core::Micros;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList, HostSize};

/// The host list, or what changed in it, in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Listing {
    #[serde(default)]
    pub(crate) revision: u64,
    #[serde(default)]
    pub(crate) complete: bool,
    pub(crate) members: Vec<Member>,
}

/// One host of a listing.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Member {
    id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u16,
    phase: Phase,
    #[serde(default)]
    size: Option<f32>,
    #[serde(default)]
    up_since_ms: u64,
    #[serde(default)]
    revision_no: Option<u16>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
enum Phase {
    Ready,
    Terminating,
    Gone,
}

/// A process of a host, as listed last: another value of any field is another process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Process {
    address: String,
    build: Option<u16>,
    /// Milliseconds since 1970; 0 where the list does not say.
    started_ms: u64,
}

/// A host's entry, by its number.
struct Entry {
    name: String,
    process: Process,
    incarnation: u64,
    cell: u16,
    zone: u16,
    gone_since: Option<Micros>,
}

/// A listing in the engine's terms.
pub(crate) struct ListMessages {
    pub(crate) list: FromList,
    pub(crate) sizes: FromList,
}

/// Numbers of the hosts by name, and what was listed of each.
pub(crate) struct EndpointTable {
    numbers: HashMap<String, u32>,
    entries: Vec<Entry>,
    zones: Vec<String>,
    incarnations: u64,
    /// Nothing of a host is out any more so long after it has gone.
    forget_after: Micros,
}

impl EndpointTable {
    pub(crate) fn new(zones: Vec<String>, forget_after: Micros) -> Self {
        EndpointTable {
            numbers: HashMap::new(),
            entries: Vec::new(),
            zones,
            incarnations: 0,
            forget_after,
        }
    }

    pub(crate) fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Takes in a listing. `unix_ms` is the clock that discovery tells starts by, in milliseconds since 1970.
    pub(crate) fn apply(&mut self, listing: Listing, now: Micros, unix_ms: u64) -> ListMessages {
        let mut lines = Vec::new();
        let mut sizes = Vec::new();
        let complete = listing.complete;
        let mut named = vec![false; self.entries.len()];
        for member in listing.members {
            let size = member.size;
            let Some(line) = self.line(member, now, unix_ms) else {
                continue;
            };
            named.resize(self.entries.len(), false);
            named[line.host as usize] = true;
            let host = line.host;
            sizes.extend(size.map(|size| HostSize { host, size }));
            lines.push(line);
        }
        for (entry, named) in self.entries.iter_mut().zip(named) {
            if complete && !named {
                entry.gone_since.get_or_insert(now);
            }
        }
        let version = listing.revision;
        let list = if complete {
            FromList::Complete {
                version,
                endpoints: lines,
            }
        } else {
            FromList::Changes {
                version,
                endpoints: lines,
            }
        };
        ListMessages {
            list,
            sizes: FromList::Sizes { sizes },
        }
    }

    fn line(&mut self, member: Member, now: Micros, unix_ms: u64) -> Option<EndpointRecord> {
        let gone = member.phase == Phase::Gone;
        let host = match self.numbers.get(&member.id) {
            Some(host) => *host,
            None if gone => return None,
            None => self.add(&member.id, now),
        };
        let entry = &mut self.entries[host as usize];
        if gone {
            entry.gone_since.get_or_insert(now);
        } else {
            entry.gone_since = None;
            entry.cell = member.cell;
            let zone = self.zones.iter().position(|zone| *zone == member.locality);
            entry.zone = zone.unwrap_or(self.zones.len()) as u16;
            let process = Process {
                address: member.host_port,
                build: member.revision_no,
                started_ms: member.up_since_ms,
            };
            if entry.process != process || entry.incarnation == 0 {
                self.incarnations += 1;
                entry.process = process;
                entry.incarnation = self.incarnations;
            }
        }
        let Process {
            address,
            build,
            started_ms,
        } = entry.process.clone();
        Some(EndpointRecord {
            host,
            address,
            build,
            cell: entry.cell,
            zone: entry.zone,
            phase: match member.phase {
                Phase::Gone => EndpointPhase::Gone,
                Phase::Ready => EndpointPhase::Ready,
                Phase::Terminating => EndpointPhase::Draining,
            },
            incarnation: entry.incarnation,
            up_us: (started_ms != 0)
                .then(|| unix_ms.saturating_sub(started_ms).saturating_mul(1000)),
        })
    }

    fn add(&mut self, name: &str, now: Micros) -> u32 {
        let is_forgotten = |entry: &Entry| {
            entry
                .gone_since
                .is_some_and(|at| now - at > self.forget_after)
        };
        let entry = Entry {
            name: name.to_string(),
            process: Process::default(),
            incarnation: 0,
            cell: 0,
            zone: 0,
            gone_since: None,
        };
        let host = match self.entries.iter().position(is_forgotten) {
            Some(free) => {
                let before = std::mem::replace(&mut self.entries[free], entry);
                self.numbers.remove(&before.name);
                free
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        };
        self.numbers.insert(name.to_string(), host as u32);
        host as u32
    }
}

#[cfg(test)]
#[path = "../tests/unit/endpoint_table.rs"]
mod tests;
