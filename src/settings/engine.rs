//! Reads the routing engine's settings from the settings object.

use super::classes::{read_classes, read_tenants, unknown_value};
use super::error::ConfigError;
use super::names::NameTable;
use super::reader::ObjectReader;
use crate::api::{
    DiscoveryMode, FailoverSettings, Limits, ListedRole, LoadReports, Prices, ServiceRules, SessionTokens,
    Settings, StaleReadPolicy,
};

/// Reads the settings. If `names` lacks the instance's zone, adds it.
pub(super) fn read_settings(
    settings: ObjectReader<'_>,
    names: &mut NameTable,
) -> Result<Settings, ConfigError> {
    let domain = settings.object("Domain");
    Ok(Settings {
        instance_index: settings.integer_or("Index", 0)?,
        instance_count: settings.integer_or("GroupSize", 1)?,
        zone: names.zone(settings.string("Zone")),
        min_step_interval: settings.duration("TickMs")?,
        classes: read_classes(settings, domain)?,
        tenants: read_tenants(settings)?,
        over_quota_weight: settings.number_or("OverShareWorth", 1.0)?,
        stale_read_policy: read_stale_read_policy(domain)?,
        responses_carry_position: domain.boolean("Positions")?,
        session_tokens: read_session_tokens(domain)?,
        listed_role: read_listed_role(domain),
        load_reports: read_load_reports(settings.object("Report")),
        health_checks_tell_role: false,
        discovery: read_discovery_mode(settings),
        limits: read_limits(settings.object("Limits"))?,
        rules: read_rules(settings.object("Contract"))?,
        prices: read_prices(settings.object("Prices"))?,
        failover: FailoverSettings::default(),
    })
}

fn read_stale_read_policy(domain: ObjectReader<'_>) -> Result<StaleReadPolicy, ConfigError> {
    match domain.string("ServerChecks") {
        "silent" => Ok(StaleReadPolicy::AnswerStale),
        "bounce" => Ok(StaleReadPolicy::Decline),
        "await" => Ok(StaleReadPolicy::WaitThenDecline(domain.duration("HoldsForMs")?)),
        other => Err(unknown_value("ServerChecks", other)),
    }
}

fn read_session_tokens(domain: ObjectReader<'_>) -> Result<SessionTokens, ConfigError> {
    match domain.string("SessionMarks") {
        "brought" => Ok(SessionTokens::FromClient),
        "kept" => Ok(SessionTokens::Tracked),
        other => Err(unknown_value("SessionMarks", other)),
    }
}

fn read_listed_role(domain: ObjectReader<'_>) -> ListedRole {
    match domain.string("ShowsRole") {
        "trailing" => ListedRole::Delayed,
        "static" => ListedRole::Static,
        _ => ListedRole::Absent,
    }
}

fn read_load_reports(report: ObjectReader<'_>) -> LoadReports {
    match report.string("How") {
        "piggyback" => LoadReports::Piggyback,
        "pull" => LoadReports::OnHealthCheck,
        _ => LoadReports::Never,
    }
}

fn read_discovery_mode(settings: ObjectReader<'_>) -> DiscoveryMode {
    match settings.string("Discovery") {
        "subscribe" => DiscoveryMode::Subscribe,
        _ => DiscoveryMode::Push,
    }
}

fn read_limits(limits: ObjectReader<'_>) -> Result<Limits, ConfigError> {
    Ok(Limits {
        max_attempts: limits.integer_or("AttemptsCap", 1)?,
        allow_cancel: limits.boolean("MayCancel")?,
        allow_gossip: limits.boolean("MayTell")?,
        allow_health_checks: limits.boolean("Probes")?,
        allow_hedging: limits.boolean("SecondCopies")?,
        send_retry_after: limits.boolean("RetryAfter")?,
        max_retry_after: limits.duration("MaxRetryAfterMs")?,
        connect_timeout: limits.duration("ConnectTimeoutMs")?,
        max_streams_per_connection: limits.integer_or("StreamsPerConn", 1)?,
    })
}

fn read_rules(contract: ObjectReader<'_>) -> Result<ServiceRules, ConfigError> {
    Ok(ServiceRules {
        answer_grace_period: contract.duration("AnswerSlackMs")?,
        poll_interval: contract.duration("AskEveryMs")?,
        initial_capacity_share: contract.number_or("ColdShare", 1.0)?,
        warm_up: contract.duration("WarmUpMs")?,
        overload_factor: contract.number_or("OverloadFactor", 1.0)?,
        overload_duration: contract.duration("OverloadForMs")?,
        drain_grace_period: contract.duration("StopSendingWithinMs")?,
        removed_may_serve: contract.boolean("OnlyDrainingBinds")?,
    })
}

fn read_prices(prices: ObjectReader<'_>) -> Result<Prices, ConfigError> {
    Ok(Prices {
        cross_zone: prices.number_or("CrossZone", 0.0)?,
        health_check: prices.number_or("Probe", 0.0)?,
        gossip: prices.number_or("Peer", 0.0)?,
        wasted_work: prices.number_or("Waste", 0.0)?,
        late_failure: prices.number_or("LateFail", 0.0)?,
    })
}
