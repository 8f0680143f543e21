//! Converts replication positions of servers to the proxy's clock, as long as that clock can be trusted.
//!
//! The clock reads Unix time once, at the start of the process. If the machine's wall clock was behind then, data
//! of any age looks too fresh. No server can have applied commits of the future, so positions ahead of the clock
//! show that it is behind. While such positions arrive, all positions count as unknown: reads that need fresh data
//! then go to primaries. A clock that is ahead makes data look older than it is, which does no harm.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::net::driver::Clock;

/// Largest time by which a valid position may be ahead of the proxy's clock.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(1);
/// Largest difference between the leads of two positions that show the same error of the clock. A single position
/// far ahead may as well be a faulty reply.
const MAX_LEAD_DIFFERENCE: Duration = Duration::from_millis(250);
/// Time for which positions count as unknown after one that was ahead of the clock.
const DISTRUST_PERIOD: Duration = Duration::from_secs(10);

/// Position that was too far ahead of the clock.
#[derive(Debug, Clone, Copy)]
struct LeadingPosition {
    lead: Duration,
    seen_at: Instant,
}

/// Converts positions, and notices whether the proxy's clock is behind the servers' clocks.
pub(super) struct PositionClock {
    clock: Clock,
    /// Last position that was too far ahead.
    last_lead: Cell<Option<LeadingPosition>>,
    /// Until when the clock counts as behind.
    distrusted_until: Cell<Option<Instant>>,
}

impl PositionClock {
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, last_lead: Cell::new(None), distrusted_until: Cell::new(None) }
    }

    /// Converts a position in Unix milliseconds to the proxy's clock. Returns `None` for a position more than
    /// [`MAX_CLOCK_LEAD`] in the future, and while the clock counts as behind: data of any age could count as
    /// fresh.
    pub(super) fn position_from_unix_ms(&self, unix_ms: f64) -> Option<Duration> {
        let position = self.clock.from_unix_ms(unix_ms);
        let lead = position.saturating_sub(self.clock.now());
        if lead > MAX_CLOCK_LEAD {
            self.record_lead(lead);
            return None;
        }
        let is_distrusted = self.distrusted_until.get().is_some_and(|until| Instant::now() < until);
        (!is_distrusted).then_some(position)
    }

    /// Records a position that is too far ahead. The second one with the same lead shows that the clock is
    /// behind.
    fn record_lead(&self, lead: Duration) {
        let now = Instant::now();
        let previous = self.last_lead.replace(Some(LeadingPosition { lead, seen_at: now }));
        let is_confirmed = previous.is_some_and(|previous| {
            previous.lead.abs_diff(lead) <= MAX_LEAD_DIFFERENCE && now - previous.seen_at <= DISTRUST_PERIOD
        });
        if !is_confirmed {
            return;
        }
        let was_distrusted = self.distrusted_until.replace(Some(now + DISTRUST_PERIOD));
        if was_distrusted.is_none_or(|until| until < now) {
            log::warn!(
                "the clock of this process is {} ms behind that of the servers: replication positions are not used",
                lead.as_millis()
            );
        }
    }
}

#[cfg(test)]
mod tests;
