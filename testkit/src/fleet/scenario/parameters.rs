//! Parser for the parameters in the sections of a scenario.

use std::time::Duration;

use pipittack_core::api::{ListedRole, LoadReports, SessionTokens};

use super::super::plan::{CachedList, Plan};
use super::syntax::{split_form, unexpected, Form, SyntaxError};
use super::Utilization;

/// Parses the parameter `(NAME VALUE)` of a section.
pub fn parse_parameter(
    section: &str,
    form: &Form<'_>,
    plan: &mut Plan,
    utilization: &mut Utilization,
) -> Result<(), SyntaxError> {
    match section {
        "fleet" => parse_fleet(form, plan, utilization),
        "server" => parse_server(form, plan),
        "copies" => parse_replication(form, plan, utilization),
        "list" => parse_discovery(form, plan),
        "clients" => parse_clients(form, plan),
        "limits" => parse_limits(form, plan),
        "contract" => parse_rules(form, plan),
        "sessions" => parse_sessions(form, plan),
        "start" => parse_start(form, plan),
        _ => Err(unknown_parameter(section, form)),
    }
}

fn unknown_parameter(section: &str, form: &Form<'_>) -> SyntaxError {
    unexpected(form.datum, &format!("a parameter of {section}"))
}

fn parse_count(form: &Form<'_>) -> Result<usize, SyntaxError> {
    Ok(form.single_number()?.max(1.0) as usize)
}

fn parse_milliseconds(form: &Form<'_>) -> Result<Duration, SyntaxError> {
    form.single_ms_as_seconds().map(Duration::from_secs_f64)
}

fn parse_fleet(form: &Form<'_>, plan: &mut Plan, utilization: &mut Utilization) -> Result<(), SyntaxError> {
    match form.name {
        "proxies" => plan.proxy_count = parse_count(form)?,
        "zones" => plan.zone_count = parse_count(form)?,
        "sets" => plan.replica_set_count = parse_count(form)?,
        "members" => plan.members_per_set = parse_count(form)?,
        "load" => utilization.load = form.single_number()?,
        _ => return Err(unknown_parameter("fleet", form)),
    }
    Ok(())
}

fn parse_server(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    match form.name {
        "cores" => plan.server.cores = parse_count(form)?,
        "speed" => plan.server.speed = form.single_number()?,
        "queue" => plan.server.max_queue = form.single_number()? as usize,
        "connections" => plan.server.max_connections = form.single_number()? as usize,
        "handshake" => plan.server.handshake_work_s = form.single_ms_as_seconds()?,
        "probe" => plan.health_check_work_s = form.single_ms_as_seconds()?,
        _ => return Err(unknown_parameter("server", form)),
    }
    Ok(())
}

fn parse_replication(
    form: &Form<'_>,
    plan: &mut Plan,
    utilization: &mut Utilization,
) -> Result<(), SyntaxError> {
    match form.name {
        "ship" => plan.replication.shipping_delay_s = form.single_ms_as_seconds()?,
        "apply-use" => utilization.apply = form.single_number()?,
        "sync" => plan.replication.synchronous = form.single_flag()?,
        "detect" => plan.replication.detection_s = form.single_number()?,
        "elect" => plan.replication.election_s = form.single_number()?,
        "switch" => plan.replication.switchover_s = form.single_number()?,
        "seed" => plan.snapshot_age_s = form.single_number()?,
        _ => return Err(unknown_parameter("copies", form)),
    }
    Ok(())
}

fn parse_discovery(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    match form.name {
        "rate" => plan.discovery.polls_per_s = form.single_number()?,
        "timeout" => plan.discovery.timeout_s = form.single_number()?,
        "notice" => plan.discovery.publication_delay_s = form.single_number()?,
        "spread" => plan.discovery.notification_spread_s = form.single_number()?,
        "roles" => {
            plan.settings.listed_role = match form.single_word()? {
                "late" => ListedRole::Delayed,
                "start" => ListedRole::Static,
                "none" => ListedRole::Absent,
                _ => return Err(unexpected(form.datum, "late, start or none")),
            }
        }
        _ => return Err(unknown_parameter("list", form)),
    }
    Ok(())
}

fn parse_clients(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    let workload = &mut plan.workload;
    match form.name {
        "follows" => workload.read_after_write_share = form.single_number()?,
        "gap" => workload.read_after_write_gap_s = form.single_number()?,
        "retries" => workload.max_tries = form.single_number()? as u32,
        "pause" => workload.retry_delay_s = form.single_number()?,
        _ => return Err(unknown_parameter("clients", form)),
    }
    Ok(())
}

fn parse_limits(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    let settings = &mut plan.settings;
    match form.name {
        "attempts" => settings.limits.max_attempts = form.single_number()? as u32,
        "probes" => settings.limits.allow_health_checks = form.single_flag()?,
        "reports" => {
            settings.load_reports =
                if form.single_flag()? { LoadReports::OnHealthCheck } else { LoadReports::Never };
        }
        "max-retry-after" => settings.limits.max_retry_after = parse_milliseconds(form)?,
        "connect-timeout" => settings.limits.connect_timeout = parse_milliseconds(form)?,
        _ => return Err(unknown_parameter("limits", form)),
    }
    Ok(())
}

fn parse_rules(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    let rules = &mut plan.settings.rules;
    match form.name {
        "ask-every" => rules.poll_interval = parse_milliseconds(form)?,
        "cold-share" => rules.initial_capacity_share = form.single_number()?,
        "warm-up" => rules.warm_up = parse_milliseconds(form)?,
        "overload-factor" => rules.overload_factor = form.single_number()?,
        "overload-for" => rules.overload_duration = parse_milliseconds(form)?,
        "stop-within" => rules.drain_grace_period = parse_milliseconds(form)?,
        _ => return Err(unknown_parameter("contract", form)),
    }
    Ok(())
}

fn parse_sessions(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    match form.name {
        "marks" => {
            plan.settings.session_tokens = match form.single_word()? {
                "brought" => SessionTokens::FromClient,
                "kept" => SessionTokens::Tracked,
                _ => return Err(unexpected(form.datum, "brought or kept")),
            };
            Ok(())
        }
        _ => Err(unknown_parameter("sessions", form)),
    }
}

fn parse_start(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    match form.name {
        "within" => plan.start_spread_s = form.single_number()?,
        "cold" => plan.cold_start = form.single_flag()?,
        "remembered" => plan.cached_list = parse_cached_list(form)?,
        _ => return Err(unknown_parameter("start", form)),
    }
    Ok(())
}

fn parse_cached_list(form: &Form<'_>) -> Result<CachedList, SyntaxError> {
    let [item] = form.items[..] else {
        let expected = "(remembered nothing), (remembered fresh) or (remembered (old SHARE))";
        return Err(unexpected(form.datum, expected));
    };
    match item.value().as_symbol() {
        Some("nothing") => return Ok(CachedList::Absent),
        Some("fresh") => return Ok(CachedList::Current),
        _ => {}
    }
    let expected = "nothing, fresh or (old SHARE)";
    let outdated = split_form(item, expected)?;
    match outdated.name {
        "old" => Ok(CachedList::Outdated { replaced_share: outdated.single_number()? }),
        _ => Err(unexpected(item, expected)),
    }
}
