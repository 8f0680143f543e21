//! Tests of `position_clock`.

use std::time::Duration;

use super::{PositionClock, DISTRUST_PERIOD};
use crate::net::driver::Clock;

/// Returns a converter and a function that converts a position this far from its present.
fn position_clock() -> (PositionClock, impl Fn(&PositionClock, f64) -> Option<Duration>) {
    let clock = Clock::start();
    let convert = move |position_clock: &PositionClock, offset_ms: f64| {
        position_clock.position_from_unix_ms(clock.to_unix_ms(clock.now()) + offset_ms)
    };
    (PositionClock::new(clock), convert)
}

#[tokio::test(start_paused = true)]
async fn positions_are_unknown_while_servers_are_ahead_of_the_clock() {
    let (position_clock, convert) = position_clock();
    assert!(convert(&position_clock, -500.0).is_some());
    assert!(convert(&position_clock, 900.0).is_some(), "clocks may differ a little");
    assert_eq!(convert(&position_clock, 3_500.0), None);
    assert!(convert(&position_clock, -500.0).is_some(), "one position may be a faulty reply");
    assert_eq!(convert(&position_clock, 3_400.0), None);
    assert_eq!(convert(&position_clock, -500.0), None, "the clock is 3.5 s behind");
    tokio::time::advance(DISTRUST_PERIOD).await;
    assert!(convert(&position_clock, -500.0).is_some());
}

#[tokio::test(start_paused = true)]
async fn positions_ahead_by_different_times_are_faulty_replies() {
    let (position_clock, convert) = position_clock();
    for lead_ms in [3_500.0, 9e9, 5_000.0, 1e15, 60_000.0] {
        assert_eq!(convert(&position_clock, lead_ms), None);
        assert!(convert(&position_clock, -500.0).is_some());
    }
}
