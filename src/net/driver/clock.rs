//! The proxy's clock.
//!
//! The clock reads Unix time once, when it starts, and advances with the monotonic clock. Later changes of
//! the system time therefore do not affect it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Time from the clock's zero to its start. With a zero this recent, times in seconds keep their precision as
/// `f64`.
const ZERO_BEFORE_START: Duration = Duration::from_secs(3600);

/// Clock of the proxy. Converts between times since the clock's zero, Unix time and [`Instant`].
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

    /// Returns the time since the clock's zero.
    pub fn now(&self) -> Duration {
        ZERO_BEFORE_START + self.start.elapsed()
    }

    /// Converts Unix milliseconds to a time on this clock. Returns zero for a time before the clock's zero
    /// and for a time that a [`Duration`] cannot hold.
    pub fn from_unix_ms(&self, unix_ms: f64) -> Duration {
        let since_zero_secs = (unix_ms - self.zero_unix_ms).max(0.0) / 1e3;
        Duration::try_from_secs_f64(since_zero_secs).unwrap_or(Duration::ZERO)
    }

    /// Returns the clock's zero in Unix milliseconds.
    pub fn zero_unix_ms(&self) -> f64 {
        self.zero_unix_ms
    }

    /// Converts a time on this clock to Unix milliseconds.
    pub(in crate::net) fn to_unix_ms(self, time: Duration) -> f64 {
        self.zero_unix_ms + time.as_secs_f64() * 1e3
    }

    /// Converts a time on this clock to an [`Instant`]. A time before the clock's start becomes the start.
    pub(in crate::net) fn to_instant(self, time: Duration) -> Instant {
        self.start + time.saturating_sub(ZERO_BEFORE_START)
    }
}
