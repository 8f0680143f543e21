//! Why a primary is suspected or counts as lost, with the evidence, and how often each cause occurred.
//!
//! Owns the counters. They decide nothing: they let operators tell a fault of the detector from one of the
//! primary. Times are seconds.

use std::fmt;

use super::{PrimaryObservation, ResponseTimes};
use crate::api::ServerId;

/// Why a primary is suspected or counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrimaryLossCause {
    /// Its responses are overdue.
    Silent,
    /// Connections to it failed or broke.
    Dead,
    /// Attempts there timed out, one after another.
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

/// How often primaries were suspected or counted as lost, by cause, since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrimaryLossCounts {
    silent: u64,
    dead: u64,
    unresponsive: u64,
}

impl PrimaryLossCounts {
    /// Counts one more, and returns how many of this cause there are now.
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

/// The evidence on which a primary is suspected or counts as lost, shown as a part of a log line.
#[derive(Debug, Clone, Copy)]
pub struct PrimaryLossEvidence {
    /// The primary.
    pub server: ServerId,
    /// The cause.
    pub cause: PrimaryLossCause,
    /// How often this cause has occurred, this time included.
    pub cause_count: u64,
    /// What was observed.
    pub observation: PrimaryObservation,
    /// The primary's response times.
    pub response_times: ResponseTimes,
    /// When it was observed.
    pub now: f64,
}

impl fmt::Display for PrimaryLossEvidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |secs: f64| (secs * 1e3).round();
        let threshold = &self.observation.silence_threshold;
        let times = &self.response_times;
        let oldest_secs = self.observation.oldest_unanswered.map_or(0.0, |sent_at| self.now - sent_at);
        write!(
            formatter,
            "primary={} cause={} count={} last_response_ms={} oldest_unanswered_ms={} \
             unanswered={} threshold_ms={} responses={} mean_ms={} deviation_ms={} \
             typical_ms={} slowdown={:.2}",
            self.server.0,
            self.cause,
            self.cause_count,
            millis(self.now - self.observation.last_response),
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
