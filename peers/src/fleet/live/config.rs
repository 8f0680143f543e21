//! The platform's configuration, as a process of a trial gets it.
//!
//! Owns the names in which settings stand there. It must never know a file.

use std::time::Duration;

use pipittack_core::interface::*;
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
    let (effect, scope, window) = match class.effect {
        Effect::Repeatable => ("repeatable", "", Duration::ZERO),
        Effect::Once => ("once", "", Duration::ZERO),
        Effect::Keyed { scope: DedupScope::All, window } => ("by_key", "all", window),
        Effect::Keyed { scope: DedupScope::Zone, window } => ("by_key", "zone", window),
        Effect::Keyed { scope: DedupScope::Group, window } => ("by_key", "cell", window),
    };
    json!({
        "Name": class_name(ClassId(place)),
        "Credit": class.credit,
        "OnTimeMs": ms(class.aim),
        "DeadlineMs": ms(class.deadline),
        "LateValue": class.late_value,
        "Effect": effect,
        "DedupScope": scope,
        "WindowMs": ms(window),
    })
}

/// The settings of one proxy, whose idle connections to servers last for so many s.
pub fn settings(settings: &Settings, zones: usize, idle_s: f64) -> Value {
    let need = |class: &Class| match class.need {
        Need::Write => "mutate",
        Need::Strong => "strong",
        Need::Causal => "causal",
        Need::Bounded(_) => "lag_bound",
        Need::Eventual => "eventual",
    };
    let age = |class: &Class| match class.need {
        Need::Bounded(age) => ms(age),
        _ => 0.0,
    };
    let Settings { limits, contract, prices, .. } = settings;
    json!({
        "Index": settings.index,
        "GroupSize": settings.gateways,
        "Zone": zone_name(settings.zone.0),
        "Zones": (0..zones).map(zone_name).collect::<Vec<_>>(),
        "TickMs": ms(settings.tick),
        "Classes": settings.classes.iter().enumerate().map(|(i, c)| class(i, c)).collect::<Vec<_>>(),
        "Domain": {
            "NeedsByClass": settings.classes.iter().map(need).collect::<Vec<_>>(),
            "MaxAgeMs": settings.classes.iter().map(age).collect::<Vec<_>>(),
            "Positions": settings.positions,
            "ServerChecks": match settings.checks {
                Checks::Silent => "silent",
                Checks::Bounce => "bounce",
                Checks::Await(_) => "await",
            },
            "SessionMarks": match settings.session_marks {
                SessionMarks::Brought => "brought",
                SessionMarks::Kept => "kept",
            },
            "ShowsRole": match settings.role_column {
                RoleColumn::Trailing => "trailing",
                RoleColumn::Static => "static",
                RoleColumn::Silent => "silent",
            },
        },
        "Report": {
            "How": match settings.reports {
                Reports::Piggyback => "piggyback",
                Reports::Pull => "pull",
                Reports::Silent => "silent",
            },
            "Columns": if settings.reports == Reports::Silent { vec![] } else { vec!["x0", "x1"] },
        },
        "Discovery": "subscribe",
        "Limits": {
            "AttemptsCap": limits.attempts,
            "MayCancel": limits.cancel,
            "Probes": limits.probes,
            "SecondCopies": limits.second_copies,
            "RetryAfter": limits.retry_after,
            "MaxRetryAfterMs": ms(limits.max_retry_after),
            "ConnectTimeoutMs": ms(limits.connect_timeout),
            "ConnIdleMs": idle_s * 1e3,
            "StreamsPerConn": limits.streams_per_connection,
        },
        "Contract": {
            "AnswerSlackMs": ms(contract.answer_slack),
            "AskEveryMs": ms(contract.ask_every),
            "ColdShare": contract.cold_share,
            "WarmUpMs": ms(contract.warm_up),
            "OverloadFactor": contract.overload_factor,
            "OverloadForMs": ms(contract.overload_for),
            "StopSendingWithinMs": ms(contract.stop_within),
            "OnlyDrainingBinds": contract.only_draining_binds,
        },
        "Prices": {
            "CrossZone": prices.cross_zone,
            "Probe": prices.probe,
            "Waste": prices.waste,
            "LateFail": prices.late_fail,
        },
    })
}

/// An entry of the list as one proxy gets it.
pub fn target(
    entry: &Entry,
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
        "state": match entry.health {
            Health::Healthy => "Ready",
            Health::Draining => "Terminating",
            Health::Gone => "Gone",
        },
        "capacity_hint": entry.rating,
        "boot_ms": entry.started.map_or(0.0, |at| unix_ms(at.as_secs_f64()).round()),
    });
    if roles {
        target["mode"] = json!(if entry.head { "read-write" } else { "read-only" });
    }
    target
}
