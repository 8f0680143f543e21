//! Tests of `request_cost`.

use super::*;
use crate::api::{Consistency, Idempotency};
use std::time::Duration;

fn class(latency_objective_ms: u64) -> Class {
    Class {
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(latency_objective_ms),
        latency_objective_work_factor: 0.0,
        deadline: Duration::from_secs(8),
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        consistency: Consistency::Eventual,
        streaming: false,
    }
}

#[test]
fn a_short_queueing_time_does_not_count_as_work() {
    let mut costs = RequestCosts::new(&[class(250), class(4000)]);
    assert!(
        (costs.cost(1) - 16.0).abs() < 1e-9,
        "before any response, the costs follow from the latency objectives"
    );
    let mut now = 10.0;
    // Records twenty responses a second, one of them of the heavy class.
    let mut respond = |costs: &mut RequestCosts, wait_secs: f64, duration_secs| {
        for n in 0..20 * duration_secs {
            let heavy = n % 20 == 0;
            now += 0.05;
            costs.record_response(usize::from(heavy), wait_secs + if heavy { 0.8 } else { 0.05 }, now);
        }
    };
    respond(&mut costs, 0.0, 20);
    let idle_cost = costs.cost(1);
    assert!(
        (8.0..14.0).contains(&idle_cost),
        "{idle_cost}: expected about 9, as 16 times the light class is 9 times the average"
    );
    respond(&mut costs, 0.3, 20);
    assert!(
        costs.cost(1) > 0.6 * idle_cost,
        "{}: a short queueing time must not reduce the cost much",
        costs.cost(1)
    );
    respond(&mut costs, 0.3, 1500);
    assert!((1.5..4.0).contains(&costs.cost(1)), "{}: a lasting queueing time counts as work", costs.cost(1));
}
