//! Detection of process pauses by the delay of a periodic task.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Smallest delay of the periodic task that counts as a process pause.
const MIN_PAUSE: Duration = Duration::from_millis(150);

/// A process pause.
#[derive(Clone, Copy)]
struct Pause {
    ended_at: Instant,
    length: Duration,
}

/// Detects and records process pauses.
pub(super) struct PauseDetector {
    /// Interval of the periodic task.
    interval: Duration,
    last_run: Cell<Instant>,
    last_pause: Cell<Pause>,
}

impl PauseDetector {
    /// Creates a detector for a task that calls [`Self::record_run`] at `interval`.
    pub(super) fn new(interval: Duration) -> Self {
        let now = Instant::now();
        let no_pause = Pause { ended_at: now, length: Duration::ZERO };
        Self { interval, last_run: Cell::new(now), last_pause: Cell::new(no_pause) }
    }

    /// Records a run of the periodic task, and a pause if the run is late.
    pub(super) fn record_run(&self) {
        let delay = self.last_run.replace(Instant::now()).elapsed().saturating_sub(self.interval);
        if delay >= MIN_PAUSE {
            self.last_pause.set(Pause { ended_at: Instant::now(), length: delay });
        }
    }

    /// Returns the length of a pause that ended within the last interval, or zero if there was none.
    pub(super) fn recent_pause(&self) -> Duration {
        self.record_run();
        let pause = self.last_pause.get();
        if pause.ended_at.elapsed() < self.interval {
            pause.length
        } else {
            Duration::ZERO
        }
    }
}
