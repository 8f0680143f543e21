//! The cases: fleets, classes of requests and what each site permits.

use std::time::Duration;

use pipittack_core::interface::{
    Checks, Class, Contract, DedupScope, Discovery, Effect, Limits, Need, Prices, Reports, RoleColumn,
    SessionMarks, Settings, Tenant, ZoneId,
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
    pub checks: Checks,
    pub session_marks: SessionMarks,
    pub reports: Reports,
    pub discovery: Discovery,
    pub positions: bool,
    pub role_column: RoleColumn,
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
    checks: Checks::Silent,
    session_marks: SessionMarks::Brought,
    reports: Reports::Piggyback,
    discovery: Discovery::Automatic,
    positions: true,
    role_column: RoleColumn::Trailing,
    permitted: ALL,
};

impl Case {
    /// The settings with which the case begins.
    pub fn settings(&self) -> Settings {
        Settings {
            index: 0,
            gateways: self.gateways,
            zone: ZoneId(0),
            tick: Duration::from_millis(5),
            classes: (0..self.classes).map(|index| class(self.first_class + index)).collect(),
            tenants: (0..self.tenants).map(tenant).collect(),
            over_share_worth: 0.3,
            checks: self.checks,
            positions: self.positions,
            session_marks: self.session_marks,
            role_column: self.role_column,
            reports: self.reports,
            discovery: self.discovery,
            limits: self.limits(),
            contract: self.contract(),
            prices: Prices { cross_zone: 0.02, probe: 0.01, peer: 0.001, waste: 0.1, late_fail: 0.2 },
            failover: Default::default(),
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            attempts: 3 + (self.seed % 4) as u32,
            cancel: self.permitted.cancel,
            tell: self.permitted.tell,
            probes: self.permitted.probes,
            second_copies: self.permitted.second_copies,
            retry_after: self.permitted.retry_after,
            max_retry_after: Duration::from_millis(1000),
            connect_timeout: Duration::from_millis(250),
            streams_per_connection: 8,
        }
    }

    fn contract(&self) -> Contract {
        Contract {
            answer_slack: Duration::from_millis(20),
            ask_every: Duration::from_secs(10),
            cold_share: 0.1 + 0.05 * (self.seed % 4) as f64,
            warm_up: Duration::from_secs(5 + self.seed % 10),
            overload_factor: 2.5,
            overload_for: Duration::from_millis(1500),
            stop_within: Duration::from_millis(250),
            only_draining_binds: self.seed % 2 == 1,
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
    let keyed = |scope| Effect::Keyed { scope, window: ms(1500) };
    let (need, effect) = match index % CLASS_COUNT {
        0 => (Need::Bounded(ms(1000)), Effect::Repeatable),
        1 => (Need::Write, keyed(DedupScope::Group)),
        2 => (Need::Causal, Effect::Repeatable),
        3 => (Need::Write, Effect::Once),
        4 => (Need::Eventual, Effect::Repeatable),
        5 => (Need::Strong, Effect::Repeatable),
        6 => (Need::Write, keyed(DedupScope::All)),
        7 => (Need::Write, keyed(DedupScope::Zone)),
        8 => (Need::Eventual, Effect::Repeatable),
        9 => (Need::Bounded(ms(200)), Effect::Once),
        10 => (Need::Write, Effect::Repeatable),
        _ => (Need::Causal, keyed(DedupScope::All)),
    };
    let index = index % CLASS_COUNT;
    Class {
        credit: [1.0, 3.0, 0.5][index % 3],
        aim: ms(200 + 60 * index as u64),
        aim_stretch: [0.0, 1.0][index % 2],
        deadline: ms(1000 + 250 * index as u64),
        late_value: [0.0, 0.5][index % 2],
        effect,
        need,
        stream: index == 8,
    }
}
