//! The random number generator of the decisions, and a hash onto the unit interval.

/// State increment of SplitMix64, the golden ratio in 64 bits (Steele, Lea and Flood, 2014).
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
/// Multiplier of the multiply-with-carry generator.
const MULTIPLIER: u64 = 4_294_957_665;
/// Upper bound of the initial carry.
const MAX_CARRY: u32 = 0x7fff_fffe;
/// Outputs discarded after seeding, so that nearby seeds give unrelated sequences.
const WARM_UP_DRAWS: usize = 8;

/// A multiply-with-carry generator (Marsaglia) with lag one: equal seeds give equal sequences.
#[derive(Clone, Debug, Default)]
pub struct Rng {
    low: u32,
    carry: u32,
}

impl Rng {
    /// Creates a generator whose sequence is determined by the seed.
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng {
            low: seed as u32 ^ 0x9e37_79b9,
            carry: (seed >> 32) as u32 % MAX_CARRY + 1,
        };
        for _ in 0..WARM_UP_DRAWS {
            rng.next_u32();
        }
        rng
    }

    /// Returns the next number, uniform over all 32-bit values.
    pub fn next_u32(&mut self) -> u32 {
        let wide = u64::from(self.low) * MULTIPLIER + u64::from(self.carry);
        self.low = wide as u32;
        self.carry = (wide >> 32) as u32;
        self.low
    }

    /// Returns a number from 0 to 1, both included.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns a number from 0 up to but not including `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.next_u32()) * bound as u64) >> 32) as usize
    }
}

/// Hashes a key to a position from 0 to 1, evenly spread, with the output function of SplitMix64.
/// Equal keys have equal positions.
pub fn hash_to_unit_interval(key: u64) -> f64 {
    let mut hash = key.wrapping_add(GOLDEN_GAMMA);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) as f64 / 2f64.powi(64)
}
