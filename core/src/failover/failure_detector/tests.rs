//! Tests of `failure_detector`.

use super::*;

const THRESHOLD: SilenceThreshold =
    SilenceThreshold { typical_response_secs: 0.1, slowdown: 1.0, suspicion_factor: 1.25, unanswered: 3 };

fn steady(response_secs: f64) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    (0..100).for_each(|_| times.record(response_secs));
    times
}

#[test]
fn silence_is_suspicious_only_while_an_attempt_is_unanswered() {
    let times = steady(0.08);
    assert_eq!(THRESHOLD.suspicion_time(times, 5.0, None), None);
    let threshold = THRESHOLD.threshold_secs(times);
    assert!((threshold - 0.1).abs() < 1e-6, "{threshold}");
    assert_eq!(
        THRESHOLD.suspicion_time(times, 5.0, Some(4.0)),
        Some(5.0 + threshold),
        "the primary responded after the attempt was sent"
    );
    assert_eq!(
        THRESHOLD.suspicion_time(times, 5.0, Some(6.0)),
        Some(6.0 + threshold),
        "the primary was idle until the attempt was sent"
    );
}

#[test]
fn the_threshold_follows_response_times_and_their_deviation() {
    let mut times = steady(0.08);
    (0..50).for_each(|n| times.record(if n % 2 == 0 { 0.06 } else { 0.1 }));
    assert!(THRESHOLD.threshold_secs(times) > 0.15, "{}", THRESHOLD.threshold_secs(times));
    assert!(
        (SilenceThreshold { slowdown: 2.0, ..THRESHOLD }.threshold_secs(steady(0.08)) - 0.2).abs() < 1e-6
    );
    assert!(
        (THRESHOLD.threshold_secs(ResponseTimes::default()) - 0.275).abs() < 1e-9,
        "without responses, the typical response time is used"
    );
}

#[test]
fn fewer_unanswered_attempts_raise_the_threshold() {
    // Guards against a threshold that ignores the number of unanswered attempts: when each of 100 proxies had
    // one request in flight, the proxies suspected healthy primaries 1,006 times within 5 s.
    let one_unanswered = SilenceThreshold { unanswered: 1, ..THRESHOLD };
    assert!(
        (one_unanswered.threshold_secs(steady(0.08)) - 0.3).abs() < 1e-6,
        "{}",
        one_unanswered.threshold_secs(steady(0.08))
    );
    assert_eq!(
        SilenceThreshold { unanswered: 9, ..THRESHOLD }.threshold_secs(steady(0.08)),
        THRESHOLD.threshold_secs(steady(0.08))
    );
}

#[test]
fn one_fast_response_does_not_set_the_threshold() {
    let mut times = ResponseTimes::default();
    times.record(0.005);
    assert!(THRESHOLD.threshold_secs(times) > 0.2, "{}", THRESHOLD.threshold_secs(times));
    (0..9).for_each(|_| times.record(0.08));
    assert!(
        THRESHOLD.threshold_secs(times) < 0.25,
        "after ten responses, the estimate no longer uses the typical response time: {}",
        THRESHOLD.threshold_secs(times)
    );
}

#[test]
fn the_threshold_is_bounded_and_invalid_times_are_ignored() {
    assert_eq!(THRESHOLD.threshold_secs(steady(1e-4)), MIN_THRESHOLD_SECS);
    assert_eq!(THRESHOLD.threshold_secs(steady(9.0)), MAX_THRESHOLD_SECS);
    let mut times = steady(0.08);
    [f64::NAN, f64::INFINITY, -1.0].into_iter().for_each(|response_secs| times.record(response_secs));
    assert_eq!(times, steady(0.08));
}
