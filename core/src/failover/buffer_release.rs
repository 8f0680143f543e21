//! Limits the buffered writes in flight while they are released to a new or recovered primary.
//!
//! A single write is sent first to test the primary. Its response opens a small window of writes in flight,
//! and each further response widens the window. After a fixed number of responses, only the primary's
//! concurrency limit bounds the writes in flight. Reads that need the primary get a fixed share of the
//! requests, so that they do not wait until the buffer is empty.
//!
//! Owns the release state of one replica set and the number of its writes in flight. Times are seconds on the
//! engine's clock.

/// Base of the window of writes in flight, to which each served write adds [`WINDOW_GROWTH_PER_RESPONSE`].
const INITIAL_WINDOW: u32 = 4;
/// Number of writes by which each served write widens the window.
const WINDOW_GROWTH_PER_RESPONSE: u32 = 2;
/// Number of served writes after which the release no longer limits the writes in flight.
const RESPONSES_UNTIL_COMPLETE: u32 = 24;
/// Number of requests of a release of which one, the last, is a read.
const READ_TURN_INTERVAL: u32 = 4;

/// State of the release of one replica set's buffered writes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BufferRelease {
    started_at: f64,
    writes_served: u32,
    writes_in_flight: u32,
    requests_sent: u32,
}

impl BufferRelease {
    /// Starts a release to a primary that first has to serve a single write.
    pub fn new(now: f64) -> Self {
        Self { started_at: now, ..Self::default() }
    }

    /// Starts a release after a planned handover. The successor needs no test, so the window is open from the
    /// start.
    pub fn after_handover(now: f64) -> Self {
        Self { writes_served: 1, ..Self::new(now) }
    }

    /// Returns a completed release, for a primary that was only suspected.
    pub fn completed(now: f64) -> Self {
        Self { writes_served: RESPONSES_UNTIL_COMPLETE, ..Self::new(now) }
    }

    /// Records that a write that was sent at `sent_at` was served.
    pub fn write_served(&mut self, sent_at: f64) {
        if sent_at >= self.started_at {
            self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
            self.writes_served += 1;
        }
    }

    /// Records that a write that was sent at `sent_at` ended without being served.
    pub fn write_failed(&mut self, sent_at: f64) {
        if sent_at >= self.started_at {
            self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
        }
    }

    /// Returns whether the primary has served enough writes that only its concurrency limit bounds the writes
    /// in flight.
    pub fn is_complete(&self) -> bool {
        self.writes_served >= RESPONSES_UNTIL_COMPLETE
    }

    /// Returns whether the release allows one more write in flight. The primary's concurrency limit applies
    /// as well.
    pub fn admits(&self) -> bool {
        let window = match self.writes_served {
            0 => 1,
            served => INITIAL_WINDOW.saturating_add(WINDOW_GROWTH_PER_RESPONSE * served),
        };
        self.is_complete() || self.writes_in_flight < window
    }

    /// Records that a write was sent to the primary.
    pub fn write_sent(&mut self) {
        self.writes_in_flight += 1;
        self.requests_sent = self.requests_sent.wrapping_add(1);
    }

    /// Records that a read was sent to the primary.
    pub fn read_sent(&mut self) {
        self.requests_sent = self.requests_sent.wrapping_add(1);
    }

    /// Returns whether the next request should be a read that needs the primary.
    pub fn is_read_turn(&self) -> bool {
        self.writes_served > 0 && self.requests_sent % READ_TURN_INTERVAL == READ_TURN_INTERVAL - 1
    }
}

#[cfg(test)]
mod tests;
