//! The hosts that a command may be placed at, without a list built for each command.

use std::sync::Arc;

use crate::BuildId;

/// Hosts in a fixed order less those taken out.
///
/// Only the *doubtful* members are ever checked: the others are known to pass every check, so a pool costs by the
/// number of its doubtful members and not by that of its hosts. A clone shares the order.
#[derive(Clone, Debug)]
pub struct Pool {
    build: BuildId,
    order: Arc<Vec<usize>>,
    /// How many hosts of the order belong to the pool at most.
    first: usize,
    /// Positions taken out, ascending.
    out: Vec<usize>,
    /// Positions that a check may take out, ascending.
    doubtful: Vec<usize>,
}

impl Pool {
    /// Hosts of a build in an order, all beyond doubt.
    pub fn new(build: BuildId, order: Arc<Vec<usize>>) -> Self {
        Pool {
            build,
            first: order.len(),
            order,
            out: Vec::new(),
            doubtful: Vec::new(),
        }
    }

    /// The first hosts of a pool that nothing has been taken out of.
    pub fn first(self, count: usize) -> Self {
        Pool {
            first: self.first.min(count),
            ..self
        }
    }

    pub fn build(&self) -> BuildId {
        self.build
    }

    /// Whether the hosts stand in this very order.
    pub fn is_ordered_as(&self, order: &Arc<Vec<usize>>) -> bool {
        Arc::ptr_eq(&self.order, order)
    }

    /// Makes the hosts at these positions doubtful, of which the known ones are ascending. Positions beyond the pool
    /// are left aside.
    pub fn doubt(&mut self, known: &[usize], others: impl Iterator<Item = usize>) {
        let in_pool =
            |position: &usize| *position < self.first && self.out.binary_search(position).is_err();
        let doubted = self.doubtful.len();
        self.doubtful.extend(known.iter().copied().filter(in_pool));
        let ascending = self.doubtful.len();
        self.doubtful.extend(others.filter(in_pool));
        if doubted > 0 || self.doubtful.len() > ascending {
            self.doubtful.sort();
            self.doubtful.dedup();
        }
    }

    /// Makes all hosts doubtful.
    pub fn doubt_all(&mut self) {
        let mut out = self.out.iter().copied().peekable();
        self.doubtful = (0..self.first)
            .filter(|position| out.next_if_eq(position).is_none())
            .collect();
    }

    /// Takes out the doubtful hosts that fail the check.
    pub fn retain(&mut self, passes: impl Fn(usize) -> bool) {
        let before = self.out.len();
        let (order, out) = (&self.order, &mut self.out);
        self.doubtful.retain(|&position| {
            let stays = passes(order[position]);
            out.extend((!stays).then_some(position));
            stays
        });
        if before > 0 && out.len() > before {
            // Two ascending runs, which a stable sort merges.
            out.sort();
        }
    }

    /// Hosts in the pool.
    pub fn len(&self) -> usize {
        self.first - self.out.len()
    }

    /// Whether the pool holds no host.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether any host passes the check.
    pub fn any(&self, passes: impl Fn(usize) -> bool) -> bool {
        self.len() > self.doubtful.len()
            || self
                .doubtful
                .iter()
                .any(|&position| passes(self.order[position]))
    }

    /// The host at a place counted from 0 in the order; the place is below [`Pool::len`].
    pub fn nth(&self, place: usize) -> usize {
        let mut position = place;
        for &out in &self.out {
            if out > position {
                break;
            }
            position += 1;
        }
        self.order[position]
    }

    /// All hosts in their order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let mut out = self.out.iter().copied().peekable();
        (0..self.first)
            .filter(move |position| out.next_if_eq(position).is_none())
            .map(|p| self.order[p])
    }

    /// The largest size in the pool, 0 where it is empty; the search ends at `top`, which none exceeds.
    pub fn largest(&self, size: impl Fn(usize) -> f64, top: f64) -> f64 {
        let mut largest: f64 = 0.0;
        for host in self.iter() {
            largest = largest.max(size(host));
            if largest >= top {
                break;
            }
        }
        largest
    }
}
