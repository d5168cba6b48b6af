//! Pauses before connecting again.

use std::time::Duration;

use spokeflow_core::Chance;

/// They grow with the failures in a row, and chance from the handed seed takes up to half off, so that many routers
/// do not return as one and a start with the same seed pauses alike.
pub struct Pauses {
    chance: Chance,
    first: Duration,
    longest: Duration,
}

impl Pauses {
    /// `way` tells the ways of one router apart: each draws for itself, whatever the others do.
    pub fn new(seed: u64, way: u64, first: Duration, longest: Duration) -> Self {
        let spread = way.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Pauses {
            chance: Chance::new(seed ^ spread),
            first,
            longest,
        }
    }

    /// The pause after so many failures in a row.
    pub fn after(&mut self, failures: u32) -> Duration {
        let whole = self
            .first
            .saturating_mul(1 << failures.min(16))
            .min(self.longest);
        whole.mul_f64(1.0 - 0.5 * self.chance.share())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FIRST: Duration = Duration::from_millis(50);
    const LONGEST: Duration = Duration::from_secs(1);

    fn drawn(seed: u64, way: u64) -> Vec<Duration> {
        let mut pauses = Pauses::new(seed, way, FIRST, LONGEST);
        (0..20).map(|failures| pauses.after(failures)).collect()
    }

    /// Drawn from the thread's generator, no start could be played again.
    #[test]
    fn equal_seeds_pause_alike_and_other_seeds_or_ways_do_not() {
        assert_eq!(drawn(7, 1), drawn(7, 1));
        assert_ne!(drawn(7, 1), drawn(8, 1));
        assert_ne!(drawn(7, 1), drawn(7, 2));
    }

    #[test]
    fn they_grow_to_the_longest_and_spread_over_its_upper_half() {
        for (n, pause) in drawn(3, 0).into_iter().enumerate() {
            let whole = FIRST.saturating_mul(1 << n.min(16)).min(LONGEST);
            assert!(pause >= whole / 2 && pause <= whole, "{pause:?} after {n}");
        }
        // Three hundred routers that lose the same peer: no twentieth of a second sees a fifth of them return.
        let mut at: Vec<u32> = (0..300)
            .map(|seed| drawn(seed, 1)[8].as_millis() as u32 / 50)
            .collect();
        at.sort_unstable();
        let most = at
            .chunk_by(|a, b| a == b)
            .map(<[u32]>::len)
            .max()
            .unwrap_or(0);
        assert!(most < 60, "{most} at once");
    }
}
