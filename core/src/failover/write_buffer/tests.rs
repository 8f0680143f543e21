//! Tests of `write_buffer`.

use super::super::FailoverDurations;
use super::*;
use crate::api::FailoverKind;

fn decide_at(now: f64, elapsed: f64) -> BufferDecision {
    let mut durations = FailoverDurations::default();
    durations.restore(FailoverKind::Unplanned, &[4.0; 24]);
    let forecast = durations.forecast(FailoverKind::Unplanned, elapsed);
    BufferedWrite { arrived_at: 100.0, deadline: 103.0, service_secs: 0.1, was_declined: false, forecast }
        .decide(now, &FailoverSettings { min_recovery_chance: 0.03, ..FailoverSettings::default() })
}

#[test]
fn a_write_is_buffered_while_its_set_may_recover_in_time() {
    assert!(
        decide_at(100.0, 0.0).retry_after_secs().is_some_and(|secs| (secs - 0.45).abs() < 1e-9),
        "the failover lasts 4 s"
    );
    assert_eq!(decide_at(100.0, 2.0), BufferDecision::Keep, "2 s of the failover remain");
    assert_eq!(
        decide_at(101.6, 3.6),
        BufferDecision::Keep,
        "the write is late, but the failover is nearly over"
    );
    assert!(
        matches!(decide_at(101.6, 1.0), BufferDecision::Reject { .. }),
        "the write is late, and 3 s of the failover remain"
    );
}

#[test]
fn a_declined_write_is_buffered_while_recovery_is_possible() {
    let durations = FailoverDurations::default();
    let forecast = durations.forecast(FailoverKind::Unplanned, 2.0);
    let write =
        BufferedWrite { arrived_at: 100.0, deadline: 103.0, service_secs: 0.1, was_declined: true, forecast };
    assert_eq!(write.decide(101.6, &FailoverSettings::default()), BufferDecision::Keep);
    assert!(matches!(write.decide(102.9, &FailoverSettings::default()), BufferDecision::Reject { .. }));
}

#[test]
fn with_assumed_durations_a_write_is_buffered_for_half_of_the_time_to_its_deadline() {
    let durations = FailoverDurations::default();
    let decide = |now: f64| {
        let forecast = durations.forecast(FailoverKind::Unplanned, now - 100.0);
        BufferedWrite { arrived_at: 100.0, deadline: 103.0, service_secs: 0.1, was_declined: false, forecast }
            .decide(now, &FailoverSettings::default())
    };
    assert_eq!((decide(100.0), decide(101.4)), (BufferDecision::Keep, BufferDecision::Keep));
    assert!(matches!(decide(101.5), BufferDecision::Reject { .. }));
}

#[test]
fn a_retry_after_hint_lies_between_its_bounds() {
    let ms = Duration::from_millis;
    let hints = [0.3, 9.0, 0.0, f64::INFINITY].map(|secs| retry_after_hint(secs, ms(500)));
    assert_eq!(hints, [ms(300), ms(500), ms(100), ms(500)]);
    assert_eq!(retry_after_hint(1.0, Duration::ZERO), Duration::ZERO);
}

#[test]
fn a_set_has_a_share_of_the_buffered_writes_and_bytes() {
    let settings =
        FailoverSettings { max_buffered_writes: 10, max_buffered_bytes: 1000, ..FailoverSettings::default() };
    let mut usage = BufferUsage::default();
    let results: Vec<_> = (0..8).map(|_| usage.try_reserve(GroupId(1), 10, &settings)).collect();
    assert_eq!(results.iter().filter(|reserved| **reserved).count(), 5);
    assert!(!usage.try_reserve(GroupId(2), 501, &settings), "a set may use half of the bytes");
    assert!(usage.try_reserve(GroupId(2), 500, &settings));
    assert!(!usage.try_reserve(GroupId(3), 451, &settings) && usage.try_reserve(GroupId(3), 450, &settings));
    assert!(!usage.try_reserve(GroupId(4), u64::MAX, &settings), "the sum of bytes does not overflow");
}
