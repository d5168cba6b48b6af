/// Multiply-with-carry, lag one: equal seeds give equal runs.
#[derive(Clone, Debug, Default)]
pub struct Chance {
    low: u32,
    carry: u32,
}

impl Chance {
    pub fn new(seed: u64) -> Self {
        let mut chance =
            Chance { low: seed as u32 ^ 0x9e37_79b9, carry: (seed >> 32) as u32 % 0x7fff_fffe + 1 };
        for _ in 0..8 {
            chance.draw();
        }
        chance
    }

    pub fn draw(&mut self) -> u32 {
        let wide = u64::from(self.low) * 4_294_957_665 + u64::from(self.carry);
        self.low = wide as u32;
        self.carry = (wide >> 32) as u32;
        self.low
    }

    /// A number from 0 up to but not including `bound`; 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u64::from(self.draw()) * bound as u64) >> 32) as usize
    }
}
