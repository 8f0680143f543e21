//! Lines to events: field order, units and names.

use std::time::Duration;

use pipittack::api::*;
use pipittack::settings::{ConnectionSettings, NameTable};
use serde_json::Value;

/// A message of a batch.
pub enum Line {
    /// A numbered list.
    Register { number: u64, items: Value },
    /// An instance starts.
    Enlist { instance: u64, seed: u64, env: Value },
    /// An instance was killed.
    Teardown { instance: u64 },
    /// News of the list, to be resolved at once.
    EndpointUpdate { instance: u64, form: String, list: Option<u64> },
    /// Any other event of an instance.
    Event { instance: u64, name: String, values: Vec<Value> },
}

type Parsed<T> = Result<T, String>;

fn millis(value: f64, what: &'static str) -> Parsed<Duration> {
    pipittack::settings::millis(value, what).map_err(|e| e.to_string())
}

/// The value at a place, where null and absent are alike.
fn at(values: &[Value], place: usize) -> Option<&Value> {
    values.get(place).filter(|v| !v.is_null())
}

fn opt_num(values: &[Value], place: usize, what: &str) -> Parsed<Option<f64>> {
    let Some(value) = at(values, place) else { return Ok(None) };
    value.as_f64().map(Some).ok_or(format!("{what} is not a number"))
}

fn num(values: &[Value], place: usize, what: &str) -> Parsed<f64> {
    opt_num(values, place, what)?.ok_or(format!("{what} is missing"))
}

fn int(values: &[Value], place: usize, what: &str) -> Parsed<u64> {
    let value = at(values, place).ok_or(format!("{what} is missing"))?;
    let whole = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(whole).ok_or(format!("{what} is not a whole number"))
}

fn small(values: &[Value], place: usize, what: &str) -> Parsed<u32> {
    u32::try_from(int(values, place, what)?).map_err(|_| format!("{what} is too large"))
}

fn text<'v>(values: &'v [Value], place: usize, what: &str) -> Parsed<&'v str> {
    at(values, place).and_then(Value::as_str).ok_or(format!("{what} is not a string"))
}

fn time(values: &[Value], place: usize, what: &'static str) -> Parsed<Duration> {
    millis(num(values, place, what)?, what)
}

/// Splits a line into its name and its values.
pub fn message(line: &str) -> Parsed<(String, Vec<Value>)> {
    let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
    let Value::Array(mut values) = value else { return Err("not an array".into()) };
    match values.first() {
        Some(Value::String(name)) => {
            let name = name.clone();
            values.remove(0);
            Ok((name, values))
        }
        _ => Err("a message starts with its name".into()),
    }
}

/// Clock and batch number of a `TURN`.
pub fn turn(values: &[Value]) -> Parsed<(Duration, Value)> {
    let number = at(values, 1).filter(|v| v.is_number()).ok_or("the batch number is missing")?;
    Ok((time(values, 0, "the clock")?, number.clone()))
}

/// One line within a batch.
pub fn line(name: String, values: Vec<Value>) -> Parsed<Line> {
    let first = int(&values, 0, if name == "REGISTER" { "Ref" } else { "GatewayId" })?;
    Ok(match name.as_str() {
        "REGISTER" => {
            Line::Register { number: first, items: values.into_iter().nth(1).unwrap_or(Value::Null) }
        }
        "ENLIST" => Line::Enlist {
            instance: first,
            seed: int(&values, 1, "RandomSeed")?,
            env: at(&values, 2).filter(|v| v.is_object()).ok_or("Env is not an object")?.clone(),
        },
        "TEARDOWN" => Line::Teardown { instance: first },
        "VIEW" => Line::EndpointUpdate {
            instance: first,
            form: text(&values, 1, "Form")?.to_owned(),
            list: at(&values, 3).map(|_| int(&values, 3, "Ref")).transpose()?,
        },
        _ => Line::Event { instance: first, name, values },
    })
}

/// The entries of a numbered list.
pub fn entries(items: &Value, names: &mut NameTable) -> Parsed<Vec<Endpoint>> {
    let items = items.as_array().ok_or("Items is not an array")?;
    items
        .iter()
        .map(|item| {
            let values = item.as_array().ok_or("an entry is not an array")?.as_slice();
            let health = match text(values, 5, "Health")? {
                "healthy" => EndpointState::Healthy,
                "cordoned" => EndpointState::Draining,
                "deregistered" => EndpointState::Removed,
                other => return Err(format!("unknown health {other}")),
            };
            let started = opt_num(values, 7, "BootTimeMs")?.filter(|ms| *ms > 0.0);
            Ok(Endpoint {
                server: ServerId(small(values, 0, "Server")?),
                zone: names.zone(at(values, 1).and_then(Value::as_str).unwrap_or("")),
                machine_kind: names.kind(at(values, 3).and_then(Value::as_str).unwrap_or("")),
                group: GroupId(if at(values, 4).is_some() { int(values, 4, "Group")? } else { 0 }),
                listed_primary: opt_num(values, 2, "Head")? == Some(1.0),
                state: health,
                relative_capacity: opt_num(values, 6, "Rating")?.unwrap_or(1.0),
                started_at: started.map(|ms| millis(ms, "BootTimeMs")).transpose()?,
            })
        })
        .collect()
}

