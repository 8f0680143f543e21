//! A small deterministic generator (SplitMix64), so that scripts depend on no crate's version.

use std::time::Duration;

/// The state of the generator.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// A generator whose numbers follow from the seed alone.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`, which is over 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.bits() % limit
    }

    /// Whether something happens that does so in `per_mille` of 1,000 cases.
    pub fn happens(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    /// A duration from `low_ms` up to `high_ms` milliseconds, in whole microseconds.
    pub fn duration_ms(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        let span_us = (high_ms - low_ms) * 1000 + 1;
        Duration::from_micros(low_ms * 1000 + self.below(span_us))
    }

    /// An element of a slice that is not empty.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        let index = self.below(items.len() as u64) as usize;
        &items[index]
    }
}
