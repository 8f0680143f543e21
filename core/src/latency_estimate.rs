//! The expected response time of a class of requests.

use crate::api::{Class, Idempotency};
use crate::time::secs;

/// Mean response time of a class and its mean deviation, in seconds.
pub(crate) struct LatencyEstimate {
    pub mean: f64,
    pub deviation: f64,
}

impl LatencyEstimate {
    /// Time that must be left for a request that takes `time`, so that it is worth sending. What may run only
    /// once needs some more: where its answer came too late nobody could say whether it ran.
    pub fn min_time_left(&self, time: f64, effect: Idempotency) -> f64 {
        0.8 * time
            + if effect == Idempotency::NonIdempotent {
                0.2 * time + 2.0 * self.deviation.min(time)
            } else {
                0.0
            }
    }

    /// What is taken for a class's time before any answer.
    pub fn initial(class: &Class) -> Self {
        Self { mean: secs(class.latency_objective) / 4.0, deviation: secs(class.latency_objective) / 8.0 }
    }
}
