//! The engine counts time in seconds.

use std::time::Duration;

/// A duration in seconds.
pub(crate) fn secs(duration: Duration) -> f64 {
    duration.as_secs_f64()
}
