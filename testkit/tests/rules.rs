//! Property test of the service rules: proptest generates random settings and faults of many kinds, which may
//! overlap.

use std::time::Duration;

use pipittack_core::api::FailoverSettings;
use pipittack_core::api::*;
use pipittack_testkit::fleet::discovery_model::DiscoverySettings;
use pipittack_testkit::fleet::link_faults::LinkFault;
use pipittack_testkit::fleet::plan::{CachedList, Fault, LinkTarget, Plan, ScheduledFault, Selection};
use pipittack_testkit::fleet::replication::ReplicationSettings;
use pipittack_testkit::fleet::server_model::{ServerModelSettings, ServerState};
use pipittack_testkit::fleet::simulation::Simulation;
use pipittack_testkit::fleet::workload::{ClassLoad, WorkloadSettings};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn consistency() -> impl Strategy<Value = Consistency> {
    prop_oneof![
        Just(Consistency::Write),
        Just(Consistency::Linearizable),
        Just(Consistency::Causal),
        Just(Consistency::Eventual),
        (300u64..4000).prop_map(|age| Consistency::BoundedStaleness(ms(age))),
    ]
}

fn idempotency() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![Just(KeyScope::All), Just(KeyScope::Zone), Just(KeyScope::Group)];
    prop_oneof![
        2 => Just(Idempotency::NonIdempotent),
        1 => (scope, 300u64..3000)
            .prop_map(|(scope, window_ms)| Idempotency::WithKey { scope, window: ms(window_ms) }),
        1 => Just(Idempotency::Idempotent),
    ]
}

/// Generates a request class and its load.
fn class() -> impl Strategy<Value = (Class, ClassLoad)> {
    let times = (50u64..1500, 1.0..8.0f64, 0.0..1.0f64, 0.5..6.0f64);
    (consistency(), idempotency(), times, 0.2..1.0f64, 0.15..0.45f64, any::<bool>()).prop_map(
        |(consistency, idempotency, times, share, work, blocks_replication)| {
            let (objective_ms, deadline_factor, late_weight, priority_weight) = times;
            let is_read = consistency != Consistency::Write;
            let objective_s = objective_ms as f64 / 1e3;
            let class = Class {
                priority_weight,
                latency_objective: ms(objective_ms),
                latency_objective_work_factor: 0.0,
                deadline: Duration::from_secs_f64(objective_s * deadline_factor.max(1.5)),
                late_weight,
                idempotency: if is_read { Idempotency::Idempotent } else { idempotency },
                consistency,
                streaming: false,
            };
            let load = ClassLoad {
                share,
                work_s: objective_s * work * 0.5,
                blocks_replication: blocks_replication && is_read,
            };
            (class, load)
        },
    )
}

fn limits() -> impl Strategy<Value = Limits> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (2u32..9, flags, 50u64..500).prop_map(|(max_attempts, flags, connect_timeout_ms)| {
        let (allow_cancel, allow_health_checks, send_retry_after, _) = flags;
        Limits {
            max_attempts,
            allow_cancel,
            allow_gossip: false,
            allow_health_checks,
            allow_hedging: false,
            send_retry_after,
            max_retry_after: ms(800),
            connect_timeout: ms(connect_timeout_ms),
            max_streams_per_connection: 1,
        }
    })
}

fn service_rules() -> impl Strategy<Value = ServiceRules> {
    let values = (0.1..0.6f64, 5u64..20, 1.5..3.0f64, 500u64..2000, 200u64..2500, 3u64..12);
    values.prop_map(|(initial_capacity_share, warm_up_s, overload_factor, overload_ms, drain_ms, poll_s)| {
        ServiceRules {
            answer_grace_period: ms(20),
            poll_interval: Duration::from_secs(poll_s),
            initial_capacity_share,
            warm_up: Duration::from_secs(warm_up_s),
            overload_factor,
            overload_duration: ms(overload_ms),
            drain_grace_period: ms(drain_ms),
            removed_may_serve: false,
        }
    })
}

