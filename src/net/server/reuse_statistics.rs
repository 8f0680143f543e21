//! Statistics of how often a connection breaks at the next query, by the idle time before the query.
//!
//! Servers and network devices may drop an idle connection long before the idle timeout in the settings. The
//! proxy then sees a reset only when it sends the next query. Connections are not reused after an idle time
//! at which this happens often.

use std::time::Duration;

use crate::ewma::{Ewma, EwmaConfig};

/// Idle time below which a connection counts as fresh. A fresh connection that breaks has not broken because
/// of its idle time.
const FRESH_IDLE: Duration = Duration::from_millis(64);
/// Number of buckets for idle times from [`FRESH_IDLE`] on. The lower bound doubles from each bucket to the
/// next.
const IDLE_BUCKETS: usize = 8;
/// Factor in the limit on the share of breaks in a bucket. The limit is the share of breaks among fresh
/// connections times this factor, plus [`MAX_BREAK_SHARE`]. Connections in a bucket above the limit are not
/// reused.
const MAX_BREAK_FACTOR: f64 = 2.0;
/// Constant part of the limit on the share of breaks, from 0 to 1; see [`MAX_BREAK_FACTOR`].
const MAX_BREAK_SHARE: f64 = 0.1;
const BREAK_SHARE: EwmaConfig = EwmaConfig { max_weight: 60.0, decay_secs: 20.0, prior_weight: 3.0 };

/// Shares of connections that broke at their next query, by idle time.
#[derive(Default)]
pub struct ReuseStatistics {
    fresh: Ewma,
    idle: [Ewma; IDLE_BUCKETS],
}

impl ReuseStatistics {
    /// Records whether a connection broke at the query that followed `idle_time`. A new connection has been
    /// idle since it was established. `now` is in seconds.
    pub fn record(&mut self, now: f64, idle_time: Duration, broke: bool) {
        let share = idle_bucket(idle_time).map_or(&mut self.fresh, |bucket| &mut self.idle[bucket]);
        share.record(now, f64::from(u8::from(broke)), &BREAK_SHARE);
    }

    /// Returns the idle time at or above which connections are not reused, because they break too often;
    /// `None` for no limit. `now` is in seconds.
    pub fn max_idle_time(&self, now: f64) -> Option<Duration> {
        let fresh_share = self.fresh.estimate(now, 0.0, &BREAK_SHARE);
        let max_share = MAX_BREAK_FACTOR * fresh_share + MAX_BREAK_SHARE;
        let breaks_often = |share: &Ewma| share.estimate(now, fresh_share, &BREAK_SHARE) > max_share;
        self.idle.iter().position(breaks_often).map(|bucket| FRESH_IDLE * (1 << bucket))
    }
}

/// Returns the index of the bucket of an idle time; `None` for a fresh connection.
fn idle_bucket(idle_time: Duration) -> Option<usize> {
    let doublings = (idle_time.as_secs_f64() / FRESH_IDLE.as_secs_f64()).log2().floor();
    (doublings >= 0.0).then_some((doublings as usize).min(IDLE_BUCKETS - 1))
}
