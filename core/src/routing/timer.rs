//! Schedules the engine's steps and its periodic maintenance.
//!
//! Owns the step timer, of which at most one is pending, and the time of the last maintenance. Times are
//! seconds on the engine's clock.

use std::time::Duration;

use crate::api::{Action, Settings, TimerId};
use crate::time::secs;

/// Interval between two maintenance runs in seconds.
const MAINTENANCE_INTERVAL_SECS: f64 = 0.05;
/// Upper bound of the elapsed time in seconds that one maintenance run accounts for.
const MAX_MAINTENANCE_SECS: f64 = 1.0;
/// Interval between steps in seconds while no request is open.
const IDLE_STEP_INTERVAL_SECS: f64 = 0.2;
/// Lower bound in seconds of the shortest step interval, for computing the interval while requests are
/// queued.
const MIN_QUEUE_STEP_SECS: f64 = 0.005;
/// Interval between steps while requests are queued, as a multiple of the shortest step interval.
const QUEUE_STEP_FACTOR: f64 = 2.0;
/// Tolerance in seconds: a pending timer is replaced if it is due later than needed by more than this.
const TIMER_TOLERANCE_SECS: f64 = 0.001;
/// Delay of a timer in seconds above which the process counts as paused.
const MIN_PAUSE_SECS: f64 = 0.1;

/// State of the open requests, which determines the interval until the next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Activity {
    /// No request is open.
    Idle,
    /// All open requests are in flight.
    InFlight,
    /// At least one request waits for a server.
    Queued,
}

/// The timer for the next step.
#[derive(Default)]
pub(super) struct StepTimer {
    due_at: Option<f64>,
    last_id: u64,
    pause_secs: f64,
}

impl StepTimer {
    /// Records the start of a step. A timer that is long overdue shows that the process was paused.
    pub fn step_started(&mut self, now: f64) {
        let overdue_secs = self.due_at.map_or(0.0, |due_at| now - due_at);
        self.pause_secs = if overdue_secs > MIN_PAUSE_SECS { overdue_secs } else { 0.0 };
    }

    /// Returns the seconds for which the process was paused before this step; 0 without a pause.
    pub fn pause_secs(&self) -> f64 {
        self.pause_secs
    }

    /// Records that a timer expired.
    pub fn fired(&mut self, id: TimerId) {
        if id.0 == self.last_id {
            self.due_at = None;
        }
    }

    /// Sets the timer, unless the pending one is due early enough.
    pub fn schedule(&mut self, now: f64, activity: Activity, settings: &Settings, actions: &mut Vec<Action>) {
        let after_secs = match activity {
            Activity::Idle => IDLE_STEP_INTERVAL_SECS,
            Activity::InFlight => MAINTENANCE_INTERVAL_SECS,
            Activity::Queued => QUEUE_STEP_FACTOR * secs(settings.min_step_interval).max(MIN_QUEUE_STEP_SECS),
        };
        let due_at = now + after_secs;
        let is_pending =
            self.due_at.is_some_and(|pending| pending <= due_at + TIMER_TOLERANCE_SECS && pending >= now);
        if !is_pending {
            self.last_id += 1;
            self.due_at = Some(due_at);
            let after = Duration::from_secs_f64(after_secs);
            actions.push(Action::SetTimer { after, id: TimerId(self.last_id) });
        }
    }
}

/// Time of the last maintenance run.
#[derive(Default)]
pub(super) struct MaintenanceSchedule {
    last_at: f64,
}

impl MaintenanceSchedule {
    /// Starts a maintenance run if one is due. Returns the elapsed seconds that the run accounts for.
    pub fn start_if_due(&mut self, now: f64) -> Option<f64> {
        let elapsed_secs = (now - self.last_at).min(MAX_MAINTENANCE_SECS);
        if elapsed_secs < MAINTENANCE_INTERVAL_SECS {
            return None;
        }
        self.last_at = now;
        Some(elapsed_secs)
    }
}
