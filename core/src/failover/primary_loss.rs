//! Causes of the suspicion or loss of a primary, with the evidence and a counter for each cause.
//!
//! The counters do not affect any decision. They help operators to distinguish false alarms of the failure
//! detector from faults of the primary. Times are seconds.

use std::fmt;

use super::{PrimaryObservation, ResponseTimes};
use crate::api::ServerId;

/// Cause of the suspicion or loss of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrimaryLossCause {
    /// The primary's responses are overdue.
    Silent,
    /// Connections to the primary failed or broke, or a health check failed.
    Dead,
    /// Attempts at the primary timed out.
    Unresponsive,
}

impl fmt::Display for PrimaryLossCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Silent => "silent",
            Self::Dead => "dead",
            Self::Unresponsive => "unresponsive",
        })
    }
}

/// Number of times that primaries were suspected or lost since the process started, by cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrimaryLossCounts {
    silent: u64,
    dead: u64,
    unresponsive: u64,
}

impl PrimaryLossCounts {
    /// Increments the counter of a cause and returns its new value.
    pub fn record(&mut self, cause: PrimaryLossCause) -> u64 {
        let count = match cause {
            PrimaryLossCause::Silent => &mut self.silent,
            PrimaryLossCause::Dead => &mut self.dead,
            PrimaryLossCause::Unresponsive => &mut self.unresponsive,
        };
        *count += 1;
        *count
    }
}

/// Evidence that led to the suspicion or loss of a primary. Formatted as part of a log line.
#[derive(Debug, Clone, Copy)]
pub struct PrimaryLossEvidence {
    /// Id of the primary.
    pub server: ServerId,
    /// Cause of the suspicion or loss.
    pub cause: PrimaryLossCause,
    /// Number of occurrences of this cause since the process started, including this one.
    pub cause_count: u64,
    /// Observed state of the primary.
    pub observation: PrimaryObservation,
    /// Response times of the primary.
    pub response_times: ResponseTimes,
    /// Time of the observation, in seconds on the engine's clock.
    pub now: f64,
}

impl fmt::Display for PrimaryLossEvidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |secs: f64| (secs * 1e3).round();
        let threshold = &self.observation.silence_threshold;
        let times = &self.response_times;
        let oldest_secs = self.observation.oldest_unanswered_at.map_or(0.0, |sent_at| self.now - sent_at);
        write!(
            formatter,
            "primary={} cause={} count={} last_response_ms={} oldest_unanswered_ms={} \
             unanswered={} threshold_ms={} responses={} mean_ms={} deviation_ms={} \
             typical_ms={} slowdown={:.2}",
            self.server.0,
            self.cause,
            self.cause_count,
            millis(self.now - self.observation.last_response_at),
            millis(oldest_secs),
            threshold.unanswered,
            millis(threshold.threshold_secs(self.response_times)),
            times.response_count(),
            millis(times.mean_secs()),
            millis(times.deviation_secs()),
            millis(threshold.typical_response_secs),
            threshold.slowdown,
        )
    }
}

#[cfg(test)]
mod tests;
