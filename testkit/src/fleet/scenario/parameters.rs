//! The parameters of a script by section.

use std::time::Duration;

use pipittack_core::api::{ListedRole, LoadReports, SessionTokens};

use super::super::plan::{CachedList, Plan};
use super::syntax::{split_form, unexpected, Form, SyntaxError};
use super::Utilization;

/// Reads `(NAME VALUE)` in a section.
pub fn read_parameter(
    section: &str,
    form: &Form<'_>,
    plan: &mut Plan,
    utilization: &mut Utilization,
) -> Result<(), SyntaxError> {
    match section {
        "fleet" => read_fleet(form, plan, utilization),
        "server" => read_server(form, plan),
        "copies" => read_replication(form, plan, utilization),
        "list" => read_discovery(form, plan),
        "clients" => read_clients(form, plan),
        "limits" => read_limits(form, plan),
        "contract" => read_rules(form, plan),
        "sessions" => read_sessions(form, plan),
        "start" => read_start(form, plan),
        _ => Err(unknown_parameter(section, form)),
    }
}

fn unknown_parameter(section: &str, form: &Form<'_>) -> SyntaxError {
    unexpected(form.datum, &format!("a parameter of {section}"))
}

fn count(form: &Form<'_>) -> Result<usize, SyntaxError> {
    Ok(form.single_number()?.max(1.0) as usize)
}

fn milliseconds(form: &Form<'_>) -> Result<Duration, SyntaxError> {
    form.single_ms().map(Duration::from_secs_f64)
}

fn read_fleet(form: &Form<'_>, plan: &mut Plan, utilization: &mut Utilization) -> Result<(), SyntaxError> {
    match form.name {
        "proxies" => plan.proxies = count(form)?,
        "zones" => plan.zones = count(form)?,
        "sets" => plan.sets = count(form)?,
        "members" => plan.members = count(form)?,
        "load" => utilization.load = form.single_number()?,
        _ => return Err(unknown_parameter("fleet", form)),
    }
    Ok(())
}

fn read_server(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    match form.name {
        "cores" => plan.server.cores = count(form)?,
        "speed" => plan.server.speed = form.single_number()?,
        "queue" => plan.server.max_queue = form.single_number()? as usize,
        "connections" => plan.server.max_connections = form.single_number()? as usize,
        "handshake" => plan.server.handshake_work_s = form.single_ms()?,
        "probe" => plan.health_check_work_s = form.single_ms()?,
        _ => return Err(unknown_parameter("server", form)),
    }
    Ok(())
}

fn read_replication(
    form: &Form<'_>,
    plan: &mut Plan,
    utilization: &mut Utilization,
) -> Result<(), SyntaxError> {
    match form.name {
        "ship" => plan.replication.shipping_delay_s = form.single_ms()?,
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

fn read_discovery(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
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

fn read_clients(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    let workload = &mut plan.workload;
    match form.name {
        "follows" => workload.read_after_write_share = form.single_number()?,
        "gap" => workload.read_after_write_gap_s = form.single_number()?,
        "retries" => workload.retries = form.single_number()? as u32,
        "pause" => workload.retry_delay_s = form.single_number()?,
        _ => return Err(unknown_parameter("clients", form)),
    }
    Ok(())
}

fn read_limits(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    let settings = &mut plan.settings;
    match form.name {
        "attempts" => settings.limits.max_attempts = form.single_number()? as u32,
        "probes" => settings.limits.allow_health_checks = form.single_flag()?,
        "reports" => {
            settings.load_reports =
                if form.single_flag()? { LoadReports::OnHealthCheck } else { LoadReports::Never };
        }
        "max-retry-after" => settings.limits.max_retry_after = milliseconds(form)?,
        "connect-timeout" => settings.limits.connect_timeout = milliseconds(form)?,
        _ => return Err(unknown_parameter("limits", form)),
    }
    Ok(())
}

fn read_rules(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    let rules = &mut plan.settings.rules;
    match form.name {
        "ask-every" => rules.poll_interval = milliseconds(form)?,
        "cold-share" => rules.initial_capacity_share = form.single_number()?,
        "warm-up" => rules.warm_up = milliseconds(form)?,
        "overload-factor" => rules.overload_factor = form.single_number()?,
        "overload-for" => rules.overload_duration = milliseconds(form)?,
        "stop-within" => rules.drain_grace_period = milliseconds(form)?,
        _ => return Err(unknown_parameter("contract", form)),
    }
    Ok(())
}

fn read_sessions(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
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

fn read_start(form: &Form<'_>, plan: &mut Plan) -> Result<(), SyntaxError> {
    match form.name {
        "within" => plan.start_spread_s = form.single_number()?,
        "cold" => plan.cold_start = form.single_flag()?,
        "remembered" => plan.cached_list = read_cached_list(form)?,
        _ => return Err(unknown_parameter("start", form)),
    }
    Ok(())
}

fn read_cached_list(form: &Form<'_>) -> Result<CachedList, SyntaxError> {
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
    let old = split_form(item, expected)?;
    match old.name {
        "old" => Ok(CachedList::Outdated { replaced_share: old.single_number()? }),
        _ => Err(unexpected(item, expected)),
    }
}
