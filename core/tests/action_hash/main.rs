//! Regression test of the routing engine: compares hashes of its actions with recorded hashes.
//!
//! Each case runs the engine in a closed loop with a simulated cluster. All random choices follow from the
//! seed of the case, and all actions of the engine are hashed. The hashes were recorded on commit 985872a
//! and, for large fleets, on the commit that last changed the decisions of large fleets. A refactoring
//! (renamed types, moved code) must not change a hash. A commit that changes the behavior changes the hashes
//! and says so. Log texts are not hashed.

mod case_run;
mod cluster;
mod counters;
mod disturbances;
mod hash;
mod random;
mod settings;

use pipittack_core::api::{DiscoveryMode, ListedRole, LoadReports, SessionTokens, StaleReadPolicy};

use crate::case_run::{run, CaseResult};
use crate::counters::Counters;
use crate::settings::{Case, Permitted, ALL, BASE, NONE};

/// Case and the recorded hash of its actions.
struct RecordedCase {
    case: Case,
    hash: u64,
}

fn record(case: Case, hash: u64) -> RecordedCase {
    RecordedCase { case, hash }
}

/// Returns cases with one to three proxy instances, in which the engine does not use
/// its logic for large fleets.
fn small_fleets() -> Vec<RecordedCase> {
    let wait_then_decline = StaleReadPolicy::WaitThenDecline(std::time::Duration::from_millis(50));
    let small = Case { classes: 2, groups: 1, ..BASE };
    let all_classes = Case { name: "all classes", seed: 11, ..BASE };
    let few_classes =
        Case { name: "few classes", seed: 12, permitted: NONE, load_reports: LoadReports::Never, ..small };
    let overload =
        Case { name: "overload", seed: 13, requests_per_s: 150, service_ms: 60, groups: 1, ..BASE };
    let tracked_tokens = Case {
        name: "tracked session tokens",
        seed: 14,
        session_tokens: SessionTokens::Tracked,
        load_reports: LoadReports::Never,
        ..BASE
    };
    let declined_reads = Case {
        name: "declined stale reads",
        seed: 15,
        stale_read_policy: StaleReadPolicy::Decline,
        instance_count: 3,
        tenants: 3,
        ..BASE
    };
    let waiting_reads = Case {
        name: "stale reads wait",
        seed: 16,
        stale_read_policy: wait_then_decline,
        load_reports: LoadReports::OnHealthCheck,
        instance_count: 2,
        ..BASE
    };
    let subscribe = Case {
        name: "discovery subscription",
        seed: 17,
        discovery: DiscoveryMode::Subscribe,
        listed_role: ListedRole::Static,
        classes: 5,
        first_class: 6,
        ..BASE
    };
    let many_tenants = Case {
        name: "tenants",
        seed: 18,
        tenants: 4,
        session_tokens: SessionTokens::Tracked,
        permitted: Permitted { health_checks: false, ..ALL },
        ..BASE
    };
    vec![
        record(all_classes, 0x49ed_4038_366d_d7fe),
        record(few_classes, 0x2bcd_8c23_e1e5_baf1),
        record(overload, 0x6692_c34e_8a29_7ed9),
        record(tracked_tokens, 0x405a_5f6c_cb67_7b9b),
        record(declined_reads, 0xca3e_e497_41f6_1b27),
        record(waiting_reads, 0x198f_73b9_1daf_b2d0),
        record(subscribe, 0x5eae_385e_969a_87b3),
        record(many_tenants, 0xb846_f8cb_6038_4b21),
    ]
}

/// Returns cases with many proxy instances, each of which receives a small share of the requests.
fn large_fleets() -> Vec<RecordedCase> {
    let large_fleet_base = Case { instance_count: 100, groups: 3, requests_per_s: 80, ..BASE };
    let large_fleet = Case { name: "large fleet", seed: 21, ..large_fleet_base };
    let many_servers = Case {
        name: "large fleet, many servers",
        seed: 22,
        instance_count: 300,
        groups: 12,
        servers_per_group: 5,
        discovery: DiscoveryMode::Subscribe,
        ..large_fleet_base
    };
    let slow_servers = Case {
        name: "large fleet, slow servers",
        seed: 23,
        service_ms: 60,
        tenants: 2,
        permitted: Permitted { health_checks: false, cancel: false, ..ALL },
        ..large_fleet_base
    };
    let tracked_tokens = Case {
        name: "large fleet, tracked session tokens",
        seed: 24,
        session_tokens: SessionTokens::Tracked,
        load_reports: LoadReports::Never,
        listed_role: ListedRole::Absent,
        permitted: Permitted { gossip: false, ..ALL },
        ..large_fleet_base
    };
    let declined_reads = Case {
        name: "large fleet, declined stale reads",
        seed: 25,
        stale_read_policy: StaleReadPolicy::Decline,
        load_reports: LoadReports::OnHealthCheck,
        responses_carry_position: false,
        ..large_fleet_base
    };
    let few_classes = Case {
        name: "large fleet, few classes",
        seed: 26,
        classes: 3,
        first_class: 8,
        servers_per_group: 10,
        permitted: NONE,
        ..large_fleet_base
    };
    vec![
        record(large_fleet, 0x4e01_f88c_b9f7_0036),
        record(many_servers, 0xb414_9bb8_1617_5bfd),
        record(slow_servers, 0x2659_04e7_e5c6_e6ee),
        record(tracked_tokens, 0x7679_cc1e_053f_1f13),
        record(declined_reads, 0xddc4_c7c9_5f65_1f3a),
        record(few_classes, 0xab92_5aa2_2d8f_0f3b),
    ]
}

/// Asserts that the cases cover every action that the engine emits (it never emits `Action::Poll`) and the
/// events that they are meant to cover. Each bound is about half of the count on commit 985872a.
fn assert_coverage(total: &Counters) {
    let at_least =
        |name: &str, actual: u64, min: u64| assert!(actual >= min, "{name}: {actual}, expected {min}");
    at_least("steps", total.steps, 40_000);
    at_least("attempts", total.attempts, 11_000);
    at_least("retries", total.retries, 2_000);
    at_least("rejected requests", total.rejections, 5_000);
    at_least("rejected writes", total.rejected_writes, 2_400);
    at_least("failed requests", total.failures, 100);
    at_least("cancelled attempts", total.cancels, 12);
    at_least("health checks", total.health_checks, 220);
    at_least("subscriptions", total.watches, 3);
    at_least("closed connections", total.idle_closes, 400);
    at_least("gossip", total.gossip, 24_000);
    at_least("timers", total.timers, 9_000);
    at_least("log lines", total.log_lines, 390);
    at_least("served requests", total.served, 8_000);
    at_least("writes buffered during a failover", total.buffered_writes, 180);
    at_least("failovers", total.promotions, 60);
    at_least("snapshots", total.snapshots, 9);
    at_least("process pauses", total.pauses, 11);
    at_least("reloads", total.reloads, 12);
    at_least("streams", total.streams, 1_000);
}

#[test]
fn actions_match_the_recorded_hashes() {
    let mut total = Counters::default();
    let mut changed = Vec::new();
    for RecordedCase { case, hash } in small_fleets().into_iter().chain(large_fleets()) {
        let CaseResult { hash: actual, counters } = run(&case);
        println!("{}: {actual:#018x} {counters:?}", case.name);
        total.add(&counters);
        if actual != hash {
            changed.push(format!("{}: {actual:#018x}, recorded {hash:#018x}", case.name));
        }
    }
    println!("all cases: {total:?}");
    assert_coverage(&total);
    assert!(changed.is_empty(), "the engine's actions have changed:\n{}", changed.join("\n"));
}
