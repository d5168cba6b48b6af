//! Statistics about the ready hosts of one build, and the sets of recently started hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, OnceLock};

use crate::Micros;

/// The properties of one ready host that the statistics are computed from.
#[derive(Clone, Copy, Debug)]
pub struct ReadyHost {
    /// Index of the host in [`super::Hosts`].
    pub host: usize,
    /// Capacity relative to other hosts.
    pub size: f64,
    /// When the host's process started; 0 if that is long ago or unknown.
    pub started_at: Micros,
    /// Whether the slow start is over.
    pub warm: bool,
    /// Whether the number of deliveries to the host is bounded because it started recently.
    pub bounded: bool,
    /// Whether the host has acked a delivery, or has contributed evidence against its build.
    pub observed: bool,
}

/// Number and total size of the hosts whose slow start is over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmHosts {
    /// Number of these hosts.
    pub count: usize,
    /// Sum of the sizes of these hosts.
    pub size: f64,
}

/// Positions of the bounded hosts (see [`ReadyHost::bounded`]) in both orders, ascending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoundedPositions {
    /// Positions in [`ReadyHosts::by_index`].
    pub by_index: Vec<usize>,
    /// Positions in [`ReadyHosts::by_rank`].
    pub by_rank: Vec<usize>,
}

/// The ready hosts of one build, with statistics that are updated as hosts change.
#[derive(Debug, Default)]
pub struct ReadyHosts {
    by_index: Arc<Vec<usize>>,
    by_rank: Arc<Vec<usize>>,
    /// Number of hosts by the time of their start.
    starts: BTreeMap<Micros, usize>,
    /// Number of hosts by the bits of their size; the bits of positive floats sort as the floats
    /// do.
    sizes: BTreeMap<u64, usize>,
    bounded: BTreeSet<usize>,
    /// Cache, computed at the first use after a change.
    bounded_positions: OnceLock<BoundedPositions>,
    observed: usize,
    warm: WarmHosts,
}

impl ReadyHosts {
    /// Adds a host; `ranks` holds the rank of each host by hash, from 0 to 1.
    pub fn insert(&mut self, member: ReadyHost, ranks: &[f64]) {
        let by_index = Arc::make_mut(&mut self.by_index);
        let position = by_index.partition_point(|&host| host < member.host);
        by_index.insert(position, member.host);
        let position = self.rank_position(ranks, member.host);
        Arc::make_mut(&mut self.by_rank).insert(position, member.host);
        *self.starts.entry(member.started_at).or_default() += 1;
        *self.sizes.entry(member.size.to_bits()).or_default() += 1;
        self.observed += usize::from(member.observed);
        if member.warm {
            self.add_warm(member.size);
        }
        if member.bounded {
            self.bounded.insert(member.host);
        }
        self.bounded_positions.take();
    }

    /// Removes a host; `member` must be as it was inserted, apart from changes made by the other
    /// methods.
    pub fn remove(&mut self, member: ReadyHost, ranks: &[f64]) {
        let by_index = Arc::make_mut(&mut self.by_index);
        let position = by_index.partition_point(|&host| host < member.host);
        by_index.remove(position);
        let position = self.rank_position(ranks, member.host);
        Arc::make_mut(&mut self.by_rank).remove(position);
        decrement(&mut self.starts, member.started_at);
        decrement(&mut self.sizes, member.size.to_bits());
        self.observed -= usize::from(member.observed);
        self.remove_bound(member.host);
        if member.warm {
            self.warm.count -= 1;
            // Set to 0 without warm hosts, so that rounding errors of removed hosts do not remain.
            self.warm.size = if self.warm.count == 0 {
                0.0
            } else {
                self.warm.size - member.size
            };
        }
    }

    /// Counts a host of this size as warm from now on.
    pub fn add_warm(&mut self, size: f64) {
        self.warm.count += 1;
        self.warm.size += size;
    }

    /// Counts a host as no longer bounded.
    pub fn remove_bound(&mut self, host: usize) {
        self.bounded.remove(&host);
        self.bounded_positions.take();
    }

    /// Updates the number of observed hosts after one host has changed.
    pub fn set_observed(&mut self, before: bool, after: bool) {
        self.observed = self.observed - usize::from(before) + usize::from(after);
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.by_index.len()
    }

