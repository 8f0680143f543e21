//! The cases: fleets, classes of requests and what each site permits.

use std::time::Duration;

use pipittack_core::api::{
    Class, Consistency, DiscoveryMode, Idempotency, KeyScope, Limits, ListedRole, LoadReports, Prices,
    ServiceRules, SessionTokens, Settings, StaleReadPolicy, Tenant, ZoneId,
};

/// How many classes the table has.
pub const CLASS_COUNT: usize = 12;
/// Zones over which the servers are spread.
pub const ZONES: usize = 3;

/// Which of the optional means a site permits.
#[derive(Debug, Clone, Copy)]
pub struct Permitted {
    pub probes: bool,
    pub tell: bool,
    pub cancel: bool,
    pub second_copies: bool,
    pub retry_after: bool,
}

/// Everything is permitted.
pub const ALL: Permitted =
    Permitted { probes: true, tell: true, cancel: true, second_copies: true, retry_after: true };
/// Nothing is permitted.
pub const NONE: Permitted =
    Permitted { probes: false, tell: false, cancel: false, second_copies: false, retry_after: false };

/// One case: a seed, a fleet, its load and its settings.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub seed: u64,
    pub gateways: u32,
    pub groups: u64,
    pub servers_per_group: u32,
    /// The classes are this many of the table, from `first_class` on.
    pub classes: usize,
    pub first_class: usize,
    pub tenants: usize,
    pub requests_per_s: u64,
    pub simulated_s: u64,
    /// Service time of a request on a server of rating 1.
    pub service_ms: u64,
    pub checks: StaleReadPolicy,
    pub session_marks: SessionTokens,
    pub reports: LoadReports,
    pub discovery: DiscoveryMode,
    pub positions: bool,
    pub role_column: ListedRole,
    pub permitted: Permitted,
}

/// What the cases start from.
pub const BASE: Case = Case {
    name: "base",
    seed: 1,
    gateways: 1,
    groups: 2,
    servers_per_group: 3,
    classes: CLASS_COUNT,
    first_class: 0,
    tenants: 0,
    requests_per_s: 80,
    simulated_s: 20,
    service_ms: 25,
    checks: StaleReadPolicy::AnswerStale,
    session_marks: SessionTokens::FromClient,
    reports: LoadReports::Piggyback,
    discovery: DiscoveryMode::Push,
    positions: true,
    role_column: ListedRole::Delayed,
    permitted: ALL,
};

impl Case {
    /// The settings with which the case begins.
    pub fn settings(&self) -> Settings {
        Settings {
            instance_index: 0,
            instance_count: self.gateways,
            zone: ZoneId(0),
            min_step_interval: Duration::from_millis(5),
            classes: (0..self.classes).map(|index| class(self.first_class + index)).collect(),
            tenants: (0..self.tenants).map(tenant).collect(),
            over_quota_weight: 0.3,
            stale_read_policy: self.checks,
            responses_carry_position: self.positions,
            session_tokens: self.session_marks,
            listed_role: self.role_column,
            load_reports: self.reports,
            discovery: self.discovery,
            limits: self.limits(),
            rules: self.contract(),
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
            allow_gossip: self.permitted.tell,
            allow_health_checks: self.permitted.probes,
            allow_hedging: self.permitted.second_copies,
            send_retry_after: self.permitted.retry_after,
            max_retry_after: Duration::from_millis(1000),
            connect_timeout: Duration::from_millis(250),
            max_streams_per_connection: 8,
        }
    }

    fn contract(&self) -> ServiceRules {
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

/// A tenant; each next one has a larger quota.
pub fn tenant(index: usize) -> Tenant {
    Tenant { quota_per_s: 20.0 * (index + 1) as f64, share: 1.0 / (index + 1) as f64 }
}

/// A class of the table, which repeats after [`CLASS_COUNT`].
pub fn class(index: usize) -> Class {
    let ms = Duration::from_millis;
    let keyed = |scope| Idempotency::WithKey { scope, window: ms(1500) };
    let (need, effect) = match index % CLASS_COUNT {
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
        idempotency: effect,
        consistency: need,
        streaming: index == 8,
    }
}