fn settings() -> impl Strategy<Value = (Settings, Vec<ClassLoad>)> {
    // With the other policies, the data servers themselves decline reads for which their data is too old.
    let stale_read_policy = Just(StaleReadPolicy::AnswerStale);
    let session_tokens = prop_oneof![Just(SessionTokens::FromClient), Just(SessionTokens::Tracked)];
    let listed_role =
        prop_oneof![Just(ListedRole::Delayed), Just(ListedRole::Static), Just(ListedRole::Absent)];
    let load_reports = prop_oneof![Just(LoadReports::OnHealthCheck), Just(LoadReports::Never)];
    let policies = (stale_read_policy, session_tokens, listed_role, load_reports);
    let classes = prop::collection::vec(class(), 1..6);
    (classes, policies, limits(), service_rules(), any::<bool>()).prop_map(
        |(classes, policies, limits, rules, responses_carry_position)| {
            let (stale_read_policy, session_tokens, listed_role, load_reports) = policies;
            let (classes, class_loads): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
            let settings = Settings {
                instance_index: 0,
                instance_count: 1,
                zone: ZoneId(0),
                min_step_interval: ms(5),
                classes,
                tenants: Vec::new(),
                over_quota_weight: 1.0,
                stale_read_policy,
                responses_carry_position,
                session_tokens,
                listed_role,
                load_reports: if limits.allow_health_checks { load_reports } else { LoadReports::Never },
                health_checks_tell_role: limits.allow_health_checks,
                discovery: DiscoveryMode::Subscribe,
                limits,
                rules,
                prices: Prices {
                    cross_zone: 0.02,
                    health_check: 0.04,
                    gossip: 0.0,
                    wasted_work: 0.03,
                    late_failure: 0.03,
                },
                failover: FailoverSettings::default(),
            };
            (settings, class_loads)
        },
    )
}

fn selection() -> impl Strategy<Value = Selection> {
    prop_oneof![
        4 => (0usize..64).prop_map(Selection::One),
        1 => (0.1..0.8f64).prop_map(Selection::Share),
        1 => (0usize..3).prop_map(Selection::Zone),
    ]
}

fn link_fault() -> impl Strategy<Value = LinkFault> {
    prop_oneof![
        Just(LinkFault::Down),
        Just(LinkFault::Blackhole),
        Just(LinkFault::DropResponses),
        Just(LinkFault::Reset),
        (0.01..0.3f64).prop_map(LinkFault::Delay),
    ]
}

fn link_target() -> impl Strategy<Value = LinkTarget> {
    prop_oneof![2 => selection().prop_map(LinkTarget::Servers), 1 => Just(LinkTarget::Discovery)]
}

fn fault() -> impl Strategy<Value = Fault> {
    let state =
        prop_oneof![Just(ServerState::Dead), Just(ServerState::Hung), Just(ServerState::Unresponsive)];
    let duration = 0.5..6.0f64;
    prop_oneof![
        3 => (selection(), state, duration.clone()).prop_map(|(servers, state, duration_s)| {
            Fault::FailServers { servers, state, duration_s }
        }),
        1 => (selection(), 2.0..20.0f64, duration.clone()).prop_map(|(servers, factor, duration_s)| {
            Fault::SlowServers { servers, factor, duration_s }
        }),
        2 => (0usize..64, 2.0..20.0f64, duration.clone()).prop_map(|(set, factor, duration_s)| {
            Fault::SlowReplication { set, factor, duration_s }
        }),
        1 => duration.clone().prop_map(|duration_s| Fault::DiscoveryDown { duration_s }),
        1 => duration.clone().prop_map(|backup_age_s| Fault::DiscoveryRestored { backup_age_s }),
        2 => (selection(), 0.5..4.0f64)
            .prop_map(|(servers, drain_s)| Fault::ReplaceServers { servers, drain_s }),
        2 => (selection(), duration.clone())
            .prop_map(|(servers, duration_s)| Fault::TakeOutOfService { servers, duration_s }),
        4 => selection().prop_map(|proxies| Fault::Upgrade { proxies }),
        1 => (selection(), 4.0..6.0f64)
            .prop_map(|(proxies, downtime_s)| Fault::Restart { proxies, downtime_s }),
        1 => (selection(), 0.1..1.0f64)
            .prop_map(|(proxies, downtime_s)| Fault::Kill { proxies, downtime_s }),
        1 => (selection(), 0.3..2.0f64, duration.clone()).prop_map(|(proxies, interval_s, duration_s)| {
            Fault::CrashLoop { proxies, interval_s, duration_s }
        }),
        1 => selection().prop_map(|proxies| Fault::Reload { proxies }),
        3 => (selection(), link_target(), link_fault(), duration.clone())
            .prop_map(|(proxies, target, fault, duration_s)| {
                Fault::Link { proxies, target, fault, duration_s }
            }),
        1 => (1.2..4.0f64, duration).prop_map(|(factor, duration_s)| Fault::Burst { factor, duration_s }),
    ]
}

fn scheduled_fault() -> impl Strategy<Value = ScheduledFault> {
    (1.0..11.0f64, fault()).prop_map(|(at_s, fault)| ScheduledFault { at_s, fault })
}

