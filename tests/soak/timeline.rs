//! What happened in a soak, and when. It is printed with the violations of a seed.

use std::fmt;
use std::time::{Duration, Instant};

/// Something that happened, and the time since the start of the soak.
#[derive(Debug)]
struct TimelineEntry {
    at: Duration,
    what: String,
}

/// Events of a soak and of its processes, in order.
#[derive(Debug)]
pub struct Timeline {
    started_at: Instant,
    entries: Vec<TimelineEntry>,
}

impl Timeline {
    pub fn start() -> Self {
        Self { started_at: Instant::now(), entries: Vec::new() }
    }

    pub fn record(&mut self, what: impl Into<String>) {
        self.entries.push(TimelineEntry { at: self.started_at.elapsed(), what: what.into() });
    }

    /// Returns the time from the start of the soak to `at`.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started_at)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut entries = self.entries.iter();
        entries.try_for_each(|entry| writeln!(f, "{:8.3} s {}", entry.at.as_secs_f64(), entry.what))
    }
}
