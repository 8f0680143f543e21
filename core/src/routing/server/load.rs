//! Load that this proxy instance puts on one server.
//!
//! Owns the number of attempts that occupy the server, their expected work and the send time of the oldest
//! attempt in flight. An abandoned attempt counts until its reservation expires, because a server usually
//! completes a request even if its client gave up.

/// Capacity reserved for an attempt that has ended for the proxy but may still occupy the server.
struct Reservation {
    expires_at: f64,
    expected_secs: f64,
}

/// Counts of one server's attempts. Times are seconds on the engine's clock.
pub(in crate::routing) struct AttemptLoad {
    in_flight: f64,
    expected_secs: f64,
    /// Infinite if no attempt is in flight.
    oldest_sent_at: f64,
    reservations: Vec<Reservation>,
}

impl Default for AttemptLoad {
    fn default() -> Self {
        Self { in_flight: 0.0, expected_secs: 0.0, oldest_sent_at: f64::INFINITY, reservations: Vec::new() }
    }
}

impl AttemptLoad {
    /// Returns the number of attempts that occupy the server.
    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Returns the total expected duration, in seconds, of the attempts that occupy the server.
    pub fn expected_secs(&self) -> f64 {
        self.expected_secs
    }

    /// Returns when the oldest attempt in flight was sent; infinite if none is in flight.
    pub fn oldest_sent_at(&self) -> f64 {
        self.oldest_sent_at
    }

    /// Counts an attempt that is sent at `now`.
    pub fn start(&mut self, now: f64, expected_secs: f64) {
        self.in_flight += 1.0;
        self.expected_secs += expected_secs;
        self.oldest_sent_at = self.oldest_sent_at.min(now);
    }

    /// Records the end of an attempt, which occupies the server until `expires_at`.
    pub fn end(&mut self, now: f64, expires_at: f64, expected_secs: f64) {
        self.reservations.push(Reservation { expires_at, expected_secs });
        self.release_expired(now);
    }

    /// Releases expired reservations and resets the send time of the oldest attempt. The caller then passes
    /// each attempt in flight to [`Self::observe_sent_at`].
    pub fn refresh(&mut self, now: f64) {
        self.oldest_sent_at = f64::INFINITY;
        self.release_expired(now);
    }

    /// Updates the send time of the oldest attempt with an attempt in flight.
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
