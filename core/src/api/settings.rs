//! Settings of a proxy instance, given at its start or by a new configuration.

use std::time::Duration;

use super::class::{Class, Tenant};
use super::failover_settings::FailoverSettings;
use super::ids::ZoneId;

/// Shortest warm-up, in seconds, that the capacity share of a starting server is computed with; avoids a
/// division by zero.
const MIN_WARM_UP_SECS: f64 = 1e-3;
/// Shortest valid deadline of a class, in seconds.
const MIN_DEADLINE_SECS: f64 = 1e-6;

/// Reaction of a replica to a read that its data is too old for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleReadPolicy {
    /// The replica answers with the data that it has.
    AnswerStale,
    /// The replica declines the read at once.
    Decline,
    /// The replica waits up to this long for newer data, then declines the read.
    WaitThenDecline(Duration),
}

/// Source of the commit position of a session's last write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionTokens {
    /// Clients send the position with each read.
    FromClient,
    /// The proxy tracks the position from the acknowledged writes that pass through it.
    Tracked,
}

/// Accuracy of the roles in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedRole {
    /// The listed role follows the primary with a delay.
    Delayed,
    /// The listed role is the initial one and never changes.
    Static,
    /// The list contains no roles.
    Absent,
}

/// Occasions on which servers send load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    /// Servers send a load report with every response and every health check.
    Piggyback,
    /// Servers send load reports with health checks only.
    OnHealthCheck,
    /// Servers send no load reports.
    Never,
}

/// Delivery of updates of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes updates without a subscription.
    Push,
    /// Updates arrive only after [`Action::Watch`](super::Action::Watch) or
    /// [`Action::Poll`](super::Action::Poll).
    Subscribe,
}

/// Limits of the deployment on what the engine may do.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub allow_cancel: bool,
    /// Whether [`Action::Gossip`](super::Action::Gossip) is permitted.
    pub allow_gossip: bool,
    /// Whether [`Action::HealthCheck`](super::Action::HealthCheck) is permitted.
    pub allow_health_checks: bool,
    /// Whether two attempts of one request may be in flight at once. Has no effect: the engine sends no
    /// hedged requests.
    pub allow_hedging: bool,
    /// Whether the rejection of a request contains a retry-after hint.
    pub send_retry_after: bool,
    /// Longest retry-after hint that clients honour.
    pub max_retry_after: Duration,
    /// Time within which a connection must be established; after it the connection attempt has failed.
    pub connect_timeout: Duration,
    /// Maximum number of attempts that share a connection. The engine does not use it.
    pub max_streams_per_connection: u32,
}

/// Parameters of the service rules, which bind every proxy instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRules {
    /// Time after a request's deadline within which its final answer still counts as in time.
    pub answer_grace_period: Duration,
    /// Maximum interval between polls of discovery while there is no watch.
    pub poll_interval: Duration,
    /// Share of its full capacity, from 0 to 1, that a server has when its process starts.
    pub initial_capacity_share: f64,
    /// Time from the start of its process until a server has its full capacity.
    pub warm_up: Duration,
    /// Multiple of the present capacity of a warming server. The server counts as overloaded if it receives
    /// requests at that rate for [`overload_duration`](Self::overload_duration).
    pub overload_factor: f64,
    /// Time for which a warming server must receive requests at the rate of
    /// [`overload_factor`](Self::overload_factor) to count as overloaded.
    pub overload_duration: Duration,
    /// Time after a server starts to drain within which attempts to it must stop.
    pub drain_grace_period: Duration,
    /// Whether a server that was removed from the list may still be sent requests. If so, only listing as
    /// draining forbids them.
    pub removed_may_serve: bool,
}

impl ServiceRules {
    /// Returns the guaranteed capacity share, from 0 to 1, of a server `secs_since_start` seconds after its
    /// start.
    pub fn min_capacity_share(&self, secs_since_start: f64) -> f64 {
        let warmed_up = secs_since_start.max(0.0) / self.warm_up.as_secs_f64().max(MIN_WARM_UP_SECS);
        (self.initial_capacity_share + (1.0 - self.initial_capacity_share) * warmed_up).min(1.0)
    }
}

/// Prices of optional work and of failures, as shares of the value of the service. The price of an action is
/// its cost if the action is taken once per request.
#[derive(Debug, Clone, PartialEq)]
pub struct Prices {
    /// Price of an attempt in another zone.
    pub cross_zone: f64,
    /// Price of a health check. The engine validates it and does not use it.
    pub health_check: f64,
    /// Price of a gossip message of 256 bytes.
    pub gossip: f64,
    /// Price of server work that leads to no response. The engine validates it and does not use it.
    pub wasted_work: f64,
    /// Weight of requests that fail after their latency objective. The engine validates it and does not use
    /// it.
    pub late_failure: f64,
}

/// Settings of the engine of one proxy instance. [`Event::Settings`](super::Event::Settings) replaces them
/// while the engine runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Index of this proxy instance.
    pub instance_index: u32,
    /// Number of proxy instances.
    pub instance_count: u32,
    /// Zone that this proxy instance runs in.
    pub zone: ZoneId,
    /// Minimum time between two steps of the engine.
    pub min_step_interval: Duration,
    /// Classes of requests, by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Tenants, by [`TenantId`](super::TenantId); empty if the service has none.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a share of its class's weight.
    pub over_quota_weight: f64,
    /// Reaction of a replica to a read that its data is too old for.
    pub stale_read_policy: StaleReadPolicy,
    /// Whether every response carries a replication position.
    pub responses_carry_position: bool,
    /// Source of the session tokens.
    pub session_tokens: SessionTokens,
    /// Accuracy of the roles in the endpoint list.
    pub listed_role: ListedRole,
    /// Occasions on which servers send load reports.
    pub load_reports: LoadReports,
    /// Whether the response to a health check tells the role of the server.
    pub health_checks_tell_role: bool,
    /// Delivery of updates of the endpoint list.
    pub discovery: DiscoveryMode,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Parameters of the service rules.
    pub rules: ServiceRules,
    /// Prices of optional work and of failures.
    pub prices: Prices,
    /// Settings for failover and write buffering.
    pub failover: FailoverSettings,
}

/// Settings that the engine can't work with.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The settings define no class of requests.
    #[error("the settings define no request class")]
    NoClasses,
    /// The named value is not finite or lies outside its range.
    #[error("{0} is not a finite number within its valid range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks that the engine can work with every value.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.classes.iter().try_for_each(Class::validate)?;
        self.tenants.iter().try_for_each(Tenant::validate)?;
        check_range("the number of instances", f64::from(self.instance_count), 1.0, f64::MAX)?;
        check_range("the weight of requests over their quota", self.over_quota_weight, 0.0, f64::MAX)?;
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
        check_range(
            "a class's latency objective work factor",
            self.latency_objective_work_factor,
            0.0,
            f64::MAX,
        )?;
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
        let Self { cross_zone, health_check, gossip, wasted_work, late_failure } = *self;
        let prices = [cross_zone, health_check, gossip, wasted_work, late_failure];
        prices.into_iter().try_for_each(|price| check_range("a price", price, 0.0, f64::MAX))
    }
}

fn check_range(name: &'static str, value: f64, min: f64, max: f64) -> Result<(), SettingsError> {
    let is_valid = value.is_finite() && (min..=max).contains(&value);
    is_valid.then_some(()).ok_or(SettingsError::OutOfRange(name))
}
