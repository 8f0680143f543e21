//! Tests of the watches that a large fleet opens at the discovery service.

use std::time::Duration;

use pipittack_core::api::*;

use crate::common::*;
use crate::load::*;

/// Service time of one call at the discovery service.
const CALL_WORK: Duration = Duration::from_millis(65);
/// Time after which a call fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Duration of one step of the simulation, in ms.
const STEP_MS: u64 = 10;
/// The step at which all watches break, 12 s after the start.
const BREAK_STEP: u64 = 1200;
/// Largest fleet whose instances all open their watches at once.
const MAX_IMMEDIATE_WATCHES: u32 = 20;

/// Result of a call.
struct Answer {
    due_at: Duration,
    instance: usize,
    is_in_time: bool,
}

/// Discovery service with one queue. It also processes calls that have timed out.
#[derive(Default)]
struct DiscoveryService {
    free_at: Duration,
    answers: Vec<Answer>,
}

impl DiscoveryService {
    fn call(&mut self, now: Duration, instance: usize) {
        self.free_at = self.free_at.max(now) + CALL_WORK;
        let is_in_time = self.free_at <= now + CALL_TIMEOUT;
        let due_at = if is_in_time { self.free_at } else { now + CALL_TIMEOUT };
        self.answers.push(Answer { due_at, instance, is_in_time });
    }

    /// Removes and returns the answers that are due for an instance at `now`.
    fn take_due(&mut self, now: Duration, instance: usize) -> Vec<Answer> {
        self.answers.extract_if(.., |answer| answer.due_at <= now && answer.instance == instance).collect()
    }
}

/// Results of the watches of a fleet.
struct WatchResult {
    /// Time until the last instance received its first update, in ms.
    first_ms: u64,
    /// Time from the break of all watches until the last instance received another update, in ms.
    recovery_ms: u64,
    failed_calls: usize,
}

/// Starts all instances at once. All watches break 12 s later.
fn simulate_watches(instances: u32) -> WatchResult {
    let settings = Settings { instance_count: instances, discovery: DiscoveryMode::Subscribe, ..settings() };
    let mut fleet = new_fleet(&settings);
    let mut discovery = DiscoveryService::default();
    let start = ms(100_000);
    let mut updated_ms = vec![[None; 2]; fleet.len()];
    let mut failed_calls = 0;
    // The first step of each instance, in `new_fleet`, may have opened a watch.
    let is_immediate = instances <= MAX_IMMEDIATE_WATCHES;
    let mut callers: Vec<usize> = if is_immediate { (0..fleet.len()).collect() } else { Vec::new() };
    for step in 0..2400u64 {
        let now = start + ms(step * STEP_MS);
        callers.drain(..).for_each(|instance| discovery.call(now, instance));
        for (instance, harness) in fleet.iter_mut().enumerate() {
            harness.now = now;
            let mut events = Vec::new();
            if step == BREAK_STEP {
                events.push(Event::Endpoints(EndpointUpdate::Failed));
            }
            for answer in discovery.take_due(now, instance) {
                if answer.is_in_time {
                    let phase = usize::from(step > BREAK_STEP);
                    updated_ms[instance][phase].get_or_insert(step * STEP_MS);
                    events.push(Event::Endpoints(EndpointUpdate::Changes(Vec::new())));
                } else {
                    failed_calls += 1;
                    events.push(Event::Endpoints(EndpointUpdate::Failed));
                }
            }
            if harness.step(events).contains(&Action::Watch { on: true }) {
                callers.push(instance);
            }
        }
    }
    let last_ms = |phase: usize| {
        let times = updated_ms.iter().map(|times| times[phase].expect("every instance gets an update"));
        times.max().unwrap_or(0)
    };
    WatchResult { first_ms: last_ms(0), recovery_ms: last_ms(1) - BREAK_STEP * STEP_MS, failed_calls }
}

/// Guards against retries of timed-out calls that keep the queue of the discovery service long.
#[test]
fn a_fleet_that_starts_or_loses_its_watches_at_once_does_not_overload_discovery() {
    let WatchResult { first_ms, recovery_ms, failed_calls } = simulate_watches(100);
    assert!(
        first_ms < 9_000 && recovery_ms < 10_500 && failed_calls <= 10,
        "{first_ms} ms until the first update, {recovery_ms} ms after the break, {failed_calls} calls failed"
    );
    let WatchResult { first_ms, recovery_ms, failed_calls } = simulate_watches(4);
    assert!(
        first_ms < 300 && recovery_ms < 1_100 && failed_calls == 0,
        "{first_ms} ms until the first update, {recovery_ms} ms after the break, {failed_calls} calls failed"
    );
}
