//! Tests of `write_buffer`.

use super::super::FailoverDurations;
use super::*;
use crate::api::FailoverKind;

fn at(now: f64, elapsed: f64) -> BufferDecision {
    let mut forecast = FailoverDurations::default();
    forecast.restore(FailoverKind::Unplanned, &[4.0; 24]);
    let outlook = forecast.forecast(FailoverKind::Unplanned, elapsed);
    BufferedWrite {
        arrived: 100.0,
        deadline: 103.0,
        service_secs: 0.1,
        was_declined: false,
        forecast: outlook,
    }
    .decide(now, &FailoverSettings { min_recovery_chance: 0.03, ..FailoverSettings::default() })
}

#[test]
fn hope_decides_between_holding_and_refusing() {
    assert!(
        matches!(at(100.0, 0.0), BufferDecision::Reject(after) if (after - 0.45).abs() < 1e-9),
        "it lasts 4 s"
    );
    assert_eq!(at(100.0, 2.0), BufferDecision::Keep, "2 s are left of it");
    assert_eq!(at(101.6, 3.6), BufferDecision::Keep, "past half, but it is all but over");
    assert!(matches!(at(101.6, 1.0), BufferDecision::Reject(_)), "past half, and 3 s are left");
}

#[test]
fn what_a_server_has_turned_away_is_held_while_there_is_any_hope() {
    let forecast = FailoverDurations::default();
    let outlook = forecast.forecast(FailoverKind::Unplanned, 2.0);
    let hold = BufferedWrite {
        arrived: 100.0,
        deadline: 103.0,
        service_secs: 0.1,
        was_declined: true,
        forecast: outlook,
    };
    assert_eq!(hold.decide(101.6, &FailoverSettings::default()), BufferDecision::Keep);
    assert!(matches!(hold.decide(102.9, &FailoverSettings::default()), BufferDecision::Reject(_)));
}

#[test]
fn without_a_sample_a_write_is_held_for_half_its_time() {
    let forecast = FailoverDurations::default();
    let decide = |now: f64| {
        let outlook = forecast.forecast(FailoverKind::Unplanned, now - 100.0);
        BufferedWrite {
            arrived: 100.0,
            deadline: 103.0,
            service_secs: 0.1,
            was_declined: false,
            forecast: outlook,
        }
        .decide(now, &FailoverSettings::default())
    };
    assert_eq!((decide(100.0), decide(101.4)), (BufferDecision::Keep, BufferDecision::Keep));
    assert!(matches!(decide(101.5), BufferDecision::Reject(_)));
}

#[test]
fn a_hint_is_the_time_expected_within_bounds() {
    let ms = Duration::from_millis;
    let hints = [0.3, 9.0, 0.0, f64::INFINITY].map(|back| retry_after_hint(back, ms(500)));
    assert_eq!(hints, [ms(300), ms(500), ms(100), ms(500)]);
    assert_eq!(retry_after_hint(1.0, Duration::ZERO), Duration::ZERO);
}

#[test]
fn one_set_leaves_room_to_others_and_bytes_count() {
    let tuning =
        FailoverSettings { max_buffered_writes: 10, max_buffered_bytes: 1000, ..FailoverSettings::default() };
    let mut holding = BufferUsage::default();
    let first: Vec<_> = (0..8).map(|_| holding.try_reserve(GroupId(1), 10, &tuning)).collect();
    assert_eq!(first.iter().filter(|held| **held).count(), 5);
    assert!(!holding.try_reserve(GroupId(2), 501, &tuning), "half of the bytes are a set's");
    assert!(holding.try_reserve(GroupId(2), 500, &tuning));
    assert!(!holding.try_reserve(GroupId(3), 451, &tuning) && holding.try_reserve(GroupId(3), 450, &tuning));
    assert!(!holding.try_reserve(GroupId(4), u64::MAX, &tuning), "a claim of any size is only counted");
}
