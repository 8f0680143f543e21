//! Decides which writes are buffered while their replica set accepts none, and limits their number and size.
//!
//! A write is buffered while its replica set may recover before the write's deadline, and is rejected
//! immediately otherwise. When nearly half of the time until the deadline has passed, the write stays
//! buffered only if recovery is likely.
//!
//! Owns the number and the size of the buffered writes within one step of the engine. Times are seconds on
//! the engine's clock.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RecoveryForecast;
use crate::api::{FailoverSettings, GroupId};

/// Share of the time between a write's arrival and its deadline after which the probability of recovery has
/// to reach the limit for late writes.
const LATE_SHARE: f64 = 0.49;
/// Lower bound of the retry-after hint, as a share of `max_retry_after`.
const MIN_RETRY_AFTER_SHARE: f64 = 0.2;
/// Upper bound of the delay in [`BufferDecision::Reject`], as a share of the time left until the write's
/// deadline. [`retry_after_hint`] may raise the delay to its own lower bound.
const MAX_RETRY_AFTER_SHARE: f64 = 0.15;
/// Lower bound of the divisor in [`retry_after_hint`], in seconds. Avoids a division by zero if
/// `max_retry_after` is zero.
const MIN_RETRY_AFTER_DIVISOR_SECS: f64 = 1e-9;

/// Returns the retry-after hint that a client receives: `retry_after_secs`, but at most `max_retry_after` and
/// at least a fixed share of it. Returns `max_retry_after` if `retry_after_secs` is not finite.
pub fn retry_after_hint(retry_after_secs: f64, max_retry_after: Duration) -> Duration {
    let share = retry_after_secs / max_retry_after.as_secs_f64().max(MIN_RETRY_AFTER_DIVISOR_SECS);
    max_retry_after.mul_f64(if share.is_finite() { share.clamp(MIN_RETRY_AFTER_SHARE, 1.0) } else { 1.0 })
}

/// Decision on a write whose replica set accepts no writes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BufferDecision {
    /// The write stays buffered.
    Keep,
    /// The write is rejected without having been executed.
    Reject {
        /// Delay after which the client should retry, in seconds from now.
        retry_after_secs: f64,
    },
}

impl BufferDecision {
    /// Returns the delay in seconds after which the client should retry; `None` if the write stays buffered.
    pub fn retry_after_secs(self) -> Option<f64> {
        match self {
            Self::Keep => None,
            Self::Reject { retry_after_secs } => Some(retry_after_secs),
        }
    }
}

/// A buffered write and the recovery forecast of its replica set. Times are seconds on the engine's clock.
#[derive(Debug, Clone, Copy)]
pub struct BufferedWrite<'sample> {
    /// Arrival time of the write.
    pub arrived_at: f64,
    /// Deadline of the write.
    pub deadline: f64,
    /// Expected time to serve the write, in seconds.
    pub service_secs: f64,
    /// Whether a server has already declined the write. Such a write never counts as late.
    pub was_declined: bool,
    /// Forecast of when the replica set accepts writes again.
    pub forecast: RecoveryForecast<'sample>,
}

impl BufferedWrite<'_> {
    /// Decides whether the write stays buffered at `now`.
    pub fn decide(&self, now: f64, settings: &FailoverSettings) -> BufferDecision {
        let chance = self.forecast.chance_within(self.deadline - now - self.service_secs);
        let late_at = self.arrived_at + LATE_SHARE * (self.deadline - self.arrived_at);
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

/// Number and size of buffered writes.
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

/// Buffered writes of all replica sets. Recomputed in each step of the engine.
#[derive(Debug, Default)]
pub struct BufferUsage {
    total: Usage,
    sets: BTreeMap<GroupId, Usage>,
}

impl BufferUsage {
    /// Reserves buffer space for one write of a replica set with a statement of `bytes` bytes. Returns
    /// whether the write fits into the buffer and into the replica set's share of it.
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
