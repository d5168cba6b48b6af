//! Sums over the ready hosts and the sets of them that a command may be placed at.

use super::{Hosts, LONG_AGO};
use crate::state::CandidateSet;
use crate::{BuildId, Micros};

/// One over the part of a set's hosts above which checking all costs less than looking up the
/// suspects.
const LOOKUP_DIVISOR: usize = 4;

impl Hosts {
    /// Sums a weight by age over the ready hosts that count. All hosts past the slow start weigh
    /// alike, and only suspects may not count.
    pub fn sum_ready(&self, weight: impl Fn(Micros) -> f64, counts: impl Fn(usize) -> bool) -> f64 {
        let warm: usize = self.ready.values().map(|ready| ready.warm().count).sum();
        let is_warm = |host: usize| {
            let started_at = self.endpoint(host).started_at;
            !self.warming.contains(started_at, host)
        };
        let left_out = self
            .suspects()
            .filter(|&host| is_warm(host) && !counts(host))
            .count();
        let warming = self.warming().filter(|&host| counts(host));
        (warm - left_out) as f64 * weight(LONG_AGO)
            + warming.map(|host| weight(self.age(host))).sum::<f64>()
    }

    /// Sums size times a weight by age over the ready hosts of some builds. All hosts past the slow
    /// start weigh alike.
    pub fn sum_sizes(&self, weight: impl Fn(Micros) -> f64, of: impl Fn(BuildId) -> bool) -> f64 {
        let warm: f64 = self
            .ready_builds()
            .filter(|(build, _)| of(*build))
            .map(|(_, ready)| ready.warm().size)
            .sum();
        let warming = self.warming().filter(|&host| of(self.build(host)));
        warm * weight(LONG_AGO)
            + warming
                .map(|host| weight(self.age(host)) * self.endpoint(host).size)
                .sum::<f64>()
    }

    /// The ready hosts of a build by index.
    pub fn candidates(&self, build: BuildId) -> CandidateSet {
        CandidateSet::new(build, self.ready_with(build).by_index().clone())
    }

    /// The set itself, or where it has more hosts than `count`, the first of them by hash.
    pub fn first_by_rank(&self, candidates: CandidateSet, count: usize) -> CandidateSet {
        if count >= candidates.len() {
            return candidates;
        }
        let build = candidates.build();
        let ready = self.ready_with(build);
        if candidates.len() == ready.len() {
            return CandidateSet::new(build, ready.by_rank().clone()).limited_to(count);
        }
        let mut hosts: Vec<usize> = candidates.iter().collect();
        hosts.sort_unstable_by(|left, right| {
            self.ranks[*left]
                .total_cmp(&self.ranks[*right])
                .then(left.cmp(right))
        });
        CandidateSet::new(build, hosts.into()).limited_to(count)
    }

    /// Marks those hosts of a set as unverified of which something may forbid a delivery: they
    /// started recently, have failed in a row, are ejected, have been quiet since before a time, or
    /// are named. Or all.
    pub fn mark_suspects(
        &self,
        candidates: &mut CandidateSet,
        all: bool,
        quiet_since: Micros,
        named: impl Iterator<Item = usize>,
    ) {
        let build = candidates.build();
        let ready = self.ready_with(build);
        let most = if all {
            0
        } else {
            candidates.len() / LOOKUP_DIVISOR
        };
        let in_build = |host: &usize| self.is_ready(*host) && self.build(*host) == build;
        let others: Vec<usize> = self
            .suspects()
            .chain(self.hosts_quiet_since(quiet_since))
            .chain(named)
            .filter(in_build)
            .take(most + 1)
            .collect();
        let bounded = ready.bounded_positions();
        if all || others.len() > most {
            candidates.mark_all_unverified();
        } else if candidates.is_ordered_as(ready.by_index()) {
            let positions = others
                .into_iter()
                .filter_map(|host| ready.index_position(host));
            candidates.mark_unverified(&bounded.by_index, positions);
        } else if candidates.is_ordered_as(ready.by_rank()) {
            let positions = others
                .into_iter()
                .map(|host| ready.rank_position(&self.ranks, host));
            candidates.mark_unverified(&bounded.by_rank, positions);
        } else {
            candidates.mark_all_unverified();
        }
    }

    /// The largest size of a set's hosts.
    pub fn largest_size(&self, candidates: &CandidateSet) -> f64 {
        let upper_bound = self.ready_with(candidates.build()).largest_size();
        candidates.largest(|host| self.endpoint(host).size, upper_bound)
    }
}
