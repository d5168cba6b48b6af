//! Figures about the ready hosts of one build, and queues of hosts that started of late.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, OnceLock};

use crate::Micros;

/// What the figures need to know of one host.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    pub host: usize,
    pub size: f64,
    pub started: Micros,
    pub warm: bool,
    /// What it is sent is bounded.
    pub bounded: bool,
    pub heard: bool,
}

/// The ready hosts of one build.
#[derive(Debug, Default)]
pub struct ReadyHosts {
    by_index: Arc<Vec<usize>>,
    by_rank: Arc<Vec<usize>>,
    /// Hosts by the time of their start and by the bits of their size, which order as positive sizes do.
    starts: BTreeMap<Micros, usize>,
    sizes: BTreeMap<u64, usize>,
    bounded: BTreeSet<usize>,
    /// Where the bounded hosts stand by index and by rank, from the first use after a change.
    bounded_positions: OnceLock<[Vec<usize>; 2]>,
    heard: usize,
    warm: usize,
    warm_size: f64,
}

impl ReadyHosts {
    /// Takes a host in; `ranks` has the place of each host where all are ordered by hash.
    pub fn join(&mut self, member: Member, ranks: &[f64]) {
        let by_index = Arc::make_mut(&mut self.by_index);
        let position = by_index.partition_point(|&host| host < member.host);
        by_index.insert(position, member.host);
        let position = self.rank_position(ranks, member.host);
        Arc::make_mut(&mut self.by_rank).insert(position, member.host);
        *self.starts.entry(member.started).or_default() += 1;
        *self.sizes.entry(member.size.to_bits()).or_default() += 1;
        self.heard += usize::from(member.heard);
        if member.warm {
            self.warm_up(member.size);
        }
        if member.bounded {
            self.bounded.insert(member.host);
        }
        self.bounded_positions.take();
    }

    /// Undoes [`ReadyHosts::join`] of the same member.
    pub fn leave(&mut self, member: Member, ranks: &[f64]) {
        let by_index = Arc::make_mut(&mut self.by_index);
        let position = by_index.partition_point(|&host| host < member.host);
        by_index.remove(position);
        let position = self.rank_position(ranks, member.host);
        Arc::make_mut(&mut self.by_rank).remove(position);
        take_one(&mut self.starts, member.started);
        take_one(&mut self.sizes, member.size.to_bits());
        self.heard -= usize::from(member.heard);
        self.unbound(member.host);
        if member.warm {
            self.warm -= 1;
            // Rounding left over by hosts that have gone does not outlive them.
            self.warm_size = if self.warm == 0 {
                0.0
            } else {
                self.warm_size - member.size
            };
        }
    }

    /// A host of this size has become warm.
    pub fn warm_up(&mut self, size: f64) {
        self.warm += 1;
        self.warm_size += size;
    }

    /// What a host is sent is bounded no longer.
    pub fn unbound(&mut self, host: usize) {
        self.bounded.remove(&host);
        self.bounded_positions.take();
    }

    /// Whether a host counts as heard has changed.
    pub fn set_heard(&mut self, before: bool, after: bool) {
        self.heard = self.heard - usize::from(before) + usize::from(after);
    }

    pub fn len(&self) -> usize {
        self.by_index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_index.is_empty()
    }

    pub fn by_index(&self) -> &Arc<Vec<usize>> {
        &self.by_index
    }

    pub fn by_rank(&self) -> &Arc<Vec<usize>> {
        &self.by_rank
    }

    pub fn heard(&self) -> usize {
        self.heard
    }

    /// Hosts that are warm, and the sum of their sizes.
    pub fn warm(&self) -> (usize, f64) {
        (self.warm, self.warm_size)
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

    /// Where the hosts stand whose deliveries are bounded, ascending: in [`ReadyHosts::by_index`] and in
    /// [`ReadyHosts::by_rank`].
    pub fn bounded_positions(&self) -> &[Vec<usize>; 2] {
        self.bounded_positions.get_or_init(|| {
            let by_index = self
                .bounded
                .iter()
                .filter_map(|&host| self.index_position(host))
                .collect();
            let mut by_rank = Vec::new();
            if !self.bounded.is_empty() {
                let hosts = self.by_rank.iter().enumerate();
                by_rank.extend(
                    hosts
                        .filter(|(_, host)| self.bounded.contains(host))
                        .map(|(p, _)| p),
                );
            }
            [by_index, by_rank]
        })
    }

    /// Where a host stands in [`ReadyHosts::by_index`]; `None` for one that is not among them.
    pub fn index_position(&self, host: usize) -> Option<usize> {
        self.by_index.binary_search(&host).ok()
    }

    /// Where a host stands, or would stand, in [`ReadyHosts::by_rank`].
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

fn take_one<K: Ord>(counts: &mut BTreeMap<K, usize>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

/// Hosts whose process started within a span before now.
#[derive(Debug, Default)]
pub struct RecentStarts {
    span: Micros,
    by_start: BTreeSet<(Micros, usize)>,
}

impl RecentStarts {
    pub fn new(span: Micros) -> Self {
        RecentStarts {
            span,
            by_start: BTreeSet::new(),
        }
    }

    /// Takes a host in if it started within the span; says whether it did.
    pub fn insert(&mut self, started: Option<Micros>, host: usize, now: Micros) -> bool {
        let Some(started) = started.filter(|started| now - started < self.span) else {
            return false;
        };
        self.by_start.insert((started, host))
    }

    /// Says whether the host was among them.
    pub fn remove(&mut self, started: Option<Micros>, host: usize) -> bool {
        started.is_some_and(|started| self.by_start.remove(&(started, host)))
    }

    /// Takes out one host that started earlier than the span before now.
    pub fn pop_over(&mut self, now: Micros) -> Option<usize> {
        let (started, _) = self.by_start.first()?;
        if now - started < self.span {
            return None;
        }
        self.by_start.pop_first().map(|(_, host)| host)
    }

    pub fn contains(&self, started: Option<Micros>, host: usize) -> bool {
        started.is_some_and(|started| self.by_start.contains(&(started, host)))
    }

    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// By the time of their start, then by index.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_start.iter().map(|(_, host)| *host)
    }
}
