//! Seeded soak: one proxy instance, in a series of processes, under events that the seed draws.
//!
//! `SOAK_SEEDS=1-50 cargo test --test soak -- --nocapture` runs these seeds and prints a line for each. Without the
//! variable three seeds run; `SOAK_MEMORY_MB` sets the memory limit. A seed fixes the events, their order and their times.
//! A seed with violations prints its timeline and leaves the log lines of its processes in a file; `GW_LOG=debug` adds lines.

#[path = "../support/mod.rs"]
mod support;

mod balancer;
mod checks;
mod clients;
mod events;
mod instance;
mod servers;
mod timeline;

use std::time::Duration;

use checks::SoakReport;
use events::Schedule;
use instance::Instance;

/// Seeds that run if the environment names none.
const DEFAULT_SEEDS: [u64; 3] = [1, 2, 3];
/// Time after the last event in which the clients go on before the last process is terminated.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Returns the seeds in `SOAK_SEEDS`: numbers and ranges, separated by commas.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS.to_vec() };
    let parse = |number: &str| number.parse::<u64>().expect("SOAK_SEEDS holds numbers and ranges");
    let ranges = text.split(',').map(|range| match range.split_once('-') {
        Some((first, last)) => parse(first)..=parse(last),
        None => parse(range)..=parse(range),
    });
    ranges.flatten().collect()
}

/// Plays the events of a seed and checks all rules.
fn run(seed: u64) -> SoakReport {
    let schedule = Schedule::draw(seed);
    let mut instance = Instance::start(seed);
    let usual_clients = clients::UsualClients::start(&instance);
    for event in &schedule.events {
        std::thread::sleep(event.pause);
        instance.play(&event.kind);
    }
    std::thread::sleep(SETTLE_TIME);
    instance.shut_down();
    let responses = usual_clients.finish();
    SoakReport::new(seed, &schedule, instance, responses)
}

/// Guards against faults that only show when several of the project's past incidents come together.
#[test]
fn no_rule_is_broken_under_events_drawn_by_a_seed() {
    let reports: Vec<_> = seeds().into_iter().map(run).collect();
    for report in &reports {
        println!("{report}");
        if !report.violations.is_empty() {
            println!("{}", report.timeline);
        }
    }
    let broken: Vec<_> =
        reports.iter().filter(|report| !report.violations.is_empty()).map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
