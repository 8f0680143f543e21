//! Estimates how long a failover will last from the durations of earlier failovers.
//!
//! Owns a bounded sample of durations for each kind of failover. The probability that a failover ends within
//! a given time is the share of the longer durations in the sample that end by then. One additional value
//! represents durations that the sample does not cover. For this value, the longer a failover has lasted, the
//! longer it is assumed to last from now on (the Lindy effect): after e seconds, the probability that the
//! failover ends within the next t seconds is t / (t + e), but at most 1/2. A failover that has outlasted the
//! whole sample is therefore expected to last about as long again. Times are seconds.

use crate::api::FailoverKind;

/// Maximum number of durations stored for each kind.
const MAX_SAMPLES: usize = 24;
/// Assumed durations of planned failovers before any was observed, in seconds. Each has the same weight as an
/// observed duration and is evicted first.
const PRIOR_PLANNED_SECS: [f64; 3] = [0.3, 0.5, 0.8];
/// Assumed durations of unplanned failovers before any was observed, in seconds.
const PRIOR_UNPLANNED_SECS: [f64; 3] = [3.0, 4.5, 6.0];
/// Longest duration of a planned failover, in seconds. A longer one counts as unplanned, because the primary
/// must have been lost during the handover without being observed.
const MAX_PLANNED_SECS: f64 = 2.0;
/// Lower bound of the expected remaining time of a failover that has outlasted the sample, in seconds.
const MIN_REMAINING_SECS: f64 = 0.1;

/// Durations of failovers by kind, in seconds, oldest first.
#[derive(Debug, Clone, PartialEq)]
pub struct FailoverDurations {
    planned: Vec<f64>,
    unplanned: Vec<f64>,
}

impl Default for FailoverDurations {
    fn default() -> Self {
        Self { planned: PRIOR_PLANNED_SECS.to_vec(), unplanned: PRIOR_UNPLANNED_SECS.to_vec() }
    }
}

/// Forecast of when a failover in progress ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryForecast<'sample> {
    sample: &'sample [f64],
    elapsed_secs: f64,
}

impl FailoverDurations {
    /// Returns an empty sample without the assumed durations.
    pub fn empty() -> Self {
        Self { planned: Vec::new(), unplanned: Vec::new() }
    }

    /// Adds the duration of a failover. Ignores values that are negative or not finite.
    pub fn record(&mut self, kind: FailoverKind, duration_secs: f64) {
        if !duration_secs.is_finite() || duration_secs < 0.0 {
            return;
        }
        let is_planned = kind == FailoverKind::Planned && duration_secs <= MAX_PLANNED_SECS;
        let sample = if is_planned { &mut self.planned } else { &mut self.unplanned };
        sample.push(duration_secs);
        let excess = sample.len().saturating_sub(MAX_SAMPLES);
        sample.drain(..excess);
    }

    /// Returns the forecast for a failover that began `elapsed_secs` ago.
    pub fn forecast(&self, kind: FailoverKind, elapsed_secs: f64) -> RecoveryForecast<'_> {
        RecoveryForecast { sample: self.sample(kind), elapsed_secs: elapsed_secs.max(0.0) }
    }

    /// Returns the shortest stored duration of a kind in seconds; infinite if there is none.
    pub fn shortest(&self, kind: FailoverKind) -> f64 {
        self.sample(kind).iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Returns the stored durations of a kind in seconds, oldest first.
    pub fn sample(&self, kind: FailoverKind) -> &[f64] {
        match kind {
            FailoverKind::Planned => &self.planned,
            FailoverKind::Unplanned => &self.unplanned,
        }
    }

    /// Adds the durations stored by another process of this proxy instance.
    pub fn restore(&mut self, kind: FailoverKind, sample: &[f64]) {
        sample.iter().for_each(|duration_secs| self.record(kind, *duration_secs));
    }
}

impl RecoveryForecast<'_> {
    /// Returns the stored durations that are longer than the elapsed time of the failover.
    fn longer_durations(&self) -> impl Iterator<Item = f64> + '_ {
        self.sample.iter().copied().filter(|duration| *duration > self.elapsed_secs)
    }

    /// Returns the probability that the failover ends within `within_secs` from now.
    pub fn chance_within(&self, within_secs: f64) -> f64 {
        if within_secs <= 0.0 {
            return 0.0;
        }
        let mut longer = 0u32;
        let mut ended_in_time = 0u32;
        for duration in self.longer_durations() {
            longer += 1;
            ended_in_time += u32::from(duration <= self.elapsed_secs + within_secs);
        }
        // Probability for durations that the sample does not cover: 1/2 if `within_secs` is at least the
        // elapsed time, and lower otherwise.
        let uncovered_chance = within_secs / (within_secs + self.elapsed_secs.max(within_secs));
        (f64::from(ended_in_time) + uncovered_chance) / (f64::from(longer) + 1.0)
    }

    /// Returns the time in seconds from now by which `share` of such failovers have ended.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut longer: Vec<f64> = self.longer_durations().collect();
        longer.sort_by(f64::total_cmp);
        let rank = (share.clamp(0.0, 1.0) * longer.len() as f64).ceil() as usize;
        match longer.get(rank.saturating_sub(1)) {
            Some(duration) => duration - self.elapsed_secs,
            // The failover has outlasted the sample. The median remaining time is then assumed to be the
            // elapsed time, and is returned for every `share`.
            None => self.elapsed_secs.max(MIN_REMAINING_SECS),
        }
    }
}

#[cfg(test)]
mod tests;
