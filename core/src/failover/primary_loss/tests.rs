//! Tests of `primary_loss`.

use super::*;
use crate::failover::SilenceThreshold;

#[test]
fn each_cause_has_its_own_counter() {
    let mut counts = PrimaryLossCounts::default();
    assert_eq!(counts.record(PrimaryLossCause::Silent), 1);
    assert_eq!(counts.record(PrimaryLossCause::Dead), 1);
    assert_eq!(counts.record(PrimaryLossCause::Silent), 2);
    assert_eq!(counts.record(PrimaryLossCause::Unresponsive), 1);
}

/// Guards against log lines that report a lost primary without the evidence for it.
#[test]
fn the_log_text_contains_each_input_of_the_threshold() {
    let mut response_times = ResponseTimes::default();
    response_times.record(0.04);
    let silence_threshold =
        SilenceThreshold { typical_response_secs: 0.2, slowdown: 1.5, suspicion_factor: 4.0, unanswered: 2 };
    let observation = PrimaryObservation {
        last_response_at: 10.0,
        oldest_unanswered_at: Some(10.2),
        is_down: false,
        silence_threshold,
        queued_writes: 0,
    };
    let evidence = PrimaryLossEvidence {
        server: ServerId(7),
        cause: PrimaryLossCause::Silent,
        cause_count: 3,
        observation,
        response_times,
        now: 11.0,
    };
    let threshold_ms = (1e3 * silence_threshold.threshold_secs(response_times)).round();
    let expected = format!(
        "primary=7 cause=silent count=3 last_response_ms=1000 oldest_unanswered_ms=800 unanswered=2 \
         threshold_ms={threshold_ms} responses=1 mean_ms=40 deviation_ms=15 typical_ms=200 slowdown=1.50"
    );
    assert_eq!(evidence.to_string(), expected);
}