fn cached_list() -> impl Strategy<Value = CachedList> {
    prop_oneof![
        Just(CachedList::Absent),
        Just(CachedList::Current),
        (0.1..0.6f64).prop_map(|replaced_share| CachedList::Outdated { replaced_share }),
    ]
}

fn server_settings(cores: usize, rules: &ServiceRules, mean_work_s: f64) -> ServerModelSettings {
    ServerModelSettings {
        cores,
        speed: 1.0,
        max_queue: 10 * cores,
        max_connections: 60 * cores,
        handshake_work_s: 0.004,
        initial_capacity_share: rules.initial_capacity_share,
        warm_up_s: rules.warm_up.as_secs_f64(),
        overload_factor: rules.overload_factor,
        overload_duration_s: rules.overload_duration.as_secs_f64(),
        mean_work_s,
    }
}

/// Returns the mean work of a request, in seconds.
fn mean_work(class_loads: &[ClassLoad]) -> f64 {
    let total_share: f64 = class_loads.iter().map(|load| load.share).sum();
    let total_work: f64 = class_loads.iter().map(|load| load.share * load.work_s).sum();
    total_work / total_share
}

/// Returns the share of writes among all requests.
fn write_share(settings: &Settings, class_loads: &[ClassLoad]) -> f64 {
    let total: f64 = class_loads.iter().map(|load| load.share).sum();
    let classes = class_loads.iter().zip(&settings.classes);
    let writes = classes.filter(|(_, class)| class.consistency == Consistency::Write);
    writes.map(|(load, _)| load.share / total).sum()
}

/// Generates a fleet of up to five proxies with up to seven faults.
fn plan() -> impl Strategy<Value = Plan> {
    let topology = (1usize..6, 1usize..4, 1usize..4, 2usize..5, 1usize..6);
    let replication = (1e-3..12e-3f64, 0.3..0.7f64, any::<bool>(), 0.2..1.2f64, 0.2..0.9f64);
    let discovery = (20.0..200.0f64, 0.3..4.0f64, cached_list(), prop::bool::weighted(0.1));
    let workload = (0.3..1.1f64, 0u32..3, 0.05..0.6f64);
    let faults = prop::collection::vec(scheduled_fault(), 1..8);
    (settings(), topology, replication, discovery, workload, faults, any::<u64>()).prop_map(
        |((settings, class_loads), topology, replication, discovery, workload, faults, seed)| {
            let (proxy_count, zone_count, replica_set_count, members_per_set, cores) = topology;
            let (shipping_delay_s, apply_utilization, synchronous, detection_s, switchover_s) = replication;
            let (polls_per_s, publication_delay_s, cached_list, cold_start) = discovery;
            let (load, max_tries, read_after_write_gap_s) = workload;
            let mean_work_s = mean_work(&class_loads);
            let requests_per_s =
                (load * (replica_set_count * members_per_set * cores) as f64 / mean_work_s).clamp(5.0, 400.0);
            let writes_per_s = requests_per_s * write_share(&settings, &class_loads);
            Plan {
                proxy_count,
                zone_count,
                replica_set_count,
                members_per_set,
                server: server_settings(cores, &settings.rules, mean_work_s),
                cold_start,
                replication: ReplicationSettings {
                    shipping_delay_s,
                    apply_work_s: apply_utilization * replica_set_count as f64 / writes_per_s.max(1.0),
                    synchronous,
                    detection_s,
                    election_s: detection_s,
                    switchover_s,
                },
                discovery: DiscoverySettings {
                    polls_per_s,
                    timeout_s: 2.0,
                    publication_delay_s,
                    notification_spread_s: 0.3,
                },
                workload: WorkloadSettings {
                    class_loads,
                    read_after_write_share: 0.7,
                    read_after_write_gap_s,
                    max_tries,
                    retry_delay_s: 0.05,
                },
                requests_per_s,
                cross_zone_delay_s: 1e-3,
                intra_zone_delay_s: 2e-4,
                handshake_rtts: 2.0,
                idle_timeout_s: 15.0,
                health_check_work_s: 4e-4,
                load_report_age_s: 0.2,
                snapshot_age_s: 4.0,
                faults,
                duration_s: 12.0,
                start_spread_s: 0.0,
                cached_list,
                seed,
                settings,
            }
        },
    )
}

#[test]
fn no_rule_is_violated_with_any_settings_and_faults() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(48);
    let config = ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(24),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    };
    let outcome = TestRunner::new(config).run(&plan(), |plan| {
        let report = Simulation::new(plan).run();
        let violations = &report.violations;
        let count = violations.len();
        prop_assert!(
            violations.is_empty(),
            "expected no violation, got {count}, the first: {:?}",
            violations.first()
        );
        prop_assert!(report.tries > 0);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
