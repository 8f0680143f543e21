//! Random numbers that the tests of several modules share.

/// Constants of the linear congruential generator (Knuth's MMIX).
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// Random numbers of a seed.
pub(super) struct Random(pub u64);

impl Random {
    /// Returns a number below `bound`, or 0 if that is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        ((self.0 >> 33) % bound.max(1) as u64) as usize
    }
}
