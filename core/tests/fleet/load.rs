//! Instances of a fleet and their pseudo-random load.

use pipittack_core::api::*;

use crate::common::*;

/// Shares of the classes, in percent. The remaining requests are reads with a staleness bound.
#[derive(Clone, Copy)]
pub struct ClassMix {
    pub writes: u64,
    pub eventual_reads: u64,
}

impl ClassMix {
    /// Returns the class of the `n`th request.
    pub fn class(self, n: u64) -> ClassId {
        match pseudo_random(n, 100) {
            percent if percent < self.writes => UNIQUE_WRITE,
            percent if percent < 100 - self.eventual_reads => BOUNDED_READ,
            _ => EVENTUAL_READ,
        }
    }
}

/// Returns the instances of a fleet, each with its own seed and the same cached list of three servers.
pub fn new_fleet(settings: &Settings) -> Vec<Harness> {
    let instance =
        |index| Harness::seeded(Settings { instance_index: index, ..settings.clone() }, u64::from(index));
    (0..settings.instance_count).map(instance).collect()
}

/// Returns the `n`th number below `limit` of a fixed pseudo-random sequence (Knuth's multiplicative hash).
pub fn pseudo_random(n: u64, limit: u64) -> u64 {
    (n.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) % limit
}

/// Returns 1 if the condition holds, otherwise 0.
pub fn one_if(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}
