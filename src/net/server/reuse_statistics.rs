//! How often reused connections break at their next query, by how long they had been idle.
//!
//! Peers, or machines on the way, may drop a connection much sooner than the settings say, and show it by a
//! reset only when the next query arrives. Connections of an idle time at which that happens often are not
//! reused.

use std::time::Duration;

use crate::ewma::{Ewma, EwmaConfig};

/// Idle time under which a connection counts as fresh: what breaks it has other causes.
const FRESH_IDLE: Duration = Duration::from_millis(64);
/// Classes of idle time beyond that; the time doubles from one to the next.
const IDLE_CLASSES: usize = 8;
/// A class is avoided when its share of breaks exceeds that of fresh connections by this factor...
const MAX_BREAK_FACTOR: f64 = 2.0;
/// ...and by this share.
const MAX_BREAK_SHARE: f64 = 0.1;
const BREAK_SHARE: EwmaConfig = EwmaConfig { max_weight: 60.0, decay_secs: 20.0, prior_weight: 3.0 };

/// Shares of connections that broke, by idle time.
#[derive(Default)]
pub struct ReuseStatistics {
    fresh: Ewma,
    idle: [Ewma; IDLE_CLASSES],
}

impl ReuseStatistics {
    /// Records, at a time in seconds, whether a connection broke that had been idle for so long.
    pub fn record(&mut self, now: f64, idle_time: Duration, broke: bool) {
        let share = idle_class(idle_time).map_or(&mut self.fresh, |class| &mut self.idle[class]);
        share.record(now, f64::from(u8::from(broke)), &BREAK_SHARE);
    }

    /// The idle time from which on a connection should not be reused, if there is one.
    pub fn max_idle_time(&self, now: f64) -> Option<Duration> {
        let usual = self.fresh.estimate(now, 0.0, &BREAK_SHARE);
        let max_share = MAX_BREAK_FACTOR * usual + MAX_BREAK_SHARE;
        let breaks_often = |share: &Ewma| share.estimate(now, usual, &BREAK_SHARE) > max_share;
        self.idle.iter().position(breaks_often).map(|class| FRESH_IDLE * (1 << class))
    }
}

/// The class of an idle time; `None` for a fresh connection.
fn idle_class(idle_time: Duration) -> Option<usize> {
    let doublings = (idle_time.as_secs_f64() / FRESH_IDLE.as_secs_f64()).log2().floor();
    (doublings >= 0.0).then_some((doublings as usize).min(IDLE_CLASSES - 1))
}
