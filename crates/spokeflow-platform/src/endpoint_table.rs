//! Maps the platform's names of hosts to the numbers by which the engine knows them. A number is used again once its
//! host has been gone for longer than any delivery to it can still be open, so that the table does not grow with every
//! host ever listed.

use std::collections::HashMap;

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use spokeflow_core::Micros;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList, HostSize};

/// Maximum length of a host's name, address or zone, in bytes.
pub(crate) const MAX_TEXT_LENGTH: usize = 256;

/// The host list, or the changes of it, in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Listing {
    #[serde(default)]
    pub(crate) revision: u64,
    /// Whether this is the whole list and not only changes.
    #[serde(default)]
    pub(crate) complete: bool,
    pub(crate) members: Vec<Member>,
}

/// One host of a listing.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Member {
    #[serde(deserialize_with = "short_text")]
    id: String,
    #[serde(default, deserialize_with = "short_text")]
    host_port: String,
    /// Name of the zone.
    #[serde(default, deserialize_with = "short_text")]
    locality: String,
    #[serde(default)]
    cell: u16,
    phase: Phase,
    #[serde(default)]
    size: Option<f32>,
    /// When the host's process started, in milliseconds since 1970; 0 if the listing does not say.
    #[serde(default)]
    up_since_ms: u64,
    /// Number of the build that the host runs.
    #[serde(default)]
    revision_no: Option<u16>,
}

/// Reads a text of at most [`MAX_TEXT_LENGTH`] bytes.
fn short_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    let text = String::deserialize(deserializer)?;
    if text.len() > MAX_TEXT_LENGTH {
        let length = text.len();
        let expected = format!("a text of at most {MAX_TEXT_LENGTH} bytes");
        return Err(D::Error::invalid_length(length, &expected.as_str()));
    }
    Ok(text)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
enum Phase {
    Ready,
    Terminating,
    Gone,
}

/// The process of a host as last listed. If any field changes, it is another process, which gets a new incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Process {
    address: String,
    build: Option<u16>,
    /// When the process started, in milliseconds since 1970; 0 if the listing does not say.
    started_at_ms: u64,
}

/// The entry of a host.
struct Entry {
    name: String,
    process: Process,
    /// Number of the process, unique in this router; 0 before a process is listed.
    incarnation: u64,
    cell: u16,
    zone: u16,
    /// When the host was first listed as gone, or first missing from a whole list; `None` while it is listed.
    gone_since: Option<Micros>,
}

/// A listing as messages for the engine.
pub(crate) struct ListMessages {
    pub(crate) list: FromList,
    pub(crate) sizes: FromList,
    /// Number of listed hosts for which the table has no room.
    pub(crate) without_room: usize,
}

/// The hosts that discovery has listed.
pub(crate) struct EndpointTable {
    /// Number of each host by name.
    numbers: HashMap<String, u32>,
    /// Entry of each host by number.
    entries: Vec<Entry>,
    /// Names of the zones, in the order of their numbers.
    zones: Vec<String>,
    /// The last incarnation that was given to a process.
    last_incarnation: u64,
    /// Time after which no delivery to a host that has gone can still be open, in microseconds.
    forget_after: Micros,
    /// Maximum number of entries. A host that is listed beyond it is not known.
    max_hosts: usize,
}

impl EndpointTable {
    /// Creates an empty table of at most `max_hosts` hosts. `forget_after` is in microseconds.
    pub(crate) fn new(zones: Vec<String>, forget_after: Micros, max_hosts: usize) -> Self {
        EndpointTable {
            numbers: HashMap::new(),
            entries: Vec::new(),
            zones,
            last_incarnation: 0,
            forget_after,
            max_hosts,
        }
    }

    /// Returns the number of a host by its name.
    pub(crate) fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Applies a listing and returns it as messages for the engine. `unix_ms` is the present time in milliseconds since
    /// 1970, the clock by which discovery gives the start of processes.
    pub(crate) fn apply(&mut self, listing: Listing, now: Micros, unix_ms: u64) -> ListMessages {
        let mut records = Vec::new();
        let mut sizes = Vec::new();
        let mut without_room = 0;
        let complete = listing.complete;
        let mut named = vec![false; self.entries.len()];
        for member in listing.members {
            let size = member.size;
            let is_gone = member.phase == Phase::Gone;
            let Some(record) = self.record(member, now, unix_ms) else {
                without_room += usize::from(!is_gone);
                continue;
            };
            named.resize(self.entries.len(), false);
            named[record.host as usize] = true;
            let host = record.host;
            sizes.extend(size.map(|size| HostSize { host, size }));
            records.push(record);
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
                endpoints: records,
            }
        } else {
            FromList::Changes {
                version,
                endpoints: records,
            }
        };
        ListMessages {
            list,
            sizes: FromList::Sizes { sizes },
            without_room,
        }
    }

    /// Updates the entry of a listed host and returns its record for the engine; `None` if a host that is not known is
    /// listed as gone or finds no room.
    fn record(&mut self, member: Member, now: Micros, unix_ms: u64) -> Option<EndpointRecord> {
        let gone = member.phase == Phase::Gone;
        let host = match self.numbers.get(&member.id) {
            Some(host) => *host,
            None if gone => return None,
            None => self.add(&member.id, now)?,
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
                started_at_ms: member.up_since_ms,
            };
            if entry.process != process || entry.incarnation == 0 {
                self.last_incarnation += 1;
                entry.process = process;
                entry.incarnation = self.last_incarnation;
            }
        }
        let Process {
            address,
            build,
            started_at_ms,
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
            up_us: (started_at_ms != 0)
                .then(|| unix_ms.saturating_sub(started_at_ms).saturating_mul(1000)),
        })
    }

    /// Adds a host and returns its number, which may be that of a host gone for long enough; `None` if the table is full.
    fn add(&mut self, name: &str, now: Micros) -> Option<u32> {
        let is_reusable = |entry: &Entry| {
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
        let host = match self.entries.iter().position(is_reusable) {
            Some(index) => {
                let previous = std::mem::replace(&mut self.entries[index], entry);
                self.numbers.remove(&previous.name);
                index
            }
            None if self.entries.len() >= self.max_hosts => return None,
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        };
        self.numbers.insert(name.to_string(), host as u32);
        Some(host as u32)
    }
}

#[cfg(test)]
#[path = "../tests/unit/endpoint_table.rs"]
mod tests;
