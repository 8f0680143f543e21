//! When a set will take writes again: learned from how long its changes took, and honest about the spread.
//!
//! Owns a sample of durations for each kind of change. The chance of an end within some time is the share of
//! the sample's longer durations that end by then, with every value weighed by how many there are; a change
//! that has outlasted the whole sample is expected to last about as long again (the Lindy rule: the chance of
//! an end within t after e is t / (t + e)). It must never promise what no change has shown.

use crate::api::FailoverKind;

/// Durations that are remembered for each kind.
const KEPT: usize = 24;
/// What is taken for a sample before any change: s of planned and of unplanned ones. They weigh as single
/// values, and the oldest go first.
const GUESS_PLANNED: [f64; 3] = [0.3, 0.5, 0.8];
const GUESS_UNPLANNED: [f64; 3] = [3.0, 4.5, 6.0];

/// A handover that took longer was none: its primary was lost in the middle, though nobody saw when. In s.
const PLANNED_MOST: f64 = 2.0;

/// Durations of changes, by kind.
#[derive(Debug, Clone, PartialEq)]
pub struct FailoverDurations {
    planned: Vec<f64>,
    unplanned: Vec<f64>,
}

impl Default for FailoverDurations {
    fn default() -> Self {
        Self { planned: GUESS_PLANNED.to_vec(), unplanned: GUESS_UNPLANNED.to_vec() }
    }
}

/// What is expected of a change that is under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryForecast<'f> {
    sample: &'f [f64],
    /// How long it has lasted, in s.
    elapsed: f64,
}

impl FailoverDurations {
    /// One that knows nothing, not even a guess.
    pub fn empty() -> Self {
        Self { planned: Vec::new(), unplanned: Vec::new() }
    }

    /// Learns how long a change took, in s.
    pub fn record(&mut self, change: FailoverKind, took: f64) {
        if !took.is_finite() || took < 0.0 {
            return;
        }
        let planned = change == FailoverKind::Planned && took <= PLANNED_MOST;
        let sample = if planned { &mut self.planned } else { &mut self.unplanned };
        sample.push(took);
        let over = sample.len().saturating_sub(KEPT);
        sample.drain(..over);
    }

    /// The outlook on a change of a kind that has lasted so many seconds.
    pub fn forecast(&self, change: FailoverKind, elapsed: f64) -> RecoveryForecast<'_> {
        let sample = match change {
            FailoverKind::Planned => &self.planned[..],
            FailoverKind::Unplanned => &self.unplanned[..],
        };
        RecoveryForecast { sample, elapsed: elapsed.max(0.0) }
    }

    /// The shortest duration of a kind that is remembered, in s.
    pub fn shortest(&self, change: FailoverKind) -> f64 {
        self.sample(change).iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// The durations of a kind, oldest first.
    pub fn sample(&self, change: FailoverKind) -> &[f64] {
        self.forecast(change, 0.0).sample
    }

    /// Takes over what another process has learned.
    pub fn restore(&mut self, change: FailoverKind, sample: &[f64]) {
        sample.iter().for_each(|took| self.record(change, *took));
    }
}

impl RecoveryForecast<'_> {
    /// The chance that it ends within so many seconds from now.
    pub fn chance_within(&self, within: f64) -> f64 {
        if within <= 0.0 {
            return 0.0;
        }
        let longer = self.sample.iter().filter(|d| **d > self.elapsed);
        let (all, by_then) = longer
            .fold((0u32, 0u32), |(all, ended), d| (all + 1, ended + u32::from(*d <= self.elapsed + within)));
        // One more value stands for what the sample does not know: a change that lasts.
        let lindy = within / (within + self.elapsed.max(within));
        (f64::from(by_then) + lindy) / (f64::from(all) + 1.0)
    }

    /// The time from now by which the given share of such changes has ended, in s.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut longer: Vec<f64> = self.sample.iter().copied().filter(|d| *d > self.elapsed).collect();
        longer.sort_by(f64::total_cmp);
        let rank = (share.clamp(0.0, 1.0) * longer.len() as f64).ceil() as usize;
        match longer.get(rank.saturating_sub(1)) {
            Some(duration) => duration - self.elapsed,
            None => self.elapsed.max(0.1), // it has outlasted all: as long again
        }
    }
}

#[cfg(test)]
mod tests;