    /// Whether the build has no ready host.
    pub fn is_empty(&self) -> bool {
        self.by_index.is_empty()
    }

    /// The hosts, ascending by index.
    pub fn by_index(&self) -> &Arc<Vec<usize>> {
        &self.by_index
    }

    /// The hosts, ascending by rank.
    pub fn by_rank(&self) -> &Arc<Vec<usize>> {
        &self.by_rank
    }

    /// Number of hosts that have acked a delivery, or have contributed evidence against their
    /// build.
    pub fn observed(&self) -> usize {
        self.observed
    }

    /// Number and total size of the hosts whose slow start is over.
    pub fn warm(&self) -> WarmHosts {
        self.warm
    }

    /// The latest start of any host, 0 if long ago or unknown; `None` if there is no host.
    pub fn latest_start(&self) -> Option<Micros> {
        self.starts.keys().next_back().copied()
    }

    /// The largest size of any host, 0 if there is no host.
    pub fn largest_size(&self) -> f64 {
        self.sizes
            .keys()
            .next_back()
            .copied()
            .map_or(0.0, f64::from_bits)
    }

    /// Positions of the bounded hosts in both orders.
    pub fn bounded_positions(&self) -> &BoundedPositions {
        self.bounded_positions
            .get_or_init(|| self.find_bounded_positions())
    }

    fn find_bounded_positions(&self) -> BoundedPositions {
        if self.bounded.is_empty() {
            return BoundedPositions::default();
        }
        let by_index = self
            .bounded
            .iter()
            .filter_map(|&host| self.index_position(host))
            .collect();
        let by_rank = self
            .by_rank
            .iter()
            .enumerate()
            .filter(|(_, host)| self.bounded.contains(host))
            .map(|(position, _)| position)
            .collect();
        BoundedPositions { by_index, by_rank }
    }

    /// Position of a host in [`ReadyHosts::by_index`]; `None` if it is not a ready host of the
    /// build.
    pub fn index_position(&self, host: usize) -> Option<usize> {
        self.by_index.binary_search(&host).ok()
    }

    /// Position that a host has, or would have if inserted, in [`ReadyHosts::by_rank`].
    pub fn rank_position(&self, ranks: &[f64], host: usize) -> usize {
        let before = |other: &usize| {
            ranks[*other]
                .total_cmp(&ranks[host])
                .then(other.cmp(&host))
                .is_lt()
        };
        self.by_rank.partition_point(before)
    }
}

/// Decrements a count and removes the entry at zero.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

/// The start of a host's process, ordered by time and then by host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Start {
    started_at: Micros,
    host: usize,
}

/// The hosts whose process started less than `span` ago.
#[derive(Debug, Default)]
pub struct RecentStarts {
    span: Micros,
    by_start: BTreeSet<Start>,
}

impl RecentStarts {
    /// Creates an empty set.
    pub fn new(span: Micros) -> Self {
        RecentStarts {
            span,
            by_start: BTreeSet::new(),
        }
    }

    /// Adds a host if it started within the span; returns whether it was added.
    pub fn insert(&mut self, started_at: Option<Micros>, host: usize, now: Micros) -> bool {
        let Some(started_at) = started_at.filter(|started_at| now - started_at < self.span) else {
            return false;
        };
        self.by_start.insert(Start { started_at, host })
    }

    /// Removes a host; returns whether it was in the set.
    pub fn remove(&mut self, started_at: Option<Micros>, host: usize) -> bool {
        started_at.is_some_and(|started_at| self.by_start.remove(&Start { started_at, host }))
    }

    /// Removes and returns one host whose start is no longer within the span, if there is any.
    pub fn pop_expired(&mut self, now: Micros) -> Option<usize> {
        let earliest = self.by_start.first()?;
        if now - earliest.started_at < self.span {
            return None;
        }
        self.by_start.pop_first().map(|start| start.host)
    }

    /// Whether the set contains a host with this start.
    pub fn contains(&self, started_at: Option<Micros>, host: usize) -> bool {
        started_at.is_some_and(|started_at| self.by_start.contains(&Start { started_at, host }))
    }

    /// Number of hosts in the set.
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Iterates over the hosts by the time of their start, then by index.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_start.iter().map(|start| start.host)
    }
}
