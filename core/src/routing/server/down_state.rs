//! State of a server that is down, and the schedule of the trials that detect its recovery.
//!
//! A trial is a read that is sent to a server that is down. The interval between trials grows with each
//! failure. Times are seconds on the engine's clock.

/// Delay in seconds from the detection of a failure to the first trial.
pub(in crate::routing) const FIRST_TRIAL_DELAY_SECS: f64 = 0.3;
/// Maximum interval between trials in seconds. `MAX_TRIAL_SHARE` extends it for an instance with a low
/// request rate.
const MAX_TRIAL_INTERVAL_SECS: f64 = 2.0;
/// Maximum share of a proxy instance's requests that trials of one server may use.
const MAX_TRIAL_SHARE: f64 = 0.05;
/// Lower bound, in requests per second, of the request rate that the trial interval is computed with.
const MIN_REQUEST_RATE: f64 = 0.1;

/// Evidence that a server is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum DownCause {
    /// Connections to the server failed or broke, or a health check failed.
    Dead,
    /// Attempts at the server timed out.
    Unresponsive,
}

/// Condition for sending a trial to a server that is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum TrialPolicy {
    /// A health check must have succeeded since the last trial.
    AfterHealthCheck,
    /// Health checks are not permitted, so a trial needs none.
    WithoutHealthCheck,
}

/// State of a server that is down.
pub(in crate::routing) struct DownState {
    since: f64,
    cause: DownCause,
    next_trial_at: f64,
    trial_interval_secs: f64,
    health_check_passed: bool,
}

impl DownState {
    /// Creates the state of a server that has been down since `since`. The first trial is due shortly after
    /// `now`.
    pub fn new(since: f64, now: f64, cause: DownCause) -> Self {
        Self {
            since,
            cause,
            next_trial_at: now + FIRST_TRIAL_DELAY_SECS,
            trial_interval_secs: FIRST_TRIAL_DELAY_SECS,
            health_check_passed: false,
        }
    }

    /// Returns the time since which the server has been down.
    pub fn since(&self) -> f64 {
        self.since
    }

    /// Returns the evidence that the server is down.
    pub fn cause(&self) -> DownCause {
        self.cause
    }

    /// Returns whether a health check must succeed before the trial that is due.
    pub fn needs_health_check(&self, now: f64) -> bool {
        now >= self.next_trial_at && !self.health_check_passed
    }

    /// Returns whether a read without earlier attempts may be sent as a trial.
    pub fn is_trial_due(&self, now: f64, policy: TrialPolicy) -> bool {
        now >= self.next_trial_at && (self.health_check_passed || policy == TrialPolicy::WithoutHealthCheck)
    }

    /// Returns whether any read may be sent as a trial, without a health check, if no member of the group is
    /// up.
    pub fn is_last_resort_trial_due(&self, now: f64) -> bool {
        now >= self.next_trial_at - self.trial_interval_secs + FIRST_TRIAL_DELAY_SECS
    }

    /// Records that a read is sent as a trial, and schedules the next trial. `request_rate` is the rate of
    /// the proxy instance in requests per second.
    pub fn trial_started(&mut self, now: f64, request_rate: f64) {
        let max_interval =
            MAX_TRIAL_INTERVAL_SECS.max(1.0 / (MAX_TRIAL_SHARE * request_rate.max(MIN_REQUEST_RATE)));
        self.trial_interval_secs = (self.trial_interval_secs * 2.0).min(max_interval);
        self.next_trial_at = now + self.trial_interval_secs;
        self.health_check_passed = false;
    }

    /// Postpones the next trial after an attempt without a response.
    pub fn attempt_lost(&mut self, now: f64) {
        self.next_trial_at = self.next_trial_at.max(now + self.trial_interval_secs);
    }

    /// Records that a health check succeeded.
    pub fn health_check_succeeded(&mut self) {
        self.health_check_passed = true;
    }

    /// Records that a health check failed, and postpones the next trial.
    pub fn health_check_failed(&mut self, now: f64) {
        self.health_check_passed = false;
        self.cause = DownCause::Dead;
        self.trial_interval_secs = (self.trial_interval_secs * 2.0).min(MAX_TRIAL_INTERVAL_SECS);
        self.next_trial_at = now + self.trial_interval_secs;
    }
}
