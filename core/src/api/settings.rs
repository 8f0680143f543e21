//! All that a proxy instance is told at its start or by a new configuration.

use std::time::Duration;

use super::class::{Class, Tenant};
use super::failover_settings::FailoverSettings;
use super::ids::ZoneId;

/// Shortest warm-up in seconds that the capacity of a starting server is computed with.
const MIN_WARM_UP_SECS: f64 = 1e-3;
/// Shortest deadline of a class in seconds.
const MIN_DEADLINE_SECS: f64 = 1e-6;

/// What a replica does with a read for which its data is too old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// Answers from the data that it has.
    AnswerStale,
    /// Declines at once.
    Decline,
    /// Waits up to this long, then declines.
    WaitThenDecline(Duration),
}

/// Where the commit position of a session's last write comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionTokens {
    /// Clients send it with each read.
    FromClient,
    /// The proxy tracks it from the writes that it saw acknowledged.
    Tracked,
}

/// How the role in the endpoint list follows the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedRole {
    /// With a delay.
    Delayed,
    /// As it was at the start.
    Static,
    /// Not at all.
    Absent,
}

/// How servers send load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    /// With every response and health check.
    Piggyback,
    /// With health checks only.
    OnHealthCheck,
    /// Never.
    Never,
}

/// How updates of the endpoint list arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes them.
    Push,
    /// After [`Action::Watch`](super::Action::Watch) or [`Action::Poll`](super::Action::Poll) only.
    Subscribe,
}

/// What the site allows.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Largest number of attempts for one request.
    pub max_attempts: u32,
    /// [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub allow_cancel: bool,
    /// [`Action::Gossip`](super::Action::Gossip) is permitted.
    pub allow_gossip: bool,
    /// [`Action::HealthCheck`](super::Action::HealthCheck) is permitted.
    pub allow_health_checks: bool,
    /// Two attempts of one request may be in flight together. Has no effect: the engine sends no hedged
    /// requests.
    pub allow_hedging: bool,
    /// Rejected clients are told when to retry.
    pub send_retry_after: bool,
    /// The longest retry-after that a client honours.
    pub max_retry_after: Duration,
    /// Time after which a connection that is not up has failed.
    pub connect_timeout: Duration,
    /// Largest number of attempts that share a connection.
    pub max_streams_per_connection: u32,
}

/// Figures of the rules that bind every instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRules {
    /// How far past a request's deadline its final answer still counts.
    pub answer_grace_period: Duration,
    /// Without a watch, the longest interval between polls of discovery.
    pub poll_interval: Duration,
    /// Share of its capacity that a server has when it starts.
    pub initial_capacity_share: f64,
    /// Time after its start at which it has all of it.
    pub warm_up: Duration,
    /// Multiple of its present capacity at which a warming server is overloaded...
    pub overload_factor: f64,
    /// ...when it is sent that much for so long.
    pub overload_duration: Duration,
    /// Time within which no more attempts may be sent to a draining server.
    pub drain_grace_period: Duration,
    /// A server that is no longer listed may still be sent requests; only one listed as draining may not.
    pub removed_may_serve: bool,
}

impl ServiceRules {
    /// The share of its capacity that a server has at least, so many seconds after its start.
    pub fn min_capacity_share(&self, secs_since_start: f64) -> f64 {
        let warmed_up = secs_since_start.max(0.0) / self.warm_up.as_secs_f64().max(MIN_WARM_UP_SECS);
        (self.initial_capacity_share + (1.0 - self.initial_capacity_share) * warmed_up).min(1.0)
    }
}

/// Prices of the means that the engine may use, in shares of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Prices {
    /// An attempt in another zone, for each request.
    pub cross_zone: f64,
    /// A health check, for each request.
    pub health_check: f64,
    /// A gossip message of 256 bytes, for each request.
    pub gossip: f64,
    /// Server work that led to no response.
    pub wasted_work: f64,
    /// Weight of requests that fail after their latency objective.
    pub late_failure: f64,
}

/// The engine's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This proxy instance's index.
    pub instance_index: u32,
    /// How many proxy instances there are.
    pub instance_count: u32,
    /// The zone this instance runs in.
    pub zone: ZoneId,
    /// Shortest time between two steps.
    pub min_step_interval: Duration,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request past its tenant's quota, as a share of its class's.
    pub over_quota_weight: f64,
    /// What a replica does whose data is too old.
    pub stale_read_policy: StaleReadPolicy,
    /// Whether every response carries a replication position.
    pub responses_carry_position: bool,
    /// Where session tokens come from.
    pub session_tokens: SessionTokens,
    /// How the endpoint list's role follows the primary.
    pub listed_role: ListedRole,
    /// Load reports.
    pub load_reports: LoadReports,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// What is allowed.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: ServiceRules,
    /// Prices.
    pub prices: Prices,
    /// Failover and write buffering.
    pub failover: FailoverSettings,
}

/// Settings that no engine can work with.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There are no classes.
    #[error("no classes of requests")]
    NoClasses,
    /// A figure is not a finite number, or outside its range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks that the engine can work with every figure.
    ///
    /// # Errors
    ///
    /// Names the first figure that it can't work with.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.classes.iter().try_for_each(Class::validate)?;
        self.tenants.iter().try_for_each(Tenant::validate)?;
        check_range("the number of instances", f64::from(self.instance_count), 1.0, f64::MAX)?;
        check_range("the weight past a quota", self.over_quota_weight, 0.0, f64::MAX)?;
        check_range("the attempt limit", f64::from(self.limits.max_attempts), 1.0, f64::MAX)?;
        check_range("the initial capacity share", self.rules.initial_capacity_share, 0.0, 1.0)?;
        check_range("the overload factor", self.rules.overload_factor, 0.0, f64::MAX)?;
        self.failover.validate().map_err(|invalid| SettingsError::OutOfRange(invalid.name))?;
        self.prices.validate()
    }
}

impl Class {
    fn validate(&self) -> Result<(), SettingsError> {
        check_range("a class's priority weight", self.priority_weight, 0.0, f64::MAX)?;
        check_range("a class's late weight", self.late_weight, 0.0, 1.0)?;
        check_range("a class's latency objective stretch", self.latency_objective_stretch, 0.0, f64::MAX)?;
        check_range("a class's deadline", self.deadline.as_secs_f64(), MIN_DEADLINE_SECS, f64::MAX)
    }
}

impl Tenant {
    fn validate(&self) -> Result<(), SettingsError> {
        check_range("a tenant's quota", self.quota_per_s, 0.0, f64::MAX)?;
        check_range("a tenant's share", self.share, 0.0, f64::MAX)
    }
}

impl Prices {
    fn validate(&self) -> Result<(), SettingsError> {
        let prices = [self.cross_zone, self.health_check, self.wasted_work, self.late_failure];
        prices.into_iter().try_for_each(|price| check_range("a price", price, 0.0, f64::MAX))
    }
}

fn check_range(name: &'static str, value: f64, min: f64, max: f64) -> Result<(), SettingsError> {
    let is_valid = value.is_finite() && (min..=max).contains(&value);
    is_valid.then_some(()).ok_or(SettingsError::OutOfRange(name))
}
