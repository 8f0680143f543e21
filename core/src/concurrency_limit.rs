//! Adaptive concurrency limit of one server: the number of attempts that this proxy instance
//! may have in flight there.
//!
//! The limit is set at the end of each measurement period, from a parabola that is fitted to throughput over
//! concurrency. Only completions in time count as throughput: successful responses within a share of the
//! latency objective, which the caller sets. The caller counts the attempts in flight; this module owns the
//! limit, the fit and the observations of the current period. Times are seconds on the engine's clock.

use std::collections::BTreeMap;

use crate::throughput_fit::ThroughputFit;

/// Initial limit, in attempts of all proxy instances together: a few for each core of a small server.
pub(crate) const INITIAL_LIMIT: f64 = 16.0;
/// Lower bound of the limit, in attempts.
pub(crate) const MIN_LIMIT: f64 = 2.0;
/// Upper bound of the limit, in attempts.
const MAX_LIMIT: f64 = 64.0;
/// Completions after which a period ends, if it has lasted for [`MIN_PERIOD_SECS`].
const MIN_PERIOD_COMPLETIONS: f64 = 20.0;
/// Minimum duration of a period, in seconds, unless requests wait for a server at its limit.
const MIN_PERIOD_SECS: f64 = 1.0;
/// Duration, in seconds, after which a period always ends.
const MAX_PERIOD_SECS: f64 = 4.0;
/// Completions after which a period ends early if requests wait for a server at its limit.
const MIN_SATURATED_COMPLETIONS: f64 = 4.0;
/// Number of periods over which the peak concurrency is taken, so that one quiet period
/// does not lower the limit.
const PEAK_PERIODS: usize = 8;
/// Factor by which the weight of earlier observations in the fit is multiplied in each period.
const FORGETTING_FACTOR: f64 = 0.95;
/// Weight of the newest period in the mean throughput of its concurrency level.
const LEVEL_GAIN: f64 = 0.3;
/// Share of completions in time below which the limit counts as too high.
const MIN_IN_TIME_SHARE: f64 = 0.7;
/// Bound of the target limit, as a multiple of the current limit, if the share of completions in time is
/// below [`MIN_IN_TIME_SHARE`].
const OVERLOAD_FACTOR: f64 = 0.75;
/// Number of concurrency levels that must have been observed before the fit is used.
const MIN_LEVELS: usize = 4;
/// Lower bound of the period that a throughput is computed over, in seconds. It prevents a division by zero.
const MIN_RATE_PERIOD_SECS: f64 = 1e-3;
/// Number of waiting requests at which the limit moves half of the way to its target.
const HALF_STEP_WAITING: f64 = 2.0;

/// Concurrency limit of a server and the observations of the current period.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    /// Limit, in attempts in flight.
    pub limit: f64,
    /// Highest number of attempts in flight in this period.
    pub peak_in_flight: f64,
    /// Whether the fit may use this period. The caller clears this if the server was down or warming up.
    pub is_period_valid: bool,
    /// `peak_in_flight` of the last periods, newest first.
    recent_peaks: Vec<f64>,
    period_started_at: f64,
    completed: f64,
    completed_in_time: f64,
    /// Target to which the limit decreases by one attempt with each completion. `None` if
    /// the limit is not decreasing.
    shrink_target: Option<f64>,
    fit: ThroughputFit,
    /// Mean throughput, in responses a second, by concurrency level.
    throughput_by_level: BTreeMap<u32, f64>,
}

impl ConcurrencyLimit {
    /// Creates the initial limit. `share` is the share of the server's load that this proxy instance sends.
    pub fn new(now: f64, share: f64) -> Self {
        Self::with_limit(now, (INITIAL_LIMIT * share).clamp(MIN_LIMIT, INITIAL_LIMIT / 2.0))
    }

    /// Restores a limit from another process. The value is clamped to the bounds; a value that is not finite
    /// becomes the lower bound.
    pub fn with_limit(now: f64, limit: f64) -> Self {
        let limit = if limit.is_finite() { limit } else { MIN_LIMIT };
        let limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        Self {
            limit,
            recent_peaks: vec![limit; PEAK_PERIODS],
            period_started_at: now,
            is_period_valid: true,
            ..Self::default()
        }
    }

