//! Detects that the process was paused, from how late a periodic task runs.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Delay of the periodic task from which on the process counts as paused.
const MIN_PAUSE: Duration = Duration::from_millis(150);

/// The last process pause.
#[derive(Clone, Copy)]
struct Pause {
    ended_at: Instant,
    length: Duration,
}

/// Notes process pauses.
pub(super) struct PauseDetector {
    interval: Duration,
    last_run: Cell<Instant>,
    last_pause: Cell<Pause>,
}

impl PauseDetector {
    /// For a task that calls [`Self::record_run`] at this interval.
    pub(super) fn new(interval: Duration) -> Self {
        let now = Instant::now();
        let no_pause = Pause { ended_at: now, length: Duration::ZERO };
        Self { interval, last_run: Cell::new(now), last_pause: Cell::new(no_pause) }
    }

    /// The process runs now.
    pub(super) fn record_run(&self) {
        let delay = self.last_run.replace(Instant::now()).elapsed().saturating_sub(self.interval);
        if delay >= MIN_PAUSE {
            self.last_pause.set(Pause { ended_at: Instant::now(), length: delay });
        }
    }

    /// Length of a pause that ended just now; zero without one.
    pub(super) fn current_pause(&self) -> Duration {
        self.record_run();
        let pause = self.last_pause.get();
        if pause.ended_at.elapsed() < self.interval {
            pause.length
        } else {
            Duration::ZERO
        }
    }
}
