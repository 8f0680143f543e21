//! The plan whose values a scenario overrides.

use std::time::Duration;

use pipittack_core::api::{
    Class, Consistency, DiscoveryMode, FailoverSettings, Idempotency, Limits, ListedRole, LoadReports,
    Prices, ServiceRules, SessionTokens, Settings, StaleReadPolicy, ZoneId,
};

use super::super::discovery_model::DiscoverySettings;
use super::super::plan::{CachedList, Plan};
use super::super::replication::ReplicationSettings;
use super::super::server_model::ServerModelSettings;
use super::super::workload::{ClassLoad, WorkloadSettings};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a plan for 40 proxies and 24 data servers without faults. Its three classes are reads with bounded
/// staleness, causal reads, and writes. The request rate and the work to apply a commit are 0; parsing a
/// scenario computes them.
pub fn default_plan() -> Plan {
    Plan {
        settings: settings(),
        proxy_count: 40,
        zone_count: 3,
        replica_set_count: 8,
        members_per_set: 3,
        server: ServerModelSettings {
            cores: 5,
            speed: 1.0,
            max_queue: 90,
            max_connections: 900,
            handshake_work_s: 0.004,
            initial_capacity_share: 0.27,
            warm_up_s: 18.0,
            overload_factor: 2.0,
            overload_duration_s: 1.0,
            mean_work_s: 0.086,
        },
        cold_start: false,
        replication: ReplicationSettings {
            shipping_delay_s: 0.006,
            apply_work_s: 0.0,
            synchronous: true,
            detection_s: 1.7,
            election_s: 2.8,
            switchover_s: 0.5,
        },
        discovery: DiscoverySettings {
            polls_per_s: 15.0,
            timeout_s: 2.0,
            publication_delay_s: 2.0,
            notification_spread_s: 0.3,
        },
        workload: WorkloadSettings {
            class_loads: [0.64, 0.15, 0.21].map(class_load).to_vec(),
            read_after_write_share: 0.65,
            read_after_write_gap_s: 0.4,
            max_tries: 2,
            retry_delay_s: 0.08,
        },
        requests_per_s: 0.0,
        cross_zone_delay_s: 0.6e-3,
        intra_zone_delay_s: 0.12e-3,
        handshake_rtts: 2.0,
        idle_timeout_s: 15.0,
        health_check_work_s: 4e-4,
        load_report_age_s: 0.2,
        snapshot_age_s: 4.0,
        faults: Vec::new(),
        duration_s: 20.0,
        start_spread_s: 0.1,
        cached_list: CachedList::Current,
        seed: 1,
    }
}

fn class_load(share: f64) -> ClassLoad {
    ClassLoad { share, work_s: 0.086, blocks_replication: false }
}

fn classes() -> Vec<Class> {
    let bounded_read = Class {
        priority_weight: 1.0,
        latency_objective: ms(500),
        latency_objective_work_factor: 0.0,
        deadline: ms(1200),
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        consistency: Consistency::BoundedStaleness(ms(3000)),
        streaming: false,
    };
    let causal_read = Class {
        priority_weight: 2.0,
        deadline: ms(1500),
        late_weight: 0.2,
        consistency: Consistency::Causal,
        ..bounded_read.clone()
    };
    let write = Class {
        priority_weight: 4.0,
        latency_objective: ms(600),
        deadline: ms(3000),
        late_weight: 0.5,
        idempotency: Idempotency::NonIdempotent,
        consistency: Consistency::Write,
        ..bounded_read.clone()
    };
    vec![bounded_read, causal_read, write]
}

fn settings() -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: ZoneId(0),
        min_step_interval: ms(5),
        classes: classes(),
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        stale_read_policy: StaleReadPolicy::AnswerStale,
        responses_carry_position: true,
        session_tokens: SessionTokens::FromClient,
        listed_role: ListedRole::Delayed,
        load_reports: LoadReports::Never,
        health_checks_tell_role: false,
        discovery: DiscoveryMode::Subscribe,
        limits: Limits {
            max_attempts: 6,
            allow_cancel: true,
            allow_gossip: false,
            allow_health_checks: true,
            allow_hedging: true,
            send_retry_after: true,
            max_retry_after: ms(1000),
            connect_timeout: ms(250),
            max_streams_per_connection: 1,
        },
        rules: ServiceRules {
            answer_grace_period: ms(20),
            poll_interval: ms(10_000),
            initial_capacity_share: 0.27,
            warm_up: ms(18_000),
            overload_factor: 2.0,
            overload_duration: ms(1000),
            drain_grace_period: ms(2000),
            removed_may_serve: false,
        },
        prices: Prices {
            cross_zone: 0.017,
            health_check: 0.041,
            gossip: 0.0,
            wasted_work: 0.03,
            late_failure: 0.05,
        },
        failover: FailoverSettings::default(),
    }
}