    /// Records a completed attempt. `in_time` says whether it counts as throughput.
    pub fn record_completion(&mut self, in_time: bool) {
        self.completed += 1.0;
        self.completed_in_time += f64::from(u8::from(in_time));
        if let Some(target) = self.shrink_target.filter(|target| self.limit > *target) {
            self.limit = (self.limit - 1.0).max(target);
        }
    }

    /// Ends the period if it is long enough, and sets the limit from its observations. `in_flight` is the
    /// number of attempts in flight, `waiting` the number of requests that wait for the server.
    pub fn end_period_if_due(&mut self, now: f64, in_flight: f64, waiting: f64) {
        let period_secs = now - self.period_started_at;
        if !self.is_period_over(period_secs, waiting) {
            return;
        }
        if self.is_period_valid && self.completed > 0.0 {
            self.record_period(period_secs);
            self.adjust_limit(waiting);
        }
        self.period_started_at = now;
        self.completed = 0.0;
        self.completed_in_time = 0.0;
        self.peak_in_flight = in_flight;
        self.is_period_valid = true;
    }

    fn is_period_over(&self, period_secs: f64, waiting: f64) -> bool {
        let is_saturated = waiting > 0.0 && self.peak_in_flight >= self.limit;
        (is_saturated && self.completed >= MIN_SATURATED_COMPLETIONS)
            || period_secs >= MAX_PERIOD_SECS
            || (period_secs >= MIN_PERIOD_SECS && self.completed >= MIN_PERIOD_COMPLETIONS)
    }

    fn record_period(&mut self, period_secs: f64) {
        let concurrency = self.peak_in_flight;
        let throughput = self.completed_in_time / period_secs.max(MIN_RATE_PERIOD_SECS);
        self.fit.record(concurrency, throughput, FORGETTING_FACTOR);
        let mean = self.throughput_by_level.entry(concurrency as u32).or_insert(throughput);
        *mean += LEVEL_GAIN * (throughput - *mean);
        self.recent_peaks.rotate_right(1);
        self.recent_peaks[0] = concurrency;
    }

    fn adjust_limit(&mut self, waiting: f64) {
        let target = self.target_limit(waiting);
        let is_at_limit = self.peak_in_flight >= self.limit;
        self.shrink_target = None;
        if is_at_limit && self.limit > target {
            self.shrink_target = Some(target);
        } else if is_at_limit {
            self.limit += (target - self.limit) * (waiting / (waiting + HALF_STEP_WAITING));
        } else {
            let highest_peak = self.recent_peaks.iter().fold(0.0, |highest: f64, peak| highest.max(*peak));
            self.limit = self.limit.min(highest_peak);
        }
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Returns the concurrency with the highest throughput. While the fit has no peak, this is the best
    /// observed level, or, if requests wait, one attempt more than the higher of that level and the limit.
    fn target_limit(&self, waiting: f64) -> f64 {
        let target = self.fitted_peak().unwrap_or_else(|| {
            let best_level = self.best_level();
            if waiting > 0.0 {
                best_level.max(self.limit) + 1.0
            } else {
                best_level
            }
        });
        let target = target.clamp(MIN_LIMIT, MAX_LIMIT);
        // If many completions are late, the throughput over concurrency has no usable peak.
        let is_overloaded = self.completed_in_time < MIN_IN_TIME_SHARE * self.completed;
        let target = if is_overloaded { target.min(self.limit * OVERLOAD_FACTOR) } else { target };
        target.max(MIN_LIMIT)
    }

    fn fitted_peak(&self) -> Option<f64> {
        self.fit.vertex().filter(|_| self.throughput_by_level.len() >= MIN_LEVELS)
    }

    /// Returns the observed concurrency level with the highest mean throughput.
    fn best_level(&self) -> f64 {
        let best = self.throughput_by_level.iter().max_by(|left, right| left.1.total_cmp(right.1));
        best.map_or(self.peak_in_flight, |(level, _)| f64::from(*level))
    }
}