/// A piece of news of the list.
pub fn view(form: &str, entries: Vec<Endpoint>) -> Parsed<EndpointUpdate> {
    Ok(match form {
        "changes" => EndpointUpdate::Changes(entries),
        "all" => EndpointUpdate::Full(entries),
        "remembered" => EndpointUpdate::Cached(entries),
        "refused" => EndpointUpdate::Failed,
        other => return Err(format!("unknown form {other}")),
    })
}

fn outcome(how: &str) -> Parsed<Outcome> {
    Ok(match how {
        "ok" => Outcome::Success,
        "error" => Outcome::ServerError,
        "full" => Outcome::Rejected,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotSent,
        "miss" => Outcome::Misdirected,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn note(values: &[Value], place: usize, env: &ConnectionSettings) -> Parsed<Option<ServerStatus>> {
    if at(values, place).is_none() {
        return Ok(None);
    }
    let stand = int(values, place, "Stand")?;
    let position = match stand / 4 {
        0 => None,
        ms => Some(millis(env.zero_ms + ms as f64, "Stand")?),
    };
    let primary = match stand % 4 {
        1 => Some(true),
        2 => Some(false),
        _ => None,
    };
    Ok(Some(ServerStatus {
        position: position.filter(|_| env.responses_carry_position || primary == Some(true)),
        primary,
    }))
}

fn report(values: &[Value], place: usize, env: &ConnectionSettings) -> Parsed<Option<LoadReport>> {
    let Some(row) = at(values, place) else { return Ok(None) };
    let row = row.as_array().ok_or("Gauge is not an array")?;
    let mut report = LoadReport::default();
    for (place, column) in env.load_report_columns.iter().enumerate() {
        let Some(value) = opt_num(row, place, column)? else { continue };
        match column.as_str() {
            "x0" => report.position = Some(millis(env.zero_ms + value * 1e3, "x0")?),
            "x1" => report.primary = Some(value == 1.0),
            "busy_reqs" => report.in_flight = Some(value),
            "pending" => report.queued = Some(value),
            _ => {}
        }
    }
    Ok(Some(report))
}

/// An event of an instance.
pub fn event(name: &str, values: &[Value], env: &ConnectionSettings) -> Parsed<Event> {
    let request = || int(values, 1, "Job").map(RequestId);
    Ok(match name {
        "CALL" => {
            let class = text(values, 8, "Grade")?;
            let class = env.names.class(class).ok_or(format!("unknown class {class}"))?;
            let tenant = at(values, 4)
                .and_then(Value::as_str)
                .map(|t| env.names.tenant(t).ok_or(format!("unknown tenant {t}")));
            let marks = if at(values, 3).is_some() { int(values, 3, "Marks")? } else { 0 };
            let cost = opt_num(values, 6, "CostMs")?.filter(|_| marks & 1 != 0);
            let wrote = opt_num(values, 5, "WroteMsAgo")?.filter(|ms| *ms > 0.0);
            Event::Request(Request {
                id: request()?,
                class,
                group: GroupId(if at(values, 9).is_some() { int(values, 9, "ClusterNo")? } else { 0 }),
                tenant: tenant.transpose()?,
                time_left: time(values, 2, "TimeLeftMs")?,
                is_retry: marks & 2 != 0,
                statement_bytes: 0,
                expected_work: cost.map(|ms| millis(ms, "CostMs")).transpose()?,
                session: at(values, 7).and_then(Value::as_str).map(str::to_owned),
                last_write_age: wrote.map(|ms| millis(ms, "WroteMsAgo")).transpose()?,
            })
        }
        "ANSWER" => Event::AttemptEnded(AttemptEnded {
            request: request()?,
            attempt: AttemptNumber(small(values, 2, "Go")?),
            server: ServerId(small(values, 3, "Server")?),
            outcome: outcome(text(values, 4, "How")?)?,
            round_trip: time(values, 5, "RttMs")?,
            request_complete: at(values, 6).and_then(Value::as_bool).ok_or("Complete is not a bool")?,
            status: note(values, 7, env)?,
            load_report: report(values, 8, env)?,
        }),
        "HEADERS" => {
            Event::StreamStarted { request: request()?, attempt: AttemptNumber(small(values, 4, "Go")?) }
        }
        "PING_RESULT" => Event::HealthChecked {
            server: ServerId(small(values, 2, "Server")?),
            ok: text(values, 1, "How")? == "ok",
            load_report: report(values, 4, env)?,
        },
        "BELL" => Event::Timer(TimerId(int(values, 1, "Nonce")?)),
        "WITHDRAWN" => Event::ClientGone(request()?),
        "PEER_DATA" => Event::Gossip {
            from: small(values, 1, "OriginPeer")?,
            bytes: hex::decode(text(values, 2, "Octets")?).map_err(|e| format!("Octets: {e}"))?,
        },
        other => return Err(format!("unknown message {other}")),
    })
}
