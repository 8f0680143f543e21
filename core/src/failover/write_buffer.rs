//! Decides which writes are buffered while their replica set takes none, and how many.
//!
//! A write is buffered while its set may recover before the write's deadline, and is rejected at once
//! otherwise. Near half of its time, it stays buffered only if recovery is likely.
//!
//! Owns the count of buffered writes and bytes within one step of the engine. Times are seconds on the
//! engine's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RecoveryForecast;
use crate::api::{FailoverSettings, GroupId};

/// Share of the time between a write's arrival and its deadline after which the chance of recovery has to
/// reach the limit for late writes.
const LATE_SHARE: f64 = 0.49;
/// Least retry hint, as a share of the longest hint.
const MIN_HINT_SHARE: f64 = 0.2;
/// Greatest retry hint, as a share of the time that is left until the write's deadline.
const MAX_RETRY_AFTER_SHARE: f64 = 0.15;
/// Divisor in place of a longest hint of zero, in seconds.
const MIN_HINT_DIVISOR_SECS: f64 = 1e-9;

/// The hint after which a client should retry: the expected time until recovery, but at most `longest` and at
/// least a fixed share of it.
pub fn retry_after_hint(recovery_secs: f64, longest: Duration) -> Duration {
    let share = recovery_secs / longest.as_secs_f64().max(MIN_HINT_DIVISOR_SECS);
    longest.mul_f64(if share.is_finite() { share.clamp(MIN_HINT_SHARE, 1.0) } else { 1.0 })
}

/// What becomes of a write whose replica set takes none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BufferDecision {
    /// It stays buffered.
    Keep,
    /// It is rejected without having been executed.
    Reject {
        /// When the client should retry, in seconds from now.
        retry_after_secs: f64,
    },
}

impl BufferDecision {
    /// When the client should retry, in seconds from now, if the write is rejected.
    pub fn retry_after_secs(self) -> Option<f64> {
        match self {
            Self::Keep => None,
            Self::Reject { retry_after_secs } => Some(retry_after_secs),
        }
    }
}

/// A buffered write and the forecast of its replica set. Times are seconds on the engine's clock.
#[derive(Debug, Clone, Copy)]
pub struct BufferedWrite<'sample> {
    /// When the write arrived.
    pub arrived: f64,
    /// The write's deadline.
    pub deadline: f64,
    /// Expected time to serve the write, in seconds.
    pub service_secs: f64,
    /// Whether a server has already declined it. Such a write never counts as late.
    pub was_declined: bool,
    /// When the replica set is expected to take writes again.
    pub forecast: RecoveryForecast<'sample>,
}

impl BufferedWrite<'_> {
    /// Decides whether the write stays buffered at `now`.
    pub fn decide(&self, now: f64, settings: &FailoverSettings) -> BufferDecision {
        let chance = self.forecast.chance_within(self.deadline - now - self.service_secs);
        let late_at = self.arrived + LATE_SHARE * (self.deadline - self.arrived);
        let is_late = !self.was_declined && now >= late_at;
        let min_chance =
            if is_late { settings.min_late_recovery_chance } else { settings.min_recovery_chance };
        if chance < min_chance {
            let max_retry_after_secs = MAX_RETRY_AFTER_SHARE * (self.deadline - now).max(0.0);
            let retry_after_secs = self.forecast.quantile(0.5).min(max_retry_after_secs);
            BufferDecision::Reject { retry_after_secs }
        } else {
            BufferDecision::Keep
        }
    }
}

/// A number of buffered writes and their size.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    writes: usize,
    bytes: u64,
}

impl Usage {
    fn add_write(&mut self, bytes: u64) {
        self.writes += 1;
        self.bytes += bytes;
    }
}

/// The buffered writes of all replica sets, counted anew in each step of the engine.
#[derive(Debug, Default)]
pub struct BufferUsage {
    total: Usage,
    sets: BTreeMap<GroupId, Usage>,
}

impl BufferUsage {
    /// Reserves space for one write of a replica set whose statement has so many bytes. Returns whether there
    /// was space in the buffer and in the set's share of it.
    pub fn try_reserve(&mut self, set: GroupId, bytes: u64, settings: &FailoverSettings) -> bool {
        let usage = self.sets.entry(set).or_default();
        let set_limit = |limit: f64| (limit * settings.max_share_per_set).max(1.0);
        let fits_buffer = self.total.writes < settings.max_buffered_writes
            && self.total.bytes.saturating_add(bytes) <= settings.max_buffered_bytes;
        let fits_set = (usage.writes as f64) < set_limit(settings.max_buffered_writes as f64)
            && usage.bytes.saturating_add(bytes) as f64 <= set_limit(settings.max_buffered_bytes as f64);
        let fits = fits_buffer && fits_set;
        if fits {
            usage.add_write(bytes);
            self.total.add_write(bytes);
        }
        fits
    }
}

#[cfg(test)]
mod tests;
