/// Multiply-with-carry, lag one: equal seeds give equal runs.
#[derive(Clone, Debug, Default)]
pub struct Rng {
    low: u32,
    carry: u32,
}

impl Rng {
    pub fn new(seed: u64) -> Self {
        let mut chance = Rng {
            low: seed as u32 ^ 0x9e37_79b9,
            carry: (seed >> 32) as u32 % 0x7fff_fffe + 1,
        };
        for _ in 0..8 {
            chance.next_u32();
        }
        chance
    }

    pub fn next_u32(&mut self) -> u32 {
        let wide = u64::from(self.low) * 4_294_957_665 + u64::from(self.carry);
        self.low = wide as u32;
        self.carry = (wide >> 32) as u32;
        self.low
    }

    pub fn fraction(&mut self) -> f64 {
        f64::from(self.next_u32()) / f64::from(u32::MAX)
    }

    /// A number from 0 up to but not including `bound`; 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.next_u32()) * bound as u64) >> 32) as usize
    }
}

/// Spreads a key evenly over 0 to 1: the same key, the same place.
pub fn unit(key: u64) -> f64 {
    let mut x = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as f64 / 2f64.powi(64)
}
