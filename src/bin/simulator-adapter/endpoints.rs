//! Parses endpoint lists and updates of them.

use pipittack::api::{Endpoint, EndpointState, EndpointUpdate, GroupId, ServerId};
use pipittack::settings::NameTable;
use serde_json::Value;

use crate::error::ParseError;
use crate::fields::{unknown, wrong_type, Fields};

/// Parses the entries of a numbered list. Adds new zones and machine kinds to `names`.
pub fn parse_endpoints(items: &Value, names: &mut NameTable) -> Result<Vec<Endpoint>, ParseError> {
    let items = items.as_array().ok_or_else(|| wrong_type("Items", "an array"))?;
    items.iter().map(|item| parse_endpoint(item, names)).collect()
}

fn parse_endpoint(item: &Value, names: &mut NameTable) -> Result<Endpoint, ParseError> {
    let values = item.as_array().ok_or_else(|| wrong_type("an entry", "an array"))?;
    let fields = Fields(values);
    let state = parse_state(fields.text(5, "Health")?)?;
    let started_at = fields.positive_duration(7, "BootTimeMs")?;
    Ok(Endpoint {
        server: ServerId(fields.integer_u32(0, "Server")?),
        zone: names.zone(fields.optional_text(1).unwrap_or("")),
        machine_kind: names.machine_kind(fields.optional_text(3).unwrap_or("")),
        group: GroupId(fields.integer_or_zero(4, "Group")?),
        listed_primary: fields.optional_number(2, "Head")? == Some(1.0),
        state,
        relative_capacity: fields.optional_number(6, "Rating")?.unwrap_or(1.0),
        started_at,
    })
}

fn parse_state(health: &str) -> Result<EndpointState, ParseError> {
    match health {
        "healthy" => Ok(EndpointState::Healthy),
        "cordoned" => Ok(EndpointState::Draining),
        "deregistered" => Ok(EndpointState::Removed),
        other => Err(unknown("health", other)),
    }
}

/// Creates an update of the endpoint list. `form` is the kind of the update in the line protocol.
pub fn endpoint_update(form: &str, endpoints: Vec<Endpoint>) -> Result<EndpointUpdate, ParseError> {
    match form {
        "changes" => Ok(EndpointUpdate::Changes(endpoints)),
        "all" => Ok(EndpointUpdate::Full(endpoints)),
        "remembered" => Ok(EndpointUpdate::Cached(endpoints)),
        "refused" => Ok(EndpointUpdate::Failed),
        other => Err(unknown("form", other)),
    }
}
