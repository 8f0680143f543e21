//! Rate limit for log lines about events that a peer can cause as often as it likes.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counter of the events between two log lines of one kind.
#[derive(Default)]
pub struct LogLimit {
    /// Events since the last log line.
    count: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl LogLimit {
    /// Counts an event. Returns the number of events since the last log line, this one included, if a line is
    /// due, and `None` otherwise.
    pub fn record(&self) -> Option<u64> {
        let count = self.count.get() + 1;
        if self.logged_at.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            self.count.set(count);
            return None;
        }
        self.count.set(0);
        self.logged_at.set(Some(Instant::now()));
        Some(count)
    }
}
