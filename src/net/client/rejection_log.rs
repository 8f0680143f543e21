//! Rate limit for the log lines about rejected clients.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counter of rejected clients between log lines.
#[derive(Default)]
pub(super) struct RejectionLog {
    /// Clients rejected since the last log line.
    rejected: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl RejectionLog {
    /// Counts a rejected client. Returns the count since the last log line if a line is due, `None`
    /// otherwise.
    pub(super) fn record(&self) -> Option<u64> {
        let rejected = self.rejected.get() + 1;
        if self.logged_at.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            self.rejected.set(rejected);
            return None;
        }
        self.rejected.set(0);
        self.logged_at.set(Some(Instant::now()));
        Some(rejected)
    }
}
