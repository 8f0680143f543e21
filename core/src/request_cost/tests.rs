//! Tests of `request_cost`.

use super::*;
use crate::api::{Consistency, Idempotency};
use std::time::Duration;

fn class(aim_ms: u64) -> Class {
    Class {
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(aim_ms),
        latency_objective_stretch: 0.0,
        deadline: Duration::from_secs(8),
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        consistency: Consistency::Eventual,
        streaming: false,
    }
}

#[test]
fn a_wait_is_no_work() {
    let mut work = RequestCosts::new(&[class(250), class(4000)]);
    assert!((work.cost(1) - 16.0).abs() < 1e-9, "before any answer, the aims tell");
    let mut now = 10.0;
    // Twenty answers a second, one of them a report, for so many seconds.
    let mut pass = |work: &mut RequestCosts, wait: f64, seconds| {
        for n in 0..20 * seconds {
            let heavy = n % 20 == 0;
            now += 0.05;
            work.record_response(usize::from(heavy), wait + if heavy { 0.8 } else { 0.05 }, now);
        }
    };
    pass(&mut work, 0.0, 20);
    let calm = work.cost(1);
    assert!((8.0..14.0).contains(&calm), "{calm}: 16 times the light one, 9 times the mean");
    pass(&mut work, 0.3, 20);
    assert!(work.cost(1) > 0.6 * calm, "{}: a jam makes no report light", work.cost(1));
    pass(&mut work, 0.3, 1500);
    assert!((1.5..4.0).contains(&work.cost(1)), "{}: what lasts is taken for work", work.cost(1));
}
