//! Tests of `failover_duration`.

use proptest::prelude::*;

use super::*;

#[test]
fn observed_durations_replace_the_assumed_ones() {
    let mut durations = FailoverDurations::default();
    assert!((durations.forecast(FailoverKind::Unplanned, 0.0).quantile(0.5) - 4.5).abs() < 1e-9);
    for number in 0..MAX_SAMPLES {
        durations.record(FailoverKind::Unplanned, 1.0 + number as f64 / 100.0);
    }
    let forecast = durations.forecast(FailoverKind::Unplanned, 0.5);
    assert!((0.4..0.8).contains(&forecast.quantile(0.5)), "{}", forecast.quantile(0.5));
    assert!(forecast.chance_within(1.0) > 0.9 && forecast.chance_within(0.2) < 0.1);
    assert_eq!(
        durations.sample(FailoverKind::Planned).len(),
        PRIOR_PLANNED_SECS.len(),
        "each kind has a sample of its own"
    );
}

#[test]
fn a_failover_that_outlasts_the_sample_is_expected_to_last_as_long_again() {
    let forecast = FailoverDurations::default().forecast(FailoverKind::Planned, 30.0).quantile(0.5);
    assert!((forecast - 30.0).abs() < 1e-9);
    assert!(FailoverDurations::default().forecast(FailoverKind::Planned, 30.0).chance_within(1.0) < 0.1);
}

#[test]
fn invalid_durations_are_ignored() {
    let mut durations = FailoverDurations::default();
    [f64::NAN, f64::INFINITY, -1.0]
        .into_iter()
        .for_each(|duration| durations.record(FailoverKind::Planned, duration));
    assert_eq!(durations, FailoverDurations::default());
}

proptest! {
    /// The result is a probability and does not decrease as the time span grows.
    #[test]
    fn the_chance_of_recovery_grows_with_time(
        sample in prop::collection::vec(0.0..20.0f64, 0..40), elapsed in 0.0..30.0f64,
        a in 0.0..30.0f64, b in 0.0..30.0f64,
    ) {
        let mut durations = FailoverDurations::default();
        durations.restore(FailoverKind::Unplanned, &sample);
        prop_assert!(durations.sample(FailoverKind::Unplanned).len() <= MAX_SAMPLES);
        let forecast = durations.forecast(FailoverKind::Unplanned, elapsed);
        let (sooner, later) = (forecast.chance_within(a.min(b)), forecast.chance_within(a.max(b)));
        prop_assert!((0.0..=1.0).contains(&sooner) && sooner <= later + 1e-12 && later <= 1.0);
        prop_assert!(forecast.quantile(0.5) <= forecast.quantile(0.9) && forecast.quantile(0.5) >= 0.0);
    }
}
