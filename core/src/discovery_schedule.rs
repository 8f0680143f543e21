//! Schedules this proxy instance's calls to the discovery service.
//!
//! All proxy instances share one discovery service, which answers calls one after another. A call that waits
//! too long in the service's queue times out, but the service still processes it. If calls arrive faster than
//! the service answers them, all queued calls time out, and their retries keep the queue long. The instances
//! don't see each other's calls. Each instance therefore calls at a random time within a window that is long
//! enough for one call of every instance.
//!
//! The length of the window is derived from the call rate that the service is assumed to sustain. That rate
//! is halved when a call fails after a wait in the queue, and is increased by a constant when a call is
//! answered at once: additive increase and multiplicative decrease, for a resource shared by users that can't
//! communicate (Chiu and Jain 1989), combined with slotted random access. A call that fails at once gives no
//! information about the queue, so the rate stays as it is.
//!
//! An instance that has an endpoint list must receive its changes in time, also those from shortly before its
//! start, so the instance uses a shorter window until a call fails after a wait in the queue. An instance
//! without a list always uses the full window.
//!
//! This module owns the times of the calls and the assumed rate. Times are seconds on the engine's clock.

use crate::api::Settings;
use crate::time::secs;

/// Number of simultaneous calls that the service answers in time. A fleet of at most so many instances does
/// not spread its calls.
const MAX_BURST_CALLS: f64 = 20.0;
/// Initial value of the assumed rate, in calls a second of all instances.
const INITIAL_RATE: f64 = 12.5;
/// Lower bound of the assumed rate, in calls a second.
const MIN_RATE: f64 = INITIAL_RATE * (1.0 / 64.0);
/// Upper bound of the assumed rate, in calls a second.
const MAX_RATE: f64 = INITIAL_RATE * 16.0;
/// Additive increase of the assumed rate when a call is answered at once, in calls a second.
const RATE_STEP: f64 = 2.5;
/// Divisor of the assumed rate when a call fails after a wait in the queue.
const RATE_DECREASE: f64 = 2.0;
/// A call that is answered within this time, in seconds, did not wait in the queue.
const MAX_IMMEDIATE_SECS: f64 = 0.15;
/// A call that fails after at least this time, in seconds, has waited in the queue.
const MIN_QUEUED_SECS: f64 = 0.5;
/// Upper bound of the window in a fleet of any size, in seconds.
const MAX_WINDOW_SECS: f64 = 300.0;
/// Upper bound of the window of an instance that has a list, as a share of the poll interval and, for the
/// first call and the call after a broken subscription, of the notification deadline. The rest of that time
/// is for the call, and for changes of the list from just before the start of the instance.
const MAX_WINDOW_SHARE: f64 = 0.8;
/// Lower bound of the random factor of the time until a retry. The upper bound is higher by 1.
const MIN_JITTER: f64 = 0.5;
/// Backoff after the first failure, in seconds. It doubles with each further failure.
const INITIAL_BACKOFF_SECS: f64 = 0.5;
/// Upper bound of the backoff, as a share of the poll interval.
const MAX_BACKOFF_SHARE: f64 = 0.25;
/// Time within which an instance must receive a change of the list, or an update after the discovery service
/// has recovered from an outage, in seconds.
const NOTIFICATION_DEADLINE_SECS: f64 = 6.0;
/// Upper bound of the backoff, as a share of the notification deadline. Two calls with backoff and jitter
/// must fit into the deadline, because the first call may fail just as the service recovers.
const MAX_BACKOFF_DEADLINE_SHARE: f64 = 0.25;
/// Time after which a call without a result is repeated, as a share of the poll interval.
const CALL_TIMEOUT_SHARE: f64 = 0.5;
/// Number of consecutive failures beyond which the backoff does not increase.
const MAX_FAILURES: i32 = 16;

/// Schedule of the calls of one proxy instance.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DiscoverySchedule {
    is_subscribed: bool,
    /// Whether the instance has an endpoint list, received or cached.
    has_list: bool,
    /// Start of the call in progress. `None` if there is none.
    call_started_at: Option<f64>,
    next_call_at: Option<f64>,
    failures: i32,
    /// Whether the last window was too short for the calls of all instances.
    is_window_shortened: bool,
    /// Time until which the service is assumed to work on the calls of all instances in the last window that
    /// the notification deadline bounds, including those that have timed out. 0 before the first window.
    backlog_ends_at: f64,
    /// Rate that the service is assumed to sustain, in calls a second of all instances.
    rate: f64,
}

/// Time window over which the calls of all instances are spread.
struct CallWindow {
    secs: f64,
    /// Time that the service is assumed to need for the calls of all instances.
    needed_secs: f64,
    /// Whether the window is too short for the calls of all instances.
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
            backlog_ends_at: 0.0,
            rate: INITIAL_RATE,
        }
    }
}

impl DiscoverySchedule {
    /// Records that discovery sent an endpoint list or a change of it.
    pub fn update_received(&mut self, now: f64) {
        let call_started_at = self.call_started_at.take();
        if call_started_at.is_some_and(|started_at| now - started_at < MAX_IMMEDIATE_SECS) {
            self.rate = (self.rate + RATE_STEP).min(MAX_RATE);
        }
        self.is_subscribed = true;
        self.has_list = true;
        self.failures = 0;
    }

