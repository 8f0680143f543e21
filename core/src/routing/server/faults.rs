//! How a server's faults count: backoff, suspicion, down state and health checks.

use super::{DownCause, DownState, Server, FIRST_TRIAL_DELAY_SECS};
use crate::concurrency_limit::MIN_LIMIT;

/// Shortest backoff in seconds after a rejection.
const MIN_BACKOFF_SECS: f64 = 0.1;
/// Longest backoff in seconds after a rejection.
const MAX_BACKOFF_SECS: f64 = 1.0;
/// Log odds of the suspicion above which a server counts as down.
const MAX_SUSPICION: f64 = 2.0;
/// Part of the first trial's delay within which a response counts as recent.
const RECENT_RESPONSE_SHARE: f64 = 0.5;

/// What a lost attempt changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum SuspicionChange {
    /// The server counts as down from now on.
    Down,
    /// Its state is as before.
    Unchanged,
}

impl Server {
    /// It refused a connection.
    pub fn connection_refused(&mut self, now: f64) {
        self.connection_refused_at = now;
    }

    /// Whether it refused a connection less than so many seconds ago.
    pub fn refused_within(&self, now: f64, secs: f64) -> bool {
        self.connection_refused_at > 0.0 && now - self.connection_refused_at < secs
    }

    /// Whether it responded so recently that a failed connection says only that it is short of them.
    pub fn responded_recently(&self, now: f64) -> bool {
        now - self.replication.last_response_at() < RECENT_RESPONSE_SHARE * FIRST_TRIAL_DELAY_SECS
    }

    /// It rejected an attempt: it gets no further ones for a moment, and fewer at a time.
    pub fn back_off(&mut self, now: f64) {
        let backoff = (MIN_BACKOFF_SECS / (1.0 - self.error_share(now))).min(MAX_BACKOFF_SECS);
        self.backoff_until = now + backoff;
        self.concurrency_limit.limit = (self.concurrency_limit.limit - 1.0).max(MIN_LIMIT);
    }

    /// It responded: nothing speaks against it any more. Returns its state if it was down.
    pub fn clear_suspicion(&mut self) -> Option<DownState> {
        self.suspicion = 0.0;
        self.down.take()
    }

    /// The evidence that it does not respond, as log odds.
    pub fn suspicion(&self) -> f64 {
        self.suspicion
    }

    /// An attempt got no response, which adds these log odds to the suspicion.
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

    /// Takes over from another process that it is down.
    pub fn restore_down(&mut self, since: f64, now: f64, cause: DownCause) {
        self.down.get_or_insert_with(|| DownState::new(since, now, cause));
    }

    /// Whether a health check is in flight.
    pub fn is_health_check_pending(&self) -> bool {
        self.is_health_check_pending
    }

    /// Seconds since its position was last asked for by a health check.
    pub fn secs_since_position_check(&self, now: f64) -> f64 {
        now - self.position_checked_at
    }

    /// Whether a health check is due before its next trial.
    pub fn needs_health_check(&self, now: f64) -> bool {
        let is_due = self.down.as_ref().is_some_and(|down| down.needs_health_check(now));
        is_due
            && !self.is_health_check_pending
            && self.listing.is_listed()
            && !self.listing.is_out_of_service()
    }

    /// A health check is sent.
    pub fn health_check_sent(&mut self) {
        self.is_health_check_pending = true;
    }

    /// A health check is sent to learn its position.
    pub fn position_check_sent(&mut self, now: f64) {
        self.is_health_check_pending = true;
        self.position_checked_at = now;
    }

    /// A health check succeeded.
    pub fn health_check_succeeded(&mut self) {
        self.is_health_check_pending = false;
        if let Some(down) = &mut self.down {
            down.health_check_succeeded();
        }
    }

    /// A health check failed.
    pub fn health_check_failed(&mut self, now: f64) {
        self.is_health_check_pending = false;
        if let Some(down) = &mut self.down {
            down.health_check_failed(now);
        }
    }
}
