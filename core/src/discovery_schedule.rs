//! Schedules this proxy instance's calls to the discovery service.
//!
//! All proxy instances share one discovery service, which answers calls one after another. A call that waits
//! too long fails, but its work is still done. So when more calls arrive than the service can answer, every
//! waiting call fails, and the retries keep the queue long. The instances don't know of each other's calls.
//! Each one therefore calls at a random time within a window that is long enough for the calls of all.
//!
//! The length of the window follows from the call rate that the service is taken to sustain. That rate is
//! halved when a call fails after a wait, and rises by a step when a call is answered at once: additive
//! increase and multiplicative decrease of a shared resource by users who can't communicate (Chiu and Jain
//! 1989), with slotted random access. A call that fails at once shows nothing of the queue.
//!
//! An instance that holds an endpoint list has to learn of changes in time. It shortens the window to that
//! end until a call has failed after a wait. An instance without a list keeps to the window.
//!
//! Owns the times of the calls and the assumed rate. Times are seconds on the engine's clock.

use crate::api::Settings;
use crate::time::secs;

/// Simultaneous calls that the service answers in time. A fleet of no more instances spreads no calls.
const MAX_BURST_CALLS: f64 = 20.0;
/// Calls a second, of all instances, that the service is assumed to sustain at first.
const INITIAL_RATE: f64 = 12.5;
/// Lower bound of the assumed rate, in calls a second.
const MIN_RATE: f64 = INITIAL_RATE * (1.0 / 64.0);
/// Upper bound of the assumed rate, in calls a second.
const MAX_RATE: f64 = INITIAL_RATE * 16.0;
/// Additive increase of the assumed rate for a call that is answered at once, in calls a second.
const RATE_STEP: f64 = 2.5;
/// Divisor of the assumed rate for a call that fails after a wait.
const RATE_DECREASE: f64 = 2.0;
/// A call that is answered within this time did not wait for others.
const MAX_IMMEDIATE_SECS: f64 = 0.15;
/// A call that fails after this time has waited for others.
const MIN_QUEUED_SECS: f64 = 0.5;
/// Upper bound of the window, however large the fleet is.
const MAX_WINDOW_SECS: f64 = 300.0;
/// Upper bound of the window of an instance that holds a list, as a share of the poll interval.
const MAX_WINDOW_SHARE: f64 = 0.8;
/// The random factor of the time until a retry lies between this and this plus 1.
const MIN_JITTER: f64 = 0.5;
/// The first backoff after a failure. It doubles with each further one.
const INITIAL_BACKOFF_SECS: f64 = 0.5;
/// Upper bound of the backoff, as a share of the poll interval.
const MAX_BACKOFF_SHARE: f64 = 0.25;
/// An instance counts as informed of a change this long after discovery can be reached again.
const NOTIFICATION_DEADLINE_SECS: f64 = 6.0;
/// Upper bound of the backoff, as a share of the notification deadline. Two calls with backoff and jitter fit
/// into the deadline, because one may fail just when the service returns.
const MAX_BACKOFF_DEADLINE_SHARE: f64 = 0.25;
/// A call without any result is repeated after this share of the poll interval.
const CALL_TIMEOUT_SHARE: f64 = 0.5;
/// Failures beyond this number do not increase the backoff.
const MAX_FAILURES: i32 = 16;

/// The schedule of one proxy instance's calls.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DiscoverySchedule {
    is_subscribed: bool,
    /// Whether the instance holds a list, be it a cached one.
    has_list: bool,
    /// When the call in progress was made.
    call_started_at: Option<f64>,
    next_call_at: Option<f64>,
    failures: i32,
    /// Whether the last window was shorter than the calls of all instances need.
    is_window_shortened: bool,
    /// Calls a second, of all instances, that the service is assumed to sustain.
    rate: f64,
}

/// The time over which the calls of all instances are spread.
struct CallWindow {
    secs: f64,
    /// Whether the calls of all instances need more time.
    is_shortened: bool,
}

