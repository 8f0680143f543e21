//! Fault handling of a server: backoff, suspicion, down state and health checks.

use super::{DownCause, DownState, Server, FIRST_TRIAL_DELAY_SECS};
use crate::concurrency_limit::MIN_LIMIT;

/// Minimum backoff in seconds.
const MIN_BACKOFF_SECS: f64 = 0.1;
/// Maximum backoff in seconds.
const MAX_BACKOFF_SECS: f64 = 1.0;
/// Suspicion, as log odds, above which a server counts as down.
const MAX_SUSPICION: f64 = 2.0;
/// Share of the delay of the first trial within which a response counts as recent.
const RECENT_RESPONSE_SHARE: f64 = 0.5;

/// Effect of a lost attempt on the state of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum SuspicionChange {
    /// The server has changed from up to down.
    Down,
    /// The server stays up or stays down.
    Unchanged,
}

impl Server {
    /// Records that the server refused a connection.
    pub fn connection_refused(&mut self, now: f64) {
        self.connection_refused_at = now;
    }

    /// Returns whether the server refused a connection within the last `secs` seconds.
    pub fn refused_connection_within(&self, now: f64, secs: f64) -> bool {
        self.connection_refused_at > 0.0 && now - self.connection_refused_at < secs
    }

    /// Returns whether the last response is so recent that a failed connection shows only a shortage of
    /// connections, not a dead server.
    pub fn responded_recently(&self, now: f64) -> bool {
        now - self.replication.last_response_at() < RECENT_RESPONSE_SHARE * FIRST_TRIAL_DELAY_SECS
    }

    /// Reacts to a rejected attempt or a shortage of connections: pauses attempts to the server for the
    /// backoff and lowers its concurrency limit by one.
    pub fn back_off(&mut self, now: f64) {
        let backoff = (MIN_BACKOFF_SECS / (1.0 - self.error_share(now))).min(MAX_BACKOFF_SECS);
        self.backoff_until = now + backoff;
        self.concurrency_limit.limit = (self.concurrency_limit.limit - 1.0).max(MIN_LIMIT);
    }

    /// Clears the suspicion after a response. Returns the down state if the server was down.
    pub fn clear_suspicion(&mut self) -> Option<DownState> {
        self.suspicion = 0.0;
        self.down.take()
    }

    /// Returns the evidence that the server does not respond, as log odds.
    pub fn suspicion(&self) -> f64 {
        self.suspicion
    }

    /// Adds `log_odds` to the suspicion after an attempt without a response.
    pub fn attempt_lost(&mut self, now: f64, log_odds: f64, cause: DownCause) -> SuspicionChange {
        self.suspicion += log_odds;
        if let Some(down) = &mut self.down {
            down.attempt_lost(now);
            return SuspicionChange::Unchanged;
        }
        if self.suspicion <= MAX_SUSPICION {
            return SuspicionChange::Unchanged;
        }
        self.down = Some(DownState::new(now, now, cause));
        SuspicionChange::Down
    }

    /// Restores the down state from the snapshot of the predecessor process, unless the server is already
    /// down.
    pub fn restore_down(&mut self, since: f64, now: f64, cause: DownCause) {
        self.down.get_or_insert_with(|| DownState::new(since, now, cause));
    }

    /// Returns whether a health check is in flight.
    pub fn is_health_check_pending(&self) -> bool {
        self.is_health_check_pending
    }

    /// Returns the seconds since a health check was last sent as a position or role probe.
    pub fn secs_since_probe(&self, now: f64) -> f64 {
        now - self.probed_at
    }

    /// Returns whether the server is down and a health check is due before the next trial.
    pub fn needs_health_check(&self, now: f64) -> bool {
        let is_due = self.down.as_ref().is_some_and(|down| down.needs_health_check(now));
        is_due
            && !self.is_health_check_pending
            && self.listing.is_listed()
            && !self.listing.is_out_of_service()
    }

    /// Records that a health check is sent.
    pub fn health_check_sent(&mut self) {
        self.is_health_check_pending = true;
    }

    /// Records that a health check is sent as a position or role probe.
    pub fn probe_sent(&mut self, now: f64) {
        self.is_health_check_pending = true;
        self.probed_at = now;
    }

    /// Records that a health check succeeded.
    pub fn health_check_succeeded(&mut self) {
        self.is_health_check_pending = false;
        if let Some(down) = &mut self.down {
            down.health_check_succeeded();
        }
    }

    /// Records that a health check failed.
    pub fn health_check_failed(&mut self, now: f64) {
        self.is_health_check_pending = false;
        if let Some(down) = &mut self.down {
            down.health_check_failed(now);
        }
    }
}
