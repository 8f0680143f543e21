//! Clock of a trial.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::super::fleet_model::START_S;

/// Clock of a trial in seconds, which starts at [`START_S`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Unix time in milliseconds at which the trial's time is zero, rounded down.
    zero_unix_ms: f64,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let zero = unix.as_secs_f64() * 1e3 - START_S * 1e3;
        Self { started: Instant::now(), zero_unix_ms: zero.floor() }
    }

    /// Returns the time in seconds.
    pub fn now(&self) -> f64 {
        START_S + self.started.elapsed().as_secs_f64()
    }

    /// Converts a time in seconds to Unix time in milliseconds.
    pub fn to_unix_ms(self, at: f64) -> f64 {
        self.zero_unix_ms + at * 1e3
    }

    /// Sleeps until a time in seconds. Returns at once if it has passed.
    pub async fn sleep_until(&self, at: f64) {
        let at = self.started + Duration::from_secs_f64((at - START_S).max(0.0));
        tokio::time::sleep_until(at.into()).await;
    }
}