impl Default for DiscoverySchedule {
    fn default() -> Self {
        Self {
            is_subscribed: false,
            has_list: false,
            call_started_at: None,
            next_call_at: None,
            failures: 0,
            is_window_shortened: false,
            rate: INITIAL_RATE,
        }
    }
}

impl DiscoverySchedule {
    /// Discovery sent an endpoint list or a change to it.
    pub fn update_received(&mut self, now: f64) {
        let call_started_at = self.call_started_at.take();
        if call_started_at.is_some_and(|started_at| now - started_at < MAX_IMMEDIATE_SECS) {
            self.rate = (self.rate + RATE_STEP).min(MAX_RATE);
        }
        self.is_subscribed = true;
        self.has_list = true;
        self.failures = 0;
    }

    /// An endpoint list was loaded from a cache or from another process.
    pub fn list_cached(&mut self) {
        self.is_subscribed = false;
        self.has_list = true;
    }

    /// A call failed, or the subscription ended. `random` gives random numbers from 0 to 1.
    pub fn call_failed(&mut self, now: f64, settings: &Settings, mut random: impl FnMut() -> f64) {
        let call_started_at = self.call_started_at.take();
        let was_queued = call_started_at.is_some_and(|started_at| now - started_at >= MIN_QUEUED_SECS);
        // With a shortened window more calls arrive than the service sustains, so failures are expected.
        if was_queued && !self.is_window_shortened {
            self.rate = (self.rate / RATE_DECREASE).max(MIN_RATE);
        }
        let window = self.window(settings, was_queued);
        // Even with the greatest jitter, a call is made within a shortened window.
        let interval_secs = if window.is_shortened { window.secs / (MIN_JITTER + 1.0) } else { window.secs };
        let delay_secs = self.backoff_secs(settings).max(interval_secs);
        self.is_window_shortened = window.is_shortened;
        self.is_subscribed = false;
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.next_call_at = Some(now + delay_secs * (MIN_JITTER + random()));
    }

    fn backoff_secs(&self, settings: &Settings) -> f64 {
        let max_secs = (MAX_BACKOFF_SHARE * secs(settings.rules.poll_interval))
            .min(MAX_BACKOFF_DEADLINE_SHARE * NOTIFICATION_DEADLINE_SECS);
        let backoff_secs = INITIAL_BACKOFF_SECS * 2f64.powi(self.failures);
        backoff_secs.min(max_secs).max(INITIAL_BACKOFF_SECS)
    }

    /// Whether a call is due. If so, the caller makes it at once. The first call comes after a random part of
    /// the window.
    pub fn is_call_due(&mut self, now: f64, settings: &Settings, random: impl FnOnce() -> f64) -> bool {
        if self.is_subscribed {
            return false;
        }
        if self.next_call_at.is_none() {
            let window = self.window(settings, false);
            self.next_call_at = Some(now + window.secs * random());
            self.is_window_shortened = window.is_shortened;
        }
        let is_due = self.next_call_at.is_some_and(|next_call_at| now >= next_call_at);
        if is_due {
            self.call_started_at = Some(now);
            self.next_call_at = Some(now + CALL_TIMEOUT_SHARE * secs(settings.rules.poll_interval));
        }
        is_due
    }

    /// The window for the next call. It is not shortened after a call that `was_queued`: a failed call counts
    /// as a poll for longer, and calls that fail inform no instance.
    fn window(&self, settings: &Settings, was_queued: bool) -> CallWindow {
        let spread_calls = (f64::from(settings.instance_count) - MAX_BURST_CALLS).max(0.0);
        let needed_secs = (spread_calls / self.rate).min(MAX_WINDOW_SECS);
        let max_secs = MAX_WINDOW_SHARE * secs(settings.rules.poll_interval);
        let is_shortened = self.has_list && !was_queued && needed_secs > max_secs;
        CallWindow { secs: if is_shortened { max_secs } else { needed_secs }, is_shortened }
    }
}

#[cfg(test)]
mod tests;
