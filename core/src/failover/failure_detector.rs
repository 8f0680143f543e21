//! Computes how long a primary may be silent before it is suspected and its writes are buffered.
//!
//! The threshold is far below the one at which a server is marked as down. Buffering a write costs little,
//! whereas a write sent to a hanging primary has an unknown outcome. Any response ends the suspicion. A
//! suspicion is not evidence of a failure, because the process may only be paused.
//!
//! Owns the response time estimate of one replica set's primary. Times are seconds on the engine's clock.

/// Lower bound of the threshold in seconds. Shorter silences are scheduling noise.
const MIN_THRESHOLD_SECS: f64 = 0.03;
/// Upper bound of the threshold in seconds. Limits the number of writes sent to a silent primary whose
/// responses are usually slow.
const MAX_THRESHOLD_SECS: f64 = 0.8;
/// Multiple of the mean deviation of the response time that is added to the mean.
const DEVIATION_FACTOR: f64 = 3.0;
/// Minimum number of unanswered attempts at which the threshold is not raised. With fewer attempts, the
/// threshold rises in inverse proportion, because one late response may be caused by the request itself. With
/// exponentially distributed response times, n attempts all take longer than t with probability
/// exp(-n * t / mean).
const FULL_EVIDENCE_ATTEMPTS: f64 = 3.0;
/// Number of responses after which the estimate uses only the primary's own response times.
const MIN_RESPONSES: f64 = 10.0;
/// Weight of a new response time in the mean, as in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new response time in the deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Response time of a replica set's primary: smoothed mean and mean deviation, based on the estimator of RFC
/// 6298 for TCP's retransmission timer. Only responses are recorded, so an outage does not raise the
/// estimate.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResponseTimes {
    mean_secs: f64,
    deviation_secs: f64,
    response_count: f64,
}

impl ResponseTimes {
    /// Records a response time. Ignores values that are negative or not finite.
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

    /// Returns the smoothed mean in seconds; 0 before the first response.
    pub fn mean_secs(&self) -> f64 {
        self.mean_secs
    }

    /// Returns the mean deviation in seconds; 0 before the first response.
    pub fn deviation_secs(&self) -> f64 {
        self.deviation_secs
    }

    /// Returns the number of recorded response times.
    pub fn response_count(&self) -> f64 {
        self.response_count
    }
}

/// Parameters of the silence threshold other than the primary's response times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SilenceThreshold {
    /// Response time that is assumed until the primary has responded often enough, in seconds.
    pub typical_response_secs: f64,
    /// Factor by which the primary is slower than usual during its warm-up; 1 if it is not slower.
    pub slowdown: f64,
    /// Multiple of the mean response time that is included in the threshold.
    pub suspicion_factor: f64,
    /// Number of attempts in flight at the primary that count as unanswered.
    pub unanswered: usize,
}

impl SilenceThreshold {
    /// Returns the silence, in seconds, after which the primary is suspected.
    pub fn threshold_secs(&self, times: ResponseTimes) -> f64 {
        let typical = self.typical_response_secs;
        let own_share = (times.response_count / MIN_RESPONSES).min(1.0);
        let mean = typical + own_share * (times.mean_secs - typical);
        let deviation = typical / 2.0 + own_share * (times.deviation_secs - typical / 2.0);
        let evidence_factor = (FULL_EVIDENCE_ATTEMPTS / self.unanswered.max(1) as f64).max(1.0);
        let response_bound = self.suspicion_factor * mean + DEVIATION_FACTOR * deviation;
        (self.slowdown * evidence_factor * response_bound).clamp(MIN_THRESHOLD_SECS, MAX_THRESHOLD_SECS)
    }

    /// Returns the time at which the primary is suspected unless it responds earlier; `None` if no attempt is
    /// unanswered. `last_response_at` is the time of the primary's last response, `oldest_unanswered_at` the
    /// time at which the oldest unanswered attempt was sent.
    pub fn suspicion_time(
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
