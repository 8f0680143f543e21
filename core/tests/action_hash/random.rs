//! Deterministic random number generator (SplitMix64), so that the cases don't depend
//! on the version of a crate.

use std::time::Duration;

/// State of the generator.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// Creates a generator whose numbers depend only on the seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `limit`, which must be greater than 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.bits() % limit
    }

    /// Returns `true` with a probability of `per_mille` / 1000.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    /// Returns a duration from `min_ms` to `max_ms` milliseconds, in whole microseconds.
    pub fn duration_ms(&mut self, min_ms: u64, max_ms: u64) -> Duration {
        let span_us = (max_ms - min_ms) * 1000 + 1;
        Duration::from_micros(min_ms * 1000 + self.below(span_us))
    }

    /// Returns a random element of a slice, which must not be empty.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        let index = self.below(items.len() as u64) as usize;
        &items[index]
    }
}
