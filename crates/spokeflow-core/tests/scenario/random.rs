//! The random number generator of the scenarios.

use spokeflow_core::Micros;

/// A SplitMix64 generator, independent of the router's own one.
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut hash = self.0;
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^ (hash >> 31)
    }

    /// Returns a number from 0 up to but not including `bound`, which must be above 0.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns `true` with a probability of 1 in `count`.
    pub(crate) fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    /// Returns a time from `from` up to but not including `to`.
    pub(crate) fn between(&mut self, from: Micros, to: Micros) -> Micros {
        from + self.below((to - from) as u64) as Micros
    }

    pub(crate) fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}
