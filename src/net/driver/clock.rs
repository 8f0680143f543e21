//! The proxy's clock.
//!
//! Unix time is read once, at the start; from then on the monotonic clock advances it. Later corrections of
//! the system's time therefore do not move it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// How far before the start the clock's zero lies. Seconds since a zero this near are exact as `f64`.
const ZERO_BEFORE_START: Duration = Duration::from_secs(3600);

/// Converts between the proxy's own time, Unix time and [`Instant`]s.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    zero_unix_ms: f64,
}

impl Clock {
    /// Reads Unix time and starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(ZERO_BEFORE_START);
        let zero = unix.saturating_sub(ZERO_BEFORE_START);
        Self { start: Instant::now(), zero_unix_ms: zero.as_secs_f64() * 1e3 }
    }

    /// Time since the clock's zero.
    pub fn now(&self) -> Duration {
        ZERO_BEFORE_START + self.start.elapsed()
    }

    /// Converts a time in Unix milliseconds. A time before the clock's zero, or one that no [`Duration`] can
    /// hold, becomes zero.
    pub fn from_unix_ms(&self, unix_ms: f64) -> Duration {
        let since_zero_secs = (unix_ms - self.zero_unix_ms).max(0.0) / 1e3;
        Duration::try_from_secs_f64(since_zero_secs).unwrap_or(Duration::ZERO)
    }

    /// The clock's zero in Unix milliseconds.
    pub fn zero_unix_ms(&self) -> f64 {
        self.zero_unix_ms
    }

    /// Converts a time on this clock to Unix milliseconds.
    pub(in crate::net) fn to_unix_ms(self, time: Duration) -> f64 {
        self.zero_unix_ms + time.as_secs_f64() * 1e3
    }

    /// Converts a time on this clock to an [`Instant`]. A time before the start becomes the start.
    pub(in crate::net) fn to_instant(self, time: Duration) -> Instant {
        self.start + time.saturating_sub(ZERO_BEFORE_START)
    }
}
