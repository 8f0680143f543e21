//! What a load report counts for.

use super::*;

/// A session's write was committed at a time that a report rounds up to: no proof that it is there.
#[test]
fn a_reported_position_counts_for_no_more_than_it_is_sure_to_be() {
    let clock = Clock::start();
    let ms = clock.to_unix_ms(clock.now()).floor();
    let told = report(&format!("x0={:.3},x1=0", ms / 1e3), clock);
    let commit = clock.from_unix_ms(ms - 0.4);
    assert!(told.position.is_some_and(|at| at < commit && commit - at < Duration::from_millis(1)));
    assert_eq!((told.primary, report("", clock)), (Some(false), LoadReport::default()));
}
