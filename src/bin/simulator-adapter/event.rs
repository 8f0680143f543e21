//! Parses the events of an instance, and converts units and names to those of the routing engine.

use pipittack::api::{
    AttemptEnded, AttemptNumber, Event, GroupId, LoadReport, Outcome, Request, RequestId, ServerId,
    ServerStatus, TenantId, TimerId,
};
use pipittack::settings::{duration_from_millis, ConnectionSettings};
use serde_json::Value;

use crate::error::ParseError;
use crate::fields::{unknown, wrong_type, Fields};
use crate::parse::Message;

/// Bit in `Marks`: the expected work of the request is known.
const MARK_COST_KNOWN: u64 = 1;
/// Bit in `Marks`: the request is a client's retry.
const MARK_RETRY: u64 = 2;
const MILLIS_PER_SECOND: f64 = 1e3;

/// Parses an event of an instance. `connections` holds the connection settings of the instance.
pub fn parse_event(message: &Message, connections: &ConnectionSettings) -> Result<Event, ParseError> {
    let fields = Fields(&message.values);
    let request = || fields.integer(1, "Job").map(RequestId);
    Ok(match message.name.as_str() {
        "CALL" => Event::Request(parse_request(fields, connections)?),
        "ANSWER" => Event::AttemptEnded(parse_attempt_ended(fields, connections)?),
        "HEADERS" => {
            Event::StreamStarted { request: request()?, attempt: AttemptNumber(fields.integer_u32(4, "Go")?) }
        }
        "PING_RESULT" => Event::HealthChecked {
            server: ServerId(fields.integer_u32(2, "Server")?),
            ok: fields.text(1, "How")? == "ok",
            load_report: parse_load_report(fields.get(4), connections)?,
        },
        "BELL" => Event::Timer(TimerId(fields.integer(1, "Nonce")?)),
        "WITHDRAWN" => Event::ClientDisconnected(request()?),
        "PEER_DATA" => Event::Gossip {
            from: fields.integer_u32(1, "OriginPeer")?,
            bytes: hex::decode(fields.text(2, "Octets")?)
                .map_err(|source| ParseError::NotHex { field: "Octets", source })?,
        },
        other => return Err(unknown("message", other)),
    })
}

fn parse_request(fields: Fields<'_>, connections: &ConnectionSettings) -> Result<Request, ParseError> {
    let class_name = fields.text(8, "Grade")?;
    let class = connections.names.class(class_name).ok_or_else(|| unknown("class", class_name))?;
    let marks = fields.integer_or_zero(3, "Marks")?;
    let cost = fields.optional_number(6, "CostMs")?.filter(|_| marks & MARK_COST_KNOWN != 0);
    let last_write_age = fields.positive_duration(5, "WroteMsAgo")?;
    Ok(Request {
        id: RequestId(fields.integer(1, "Job")?),
        class,
        group: GroupId(fields.integer_or_zero(9, "ClusterNo")?),
        tenant: parse_tenant(fields, connections)?,
        time_left: fields.duration(2, "TimeLeftMs")?,
        is_retry: marks & MARK_RETRY != 0,
        statement_bytes: 0,
        expected_work: cost.map(|ms| duration_from_millis(ms, "CostMs")).transpose()?,
        session: fields.optional_text(7).map(str::to_owned),
        last_write_age,
    })
}

fn parse_tenant(
    fields: Fields<'_>,
    connections: &ConnectionSettings,
) -> Result<Option<TenantId>, ParseError> {
    let Some(name) = fields.optional_text(4) else { return Ok(None) };
    connections.names.tenant(name).map(Some).ok_or_else(|| unknown("tenant", name))
}

fn parse_attempt_ended(
    fields: Fields<'_>,
    connections: &ConnectionSettings,
) -> Result<AttemptEnded, ParseError> {
    Ok(AttemptEnded {
        request: RequestId(fields.integer(1, "Job")?),
        attempt: AttemptNumber(fields.integer_u32(2, "Go")?),
        server: ServerId(fields.integer_u32(3, "Server")?),
        outcome: parse_outcome(fields.text(4, "How")?)?,
        round_trip: fields.duration(5, "RttMs")?,
        request_complete: fields.boolean(6, "Complete")?,
        status: parse_status(fields, connections)?,
        load_report: parse_load_report(fields.get(8), connections)?,
    })
}

fn parse_outcome(name: &str) -> Result<Outcome, ParseError> {
    match name {
        "ok" => Ok(Outcome::Success),
        "error" => Ok(Outcome::ServerError),
        "full" => Ok(Outcome::Rejected),
        "timeout" => Ok(Outcome::Timeout),
        "connect_failed" => Ok(Outcome::ConnectFailed),
        "reset" => Ok(Outcome::Reset),
        "cancelled" => Ok(Outcome::Cancelled),
        "moot" => Ok(Outcome::NotSent),
        "miss" => Ok(Outcome::Misdirected),
        other => Err(unknown("outcome", other)),
    }
}

/// Parses the server's replication position and role, which are encoded in one number: four times the
/// position in milliseconds, plus 1 for a primary or 2 for a replica.
fn parse_status(
    fields: Fields<'_>,
    connections: &ConnectionSettings,
) -> Result<Option<ServerStatus>, ParseError> {
    if fields.get(7).is_none() {
        return Ok(None);
    }
    let encoded = fields.integer(7, "Stand")?;
    let position = match encoded / 4 {
        0 => None,
        ms => Some(duration_from_millis(connections.position_base_ms + ms as f64, "Stand")?),
    };
    let primary = match encoded % 4 {
        1 => Some(true),
        2 => Some(false),
        _ => None,
    };
    Ok(Some(ServerStatus {
        position: position.filter(|_| connections.responses_carry_position || primary == Some(true)),
        primary,
    }))
}

/// Parses a load report, which is a row with one value for each column in the settings.
fn parse_load_report(
    row: Option<&Value>,
    connections: &ConnectionSettings,
) -> Result<Option<LoadReport>, ParseError> {
    let Some(row) = row else { return Ok(None) };
    let row = Fields(row.as_array().ok_or_else(|| wrong_type("Gauge", "an array"))?);
    let mut report = LoadReport::default();
    for (index, column) in connections.load_report_columns.iter().enumerate() {
        let Some(value) = row.optional_number(index, column)? else { continue };
        match column.as_str() {
            "x0" => {
                let position = connections.position_base_ms + value * MILLIS_PER_SECOND;
                report.position = Some(duration_from_millis(position, "x0")?);
            }
            "x1" => report.primary = Some(value == 1.0),
            "busy_reqs" => report.in_flight = Some(value),
            "pending" => report.queued = Some(value),
            _ => {}
        }
    }
    Ok(Some(report))
}
