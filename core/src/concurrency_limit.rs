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
    pub max: f64,
    pub peak: f64,
    pub peaks: Vec<f64>,
    pub began: f64,
    pub done: f64,
    pub good: f64,
    pub clean: bool,
    pub thrash_to: Option<f64>,
    pub fit: crate::throughput_fit::ThroughputFit,
    pub levels: BTreeMap<u32, f64>,
    pub rate: Option<f64>,
}

impl ConcurrencyLimit {
    /// `share` is the part of the server's work that comes through this gateway.
    pub fn new(now: f64, share: f64) -> Self {
        Self::of(now, (INITIAL_LIMIT * share).clamp(MIN_LIMIT, INITIAL_LIMIT / 2.0))
    }

    /// A window of this width, as another process had it.
    pub fn of(now: f64, width: f64) -> Self {
        let width = if width.is_finite() { width } else { MIN_LIMIT };
        let max = width.clamp(MIN_LIMIT, MAX_LIMIT);
        Self { max, peaks: vec![max; PEAKS_KEPT], began: now, clean: true, ..Self::default() }
    }

    /// `good` if it came within its class's aim: a late answer is no throughput.
    pub fn completed(&mut self, good: bool) {
        self.done += 1.0;
        self.good += f64::from(u8::from(good));
        if let Some(to) = self.thrash_to.filter(|to| self.max > *to) {
            self.max = (self.max - 1.0).max(to);
        }
    }

    /// Ends the period when it has seen enough, and sets the window from it. `waiting` is the design's r.
    pub fn period(&mut self, now: f64, in_flight: f64, waiting: f64) {
        let length = now - self.began;
        let pressed = waiting > 0.0 && self.peak >= self.max && self.done >= PERIOD_WAITING;
        if !(pressed || length >= PERIOD_MOST || (length >= PERIOD_LEAST && self.done >= PERIOD_DONE)) {
            return;
        }
        // A server that was silent, failing or cold, or that did nothing, teaches the fit nothing.
        if self.clean && self.done > 0.0 {
            let (m, throughput) = (self.peak, self.good / length.max(1e-3));
            self.rate = Some(self.rate.map_or(self.done / length, |r| r + 0.3 * (self.done / length - r)));
            self.fit.learn(m, throughput, FORGET);
            let level = self.levels.entry(m as u32).or_insert(throughput);
            *level += 0.3 * (throughput - *level);
            self.peaks.rotate_right(1);
            self.peaks[0] = self.peak;
            let best = self.levels.iter().max_by(|a, b| a.1.total_cmp(b.1)).map_or(m, |l| f64::from(*l.0));
            let vertex = self.fit.vertex().filter(|_| self.levels.len() >= LEVELS_NEEDED);
            let opt = vertex.unwrap_or_else(|| if waiting > 0.0 { best.max(self.max) + 1.0 } else { best });
            let opt = opt.clamp(MIN_LIMIT, MAX_LIMIT);
            let current = self.peaks.iter().fold(0.0, |a: f64, b| a.max(*b));
            self.thrash_to = None;
            // Where most answers come late the curve has no peak left to find: that is thrashing as well.
            let opt = if self.good < LATE_SHARE * self.done { opt.min(self.max * 0.75) } else { opt };
            let opt = opt.max(MIN_LIMIT);
            if self.peak >= self.max && self.max > opt {
                self.thrash_to = Some(opt);
            } else if self.peak >= self.max {
                self.max += (opt - self.max) * (waiting / (waiting + 2.0));
            } else {
                self.max = self.max.min(current);
            }
            self.max = self.max.clamp(MIN_LIMIT, MAX_LIMIT);
        }
        (self.began, self.done, self.good, self.peak, self.clean) = (now, 0.0, 0.0, in_flight, true);
    }
}
