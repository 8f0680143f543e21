//! Conversion of durations to seconds, the engine's unit of time.

use std::time::Duration;

/// Converts a duration to seconds.
pub(crate) fn secs(duration: Duration) -> f64 {
    duration.as_secs_f64()
}
