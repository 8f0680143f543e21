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
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn what_was_seen_takes_the_place_of_the_guess() {
        let mut forecast = FailoverDurations::default();
        assert!((forecast.forecast(FailoverKind::Unplanned, 0.0).quantile(0.5) - 4.5).abs() < 1e-9);
        for n in 0..KEPT {
            forecast.record(FailoverKind::Unplanned, 1.0 + n as f64 / 100.0);
        }
        let outlook = forecast.forecast(FailoverKind::Unplanned, 0.5);
        assert!((0.4..0.8).contains(&outlook.quantile(0.5)), "{}", outlook.quantile(0.5));
        assert!(outlook.chance_within(1.0) > 0.9 && outlook.chance_within(0.2) < 0.1);
        assert_eq!(forecast.sample(FailoverKind::Planned).len(), GUESS_PLANNED.len(), "kinds are apart");
    }

    #[test]
    fn a_change_that_outlasts_all_is_not_promised_soon() {
        let outlook = FailoverDurations::default().forecast(FailoverKind::Planned, 30.0).quantile(0.5);
        assert!((outlook - 30.0).abs() < 1e-9);
        assert!(FailoverDurations::default().forecast(FailoverKind::Planned, 30.0).chance_within(1.0) < 0.1);
    }

    #[test]
    fn nonsense_is_not_learned() {
        let mut forecast = FailoverDurations::default();
        [f64::NAN, f64::INFINITY, -1.0].into_iter().for_each(|d| forecast.record(FailoverKind::Planned, d));
        assert_eq!(forecast, FailoverDurations::default());
    }

    proptest! {
        /// Chances are shares, and more time is never less chance.
        #[test]
        fn more_time_is_never_less_chance(
            sample in prop::collection::vec(0.0..20.0f64, 0..40), elapsed in 0.0..30.0f64,
            a in 0.0..30.0f64, b in 0.0..30.0f64,
        ) {
            let mut forecast = FailoverDurations::default();
            forecast.restore(FailoverKind::Unplanned, &sample);
            prop_assert!(forecast.sample(FailoverKind::Unplanned).len() <= KEPT);
            let outlook = forecast.forecast(FailoverKind::Unplanned, elapsed);
            let (less, more) = (outlook.chance_within(a.min(b)), outlook.chance_within(a.max(b)));
            prop_assert!((0.0..=1.0).contains(&less) && less <= more + 1e-12 && more <= 1.0);
            prop_assert!(outlook.quantile(0.5) <= outlook.quantile(0.9) && outlook.quantile(0.5) >= 0.0);
        }
    }
}
