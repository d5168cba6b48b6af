//! The hosts that a command may be placed at, without a list built for each command.

use std::sync::Arc;

use crate::BuildId;

/// Hosts in a fixed order less those excluded.
///
/// Only the *unverified* members are ever checked: the others are known to pass every check, so a
/// set costs by the number of its unverified members and not by that of its hosts. A clone shares
/// the order.
#[derive(Clone, Debug)]
pub struct CandidateSet {
    build: BuildId,
    order: Arc<Vec<usize>>,
    /// How many hosts of the order belong to the set at most.
    limit: usize,
    /// Excluded positions, ascending.
    excluded: Vec<usize>,
    /// Positions that a check may exclude, ascending.
    unverified: Vec<usize>,
}

impl CandidateSet {
    /// Hosts of a build in an order, all verified.
    pub fn new(build: BuildId, order: Arc<Vec<usize>>) -> Self {
        CandidateSet {
            build,
            limit: order.len(),
            order,
            excluded: Vec::new(),
            unverified: Vec::new(),
        }
    }

    /// The first hosts of a set that nothing has been excluded from.
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

    /// Whether the hosts are in this very order.
    pub fn is_ordered_as(&self, order: &Arc<Vec<usize>>) -> bool {
        Arc::ptr_eq(&self.order, order)
    }

    /// Marks the hosts at these positions as unverified; `known` is ascending. Positions beyond the
    /// set are ignored.
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

    /// Excludes the unverified hosts that fail the check.
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
            // Two ascending runs, which a stable sort merges.
            excluded.sort();
        }
    }

    /// Hosts in the set.
    pub fn len(&self) -> usize {
        self.limit - self.excluded.len()
    }

    /// Whether the set holds no host.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether any host passes the check.
    pub fn any(&self, passes: impl Fn(usize) -> bool) -> bool {
        self.len() > self.unverified.len()
            || self
                .unverified
                .iter()
                .any(|&position| passes(self.order[position]))
    }

    /// The host at an index counted from 0 over the members; `index` is below
    /// [`CandidateSet::len`].
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

    /// All hosts in their order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.positions().map(|position| self.order[position])
    }

    fn positions(&self) -> impl Iterator<Item = usize> + '_ {
        let mut excluded = self.excluded.iter().copied().peekable();
        (0..self.limit).filter(move |position| excluded.next_if_eq(position).is_none())
    }

    /// The largest size in the set, 0 where it is empty; the search ends at `upper_bound`, which
    /// none exceeds.
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
