//! Tests of `failover_duration`.

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
