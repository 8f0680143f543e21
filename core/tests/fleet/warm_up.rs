//! Tests of the load that all instances together put on a server that has just started.

use std::time::Duration;

use pipittack_core::api::*;

use crate::common::*;
use crate::load::*;

/// Server that replaces the primary.
const NEW_PRIMARY: ServerId = ServerId(4);
/// Time of the replacement, in ms after the start.
const CHANGE_MS: u64 = 30_000;

/// Returns the endpoint update in which the primary drains and a server that has just started replaces it.
fn primary_replacement(now: Duration) -> Event {
    let old = Endpoint { state: EndpointState::Draining, ..endpoint(1, false) };
    let new = Endpoint { started_at: Some(now - ms(500)), ..endpoint(NEW_PRIMARY.0, true) };
    Event::Endpoints(EndpointUpdate::Changes(vec![old, new]))
}

fn primary_at(time_ms: u64) -> ServerId {
    if time_ms >= CHANGE_MS {
        NEW_PRIMARY
    } else {
        PRIMARY
    }
}

/// Load of the new primary in each second after the change.
struct NewPrimaryLoad {
    attempts: Vec<usize>,
    /// Share of the writes that the new primary served.
    served_writes: Vec<f64>,
}

/// Simulates a hundred instances that send a group 40 writes and 60 reads a second. After 30 s a server that
/// has just started becomes the primary.
fn new_primary_load() -> NewPrimaryLoad {
    let mut fleet = new_fleet(&large_fleet_settings());
    let mix = ClassMix { writes: 40, eventual_reads: 10 };
    let mut attempts = vec![0; 12];
    let mut writes = [0.0; 12];
    let mut served = [0.0; 12];
    for step in 0..4_200u64 {
        let time_ms = step * 10;
        let has_changed = time_ms >= CHANGE_MS;
        let second = (time_ms.saturating_sub(CHANGE_MS) / 1000) as usize;
        let receiving_instance = pseudo_random(3 * step, 100) as usize;
        let class = mix.class(3 * step + 1);
        for (index, harness) in fleet.iter_mut().enumerate() {
            harness.now += ms(10);
            let mut events = Vec::new();
            if time_ms == CHANGE_MS {
                events.push(primary_replacement(harness.now));
            }
            if index == receiving_instance {
                events.push(Event::Request(harness.new_request(class)));
                writes[second] += one_if(has_changed && class == UNIQUE_WRITE);
            }
            harness.step(events);
            while let Some(attempt) = harness.in_flight.first().copied() {
                let is_primary = attempt.server == primary_at(time_ms);
                attempts[second] += usize::from(has_changed && attempt.server == NEW_PRIMARY);
                // The first request to a replica is a write that probes the replica's position.
                let is_write = harness.classes.get(&attempt.request) == Some(&UNIQUE_WRITE);
                let is_declined = is_write && !is_primary;
                let outcome = if is_declined { Outcome::Misdirected } else { Outcome::Success };
                served[second] += one_if(has_changed && is_write && is_primary);
                harness.end_oldest(outcome, Some(is_primary), if is_primary { ms(0) } else { ms(10) });
            }
        }
    }
    let served_writes = served.iter().zip(writes).map(|(served, writes)| served / writes.max(1.0)).collect();
    NewPrimaryLoad { attempts, served_writes }
}

#[test]
fn all_instances_together_use_the_capacity_of_a_warming_primary_and_not_much_more() {
    let NewPrimaryLoad { attempts, served_writes } = new_primary_load();
    let rules = large_fleet_settings().rules;
    for (second, attempts) in attempts.iter().enumerate() {
        // A warm primary gets at least 70 requests a second.
        let capacity = 70.0 * rules.min_capacity_share(0.5 + second as f64);
        assert!(
            *attempts as f64 <= rules.overload_factor * capacity,
            "{attempts} in second {second}, with capacity {capacity}"
        );
    }
    let share_after_5_s: f64 = served_writes[5..].iter().sum::<f64>() / served_writes[5..].len() as f64;
    assert!(
        share_after_5_s > 0.8,
        "{share_after_5_s} of the writes served after 5 s; {served_writes:?}, {attempts:?}"
    );
    // Guards against instances that may accumulate a budget of only one request: the budget that some
    // instances don't use is then lost, while requests wait at others.
    let share_3_to_6_s: f64 = served_writes[3..6].iter().sum::<f64>() / 3.0;
    assert!(
        share_3_to_6_s > 0.85,
        "{share_3_to_6_s} of the writes served in the fourth to sixth second; {served_writes:?}, {attempts:?}"
    );
}

/// Attempt of one instance that a server is processing.
struct AttemptInService {
    done_ms: u64,
    instance: usize,
    attempt: SentAttempt,
}

/// Load that the burst simulation puts on the two primaries.
#[derive(Default)]
struct BurstLoad {
    /// Times of the attempts at the new primary, in ms.
    at_new_primary_ms: Vec<u64>,
    /// Number of attempts at the old primary in the last 10 s before the change.
    at_warm_primary: u32,
}

