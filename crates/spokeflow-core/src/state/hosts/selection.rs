//! Sums over the ready hosts, and the sets of hosts that a command may be sent to.

use super::{Hosts, LONG_AGO};
use crate::state::CandidateSet;
use crate::{BuildId, Micros};

/// Inverse of the fraction of a set's hosts above which checking all hosts costs less than looking
/// up the suspects.
const LOOKUP_DIVISOR: usize = 4;

impl Hosts {
    /// Sums a weight by age over the ready hosts for which `is_counted` holds. All hosts whose slow
    /// start is over have the same weight; `is_counted` must hold for every host that is not a
    /// suspect.
    pub fn sum_ready(
        &self,
        weight: impl Fn(Micros) -> f64,
        is_counted: impl Fn(usize) -> bool,
    ) -> f64 {
        let warm: usize = self.ready.values().map(|ready| ready.warm().count).sum();
        let is_warm = |host: usize| {
            let started_at = self.endpoint(host).started_at;
            !self.cold.contains(started_at, host)
        };
        let excluded = self
            .suspects()
            .filter(|&host| is_warm(host) && !is_counted(host))
            .count();
        let cold = self.cold_hosts().filter(|&host| is_counted(host));
        (warm - excluded) as f64 * weight(LONG_AGO)
            + cold.map(|host| weight(self.age(host))).sum::<f64>()
    }

    /// Sums size times a weight by age over the ready hosts of the builds for which `is_counted`
    /// holds. All hosts whose slow start is over have the same weight.
    pub fn sum_sizes(
        &self,
        weight: impl Fn(Micros) -> f64,
        is_counted: impl Fn(BuildId) -> bool,
    ) -> f64 {
        let warm: f64 = self
            .ready_builds()
            .filter(|(build, _)| is_counted(*build))
            .map(|(_, ready)| ready.warm().size)
            .sum();
        let cold = self
            .cold_hosts()
            .filter(|&host| is_counted(self.build(host)));
        warm * weight(LONG_AGO)
            + cold
                .map(|host| weight(self.age(host)) * self.endpoint(host).size)
                .sum::<f64>()
    }

    /// The ready hosts of a build, ordered by index.
    pub fn candidates(&self, build: BuildId) -> CandidateSet {
        CandidateSet::new(build, self.ready_with(build).by_index().clone())
    }

    /// Returns the first `count` hosts of a set in the order by hash, or the set itself if it has
    /// no more than `count`.
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

    /// Marks the hosts of a set as unverified to which a delivery may be forbidden: those that
    /// started recently, have failed since their last success, are ejected, have been quiet since
    /// before `quiet_since`, or are in `named`. Marks all hosts if `all` is set, if too many would
    /// have to be looked up, or if the set is in neither of the build's two orders.
    pub fn mark_unverified(
        &self,
        candidates: &mut CandidateSet,
        all: bool,
        quiet_since: Micros,
        named: impl Iterator<Item = usize>,
    ) {
        let build = candidates.build();
        let ready = self.ready_with(build);
        let max_lookups = if all {
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
            .take(max_lookups + 1)
            .collect();
        let bounded = ready.bounded_positions();
        if all || others.len() > max_lookups {
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

    /// The largest size of the hosts in a set, 0 if it is empty.
    pub fn largest_size(&self, candidates: &CandidateSet) -> f64 {
        let upper_bound = self.ready_with(candidates.build()).largest_size();
        candidates.largest(|host| self.endpoint(host).size, upper_bound)
    }
}
