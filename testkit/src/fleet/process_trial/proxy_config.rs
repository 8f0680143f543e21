//! Conversion of settings and endpoints to the formats of the configuration file and of the endpoint list.

use std::net::SocketAddr;
use std::time::Duration;

use pipittack_core::api::{
    Class, ClassId, Consistency, Endpoint, EndpointState, Idempotency, KeyScope, Limits, ListedRole,
    LoadReports, Prices, ServiceRules, SessionTokens, Settings, StaleReadPolicy,
};
use serde_json::{json, Value};

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the name of a class in the configuration and in the comments of statements.
pub fn class_name(class: ClassId) -> String {
    format!("c{}", class.0)
}

/// Returns the name of a zone in the configuration and in the endpoint list.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

fn class_settings(index: usize, class: &Class) -> Value {
    let (effect, scope, window) = match class.idempotency {
        Idempotency::Idempotent => ("repeatable", "", Duration::ZERO),
        Idempotency::NonIdempotent => ("once", "", Duration::ZERO),
        Idempotency::WithKey { scope: KeyScope::All, window } => ("by_key", "all", window),
        Idempotency::WithKey { scope: KeyScope::Zone, window } => ("by_key", "zone", window),
        Idempotency::WithKey { scope: KeyScope::Group, window } => ("by_key", "cell", window),
    };
    json!({
        "Name": class_name(ClassId(index)),
        "Credit": class.priority_weight,
        "OnTimeMs": milliseconds(class.latency_objective),
        "DeadlineMs": milliseconds(class.deadline),
        "LateValue": class.late_weight,
        "Effect": effect,
        "DedupScope": scope,
        "WindowMs": milliseconds(window),
    })
}

/// Returns the settings of one proxy in the format of the configuration file. `idle_timeout_s` is the timeout
/// in seconds of idle connections to servers.
pub fn settings(settings: &Settings, zone_count: usize, idle_timeout_s: f64) -> Value {
    json!({
        "Index": settings.instance_index,
        "GroupSize": settings.instance_count,
        "Zone": zone_name(settings.zone.0),
        "Zones": (0..zone_count).map(zone_name).collect::<Vec<_>>(),
        "TickMs": milliseconds(settings.min_step_interval),
        "Classes": settings.classes.iter().enumerate().map(|(i, c)| class_settings(i, c)).collect::<Vec<_>>(),
        "Domain": consistency_settings(settings),
        "Report": load_reports(settings.load_reports),
        "Discovery": "subscribe",
        "Limits": limits(&settings.limits, idle_timeout_s),
        "Contract": rules(&settings.rules),
        "Prices": prices(&settings.prices),
    })
}

fn consistency_settings(settings: &Settings) -> Value {
    let consistency_name = |class: &Class| match class.consistency {
        Consistency::Write => "mutate",
        Consistency::Linearizable => "strong",
        Consistency::Causal => "causal",
        Consistency::BoundedStaleness(_) => "lag_bound",
        Consistency::Eventual => "eventual",
    };
    let max_staleness_ms = |class: &Class| match class.consistency {
        Consistency::BoundedStaleness(max_staleness) => milliseconds(max_staleness),
        _ => 0.0,
    };
    json!({
        "NeedsByClass": settings.classes.iter().map(consistency_name).collect::<Vec<_>>(),
        "MaxAgeMs": settings.classes.iter().map(max_staleness_ms).collect::<Vec<_>>(),
        "Positions": settings.responses_carry_position,
        "ServerChecks": match settings.stale_read_policy {
            StaleReadPolicy::AnswerStale => "silent",
            StaleReadPolicy::Decline => "bounce",
            StaleReadPolicy::WaitThenDecline(_) => "await",
        },
        "SessionMarks": match settings.session_tokens {
            SessionTokens::FromClient => "brought",
            SessionTokens::Tracked => "kept",
        },
        "ShowsRole": match settings.listed_role {
            ListedRole::Delayed => "trailing",
            ListedRole::Static => "static",
            ListedRole::Absent => "silent",
        },
    })
}

fn load_reports(load_reports: LoadReports) -> Value {
    json!({
        "How": match load_reports {
            LoadReports::Piggyback => "piggyback",
            LoadReports::OnHealthCheck => "pull",
            LoadReports::Never => "silent",
        },
        "Columns": if load_reports == LoadReports::Never { vec![] } else { vec!["x0", "x1"] },
    })
}

fn limits(limits: &Limits, idle_timeout_s: f64) -> Value {
    json!({
        "AttemptsCap": limits.max_attempts,
        "MayCancel": limits.allow_cancel,
        "Probes": limits.allow_health_checks,
        "SecondCopies": limits.allow_hedging,
        "RetryAfter": limits.send_retry_after,
        "MaxRetryAfterMs": milliseconds(limits.max_retry_after),
        "ConnectTimeoutMs": milliseconds(limits.connect_timeout),
        "ConnIdleMs": idle_timeout_s * 1e3,
        "StreamsPerConn": limits.max_streams_per_connection,
    })
}

fn rules(rules: &ServiceRules) -> Value {
    json!({
        "AnswerSlackMs": milliseconds(rules.answer_grace_period),
        "AskEveryMs": milliseconds(rules.poll_interval),
        "ColdShare": rules.initial_capacity_share,
        "WarmUpMs": milliseconds(rules.warm_up),
        "OverloadFactor": rules.overload_factor,
        "OverloadForMs": milliseconds(rules.overload_duration),
        "StopSendingWithinMs": milliseconds(rules.drain_grace_period),
        "OnlyDrainingBinds": rules.removed_may_serve,
    })
}

fn prices(prices: &Prices) -> Value {
    json!({
        "CrossZone": prices.cross_zone,
        "Probe": prices.health_check,
        "Waste": prices.wasted_work,
        "LateFail": prices.late_failure,
    })
}

/// Returns an entry of the endpoint list in the format of the discovery API, without the role of the server.
/// `started_unix_ms` is the start of the server in Unix time in milliseconds, or `None` if it is not listed.
pub fn endpoint_entry(endpoint: &Endpoint, address: SocketAddr, started_unix_ms: Option<f64>) -> Value {
    json!({
        "uid": format!("s{}", endpoint.server.0),
        "endpoint": address,
        "az": zone_name(endpoint.zone.0),
        "model": "std",
        "pod_group": endpoint.group.0,
        "state": match endpoint.state {
            EndpointState::Healthy => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Removed => "Gone",
        },
        "capacity_hint": endpoint.relative_capacity,
        "boot_ms": started_unix_ms.map_or(0.0, f64::round),
    })
}