/// Simulation of a fleet and of a group whose primary is replaced. For 5 s the new primary gets hardly any
/// requests, so all instances accumulate their budgets. Then a burst of six times the previous load follows.
struct BurstSimulation {
    fleet: Vec<Harness>,
    in_service: Vec<AttemptInService>,
    load: BurstLoad,
    random_index: u64,
}

impl BurstSimulation {
    const SERVICE_MS: u64 = 90;
    const BURST_MS: std::ops::Range<u64> = 35_000..37_500;

    fn run(settings: &Settings) -> BurstLoad {
        let (in_service, load) = (Vec::new(), BurstLoad::default());
        let mut simulation = Self { fleet: new_fleet(settings), in_service, load, random_index: 0 };
        for time_ms in (0..40_000u64).step_by(10) {
            let request_counts = simulation.choose_request_counts(time_ms);
            for (instance, request_count) in request_counts.into_iter().enumerate() {
                simulation.step_instance(instance, request_count, time_ms);
            }
        }
        simulation.load
    }

    /// Returns how many requests each instance gets in this step.
    fn choose_request_counts(&mut self, time_ms: u64) -> Vec<usize> {
        let count = if Self::BURST_MS.contains(&time_ms) { 3 } else { (time_ms / 10 + 1) % 2 };
        let mut request_counts = vec![0; self.fleet.len()];
        for _ in 0..count {
            self.random_index += 1;
            request_counts[pseudo_random(3 * self.random_index, self.fleet.len() as u64) as usize] += 1;
        }
        request_counts
    }

    fn step_instance(&mut self, instance: usize, request_count: usize, time_ms: u64) {
        let harness = &mut self.fleet[instance];
        harness.now += ms(10);
        let mut events = Vec::new();
        if time_ms == CHANGE_MS {
            events.push(primary_replacement(harness.now));
        }
        let is_busy = time_ms < CHANGE_MS || Self::BURST_MS.contains(&time_ms);
        let mix = ClassMix { writes: if is_busy { 70 } else { 3 }, eventual_reads: 20 };
        for _ in 0..request_count {
            self.random_index += 1;
            events.push(Event::Request(harness.new_request(mix.class(3 * self.random_index + 1))));
        }
        harness.step(events);
        self.end_attempts(instance, time_ms);
        self.start_attempts(instance, time_ms);
    }

    fn end_attempts(&mut self, instance: usize, time_ms: u64) {
        let is_done = |end: &AttemptInService| end.done_ms <= time_ms && end.instance == instance;
        while let Some(index) = self.in_service.iter().position(is_done) {
            let attempt = self.in_service.swap_remove(index).attempt;
            let harness = &mut self.fleet[instance];
            let is_primary = attempt.server == primary_at(time_ms);
            let is_declined = harness.classes[&attempt.request] == UNIQUE_WRITE && !is_primary;
            let outcome = if is_declined { Outcome::Misdirected } else { Outcome::Success };
            harness.end_attempt(attempt, outcome, Some(is_primary), ms(if is_primary { 0 } else { 10 }));
        }
    }

    fn start_attempts(&mut self, instance: usize, time_ms: u64) {
        for attempt in std::mem::take(&mut self.fleet[instance].in_flight) {
            if attempt.server == NEW_PRIMARY {
                self.load.at_new_primary_ms.push(time_ms);
            }
            let is_measured = (20_000..CHANGE_MS).contains(&time_ms);
            self.load.at_warm_primary += u32::from(attempt.server == PRIMARY && is_measured);
            self.in_service.push(AttemptInService { done_ms: time_ms + Self::SERVICE_MS, instance, attempt });
        }
    }
}

/// Returns the maximum number of attempts at the new primary within any overload duration, as a share of the
/// number that the rules permit. To allow for random variation, a permitted number N counts as N + 2 √N + 2.
fn max_overload_share(instances: u32, overload_factor: f64) -> f64 {
    let mut settings = Settings { instance_count: instances, ..settings() };
    settings.rules.overload_factor = overload_factor;
    let BurstLoad { at_new_primary_ms, at_warm_primary } = BurstSimulation::run(&settings);
    // The utilization of the warm primary is assumed to be 70 %.
    let capacity = f64::from(at_warm_primary) / 10.0 / 0.7;
    let window_ms = settings.rules.overload_duration.as_millis() as u64;
    let shares = at_new_primary_ms.iter().enumerate().map(|(index, from_ms)| {
        let count = at_new_primary_ms[index..].iter().take_while(|at| **at < from_ms + window_ms).count();
        let capacity_share = settings.rules.min_capacity_share(0.5 + (from_ms - CHANGE_MS) as f64 / 1e3);
        let permitted =
            overload_factor * capacity_share * capacity * settings.rules.overload_duration.as_secs_f64();
        count as f64 / (permitted + 2.0 * permitted.sqrt() + 2.0)
    });
    shares.fold(0.0, f64::max)
}

#[test]
fn a_burst_at_a_warming_server_stays_within_the_overload_factor() {
    for (instances, overload_factor) in [(20, 2.0), (30, 2.0), (30, 3.0)] {
        let share = max_overload_share(instances, overload_factor);
        assert!((0.3..1.0).contains(&share), "{instances} instances, {overload_factor}: {share}");
    }
}
