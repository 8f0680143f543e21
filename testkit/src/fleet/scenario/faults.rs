//! Parser for the faults of a scenario.

use lexpr::datum::Ref;

use super::super::link_faults::LinkFault;
use super::super::plan::{Fault, LinkTarget, Selection};
use super::super::server_model::ServerState;
use super::syntax::{parse_number, split_form, unexpected, Form, SyntaxError};

/// Parses a selection: `all`, `(one INDEX)`, `(share SHARE)` or `(zone INDEX)`.
fn parse_selection(datum: Ref<'_>) -> Result<Selection, SyntaxError> {
    if datum.value().as_symbol() == Some("all") {
        return Ok(Selection::All);
    }
    let expected = "all, (one INDEX), (share SHARE) or (zone INDEX)";
    let form = split_form(datum, expected)?;
    let value = form.single_number()?;
    match form.name {
        "one" => Ok(Selection::One(value as usize)),
        "share" => Ok(Selection::Share(value)),
        "zone" => Ok(Selection::Zone(value as usize)),
        _ => Err(unexpected(datum, expected)),
    }
}

fn parse_first_selection(form: &Form<'_>) -> Result<Selection, SyntaxError> {
    match form.items.first() {
        Some(item) => parse_selection(*item),
        None => Err(unexpected(form.datum, "a selection of servers or proxies")),
    }
}

/// Parses a fault. Durations are in seconds.
pub fn parse_fault(datum: Ref<'_>) -> Result<Fault, SyntaxError> {
    let form = split_form(datum, "(FAULT ...)")?;
    match form.name {
        "kill-servers" => parse_server_failure(&form, ServerState::Dead),
        "hang-servers" => parse_server_failure(&form, ServerState::Hung),
        "silence-servers" => parse_server_failure(&form, ServerState::Unresponsive),
        "slow-servers" | "replace" | "by-hand" => parse_server_fault(&form),
        "upgrade" | "restart" | "kill" | "crash-loop" | "stall" | "reload" => parse_proxy_fault(&form),
        "link" => parse_link_fault(&form),
        "lag" => Ok(Fault::SlowReplication {
            set: form.number_at(0)? as usize,
            factor: form.number_at(1)?,
            duration_s: form.number_at(2)?,
        }),
        "list-down" => Ok(Fault::DiscoveryDown { duration_s: form.number_at(0)? }),
        "list-back" => Ok(Fault::DiscoveryRestored { backup_age_s: form.number_at(0)? }),
        "burst" => Ok(Fault::Burst { factor: form.number_at(0)?, duration_s: form.number_at(1)? }),
        _ => Err(unexpected(datum, "a fault")),
    }
}

fn parse_server_failure(form: &Form<'_>, state: ServerState) -> Result<Fault, SyntaxError> {
    Ok(Fault::FailServers { servers: parse_first_selection(form)?, state, duration_s: form.number_at(1)? })
}

fn parse_server_fault(form: &Form<'_>) -> Result<Fault, SyntaxError> {
    let servers = parse_first_selection(form)?;
    match form.name {
        "slow-servers" => {
            Ok(Fault::SlowServers { servers, factor: form.number_at(1)?, duration_s: form.number_at(2)? })
        }
        "replace" => Ok(Fault::ReplaceServers { servers, drain_s: form.number_at(1)? }),
        _ => Ok(Fault::TakeOutOfService { servers, duration_s: form.number_at(1)? }),
    }
}

fn parse_proxy_fault(form: &Form<'_>) -> Result<Fault, SyntaxError> {
    let proxies = parse_first_selection(form)?;
    match form.name {
        "upgrade" => Ok(Fault::Upgrade { proxies }),
        "reload" => Ok(Fault::Reload { proxies }),
        "restart" => Ok(Fault::Restart { proxies, downtime_s: form.number_at(1)? }),
        "kill" => Ok(Fault::Kill { proxies, downtime_s: form.number_at(1)? }),
        "crash-loop" => {
            Ok(Fault::CrashLoop { proxies, interval_s: form.number_at(1)?, duration_s: form.number_at(2)? })
        }
        _ => Ok(Fault::Pause { proxies, duration_s: form.number_at(1)? }),
    }
}

/// Parses `(link PROXIES (servers SELECTION) FAULT SECONDS)` or `(link PROXIES list FAULT SECONDS)`.
fn parse_link_fault(form: &Form<'_>) -> Result<Fault, SyntaxError> {
    let [proxies, target, fault, duration] = form.items[..] else {
        return Err(unexpected(form.datum, "(link PROXIES TARGET FAULT SECONDS)"));
    };
    let target = parse_link_target(target)?;
    let fault = parse_link_fault_kind(fault)?;
    let proxies = parse_selection(proxies)?;
    Ok(Fault::Link { proxies, target, fault, duration_s: parse_number(duration)? })
}

fn parse_link_target(datum: Ref<'_>) -> Result<LinkTarget, SyntaxError> {
    if datum.value().as_symbol() == Some("list") {
        return Ok(LinkTarget::Discovery);
    }
    let expected = "list or (servers SELECTION)";
    let form = split_form(datum, expected)?;
    match (form.name, &form.items[..]) {
        ("servers", [servers]) => Ok(LinkTarget::Servers(parse_selection(*servers)?)),
        _ => Err(unexpected(datum, expected)),
    }
}

fn parse_link_fault_kind(datum: Ref<'_>) -> Result<LinkFault, SyntaxError> {
    let expected = "cut, silent, deaf, reset or (slow MS)";
    match datum.value().as_symbol() {
        Some("cut") => return Ok(LinkFault::Down),
        Some("silent") => return Ok(LinkFault::Blackhole),
        Some("deaf") => return Ok(LinkFault::DropResponses),
        Some("reset") => return Ok(LinkFault::Reset),
        _ => {}
    }
    let form = split_form(datum, expected)?;
    match form.name {
        "slow" => Ok(LinkFault::Delay(form.single_ms_as_seconds()?)),
        _ => Err(unexpected(datum, expected)),
    }
}
