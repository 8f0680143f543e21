//! The expected response time of a request class.

use crate::api::{Class, Idempotency};
use crate::time::secs;

/// The response time that is assumed before any response, as a share of the latency objective.
const INITIAL_MEAN_SHARE: f64 = 1.0 / 4.0;
/// The deviation that is assumed before any response, as a share of the latency objective.
const INITIAL_DEVIATION_SHARE: f64 = 1.0 / 8.0;
/// Share of the expected response time that must be left for any request.
const MIN_TIME_SHARE: f64 = 0.8;
/// Further share for a request that is not idempotent.
const NON_IDEMPOTENT_SHARE: f64 = 0.2;
/// Deviations that must be left as well for a request that is not idempotent.
const NON_IDEMPOTENT_DEVIATIONS: f64 = 2.0;

/// The mean response time of a class and its mean deviation, in seconds.
pub(crate) struct LatencyEstimate {
    /// Mean response time.
    pub mean: f64,
    /// Mean deviation from it.
    pub deviation: f64,
}

impl LatencyEstimate {
    /// The least time to the deadline, in seconds, at which a request with this expected response time is
    /// worth forwarding. A request that is not idempotent needs a margin: if its response came too late, its
    /// outcome would be unknown.
    pub fn min_time_left(&self, expected_secs: f64, idempotency: Idempotency) -> f64 {
        let margin_secs = if idempotency == Idempotency::NonIdempotent {
            NON_IDEMPOTENT_SHARE * expected_secs
                + NON_IDEMPOTENT_DEVIATIONS * self.deviation.min(expected_secs)
        } else {
            0.0
        };
        MIN_TIME_SHARE * expected_secs + margin_secs
    }

    /// The estimate for a class before any response.
    pub fn initial(class: &Class) -> Self {
        let objective_secs = secs(class.latency_objective);
        Self {
            mean: objective_secs * INITIAL_MEAN_SHARE,
            deviation: objective_secs * INITIAL_DEVIATION_SHARE,
        }
    }
}
