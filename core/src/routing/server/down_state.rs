//! The state of a server that stopped responding, and when it is tried again.
//!
//! Owns the trial schedule: trials become rarer with each failure. Times are seconds on the engine's clock.

/// Seconds until the first trial.
pub(in crate::routing) const FIRST_TRIAL_DELAY_SECS: f64 = 0.3;
/// Largest interval between trials in seconds, unless the instance sends little.
const MAX_TRIAL_INTERVAL_SECS: f64 = 2.0;
/// Share of an instance's requests that trials of one server may use.
const MAX_TRIAL_SHARE: f64 = 0.05;
/// Least request rate, in requests a second, that the trial interval is computed with.
const MIN_REQUEST_RATE: f64 = 0.1;

/// What showed that a server is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum DownCause {
    /// Its process was seen to be dead.
    Dead,
    /// It does not respond in time.
    Unresponsive,
}

/// How a trial of a server that is down may come about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum TrialPolicy {
    /// A health check must have succeeded first.
    AfterHealthCheck,
    /// Health checks are not permitted: a read is the only trial.
    ReadsOnly,
}

/// A server that is down.
pub(in crate::routing) struct DownState {
    since: f64,
    cause: DownCause,
    next_trial_at: f64,
    trial_interval_secs: f64,
    health_check_passed: bool,
}

impl DownState {
    /// Down since `since`; the first trial is due soon after `now`.
    pub fn new(since: f64, now: f64, cause: DownCause) -> Self {
        Self {
            since,
            cause,
            next_trial_at: now + FIRST_TRIAL_DELAY_SECS,
            trial_interval_secs: FIRST_TRIAL_DELAY_SECS,
            health_check_passed: false,
        }
    }

    /// Since when it is down.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// What showed it.
    pub fn cause(&self) -> DownCause {
        self.cause
    }

    /// Whether a health check is to be sent before the next trial.
    pub fn needs_health_check(&self, now: f64) -> bool {
        now >= self.next_trial_at && !self.health_check_passed
    }

    /// Whether a fresh read may be sent as a trial.
    pub fn is_trial_due(&self, now: f64, policy: TrialPolicy) -> bool {
        now >= self.next_trial_at && (self.health_check_passed || policy == TrialPolicy::ReadsOnly)
    }

    /// Whether any read may be sent as a trial, where no member of the group is up.
    pub fn is_last_resort_due(&self, now: f64) -> bool {
        now >= self.next_trial_at - self.trial_interval_secs + FIRST_TRIAL_DELAY_SECS
    }

    /// A read is sent as a trial; `request_rate` is the instance's requests a second.
    pub fn trial_started(&mut self, now: f64, request_rate: f64) {
        let max_interval =
            MAX_TRIAL_INTERVAL_SECS.max(1.0 / (MAX_TRIAL_SHARE * request_rate.max(MIN_REQUEST_RATE)));
        self.trial_interval_secs = (self.trial_interval_secs * 2.0).min(max_interval);
        self.next_trial_at = now + self.trial_interval_secs;
        self.health_check_passed = false;
    }

    /// An attempt found it down again.
    pub fn attempt_lost(&mut self, now: f64) {
        self.next_trial_at = self.next_trial_at.max(now + self.trial_interval_secs);
    }

    /// A health check succeeded.
    pub fn health_check_succeeded(&mut self) {
        self.health_check_passed = true;
    }

    /// A health check failed.
    pub fn health_check_failed(&mut self, now: f64) {
        self.health_check_passed = false;
        self.cause = DownCause::Dead;
        self.trial_interval_secs = (self.trial_interval_secs * 2.0).min(MAX_TRIAL_INTERVAL_SECS);
        self.next_trial_at = now + self.trial_interval_secs;
    }
}
