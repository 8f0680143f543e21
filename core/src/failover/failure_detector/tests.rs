//! Tests of `failure_detector`.

use super::*;

const PATIENCE: SilenceThreshold =
    SilenceThreshold { typical_response_secs: 0.1, slowdown: 1.0, suspicion_factor: 1.25, unanswered: 3 };

fn steady(took: f64) -> ResponseTimes {
    let mut pulse = ResponseTimes::default();
    (0..100).for_each(|_| pulse.record(took));
    pulse
}

#[test]
fn silence_counts_only_where_an_answer_is_owed() {
    let pulse = steady(0.08);
    assert_eq!(PATIENCE.suspects_at(pulse, 5.0, None), None);
    let bound = PATIENCE.threshold_secs(pulse);
    assert!((bound - 0.1).abs() < 1e-6, "{bound}");
    assert_eq!(
        PATIENCE.suspects_at(pulse, 5.0, Some(4.0)),
        Some(5.0 + bound),
        "it spoke since that was sent"
    );
    assert_eq!(PATIENCE.suspects_at(pulse, 5.0, Some(6.0)), Some(6.0 + bound), "it was idle before");
}

#[test]
fn the_bound_follows_answers_and_their_spread() {
    let mut pulse = steady(0.08);
    (0..50).for_each(|n| pulse.record(if n % 2 == 0 { 0.06 } else { 0.1 }));
    assert!(PATIENCE.threshold_secs(pulse) > 0.15, "{}", PATIENCE.threshold_secs(pulse));
    assert!((SilenceThreshold { slowdown: 2.0, ..PATIENCE }.threshold_secs(steady(0.08)) - 0.2).abs() < 1e-6);
    assert!((PATIENCE.threshold_secs(ResponseTimes::default()) - 0.275).abs() < 1e-9, "a guess is generous");
}

#[test]
fn one_late_answer_says_less_than_several() {
    // Found on join+vast: 100 proxies that each had one request out suspected 1,006 primaries in 5 s, all
    // sound.
    let one = SilenceThreshold { unanswered: 1, ..PATIENCE };
    assert!((one.threshold_secs(steady(0.08)) - 0.3).abs() < 1e-6, "{}", one.threshold_secs(steady(0.08)));
    assert_eq!(
        SilenceThreshold { unanswered: 9, ..PATIENCE }.threshold_secs(steady(0.08)),
        PATIENCE.threshold_secs(steady(0.08))
    );
}

#[test]
fn one_quick_answer_makes_no_bound() {
    let mut pulse = ResponseTimes::default();
    pulse.record(0.005);
    assert!(PATIENCE.threshold_secs(pulse) > 0.2, "{}", PATIENCE.threshold_secs(pulse));
    (0..9).for_each(|_| pulse.record(0.08));
    assert!(
        PATIENCE.threshold_secs(pulse) < 0.25,
        "it has told its own time by now: {}",
        PATIENCE.threshold_secs(pulse)
    );
}

#[test]
fn the_bound_is_held_within_reason() {
    assert_eq!(PATIENCE.threshold_secs(steady(1e-4)), LEAST);
    assert_eq!(PATIENCE.threshold_secs(steady(9.0)), MOST);
    let mut pulse = steady(0.08);
    [f64::NAN, f64::INFINITY, -1.0].into_iter().for_each(|took| pulse.record(took));
    assert_eq!(pulse, steady(0.08));
}
