//! Decides how long a primary may be silent before it is suspected and its writes are buffered.
//!
//! The threshold is far below the one at which a server counts as down: buffering a write costs little, while
//! sending it to a primary that hangs makes its outcome unknown. Any response lifts the suspicion, and a
//! suspicion is no evidence of a failure, since the process may only be paused.
//!
//! Owns the response time estimate of one replica set's primary. Times are seconds on the engine's clock.

/// Lower bound of the threshold: shorter silence is scheduling noise.
const MIN_THRESHOLD_SECS: f64 = 0.03;
/// Upper bound of the threshold, which limits the writes sent to a silent primary that is usually slow.
const MAX_THRESHOLD_SECS: f64 = 0.8;
/// Deviations of the response time that the threshold adds to the mean.
const DEVIATION_FACTOR: f64 = 3.0;
/// Unanswered attempts at which the threshold applies as it is. With fewer the threshold rises in proportion,
/// because one late response may be due to the request itself: with exponential response times, n attempts
/// are all later than t with probability exp(-n t / mean).
const FULL_EVIDENCE_ATTEMPTS: f64 = 3.0;
/// Responses from which on the estimate rests on the primary's own response times alone.
const MIN_RESPONSES: f64 = 10.0;
/// Weight of a new response time in the mean, as in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new response time in the deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The response time of a replica set's primary: smoothed mean and mean deviation, as RFC 6298 computes them
/// for TCP's retransmission timer. Only responses count, so an outage does not raise the estimate.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResponseTimes {
    mean_secs: f64,
    deviation_secs: f64,
    response_count: f64,
}

impl ResponseTimes {
    /// Records a response time. Values that are negative or not finite are ignored.
    pub fn record(&mut self, response_secs: f64) {
        if !response_secs.is_finite() || response_secs < 0.0 {
            return;
        }
        if self.response_count == 0.0 {
            self.mean_secs = response_secs;
            self.deviation_secs = response_secs / 2.0;
        }
        let deviation = (response_secs - self.mean_secs).abs();
        self.mean_secs += MEAN_GAIN * (response_secs - self.mean_secs);
        self.deviation_secs += DEVIATION_GAIN * (deviation - self.deviation_secs);
        self.response_count += 1.0;
    }

    /// Smoothed mean in seconds.
    pub fn mean_secs(&self) -> f64 {
        self.mean_secs
    }

    /// Mean deviation in seconds.
    pub fn deviation_secs(&self) -> f64 {
        self.deviation_secs
    }

    /// Number of response times recorded.
    pub fn response_count(&self) -> f64 {
        self.response_count
    }
}

/// What the threshold on a primary's silence depends on, beside its response times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SilenceThreshold {
    /// Assumed response time before the primary has responded often enough, in seconds.
    pub typical_response_secs: f64,
    /// How many times slower the primary is than usual, because it is warming up.
    pub slowdown: f64,
    /// Multiple of the mean response time that the threshold allows.
    pub suspicion_factor: f64,
    /// Attempts in flight at the primary that count as unanswered.
    pub unanswered: usize,
}

impl SilenceThreshold {
    /// The silence in seconds from which on the primary is suspected.
    pub fn threshold_secs(&self, times: ResponseTimes) -> f64 {
        let typical = self.typical_response_secs;
        let own_share = (times.response_count / MIN_RESPONSES).min(1.0);
        let mean = typical + own_share * (times.mean_secs - typical);
        let deviation = typical / 2.0 + own_share * (times.deviation_secs - typical / 2.0);
        let evidence_factor = (FULL_EVIDENCE_ATTEMPTS / self.unanswered.max(1) as f64).max(1.0);
        let response_bound = self.suspicion_factor * mean + DEVIATION_FACTOR * deviation;
        (self.slowdown * evidence_factor * response_bound).clamp(MIN_THRESHOLD_SECS, MAX_THRESHOLD_SECS)
    }

    /// When the primary is suspected unless it responds before, given its last response and the time at which
    /// the oldest unanswered attempt was sent. None if no attempt is unanswered.
    pub fn suspects_at(
        &self,
        times: ResponseTimes,
        last_response_at: f64,
        oldest_unanswered_at: Option<f64>,
    ) -> Option<f64> {
        Some(oldest_unanswered_at?.max(last_response_at) + self.threshold_secs(times))
    }
}

#[cfg(test)]
mod tests;
