//! Tests of load report parsing.

use std::time::Duration;

use super::parse;
use super::PositionClock;
use crate::api::LoadReport;
use crate::net::driver::Clock;

/// A server may round its position up to the commit time of a write that it has not applied. The parsed
/// position must be lower than such a commit time, or a session could read data without its own write.
#[test]
fn a_reported_position_is_reduced_by_the_rounding_error() {
    let clock = Clock::start();
    let ms = clock.to_unix_ms(clock.now()).floor();
    let report = parse(&format!("x0={:.3},x1=0", ms / 1e3), &PositionClock::new(clock));
    let commit = clock.from_unix_ms(ms - 0.4);
    assert!(report.position.is_some_and(|at| at < commit && commit - at < Duration::from_millis(1)));
    assert_eq!((report.primary, parse("", &PositionClock::new(clock))), (Some(false), LoadReport::default()));
}
