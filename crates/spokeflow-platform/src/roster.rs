//! Hosts by the platform's names, and the numbers that the engine knows them by. Numbers are used again once their
//! host has been gone for longer than anything of it can still be out, so that no table grows with hosts ever seen.

use std::collections::HashMap;

use serde::Deserialize;
use spokeflow_core::Micros;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList, HostSize};

/// The host list, or what changed in it, in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    #[serde(default)]
    pub revision: u64,
    #[serde(default)]
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
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

struct Slot {
    name: String,
    /// Address, build and start, as listed last: another of any is another process.
    process: (String, Option<u16>, u64),
    incarnation: u64,
    cell: u16,
    zone: u16,
    gone_since: Option<Micros>,
}

pub struct Roster {
    numbers: HashMap<String, u32>,
    slots: Vec<Slot>,
    zones: Vec<String>,
    incarnations: u64,
    /// Nothing of a host is out any more so long after it has gone.
    settled_after: Micros,
}

impl Roster {
    pub fn new(zones: Vec<String>, settled_after: Micros) -> Self {
        Roster {
            numbers: HashMap::new(),
            slots: Vec::new(),
            zones,
            incarnations: 0,
            settled_after,
        }
    }

    pub fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The list in the engine's terms, and the sizes that go with it. `unix_ms` is the clock that discovery tells
    /// starts by.
    pub fn read(&mut self, listing: Listing, now: Micros, unix_ms: u64) -> (FromList, FromList) {
        let (mut lines, mut sizes) = (Vec::new(), Vec::new());
        let whole = listing.complete;
        let mut named = vec![false; self.slots.len()];
        for member in listing.members {
            let Some((line, size)) = self.line(member, now, unix_ms) else {
                continue;
            };
            named.resize(self.slots.len(), false);
            named[line.host as usize] = true;
            sizes.extend(size.map(|size| HostSize {
                host: line.host,
                size,
            }));
            lines.push(line);
        }
        for (slot, named) in self.slots.iter_mut().zip(named) {
            if whole && !named {
                slot.gone_since.get_or_insert(now);
            }
        }
        let version = listing.revision;
        let list = if whole {
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
        (list, FromList::Sizes { sizes })
    }

    fn line(
        &mut self,
        member: Member,
        now: Micros,
        unix_ms: u64,
    ) -> Option<(EndpointRecord, Option<f32>)> {
        let gone = member.phase == Phase::Gone;
        let host = match self.numbers.get(&member.id) {
            Some(host) => *host,
            None if gone => return None,
            None => self.add(&member.id, now),
        };
        let slot = &mut self.slots[host as usize];
        if gone {
            slot.gone_since.get_or_insert(now);
        } else {
            slot.gone_since = None;
            slot.cell = member.cell;
            let zone = self.zones.iter().position(|z| *z == member.locality);
            slot.zone = zone.unwrap_or(self.zones.len()) as u16;
            let process = (member.host_port, member.revision_no, member.up_since_ms);
            if slot.process != process || slot.incarnation == 0 {
                self.incarnations += 1;
                (slot.process, slot.incarnation) = (process, self.incarnations);
            }
        }
        let (address, build, started) = slot.process.clone();
        let line = EndpointRecord {
            host,
            address,
            build,
            cell: slot.cell,
            zone: slot.zone,
            phase: match member.phase {
                Phase::Gone => EndpointPhase::Gone,
                Phase::Ready => EndpointPhase::Ready,
                Phase::Terminating => EndpointPhase::Draining,
            },
            incarnation: slot.incarnation,
            up_us: (started != 0).then(|| unix_ms.saturating_sub(started).saturating_mul(1000)),
        };
        Some((line, member.size))
    }

    fn add(&mut self, name: &str, now: Micros) -> u32 {
        let settled = |slot: &Slot| {
            slot.gone_since
                .is_some_and(|at| now - at > self.settled_after)
        };
        let slot = Slot {
            name: name.to_string(),
            process: Default::default(),
            incarnation: 0,
            cell: 0,
            zone: 0,
            gone_since: None,
        };
        let host = match self.slots.iter().position(settled) {
            Some(free) => {
                let before = std::mem::replace(&mut self.slots[free], slot);
                self.numbers.remove(&before.name);
                free
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        };
        self.numbers.insert(name.to_string(), host as u32);
        host as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listing(revision: u64, complete: bool, members: &str) -> Listing {
        let text =
            format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
        serde_json::from_str(&text).unwrap()
    }

    fn lines(list: FromList) -> Vec<EndpointRecord> {
        match list {
            FromList::Complete {
                endpoints: lines, ..
            }
            | FromList::Changes {
                endpoints: lines, ..
            } => lines,
            _ => unreachable!("a list"),
        }
    }

    const A: &str =
        r#"{"id":"a","host_port":"127.0.0.1:1","locality":"z","phase":"Ready","revision_no":1}"#;
    const A_AGAIN: &str =
        r#"{"id":"a","host_port":"127.0.0.1:1","locality":"z","phase":"Ready","revision_no":2}"#;
    const A_GONE: &str = r#"{"id":"a","phase":"Gone"}"#;
    const B: &str =
        r#"{"id":"b","host_port":"127.0.0.1:2","locality":"z","phase":"Ready","revision_no":2}"#;

    /// An id and an address that come back with another build are another process: what was learned of the one
    /// before, and its connections, must not count for it.
    #[test]
    fn the_same_id_with_another_build_is_another_process() {
        let mut roster = Roster::new(vec!["z".into()], 10);
        let first = lines(roster.read(listing(1, true, A), 0, 0).0);
        let same = lines(roster.read(listing(2, false, A), 1, 0).0);
        let other = lines(roster.read(listing(3, false, A_AGAIN), 2, 0).0);
        assert_eq!(
            (first[0].incarnation, first[0].host),
            (same[0].incarnation, same[0].host)
        );
        assert!(other[0].incarnation > first[0].incarnation && other[0].host == first[0].host);
    }

    /// Ids of hosts that are ever new must not grow the tables; a number must not pass on while what was sent
    /// under it may still be out.
    #[test]
    fn numbers_are_used_again_once_their_host_is_settled() {
        let mut roster = Roster::new(vec!["z".into()], 10);
        let a = lines(roster.read(listing(1, true, A), 0, 0).0);
        roster.read(listing(2, false, A_GONE), 5, 0);
        let b = lines(roster.read(listing(3, false, B), 14, 0).0);
        assert_ne!(a[0].host, b[0].host);
        let c = lines(
            roster
                .read(listing(4, false, &B.replace("\"b\"", "\"c\"")), 16, 0)
                .0,
        );
        assert_eq!(a[0].host, c[0].host);
        assert!(c[0].incarnation > a[0].incarnation);
        assert_eq!(roster.number("a"), None);
    }
}
