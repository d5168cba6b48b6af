//! The hosts that a command may be sent to, represented without building a list for each command.

use std::sync::Arc;

use crate::BuildId;

/// The hosts of one build in a fixed order, without the excluded ones.
///
/// Only the *unverified* members are ever checked; all others are known to pass every check. The
/// cost of filtering a set therefore grows with the number of its unverified members and not with
/// that of its hosts. A clone shares the order.
#[derive(Clone, Debug)]
pub struct CandidateSet {
    build: BuildId,
    order: Arc<Vec<usize>>,
    /// Only the first `limit` hosts of the order can be members.
    limit: usize,
    /// Positions of the excluded hosts in the order, ascending.
    excluded: Vec<usize>,
    /// Positions of the members that a check may exclude, ascending.
    unverified: Vec<usize>,
}

impl CandidateSet {
    /// Creates a set of all hosts in `order`, which run `build`; all are verified.
    pub fn new(build: BuildId, order: Arc<Vec<usize>>) -> Self {
        CandidateSet {
            build,
            limit: order.len(),
            order,
            excluded: Vec::new(),
            unverified: Vec::new(),
        }
    }

    /// Reduces the set to its first `count` hosts; no host may have been excluded before.
    pub fn limited_to(self, count: usize) -> Self {
        CandidateSet {
            limit: self.limit.min(count),
            ..self
        }
    }

    /// The build that the hosts run.
    pub fn build(&self) -> BuildId {
        self.build
    }

    /// Whether the set shares this order; an equal copy of the order does not count.
    pub fn is_ordered_as(&self, order: &Arc<Vec<usize>>) -> bool {
        Arc::ptr_eq(&self.order, order)
    }

    /// Marks the hosts at these positions as unverified. `known` must be ascending, `others` may be
    /// in any order. Positions of hosts that are not in the set are ignored.
    pub fn mark_unverified(&mut self, known: &[usize], others: impl Iterator<Item = usize>) {
        let in_set = |position: &usize| {
            *position < self.limit && self.excluded.binary_search(position).is_err()
        };
        let before = self.unverified.len();
        self.unverified.extend(known.iter().copied().filter(in_set));
        let ascending = self.unverified.len();
        self.unverified.extend(others.filter(in_set));
        if before > 0 || self.unverified.len() > ascending {
            self.unverified.sort();
            self.unverified.dedup();
        }
    }

    /// Marks all hosts as unverified.
    pub fn mark_all_unverified(&mut self) {
        self.unverified = self.positions().collect();
    }

    /// Excludes the unverified hosts that fail a check.
    pub fn retain(&mut self, passes: impl Fn(usize) -> bool) {
        let before = self.excluded.len();
        let order = &self.order;
        let excluded = &mut self.excluded;
        self.unverified.retain(|&position| {
            let stays = passes(order[position]);
            excluded.extend((!stays).then_some(position));
            stays
        });
        if before > 0 && excluded.len() > before {
            // The list consists of two ascending runs, which the stable sort merges in linear time.
            excluded.sort();
        }
    }

    /// Number of hosts in the set.
    pub fn len(&self) -> usize {
        self.limit - self.excluded.len()
    }

    /// Whether the set holds no host.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether any host of the set passes a check; verified hosts count as passing.
    pub fn any(&self, passes: impl Fn(usize) -> bool) -> bool {
        self.len() > self.unverified.len()
            || self
                .unverified
                .iter()
                .any(|&position| passes(self.order[position]))
    }

    /// Returns the member at an index, counted from 0 without the excluded hosts; `index` must be
    /// below [`CandidateSet::len`].
    pub fn nth(&self, index: usize) -> usize {
        let mut position = index;
        for &excluded in &self.excluded {
            if excluded > position {
                break;
            }
            position += 1;
        }
        self.order[position]
    }

    /// Iterates over the hosts of the set in their order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.positions().map(|position| self.order[position])
    }

    fn positions(&self) -> impl Iterator<Item = usize> + '_ {
        let mut excluded = self.excluded.iter().copied().peekable();
        (0..self.limit).filter(move |position| excluded.next_if_eq(position).is_none())
    }

    /// Returns the largest size in the set, 0 if it is empty. No size may exceed `upper_bound`; the
    /// search ends at the first host that reaches it.
    pub fn largest(&self, size: impl Fn(usize) -> f64, upper_bound: f64) -> f64 {
        let mut largest: f64 = 0.0;
        for host in self.iter() {
            largest = largest.max(size(host));
            if largest >= upper_bound {
                break;
            }
        }
        largest
    }
}
