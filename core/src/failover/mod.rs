//! Changes of primary: who is the primary of a set, when its writes are held, how long that will last, and how
//! what was held goes out again.
//!
//! Each set of servers has a [`Set`], which is fed with evidence and asked before each write. Its parts are
//! [`Primacy`] (claims, ordered by epochs), [`Phase`] (the state machine), [`Patience`] (early suspicion),
//! [`Forecast`] (how long changes take), [`Release`] (how held writes go out) and [`Hold`] (hold or refuse). The
//! [`Fate`] of a request says what has become of its attempts. Nothing in here may choose a server for a read,
//! send anything, or read a clock: times are seconds on the caller's clock. `docs/failover.md` has the design.

mod fate;
mod forecast;
mod hold;
mod phase;
mod primacy;
mod release;
mod set;
mod suspicion;

pub use fate::{Fate, Proof, Verdict};
pub use forecast::{Change, Forecast, Outlook};
pub use hold::{hint, Hold, Holding, Stay};
pub use phase::{Input, Phase};
pub use primacy::{Claim, Primacy, Ruling, Word};
pub use release::Release;
pub(crate) use set::ASK_SILENT;
pub use set::{News, Set, Sight};
pub use suspicion::{Patience, Pulse};

/// What an operator may set; `docs/failover.md` describes each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Writes that are held at the most, over all sets.
    pub hold_count: usize,
    /// Bytes of their statements, over all sets.
    pub hold_bytes: u64,
    /// Share of both that one set may have.
    pub hold_share: f64,
    /// Silence of a primary, in usual answer times, after which its writes are held.
    pub patience: f64,
    /// Chance of a primary in time, under which a write is refused as soon as it comes.
    pub refuse_under: f64,
    /// Chance of one, over which a write is held past half of its time.
    pub hold_over: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            hold_count: 2048,
            hold_bytes: 32 << 20,
            hold_share: 0.5,
            patience: 1.0,
            refuse_under: 0.002,
            hold_over: 0.6,
        }
    }
}

impl Tuning {
    /// Names a figure that can't be worked with, with what was expected.
    pub fn fault(&self) -> Option<(&'static str, &'static str)> {
        let share = |value: f64| (0.0..=1.0).contains(&value);
        if self.hold_count == 0 {
            return Some(("hold-count", "a whole number of 1 or more"));
        }
        if self.hold_bytes == 0 {
            return Some(("hold-bytes", "a whole number of 1 or more"));
        }
        if !(share(self.hold_share) && self.hold_share > 0.0) {
            return Some(("hold-share", "a share over 0, up to 1"));
        }
        if !(1.0..=100.0).contains(&self.patience) {
            return Some(("patience", "a number from 1 to 100"));
        }
        if !share(self.refuse_under) {
            return Some(("refuse-under", "a share from 0 to 1"));
        }
        (!share(self.hold_over)).then_some(("hold-over", "a share from 0 to 1"))
    }
}
