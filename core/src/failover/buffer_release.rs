//! Paces the release of buffered writes to a new or returning primary.
//!
//! A single write goes first, as a test of the primary. Its response opens a small window, and each further
//! response widens it, until the primary has served enough writes that only its concurrency limit bounds what
//! is in flight. Reads that need the primary get a fixed share of the slots, so that they need not wait until
//! the buffer is empty.
//!
//! Owns the state of one replica set's release and the number of its writes in flight. Times are seconds on
//! the engine's clock.

/// Writes that may be in flight before each served write adds [`WINDOW_GROWTH_PER_RESPONSE`].
const INITIAL_WINDOW: u32 = 4;
/// Further writes that may be in flight for each write that was served.
const WINDOW_GROWTH_PER_RESPONSE: u32 = 2;
/// Served writes after which the release no longer bounds the writes in flight.
const RESPONSES_UNTIL_COMPLETE: u32 = 24;
/// One of so many requests that a release sends is a read.
const READ_TURN_INTERVAL: u32 = 4;

/// The release of the writes that one replica set has buffered.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BufferRelease {
    started_at: f64,
    writes_served: u32,
    writes_in_flight: u32,
    requests_sent: u32,
}

impl BufferRelease {
    /// A release to a primary that has to prove itself by serving a single write.
    pub fn new(now: f64) -> Self {
        Self { started_at: now, ..Self::default() }
    }

    /// A release after a planned handover: the successor is not in doubt, so the initial window is open.
    pub fn after_handover(now: f64) -> Self {
        Self { writes_served: 1, ..Self::new(now) }
    }

    /// A release to a primary that was only suspected: it is complete at once.
    pub fn to_known(now: f64) -> Self {
        Self { writes_served: RESPONSES_UNTIL_COMPLETE, ..Self::new(now) }
    }

    /// A write that was sent at `sent_at` was served.
    pub fn write_served(&mut self, sent_at: f64) {
        if sent_at >= self.started_at {
            self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
            self.writes_served += 1;
        }
    }

    /// A write that was sent at `sent_at` ended without being served.
    pub fn write_failed(&mut self, sent_at: f64) {
        if sent_at >= self.started_at {
            self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
        }
    }

    /// Whether the primary has served so many writes that only its concurrency limit counts.
    pub fn is_done(&self) -> bool {
        self.writes_served >= RESPONSES_UNTIL_COMPLETE
    }

    /// Whether the release lets one more write go out. The primary's concurrency limit applies as well.
    pub fn admits(&self) -> bool {
        let window = match self.writes_served {
            0 => 1,
            served => INITIAL_WINDOW.saturating_add(WINDOW_GROWTH_PER_RESPONSE * served),
        };
        self.is_done() || self.writes_in_flight < window
    }

    /// A write was sent to the primary.
    pub fn write_sent(&mut self) {
        self.writes_in_flight += 1;
        self.requests_sent = self.requests_sent.wrapping_add(1);
    }

    /// A read was sent to the primary.
    pub fn read_sent(&mut self) {
        self.requests_sent = self.requests_sent.wrapping_add(1);
    }

    /// Whether the next slot is for a read that needs the primary.
    pub fn is_reads_turn(&self) -> bool {
        self.writes_served > 0 && self.requests_sent % READ_TURN_INTERVAL == READ_TURN_INTERVAL - 1
    }
}

#[cfg(test)]
mod tests;
