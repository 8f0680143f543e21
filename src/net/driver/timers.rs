//! The routing engine's pending timers, in the order in which they come due.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::api::TimerId;

/// Pending timers. Times are on the proxy's clock.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeSet<(Duration, TimerId)>);

impl TimerQueue {
    pub(super) fn schedule(&mut self, due: Duration, timer: TimerId) {
        self.0.insert((due, timer));
    }

    /// When the next timer comes due.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.0.first().map(|(due, _)| *due)
    }

    /// Removes the next timer that has come due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<TimerId> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
