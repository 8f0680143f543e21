//! The rules, judged independently, over settings drawn from the whole range that the protocol page allows and over
//! troubles of every kind at once: deaths, hangs, silence, drains, calls by hand, late lists, upgrades and kills.

use std::time::Duration;

use pipittack_core::api::FailoverSettings;
use pipittack_core::api::*;
use pipittack_testkit::fleet::copies;
use pipittack_testkit::fleet::directory::Service;
use pipittack_testkit::fleet::links::Fault;
use pipittack_testkit::fleet::load::{Habits, Kind};
use pipittack_testkit::fleet::machine::{State, Traits};
use pipittack_testkit::fleet::plan::{End, Pick, Plan, Remembered, Trouble};
use pipittack_testkit::fleet::stepper::Stepper;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn need() -> impl Strategy<Value = Consistency> {
    prop_oneof![
        Just(Consistency::Write),
        Just(Consistency::Linearizable),
        Just(Consistency::Causal),
        Just(Consistency::Eventual),
        (300u64..4000).prop_map(|age| Consistency::BoundedStaleness(ms(age))),
    ]
}

fn effect() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![Just(KeyScope::All), Just(KeyScope::Zone), Just(KeyScope::Group)];
    prop_oneof![
        2 => Just(Idempotency::NonIdempotent),
        1 => (scope, 300u64..3000).prop_map(|(scope, window)| Idempotency::WithKey { scope, window: ms(window) }),
        1 => Just(Idempotency::Idempotent),
    ]
}

/// A class, and what it asks of a server.
fn class() -> impl Strategy<Value = (Class, Kind)> {
    let times = (50u64..1500, 1.0..8.0f64, 0.0..1.0f64, 0.5..6.0f64);
    (need(), effect(), times, 0.2..1.0f64, 0.15..0.45f64, any::<bool>()).prop_map(
        |(need, effect, (aim, deadline, late_value, credit), share, work, blocks)| {
            let read = need != Consistency::Write;
            let aim_s = aim as f64 / 1e3;
            let class = Class {
                priority_weight: credit,
                latency_objective: ms(aim),
                latency_objective_stretch: 0.0,
                deadline: Duration::from_secs_f64(aim_s * deadline.max(1.5)),
                late_weight: late_value,
                idempotency: if read { Idempotency::Idempotent } else { effect },
                consistency: need,
                streaming: false,
            };
            (class, Kind { share, work_s: aim_s * work * 0.5, blocks: blocks && read })
        },
    )
}

fn settings() -> impl Strategy<Value = (Settings, Vec<Kind>)> {
    let checks = Just(StaleReadPolicy::AnswerStale); // where servers check by themselves, the rule is theirs
    let marks = prop_oneof![Just(SessionTokens::FromClient), Just(SessionTokens::Tracked)];
    let column = prop_oneof![Just(ListedRole::Delayed), Just(ListedRole::Static), Just(ListedRole::Absent)];
    let reports = prop_oneof![Just(LoadReports::OnHealthCheck), Just(LoadReports::Never)];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    let limits = (2u32..9, flags, 50u64..500);
    let contract = (0.1..0.6f64, 5u64..20, 1.5..3.0f64, 500u64..2000, 200u64..2500, 3u64..12);
    let classes = prop::collection::vec(class(), 1..6);
    (classes, (checks, marks, column, reports), limits, contract, any::<bool>()).prop_map(
        |(classes, (checks, session_marks, role_column, reports), limits, contract, positions)| {
            let (attempts, (cancel, probes, retry_after, _), connect) = limits;
            let (cold_share, warm_up, factor, over_for, stop_within, ask_every) = contract;
            let (classes, kinds): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
            let settings = Settings {
                instance_index: 0,
                instance_count: 1,
                zone: ZoneId(0),
                min_step_interval: ms(5),
                classes,
                tenants: Vec::new(),
                over_quota_weight: 1.0,
                stale_read_policy: checks,
                responses_carry_position: positions,
                session_tokens: session_marks,
                listed_role: role_column,
                load_reports: if probes { reports } else { LoadReports::Never },
                discovery: DiscoveryMode::Subscribe,
                limits: Limits {
                    max_attempts: attempts,
                    allow_cancel: cancel,
                    allow_gossip: false,
                    allow_health_checks: probes,
                    allow_hedging: false,
                    send_retry_after: retry_after,
                    max_retry_after: ms(800),
                    connect_timeout: ms(connect),
                    max_streams_per_connection: 1,
                },
                rules: ServiceRules {
                    answer_grace_period: ms(20),
                    poll_interval: Duration::from_secs(ask_every),
                    initial_capacity_share: cold_share,
                    warm_up: Duration::from_secs(warm_up),
                    overload_factor: factor,
                    overload_duration: ms(over_for),
                    drain_grace_period: ms(stop_within),
                    removed_may_serve: false,
                },
                prices: Prices {
                    cross_zone: 0.02,
                    health_check: 0.04,
                    gossip: 0.0,
                    wasted_work: 0.03,
                    late_failure: 0.03,
                },
                failover: FailoverSettings::default(),
            };
            (settings, kinds)
        },
    )
}

