//! Cases of the test: fleets, classes of requests and permitted features.

use std::time::Duration;

use pipittack_core::api::{
    Class, Consistency, DiscoveryMode, Idempotency, KeyScope, Limits, ListedRole, LoadReports, Prices,
    ServiceRules, SessionTokens, Settings, StaleReadPolicy, Tenant, ZoneId,
};

/// Number of classes in the table of [`class`].
pub const CLASS_COUNT: usize = 12;
/// Number of zones over which the servers are spread.
pub const ZONES: usize = 3;

/// Optional features that the settings permit.
#[derive(Debug, Clone, Copy)]
pub struct Permitted {
    pub health_checks: bool,
    pub gossip: bool,
    pub cancel: bool,
    pub hedging: bool,
    pub retry_after: bool,
}

/// Permits all features.
pub const ALL: Permitted =
    Permitted { health_checks: true, gossip: true, cancel: true, hedging: true, retry_after: true };
/// Permits no feature.
pub const NONE: Permitted =
    Permitted { health_checks: false, gossip: false, cancel: false, hedging: false, retry_after: false };

/// Case with its seed, its fleet, its load and its settings.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub seed: u64,
    pub instance_count: u32,
    pub groups: u64,
    pub servers_per_group: u32,
    /// Number of classes, taken from the table starting at `first_class`.
    pub classes: usize,
    pub first_class: usize,
    pub tenants: usize,
    pub requests_per_s: u64,
    pub duration_s: u64,
    /// Nominal service time of a request on a server with a relative capacity of 1, in milliseconds.
    pub service_ms: u64,
    pub stale_read_policy: StaleReadPolicy,
    pub session_tokens: SessionTokens,
    pub load_reports: LoadReports,
    pub discovery: DiscoveryMode,
    pub responses_carry_position: bool,
    pub listed_role: ListedRole,
    pub permitted: Permitted,
}

/// Defaults of the cases.
pub const BASE: Case = Case {
    name: "base",
    seed: 1,
    instance_count: 1,
    groups: 2,
    servers_per_group: 3,
    classes: CLASS_COUNT,
    first_class: 0,
    tenants: 0,
    requests_per_s: 80,
    duration_s: 20,
    service_ms: 25,
    stale_read_policy: StaleReadPolicy::AnswerStale,
    session_tokens: SessionTokens::FromClient,
    load_reports: LoadReports::Piggyback,
    discovery: DiscoveryMode::Push,
    responses_carry_position: true,
    listed_role: ListedRole::Delayed,
    permitted: ALL,
};

impl Case {
    /// Returns the settings at the start of the case.
    pub fn settings(&self) -> Settings {
        Settings {
            instance_index: 0,
            instance_count: self.instance_count,
            zone: ZoneId(0),
            min_step_interval: Duration::from_millis(5),
            classes: (0..self.classes).map(|index| class(self.first_class + index)).collect(),
            tenants: (0..self.tenants).map(tenant).collect(),
            over_quota_weight: 0.3,
            stale_read_policy: self.stale_read_policy,
            responses_carry_position: self.responses_carry_position,
            session_tokens: self.session_tokens,
            listed_role: self.listed_role,
            load_reports: self.load_reports,
            health_checks_tell_role: false,
            discovery: self.discovery,
            limits: self.limits(),
            rules: self.service_rules(),
            prices: Prices {
                cross_zone: 0.02,
                health_check: 0.01,
                gossip: 0.001,
                wasted_work: 0.1,
                late_failure: 0.2,
            },
            failover: Default::default(),
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            max_attempts: 3 + (self.seed % 4) as u32,
            allow_cancel: self.permitted.cancel,
            allow_gossip: self.permitted.gossip,
            allow_health_checks: self.permitted.health_checks,
            allow_hedging: self.permitted.hedging,
            send_retry_after: self.permitted.retry_after,
            max_retry_after: Duration::from_millis(1000),
            connect_timeout: Duration::from_millis(250),
            max_streams_per_connection: 8,
        }
    }

    fn service_rules(&self) -> ServiceRules {
        ServiceRules {
            answer_grace_period: Duration::from_millis(20),
            poll_interval: Duration::from_secs(10),
            initial_capacity_share: 0.1 + 0.05 * (self.seed % 4) as f64,
            warm_up: Duration::from_secs(5 + self.seed % 10),
            overload_factor: 2.5,
            overload_duration: Duration::from_millis(1500),
            drain_grace_period: Duration::from_millis(250),
            removed_may_serve: self.seed % 2 == 1,
        }
    }
}

/// Returns the tenant with this index. The quota increases with the index.
pub fn tenant(index: usize) -> Tenant {
    Tenant { quota_per_s: 20.0 * (index + 1) as f64, share: 1.0 / (index + 1) as f64 }
}

/// Returns the class with this index. The classes repeat after [`CLASS_COUNT`].
pub fn class(index: usize) -> Class {
    let ms = Duration::from_millis;
    let keyed = |scope| Idempotency::WithKey { scope, window: ms(1500) };
    let (required_consistency, class_idempotency) = match index % CLASS_COUNT {
        0 => (Consistency::BoundedStaleness(ms(1000)), Idempotency::Idempotent),
        1 => (Consistency::Write, keyed(KeyScope::Group)),
        2 => (Consistency::Causal, Idempotency::Idempotent),
        3 => (Consistency::Write, Idempotency::NonIdempotent),
        4 => (Consistency::Eventual, Idempotency::Idempotent),
        5 => (Consistency::Linearizable, Idempotency::Idempotent),
        6 => (Consistency::Write, keyed(KeyScope::All)),
        7 => (Consistency::Write, keyed(KeyScope::Zone)),
        8 => (Consistency::Eventual, Idempotency::Idempotent),
        9 => (Consistency::BoundedStaleness(ms(200)), Idempotency::NonIdempotent),
        10 => (Consistency::Write, Idempotency::Idempotent),
        _ => (Consistency::Causal, keyed(KeyScope::All)),
    };
    let index = index % CLASS_COUNT;
    Class {
        priority_weight: [1.0, 3.0, 0.5][index % 3],
        latency_objective: ms(200 + 60 * index as u64),
        latency_objective_work_factor: [0.0, 1.0][index % 2],
        deadline: ms(1000 + 250 * index as u64),
        late_weight: [0.0, 0.5][index % 2],
        idempotency: class_idempotency,
        consistency: required_consistency,
        streaming: index == 8,
    }
}
