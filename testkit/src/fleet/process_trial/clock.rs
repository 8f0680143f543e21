//! The clock of a trial.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::super::fleet_model::START_S;

/// Seconds of the trial, from [`START_S`] on.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// The Unix time in ms at which the trial's time is zero.
    zero_unix_ms: f64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let zero = unix.as_secs_f64() * 1e3 - START_S * 1e3;
        Self { started: Instant::now(), zero_unix_ms: zero.floor() }
    }

    /// The present time.
    pub fn now(&self) -> f64 {
        START_S + self.started.elapsed().as_secs_f64()
    }

    /// Converts a time to Unix time in ms.
    pub fn to_unix_ms(self, at: f64) -> f64 {
        self.zero_unix_ms + at * 1e3
    }

    /// Sleeps until a time.
    pub async fn sleep_until(&self, at: f64) {
        let at = self.started + Duration::from_secs_f64((at - START_S).max(0.0));
        tokio::time::sleep_until(at.into()).await;
    }
}
