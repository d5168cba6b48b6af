//! The list of hosts as the log has it, and which news of its source is accepted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Changes that are kept for those who lag; one who has missed more is told the whole list.
const CHANGES: usize = 4096;

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum HostState {
    Gone,
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedHost {
    pub host: u32,
    pub address: String,
    pub build: Option<u16>,
    pub cell: u16,
    pub zone: u16,
    pub state: HostState,
    /// Grows with each start of the host's process.
    pub incarnation: u64,
    /// Microseconds since that start, at least; `None` for long ago.
    pub up_us: Option<u64>,
}

impl ListedHost {
    /// Whether both say the same, however long ago.
    fn same(&self, other: &ListedHost) -> bool {
        ListedHost {
            up_us: None,
            ..self.clone()
        } == ListedHost {
            up_us: None,
            ..other.clone()
        }
    }
}

/// What the list's source said.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SourceUpdate {
    pub version: u64,
    /// Hosts that are not named are gone.
    pub complete: bool,
    pub hosts: Vec<ListedHost>,
}

/// Why news of the source is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// Its version is lower than one that was told before.
    Backwards {
        /// Under its earlier name in JSON, which scripts read.
        #[serde(rename = "told")]
        received: u64,
        before: u64,
    },
    /// One version was told twice, and not alike.
    Forked { version: u64 },
    /// More than half of the hosts are missing from a whole list; accepted where a second reading says the same.
    Halved { before: usize, missing: usize },
}

/// A part of the list, for one who has it up to some version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListUpdate {
    pub version: ListVersion,
    pub complete: bool,
    pub hosts: Vec<ListedHost>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointList {
    pub version: ListVersion,
    /// The source's version that was taken in last.
    pub source_version: u64,
    hosts: BTreeMap<u32, ListedHost>,
    changes: VecDeque<(ListVersion, u32)>,
}

impl EndpointList {
    pub fn hosts(&self) -> impl Iterator<Item = &ListedHost> {
        self.hosts.values()
    }

    fn there(&self) -> impl Iterator<Item = &ListedHost> {
        self.hosts.values().filter(|h| h.state != HostState::Gone)
    }

    /// What of the news differs from the list. `Ok(None)`: nothing. `twice`: a second reading said the same.
    pub fn evaluate(
        &self,
        news: &SourceUpdate,
        twice: bool,
    ) -> Result<Option<SourceUpdate>, Rejection> {
        if news.version < self.source_version {
            return Err(Rejection::Backwards {
                received: news.version,
                before: self.source_version,
            });
        }
        let named: BTreeSet<u32> = news.hosts.iter().map(|h| h.host).collect();
        let mut differ: Vec<ListedHost> = news.hosts.to_vec();
        differ.retain(|h| !self.hosts.get(&h.host).is_some_and(|known| known.same(h)));
        // One that was never there need not be told to be gone.
        differ.retain(|h| h.state != HostState::Gone || self.hosts.contains_key(&h.host));
        if news.complete {
            let missing: Vec<&ListedHost> =
                self.there().filter(|h| !named.contains(&h.host)).collect();
            let before = self.there().count();
            if missing.len() * 2 > before && before > 1 && !twice {
                return Err(Rejection::Halved {
                    before,
                    missing: missing.len(),
                });
            }
            let gone = |h: &ListedHost| ListedHost {
                state: HostState::Gone,
                ..h.clone()
            };
            differ.extend(missing.into_iter().map(gone));
        }
        if differ.is_empty() {
            return Ok(None);
        }
        if news.version == self.source_version && self.version.0 > 0 {
            return Err(Rejection::Forked {
                version: news.version,
            });
        }
        Ok(Some(SourceUpdate {
            version: news.version,
            complete: false,
            hosts: differ,
        }))
    }

    /// Takes in what was weighed.
    pub fn apply(&mut self, news: SourceUpdate) {
        self.version.0 += 1;
        self.source_version = news.version;
        for host in news.hosts {
            self.changes.push_back((self.version, host.host));
            self.hosts.insert(host.host, host);
        }
        while self.changes.len() > CHANGES {
            let Some((_, host)) = self.changes.pop_front() else {
                break;
            };
            // Who is told the whole list needs no word of hosts that are gone.
            let last = !self.changes.iter().any(|c| c.1 == host);
            if last
                && self
                    .hosts
                    .get(&host)
                    .is_some_and(|h| h.state == HostState::Gone)
            {
                self.hosts.remove(&host);
            }
        }
    }

    /// The source may begin anew, from any version: said by a person.
    pub fn trust_source(&mut self) {
        self.source_version = 0;
    }

    /// What one lacks who has the list up to `have`; `None`: nothing.
    pub fn update_since(&self, have: ListVersion) -> Option<EndpointListUpdate> {
        if have == self.version {
            return None;
        }
        let first = self.changes.front().map_or(ListVersion(u64::MAX), |c| c.0);
        let version = self.version;
        // One version may have been cut in the middle: what comes right after it is not known whole.
        if have.0 == 0 || have >= self.version || have.0 < first.0 {
            let hosts = self.there().cloned().collect();
            return Some(EndpointListUpdate {
                version,
                complete: true,
                hosts,
            });
        }
        let named: BTreeSet<u32> = self
            .changes
            .iter()
            .filter(|c| c.0 > have)
            .map(|c| c.1)
            .collect();
        let hosts = named
            .iter()
            .filter_map(|h| self.hosts.get(h).cloned())
            .collect();
        Some(EndpointListUpdate {
            version,
            complete: false,
            hosts,
        })
    }
}