fn pick() -> impl Strategy<Value = Pick> {
    prop_oneof![
        4 => (0usize..64).prop_map(Pick::One),
        1 => (0.1..0.8f64).prop_map(Pick::Share),
        1 => (0usize..3).prop_map(Pick::Zone),
    ]
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let state = prop_oneof![Just(State::Dead), Just(State::Hung), Just(State::Silent)];
    let fault = prop_oneof![
        Just(Fault::Cut),
        Just(Fault::Silent),
        Just(Fault::Deaf),
        Just(Fault::Reset),
        (0.01..0.3f64).prop_map(Fault::Slow),
    ];
    let end = prop_oneof![2 => pick().prop_map(End::Servers), 1 => Just(End::List)];
    let long = 0.5..6.0f64;
    prop_oneof![
        3 => (pick(), state, long.clone()).prop_map(|(s, state, long)| Trouble::Strike(s, state, long)),
        1 => (pick(), 2.0..20.0f64, long.clone()).prop_map(|(s, x, long)| Trouble::Slow(s, x, long)),
        2 => (0usize..64, 2.0..20.0f64, long.clone()).prop_map(|(s, x, long)| Trouble::Lag(s, x, long)),
        1 => long.clone().prop_map(Trouble::ListDown),
        1 => long.clone().prop_map(Trouble::ListBack),
        2 => (pick(), 0.5..4.0f64).prop_map(|(s, long)| Trouble::Replace(s, long)),
        2 => (pick(), long.clone()).prop_map(|(s, long)| Trouble::ByHand(s, long)),
        4 => pick().prop_map(Trouble::Upgrade),
        1 => (pick(), 4.0..6.0f64).prop_map(|(s, long)| Trouble::Restart(s, long)),
        1 => (pick(), 0.1..1.0f64).prop_map(|(s, long)| Trouble::Kill(s, long)),
        1 => (pick(), 0.3..2.0f64, long.clone()).prop_map(|(s, every, long)| Trouble::Loop(s, every, long)),
        1 => pick().prop_map(Trouble::Reload),
        3 => (pick(), end, fault, long.clone()).prop_map(|(p, end, what, long)| Trouble::Link(p, end, what, long)),
        1 => (1.2..4.0f64, long).prop_map(|(x, long)| Trouble::Burst(x, long)),
    ]
}

fn remembered() -> impl Strategy<Value = Remembered> {
    prop_oneof![Just(Remembered::Nothing), Just(Remembered::Fresh), (0.1..0.6f64).prop_map(Remembered::Old)]
}

/// A fleet of a few proxies at some load, with troubles.
fn plan() -> impl Strategy<Value = Plan> {
    let site = (1usize..6, 1usize..4, 1usize..4, 2usize..5, 1usize..6);
    let habits = (1e-3..12e-3f64, 0.3..0.7f64, any::<bool>(), 0.2..1.2f64, 0.2..0.9f64);
    let list = (20.0..200.0f64, 0.3..4.0f64, remembered(), prop::bool::weighted(0.1));
    let troubles = prop::collection::vec((1.0..11.0f64, trouble()), 1..8);
    (settings(), site, habits, list, (0.3..1.1f64, 0u32..3, 0.05..0.6f64), troubles, any::<u64>()).prop_map(
        |((settings, kinds), site, habits, list, (load, retries, gap_s), troubles, seed)| {
            let (proxies, zones, sets, members, cores) = site;
            let (ship_s, apply_use, sync, detect_s, switch_s) = habits;
            let (calls, notice_s, remembered, cold) = list;
            let all: f64 = kinds.iter().map(|kind| kind.share).sum();
            let work: f64 = kinds.iter().map(|kind| kind.share * kind.work_s).sum::<f64>() / all;
            let rate = (load * (sets * members * cores) as f64 / work).clamp(5.0, 400.0);
            let writes: f64 = kinds
                .iter()
                .zip(&settings.classes)
                .filter(|(_, class)| class.consistency == Consistency::Write)
                .map(|(kind, _)| kind.share / all)
                .sum();
            let apply_s = apply_use * sets as f64 / (rate * writes).max(1.0);
            let contract = &settings.rules;
            let machine = Traits {
                cores,
                speed: 1.0,
                queue_most: 10 * cores,
                connections_most: 60 * cores,
                handshake_s: 0.004,
                cold_share: contract.initial_capacity_share,
                warm_s: contract.warm_up.as_secs_f64(),
                fall_factor: contract.overload_factor,
                fall_s: contract.overload_duration.as_secs_f64(),
                usual_s: work,
            };
            Plan {
                proxies,
                zones,
                sets,
                members,
                machine,
                cold,
                copies: copies::Habits { ship_s, apply_s, sync, detect_s, elect_s: detect_s, switch_s },
                service: Service { rate: calls, timeout_s: 2.0, notice_s, spread_s: 0.3 },
                load: Habits { kinds, follows: 0.7, gap_s, retries, pause_s: 0.05 },
                rate,
                far_s: 1e-3,
                near_s: 2e-4,
                handshake_rtts: 2.0,
                idle_s: 15.0,
                probe_s: 4e-4,
                report_s: 0.2,
                seed_s: 4.0,
                troubles,
                length_s: 12.0,
                start_s: 0.0,
                remembered,
                seed,
                settings,
            }
        },
    )
}

#[test]
fn no_rule_is_broken_whatever_the_deployment_and_its_troubles() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(48);
    let config = ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(24),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    };
    let outcome = TestRunner::new(config).run(&plan(), |plan| {
        let report = Stepper::new(plan).play();
        let broken = &report.broken;
        prop_assert!(broken.is_empty(), "{} broken, the first: {:?}", broken.len(), broken.first());
        prop_assert!(report.tries > 0);
        Ok(())
    });
    if let Err(fault) = outcome {
        panic!("{fault}");
    }
}
