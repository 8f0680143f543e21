//! A server's window: how many attempts this gateway has in flight there at the most.
//!
//! Owns the parabola that is fitted to throughput over concurrency and the period in which it learns. It must
//! never count what is in flight, which its server's books do, and never choose a server.

use std::collections::BTreeMap;

pub(crate) const INITIAL_LIMIT: f64 = 16.0; // in-flight, over all gateways; a few a core of a small server
pub(crate) const MIN_LIMIT: f64 = 2.0; // in-flight; the design's floor
const MAX_LIMIT: f64 = 64.0; // in-flight; cm_max
const PERIOD_DONE: f64 = 20.0; // completions that make a period worth fitting
const PERIOD_LEAST: f64 = 1.0; // s
const PERIOD_MOST: f64 = 4.0; // s; an idle server's period
const PERIOD_WAITING: f64 = 4.0; // completions after which a full window with a queue is looked at again
const PEAKS_KEPT: usize = 8; // periods over which the peak is read: one quiet period is chance
const FORGET: f64 = 0.95; // memory of the fit for each period: about twenty of them
const LATE_SHARE: f64 = 0.7; // of a period's endings in time, under which its window is too wide
const LEVELS_NEEDED: usize = 4; // distinct windows without which a parabola is noise

/// A server's window: mplmax, and what the present period has shown.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    pub limit: f64,
    pub peak_in_flight: f64,
    pub recent_peaks: Vec<f64>,
    pub period_started_at: f64,
    pub record_completion: f64,
    pub completed_in_time: f64,
    pub is_period_valid: bool,
    pub shrink_target: Option<f64>,
    pub fit: crate::throughput_fit::ThroughputFit,
    pub throughput_by_level: BTreeMap<u32, f64>,
    pub completion_rate: Option<f64>,
}

impl ConcurrencyLimit {
    /// `share` is the part of the server's work that comes through this gateway.
    pub fn new(now: f64, share: f64) -> Self {
        Self::with_limit(now, (INITIAL_LIMIT * share).clamp(MIN_LIMIT, INITIAL_LIMIT / 2.0))
    }

    /// A window of this width, as another process had it.
    pub fn with_limit(now: f64, width: f64) -> Self {
        let width = if width.is_finite() { width } else { MIN_LIMIT };
        let max = width.clamp(MIN_LIMIT, MAX_LIMIT);
        Self {
            limit: max,
            recent_peaks: vec![max; PEAKS_KEPT],
            period_started_at: now,
            is_period_valid: true,
            ..Self::default()
        }
    }

    /// `good` if it came within its class's aim: a late answer is no throughput.
    pub fn record_completion(&mut self, good: bool) {
        self.record_completion += 1.0;
        self.completed_in_time += f64::from(u8::from(good));
        if let Some(to) = self.shrink_target.filter(|to| self.limit > *to) {
            self.limit = (self.limit - 1.0).max(to);
        }
    }

    /// Ends the period when it has seen enough, and sets the window from it. `waiting` is the design's r.
    pub fn end_period_if_due(&mut self, now: f64, in_flight: f64, waiting: f64) {
        let length = now - self.period_started_at;
        let pressed =
            waiting > 0.0 && self.peak_in_flight >= self.limit && self.record_completion >= PERIOD_WAITING;
        if !(pressed
            || length >= PERIOD_MOST
            || (length >= PERIOD_LEAST && self.record_completion >= PERIOD_DONE))
        {
            return;
        }
        // A server that was silent, failing or cold, or that did nothing, teaches the fit nothing.
        if self.is_period_valid && self.record_completion > 0.0 {
            let (m, throughput) = (self.peak_in_flight, self.completed_in_time / length.max(1e-3));
            self.completion_rate = Some(self.completion_rate.map_or(self.record_completion / length, |r| {
                r + 0.3 * (self.record_completion / length - r)
            }));
            self.fit.record(m, throughput, FORGET);
            let level = self.throughput_by_level.entry(m as u32).or_insert(throughput);
            *level += 0.3 * (throughput - *level);
            self.recent_peaks.rotate_right(1);
            self.recent_peaks[0] = self.peak_in_flight;
            let best = self
                .throughput_by_level
                .iter()
                .max_by(|a, b| a.1.total_cmp(b.1))
                .map_or(m, |l| f64::from(*l.0));
            let vertex = self.fit.vertex().filter(|_| self.throughput_by_level.len() >= LEVELS_NEEDED);
            let opt = vertex.unwrap_or_else(|| if waiting > 0.0 { best.max(self.limit) + 1.0 } else { best });
            let opt = opt.clamp(MIN_LIMIT, MAX_LIMIT);
            let current = self.recent_peaks.iter().fold(0.0, |a: f64, b| a.max(*b));
            self.shrink_target = None;
            // Where most answers come late the curve has no peak left to find: that is thrashing as well.
            let opt = if self.completed_in_time < LATE_SHARE * self.record_completion {
                opt.min(self.limit * 0.75)
            } else {
                opt
            };
            let opt = opt.max(MIN_LIMIT);
            if self.peak_in_flight >= self.limit && self.limit > opt {
                self.shrink_target = Some(opt);
            } else if self.peak_in_flight >= self.limit {
                self.limit += (opt - self.limit) * (waiting / (waiting + 2.0));
            } else {
                self.limit = self.limit.min(current);
            }
            self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
        }
        (
            self.period_started_at,
            self.record_completion,
            self.completed_in_time,
            self.peak_in_flight,
            self.is_period_valid,
        ) = (now, 0.0, 0.0, in_flight, true);
    }
}
