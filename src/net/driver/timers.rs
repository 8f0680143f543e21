//! Pending timers of the routing engine, ordered by due time.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::api::TimerId;

/// Queue of pending timers. Due times are on the proxy's clock.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeSet<(Duration, TimerId)>);

impl TimerQueue {
    pub(super) fn schedule(&mut self, due: Duration, timer: TimerId) {
        self.0.insert((due, timer));
    }

    /// Returns the earliest due time; `None` if no timer is pending.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.0.first().map(|(due, _)| *due)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<TimerId> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
