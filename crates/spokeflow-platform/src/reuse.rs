//! How long a connection may rest and still be used again: learned from what became of those that were.
//!
//! Hosts, and what stands between, close resting connections when they like, and a request written to one that is
//! closed is lost as if it might have run. A new connection costs a round trip or two. So rests of a length that
//! breaks clearly more often than new connections do are not used. Guards against idle limits shorter than told and
//! ways that forget connections; it could harm where new connections are dear, and then only by their price.

/// Lengths of rest, each up to twice the one before, from 1 ms on; the first place stands for new connections.
const LENGTHS: usize = 18;
/// Broken beyond the share among new connections from which a length is left alone.
const BEYOND: f64 = 0.08;
/// Uses that count as unbroken beforehand: one break among few is chance.
const BEFORE: f64 = 4.0;
/// What is left of the evidence after each use of any connection: a way that has been mended is tried again.
const FADES: f64 = 0.997;

#[derive(Clone, Copy, Debug, Default)]
struct Uses {
    all: f64,
    broken: f64,
}

impl Uses {
    fn share(&self) -> f64 {
        self.broken / (self.all + BEFORE)
    }
}

#[derive(Debug, Default)]
pub struct Reuse {
    lengths: [Uses; LENGTHS],
}

impl Reuse {
    /// A connection that had rested for so many microseconds, or was new, broke unanswered or did not.
    pub fn learn(&mut self, rested: Option<u64>, broke: bool) {
        for uses in &mut self.lengths {
            (uses.all, uses.broken) = (uses.all * FADES, uses.broken * FADES);
        }
        let uses = &mut self.lengths[place(rested)];
        uses.all += 1.0;
        uses.broken += f64::from(u8::from(broke));
    }

    /// Whether one that has rested for so long is as good as new. What is left alone for one length is so for all
    /// longer ones.
    pub fn allows(&self, rested: u64) -> bool {
        let as_new = self.lengths[0].share();
        self.lengths[1..=place(Some(rested))]
            .iter()
            .all(|uses| uses.share() <= as_new + BEYOND)
    }
}

fn place(rested: Option<u64>) -> usize {
    rested.map_or(0, |us| {
        (1 + (us / 1000 + 1).ilog2() as usize).min(LENGTHS - 1)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Hosts that close after 200 ms, where the terms say 30 s: once seen, longer rests are not used.
    #[test]
    fn rests_that_break_are_left_alone_and_tried_again_later() {
        let mut reuse = Reuse::default();
        assert!(reuse.allows(5_000_000));
        for _ in 0..20 {
            reuse.learn(None, false);
            reuse.learn(Some(50_000), false);
            reuse.learn(Some(400_000), true);
        }
        assert!(reuse.allows(50_000) && !reuse.allows(400_000) && !reuse.allows(5_000_000));
        (0..2000).for_each(|_| reuse.learn(None, false));
        assert!(reuse.allows(400_000));
    }

    /// Where every connection breaks as often, rested or not, resting is not the cause.
    #[test]
    fn breaks_that_new_connections_share_leave_rests_alone() {
        let mut reuse = Reuse::default();
        for n in 0..200 {
            reuse.learn(None, n % 8 == 0);
            reuse.learn(Some(400_000), n % 8 == 4);
        }
        assert!(reuse.allows(400_000));
    }
}
