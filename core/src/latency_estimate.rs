//! Expected response time of a request class.

use crate::api::{Class, Idempotency};
use crate::time::secs;

/// Mean response time that is assumed before the first response, as a share of the latency objective.
const INITIAL_MEAN_SHARE: f64 = 1.0 / 4.0;
/// Mean deviation that is assumed before the first response, as a share of the latency objective.
const INITIAL_DEVIATION_SHARE: f64 = 1.0 / 8.0;
/// Time that must be left until the deadline of any request, as a share of the expected response time.
const MIN_TIME_SHARE: f64 = 0.8;
/// Additional share of the expected response time for a request that is not idempotent.
const NON_IDEMPOTENT_SHARE: f64 = 0.2;
/// Additional margin for a request that is not idempotent, as a number of mean deviations.
const NON_IDEMPOTENT_DEVIATIONS: f64 = 2.0;

/// Mean response time of a class and its mean deviation, in seconds.
pub(crate) struct LatencyEstimate {
    /// Mean response time, in seconds.
    pub mean: f64,
    /// Mean absolute deviation from the mean response time, in seconds.
    pub deviation: f64,
}

impl LatencyEstimate {
    /// Returns the minimum time until the deadline, in seconds, at which a request with this expected
    /// response time is forwarded. A request that is not idempotent needs a margin, because its outcome is
    /// unknown if the response arrives too late.
    pub fn min_time_left(&self, expected_secs: f64, idempotency: Idempotency) -> f64 {
        let margin_secs = if idempotency == Idempotency::NonIdempotent {
            NON_IDEMPOTENT_SHARE * expected_secs
                + NON_IDEMPOTENT_DEVIATIONS * self.deviation.min(expected_secs)
        } else {
            0.0
        };
        MIN_TIME_SHARE * expected_secs + margin_secs
    }

    /// Returns the estimate for a class before its first response.
    pub fn initial(class: &Class) -> Self {
        let objective_secs = secs(class.latency_objective);
        Self {
            mean: objective_secs * INITIAL_MEAN_SHARE,
            deviation: objective_secs * INITIAL_DEVIATION_SHARE,
        }
    }
}
