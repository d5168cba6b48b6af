//! The random numbers of the decisions, and a hash onto the unit interval.

/// State increment of SplitMix64, the golden ratio in 64 bits (Steele, Lea and Flood, 2014).
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
/// Multiplier of the generator.
const MULTIPLIER: u64 = 4_294_957_665;
/// Bound of the first carry.
const MAX_CARRY: u32 = 0x7fff_fffe;
/// Numbers left out at the start, after which close seeds give unlike ones.
const WARM_UP_DRAWS: usize = 8;

/// A multiply-with-carry generator (Marsaglia) with lag one: equal seeds give equal runs.
#[derive(Clone, Debug, Default)]
pub struct Rng {
    low: u32,
    carry: u32,
}

impl Rng {
    /// A generator whose numbers follow from the seed.
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

    /// The next number, any of 32 bits.
    pub fn next_u32(&mut self) -> u32 {
        let wide = u64::from(self.low) * MULTIPLIER + u64::from(self.carry);
        self.low = wide as u32;
        self.carry = (wide >> 32) as u32;
        self.low
    }

    /// A number from 0 to 1, both included.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.next_u32()) / f64::from(u32::MAX)
    }

    /// A number from 0 up to but not including `bound`; 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.next_u32()) * bound as u64) >> 32) as usize
    }
}

/// Spreads a key evenly over 0 to 1 by the output function of SplitMix64: the same key, the same
/// position.
pub fn hash_to_unit_interval(key: u64) -> f64 {
    let mut hash = key.wrapping_add(GOLDEN_GAMMA);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) as f64 / 2f64.powi(64)
}
