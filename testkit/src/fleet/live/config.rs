//! The platform's configuration, as a process of a trial gets it.
//!
//! Owns the names in which settings stand there. It must never know a file.

use std::time::Duration;

use pipittack_core::api::*;
use serde_json::{json, Value};

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The name of a class by its place.
pub fn class_name(class: ClassId) -> String {
    format!("c{}", class.0)
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

fn class(place: usize, class: &Class) -> Value {
    let (effect, scope, window) = match class.idempotency {
        Idempotency::Idempotent => ("repeatable", "", Duration::ZERO),
        Idempotency::NonIdempotent => ("once", "", Duration::ZERO),
        Idempotency::WithKey { scope: KeyScope::All, window } => ("by_key", "all", window),
        Idempotency::WithKey { scope: KeyScope::Zone, window } => ("by_key", "zone", window),
        Idempotency::WithKey { scope: KeyScope::Group, window } => ("by_key", "cell", window),
    };
    json!({
        "Name": class_name(ClassId(place)),
        "Credit": class.priority_weight,
        "OnTimeMs": ms(class.latency_objective),
        "DeadlineMs": ms(class.deadline),
        "LateValue": class.late_weight,
        "Effect": effect,
        "DedupScope": scope,
        "WindowMs": ms(window),
    })
}

/// The settings of one proxy, whose idle connections to servers last for so many s.
pub fn settings(settings: &Settings, zones: usize, idle_s: f64) -> Value {
    let need = |class: &Class| match class.consistency {
        Consistency::Write => "mutate",
        Consistency::Linearizable => "strong",
        Consistency::Causal => "causal",
        Consistency::BoundedStaleness(_) => "lag_bound",
        Consistency::Eventual => "eventual",
    };
    let age = |class: &Class| match class.consistency {
        Consistency::BoundedStaleness(age) => ms(age),
        _ => 0.0,
    };
    let Settings { limits, rules: contract, prices, .. } = settings;
    json!({
        "Index": settings.instance_index,
        "GroupSize": settings.instance_count,
        "Zone": zone_name(settings.zone.0),
        "Zones": (0..zones).map(zone_name).collect::<Vec<_>>(),
        "TickMs": ms(settings.min_step_interval),
        "Classes": settings.classes.iter().enumerate().map(|(i, c)| class(i, c)).collect::<Vec<_>>(),
        "Domain": {
            "NeedsByClass": settings.classes.iter().map(need).collect::<Vec<_>>(),
            "MaxAgeMs": settings.classes.iter().map(age).collect::<Vec<_>>(),
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
        },
        "Report": {
            "How": match settings.load_reports {
                LoadReports::Piggyback => "piggyback",
                LoadReports::OnHealthCheck => "pull",
                LoadReports::Never => "silent",
            },
            "Columns": if settings.load_reports == LoadReports::Never { vec![] } else { vec!["x0", "x1"] },
        },
        "Discovery": "subscribe",
        "Limits": {
            "AttemptsCap": limits.max_attempts,
            "MayCancel": limits.allow_cancel,
            "Probes": limits.allow_health_checks,
            "SecondCopies": limits.allow_hedging,
            "RetryAfter": limits.send_retry_after,
            "MaxRetryAfterMs": ms(limits.max_retry_after),
            "ConnectTimeoutMs": ms(limits.connect_timeout),
            "ConnIdleMs": idle_s * 1e3,
            "StreamsPerConn": limits.max_streams_per_connection,
        },
        "Contract": {
            "AnswerSlackMs": ms(contract.answer_grace_period),
            "AskEveryMs": ms(contract.poll_interval),
            "ColdShare": contract.initial_capacity_share,
            "WarmUpMs": ms(contract.warm_up),
            "OverloadFactor": contract.overload_factor,
            "OverloadForMs": ms(contract.overload_duration),
            "StopSendingWithinMs": ms(contract.drain_grace_period),
            "OnlyDrainingBinds": contract.removed_may_serve,
        },
        "Prices": {
            "CrossZone": prices.cross_zone,
            "Probe": prices.health_check,
            "Waste": prices.wasted_work,
            "LateFail": prices.late_failure,
        },
    })
}

/// An entry of the list as one proxy gets it.
pub fn target(
    entry: &Endpoint,
    endpoint: std::net::SocketAddr,
    unix_ms: impl Fn(f64) -> f64,
    roles: bool,
) -> Value {
    let mut target = json!({
        "uid": format!("s{}", entry.server.0),
        "endpoint": endpoint,
        "az": zone_name(entry.zone.0),
        "model": "std",
        "pod_group": entry.group.0,
        "state": match entry.state {
            EndpointState::Healthy => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Removed => "Gone",
        },
        "capacity_hint": entry.relative_capacity,
        "boot_ms": entry.started_at.map_or(0.0, |at| unix_ms(at.as_secs_f64()).round()),
    });
    if roles {
        target["mode"] = json!(if entry.listed_primary { "read-write" } else { "read-only" });
    }
    target
}
