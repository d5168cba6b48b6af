//! Figures about the ready hosts of one build, and queues of recently started hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, OnceLock};

use crate::Micros;

/// What the figures need to know of one ready host.
#[derive(Clone, Copy, Debug)]
pub struct ReadyHost {
    /// Index of the host in [`super::Hosts`].
    pub host: usize,
    /// Capacity relative to other hosts.
    pub size: f64,
    /// When its process started; 0 for long ago.
    pub started_at: Micros,
    /// Its slow start is over.
    pub warm: bool,
    /// What it is sent is bounded.
    pub bounded: bool,
    /// It has answered, or there is evidence against its build from it.
    pub observed: bool,
}

/// Hosts whose slow start is over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmHosts {
    /// How many there are.
    pub count: usize,
    /// The sum of their sizes.
    pub size: f64,
}

/// Positions of the hosts whose deliveries are bounded, ascending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoundedPositions {
    /// In [`ReadyHosts::by_index`].
    pub by_index: Vec<usize>,
    /// In [`ReadyHosts::by_rank`].
    pub by_rank: Vec<usize>,
}

/// The ready hosts of one build.
#[derive(Debug, Default)]
pub struct ReadyHosts {
    by_index: Arc<Vec<usize>>,
    by_rank: Arc<Vec<usize>>,
    /// Hosts by the time of their start and by the bits of their size, which order as positive
    /// sizes do.
    starts: BTreeMap<Micros, usize>,
    sizes: BTreeMap<u64, usize>,
    bounded: BTreeSet<usize>,
    /// Computed at the first use after a change.
    bounded_positions: OnceLock<BoundedPositions>,
    observed: usize,
    warm: WarmHosts,
}

impl ReadyHosts {
    /// Adds a host; `ranks` has the rank of each host by hash, from 0 to 1.
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
            self.warm_up(member.size);
        }
        if member.bounded {
            self.bounded.insert(member.host);
        }
        self.bounded_positions.take();
    }

    /// Undoes [`ReadyHosts::insert`] of the same host.
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
            // Rounding left over by hosts that have gone does not outlive them.
            self.warm.size = if self.warm.count == 0 {
                0.0
            } else {
                self.warm.size - member.size
            };
        }
    }

    /// A host of this size has become warm.
    pub fn warm_up(&mut self, size: f64) {
        self.warm.count += 1;
        self.warm.size += size;
    }

    /// What a host is sent is bounded no longer.
    pub fn remove_bound(&mut self, host: usize) {
        self.bounded.remove(&host);
        self.bounded_positions.take();
    }

    /// Whether a host counts as observed has changed.
    pub fn set_observed(&mut self, before: bool, after: bool) {
        self.observed = self.observed - usize::from(before) + usize::from(after);
    }

    /// How many hosts there are.
    pub fn len(&self) -> usize {
        self.by_index.len()
    }

    /// Whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.by_index.is_empty()
    }

    /// The hosts by ascending index.
    pub fn by_index(&self) -> &Arc<Vec<usize>> {
        &self.by_index
    }

    /// The hosts by ascending rank.
    pub fn by_rank(&self) -> &Arc<Vec<usize>> {
        &self.by_rank
    }

    /// How many hosts have answered, or have evidence against their build.
    pub fn observed(&self) -> usize {
        self.observed
    }

    /// Hosts whose slow start is over.
    pub fn warm(&self) -> WarmHosts {
        self.warm
    }

    /// The latest start, 0 for one long ago; `None` where there is no host.
    pub fn latest_start(&self) -> Option<Micros> {
        self.starts.keys().next_back().copied()
    }

    /// The largest size, 0 where there is no host.
    pub fn largest_size(&self) -> f64 {
        self.sizes
            .keys()
            .next_back()
            .copied()
            .map_or(0.0, f64::from_bits)
    }

    /// Positions of the hosts whose deliveries are bounded.
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

    /// Position of a host in [`ReadyHosts::by_index`]; `None` for one that is not among them.
    pub fn index_position(&self, host: usize) -> Option<usize> {
        self.by_index.binary_search(&host).ok()
    }

    /// Position that a host has, or would have, in [`ReadyHosts::by_rank`].
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

/// Takes one off a count and drops it at zero.
fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

/// Ordered by time, then by host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Start {
    at: Micros,
    host: usize,
}

/// Hosts whose process started within a span before now.
#[derive(Debug, Default)]
pub struct RecentStarts {
    span: Micros,
    by_start: BTreeSet<Start>,
}

impl RecentStarts {
    /// No hosts yet.
    pub fn new(span: Micros) -> Self {
        RecentStarts {
            span,
            by_start: BTreeSet::new(),
        }
    }

    /// Adds a host if it started within the span; says whether it did.
    pub fn insert(&mut self, started: Option<Micros>, host: usize, now: Micros) -> bool {
        let Some(started) = started.filter(|started| now - started < self.span) else {
            return false;
        };
        self.by_start.insert(Start { at: started, host })
    }

    /// Removes a host; says whether it was among them.
    pub fn remove(&mut self, started: Option<Micros>, host: usize) -> bool {
        started.is_some_and(|started| self.by_start.remove(&Start { at: started, host }))
    }

    /// Removes one host that started earlier than the span before now.
    pub fn pop_expired(&mut self, now: Micros) -> Option<usize> {
        let earliest = self.by_start.first()?;
        if now - earliest.at < self.span {
            return None;
        }
        self.by_start.pop_first().map(|start| start.host)
    }

    /// Whether a host with this start is among them.
    pub fn contains(&self, started: Option<Micros>, host: usize) -> bool {
        started.is_some_and(|started| self.by_start.contains(&Start { at: started, host }))
    }

    /// How many hosts there are.
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// Whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// By the time of their start, then by index.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_start.iter().map(|start| start.host)
    }
}