    /// Records that an endpoint list was loaded from a cache or from another process.
    pub fn list_cached(&mut self) {
        self.is_subscribed = false;
        self.has_list = true;
    }

    /// Records that a call failed or that the subscription ended, and schedules the next call. `random`
    /// returns random numbers from 0 to 1.
    pub fn call_failed(&mut self, now: f64, settings: &Settings, random: impl FnOnce() -> f64) {
        if std::mem::take(&mut self.is_subscribed) {
            self.subscription_broken(now, settings, random());
        } else {
            self.retry_later(now, settings, random());
        }
    }

    /// Schedules the call that replaces a broken subscription. What the subscription no longer delivers
    /// counts as known after the notification deadline, so the call is due as soon after the break as a first
    /// call after the start. `jitter` is a random number from 0 to 1.
    fn subscription_broken(&mut self, now: f64, settings: &Settings, jitter: f64) {
        let window = self.notification_window(now, settings);
        let backoff_secs = self.backoff_secs(settings);
        self.failures = 1;
        self.next_call_at = Some(now + backoff_secs * MIN_JITTER + backoff_secs.max(window.secs) * jitter);
    }

    /// Schedules the call after one that has failed. `jitter` is a random number from 0 to 1.
    fn retry_later(&mut self, now: f64, settings: &Settings, jitter: f64) {
        let call_started_at = self.call_started_at.take();
        let was_queued = call_started_at.is_some_and(|started_at| now - started_at >= MIN_QUEUED_SECS);
        // With a shortened window, calls arrive faster than the service answers them: a failure is expected
        // and says nothing about the rate.
        if was_queued && !self.is_window_shortened {
            self.rate = (self.rate / RATE_DECREASE).max(MIN_RATE);
        }
        let window = self.window(settings, secs(settings.rules.poll_interval), was_queued);
        // Divides by the highest jitter, so that the call always falls within the shortened window.
        let interval_secs = if window.is_shortened { window.secs / (MIN_JITTER + 1.0) } else { window.secs };
        let delay_secs = self.backoff_secs(settings).max(interval_secs) * (MIN_JITTER + jitter);
        // A call that reaches the service before it has worked off the backlog would fail again.
        let backlog_secs = if was_queued { (self.backlog_ends_at - now).max(0.0) } else { 0.0 };
        self.is_window_shortened = window.is_shortened;
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.next_call_at = Some(now + delay_secs.max(backlog_secs + interval_secs * jitter));
    }

    fn backoff_secs(&self, settings: &Settings) -> f64 {
        let max_secs = (MAX_BACKOFF_SHARE * secs(settings.rules.poll_interval))
            .min(MAX_BACKOFF_DEADLINE_SHARE * NOTIFICATION_DEADLINE_SECS);
        let backoff_secs = INITIAL_BACKOFF_SECS * 2f64.powi(self.failures);
        backoff_secs.min(max_secs).max(INITIAL_BACKOFF_SECS)
    }

    /// Returns whether a call is due. If so, the caller must make it at once. The first call is due at a
    /// random time within the window.
    pub fn is_call_due(&mut self, now: f64, settings: &Settings, random: impl FnOnce() -> f64) -> bool {
        if self.is_subscribed {
            return false;
        }
        if self.next_call_at.is_none() {
            // The list may have changed just before the start.
            let window = self.notification_window(now, settings);
            self.next_call_at = Some(now + window.secs * random());
        }
        let is_due = self.next_call_at.is_some_and(|next_call_at| now >= next_call_at);
        if is_due {
            self.call_started_at = Some(now);
            self.next_call_at = Some(now + CALL_TIMEOUT_SHARE * secs(settings.rules.poll_interval));
        }
        is_due
    }

    /// Returns the window for a call that must be made within the notification deadline. All instances may
    /// make theirs in this window, so the service is assumed to work on them for the time that they need.
    fn notification_window(&mut self, now: f64, settings: &Settings) -> CallWindow {
        let limit_secs = secs(settings.rules.poll_interval).min(NOTIFICATION_DEADLINE_SECS);
        let window = self.window(settings, limit_secs, false);
        self.is_window_shortened = window.is_shortened;
        self.backlog_ends_at = now + window.needed_secs;
        window
    }

    /// Returns the window for the next call. An instance that has a list must make it within a share of
    /// `limit_secs`. `was_queued` says whether the last call failed after a wait in the queue. The window is
    /// then not shortened: a failed call still counts as a poll, so the next poll is required later, and a
    /// shorter window would only cause more calls that fail and deliver no update.
    fn window(&self, settings: &Settings, limit_secs: f64, was_queued: bool) -> CallWindow {
        let spread_calls = (f64::from(settings.instance_count) - MAX_BURST_CALLS).max(0.0);
        let needed_secs = (spread_calls / self.rate).min(MAX_WINDOW_SECS);
        let max_secs = MAX_WINDOW_SHARE * limit_secs;
        let is_shortened = self.has_list && !was_queued && needed_secs > max_secs;
        CallWindow { secs: if is_shortened { max_secs } else { needed_secs }, needed_secs, is_shortened }
    }
}

#[cfg(test)]
mod tests;
