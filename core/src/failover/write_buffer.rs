//! Hold or refuse: what becomes of a write whose set takes none just now, and how much may be held.
//!
//! A write is held while there is hope in its time, and refused at once where there is none. It must never be
//! held to its deadline without hope: past half of its time only a good chance keeps it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RecoveryForecast;
use crate::api::{FailoverSettings, GroupId};

/// Share of a write's time after which only a good chance keeps it.
const HALF: f64 = 0.49;

/// No client need ask again sooner than this share of the longest hint.
const HINT_LEAST: f64 = 0.2;

/// The hint for a client whose set is expected back after so many seconds: that time, but not more than the
/// longest hint, nor a small part of it.
pub fn retry_after_hint(back: f64, longest: Duration) -> Duration {
    let part = back / longest.as_secs_f64().max(1e-9);
    longest.mul_f64(if part.is_finite() { part.clamp(HINT_LEAST, 1.0) } else { 1.0 })
}

/// Part of the time that a client has left after which it should ask again at the latest, whatever is
/// expected.
const BACK_WITHIN: f64 = 0.15;

/// What is to become of a write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BufferDecision {
    /// It waits on.
    Keep,
    /// It is given up now: nothing ran. Come back after so many seconds.
    Reject(f64),
}

impl BufferDecision {
    /// When to come back, if it is given up.
    pub fn retry_after_secs(self) -> Option<f64> {
        match self {
            Self::Keep => None,
            Self::Reject(back) => Some(back),
        }
    }
}

/// A write that waits, and the outlook of its set.
#[derive(Debug, Clone, Copy)]
pub struct BufferedWrite<'f> {
    /// When it came, in s like all times here.
    pub arrived: f64,
    /// When its time is up.
    pub deadline: f64,
    /// How long serving it takes.
    pub service_secs: f64,
    /// Some server has turned it away already, so that its way was not for nothing.
    pub was_declined: bool,
    /// When its set takes writes again.
    pub forecast: RecoveryForecast<'f>,
}

impl BufferedWrite<'_> {
    /// Decides, at a time.
    pub fn decide(&self, now: f64, tuning: &FailoverSettings) -> BufferDecision {
        let chance = self.forecast.chance_within(self.deadline - now - self.service_secs);
        let past_half = !self.was_declined && now >= self.arrived + HALF * (self.deadline - self.arrived);
        let least = if past_half { tuning.min_late_recovery_chance } else { tuning.min_recovery_chance };
        if chance < least {
            BufferDecision::Reject(
                self.forecast.quantile(0.5).min(BACK_WITHIN * (self.deadline - now).max(0.0)),
            )
        } else {
            BufferDecision::Keep
        }
    }
}

/// What is held at one time, counted anew in each step, oldest deadline first.
#[derive(Debug, Default)]
pub struct BufferUsage {
    all: (usize, u64),
    sets: BTreeMap<GroupId, (usize, u64)>,
}

impl BufferUsage {
    /// Whether one more write, whose statement has so many bytes, may be held for a set. Its place is taken
    /// if so.
    pub fn try_reserve(&mut self, set: GroupId, bytes: u64, tuning: &FailoverSettings) -> bool {
        let mine = self.sets.entry(set).or_default();
        let share = |most: f64| (most * tuning.max_share_per_set).max(1.0);
        let fits = self.all.0 < tuning.max_buffered_writes
            && self.all.1.saturating_add(bytes) <= tuning.max_buffered_bytes
            && (mine.0 as f64) < share(tuning.max_buffered_writes as f64)
            && mine.1.saturating_add(bytes) as f64 <= share(tuning.max_buffered_bytes as f64);
        if fits {
            *mine = (mine.0 + 1, mine.1 + bytes);
            self.all = (self.all.0 + 1, self.all.1 + bytes);
        }
        fits
    }
}

#[cfg(test)]
mod tests;
