//! The attempts that one server works on for this proxy instance.
//!
//! Owns their number, their expected work and the send time of the oldest one. An abandoned attempt counts
//! until its reservation expires, because a server usually completes work whose client gave up.

/// An attempt that has ended here and may still occupy the server.
struct Reservation {
    expires_at: f64,
    expected_secs: f64,
}

/// Accounting of one server's attempts; times are seconds on the engine's clock.
pub(in crate::routing) struct AttemptLoad {
    in_flight: f64,
    expected_secs: f64,
    /// Infinite where nothing is in flight.
    oldest_sent_at: f64,
    reservations: Vec<Reservation>,
}

impl Default for AttemptLoad {
    fn default() -> Self {
        Self { in_flight: 0.0, expected_secs: 0.0, oldest_sent_at: f64::INFINITY, reservations: Vec::new() }
    }
}

impl AttemptLoad {
    /// Attempts that occupy the server.
    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Seconds that the attempts in flight are expected to take together.
    pub fn expected_secs(&self) -> f64 {
        self.expected_secs
    }

    /// When the oldest attempt was sent; infinite where nothing is in flight.
    pub fn oldest_sent_at(&self) -> f64 {
        self.oldest_sent_at
    }

    /// Counts an attempt that is sent now.
    pub fn start(&mut self, now: f64, expected_secs: f64) {
        self.in_flight += 1.0;
        self.expected_secs += expected_secs;
        self.oldest_sent_at = self.oldest_sent_at.min(now);
    }

    /// Ends an attempt, which occupies the server until `expires_at`.
    pub fn end(&mut self, now: f64, expires_at: f64, expected_secs: f64) {
        self.reservations.push(Reservation { expires_at, expected_secs });
        self.release_expired(now);
    }

    /// Releases expired reservations and forgets the oldest attempt; [`Self::observe_sent_at`] finds it anew.
    pub fn refresh(&mut self, now: f64) {
        self.oldest_sent_at = f64::INFINITY;
        self.release_expired(now);
    }

    /// An attempt that was sent at this time is in flight.
    pub fn observe_sent_at(&mut self, sent_at: f64) {
        self.oldest_sent_at = self.oldest_sent_at.min(sent_at);
    }

    fn release_expired(&mut self, now: f64) {
        for expired in self.reservations.extract_if(.., |reservation| reservation.expires_at <= now) {
            self.in_flight = (self.in_flight - 1.0).max(0.0);
            self.expected_secs = (self.expected_secs - expired.expected_secs).max(0.0);
        }
    }
}
