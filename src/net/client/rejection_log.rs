//! Log lines about rejected clients, at a bounded rate.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counts rejected clients between log lines.
#[derive(Default)]
pub(super) struct RejectionLog {
    rejected: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl RejectionLog {
    /// Counts one more; gives the count when a line is due.
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
