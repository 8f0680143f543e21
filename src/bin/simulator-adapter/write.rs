//! Encodes the routing engine's actions as lines.

use std::time::Duration;

use pipittack::api::Action;
use serde_json::{json, Value};

const MILLIS_PER_SECOND: f64 = 1e3;

fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Encodes an action of an instance as a line.
pub fn encode_action(instance: u64, action: &Action) -> Value {
    match action {
        Action::Forward { request, server, timeout, .. } => {
            json!(["FORWARD", instance, request.0, server.0, to_millis(*timeout)])
        }
        Action::Reject { request, retry_after } => {
            json!(["BOUNCE", instance, request.0, retry_after.map(to_millis)])
        }
        Action::Fail { request } => json!(["FINISH_ERROR", instance, request.0]),
        Action::Cancel { request, attempt } => json!(["REVOKE", instance, request.0, attempt.0]),
        Action::HealthCheck { server } => json!(["SOUND_OUT", instance, server.0]),
        Action::Watch { on } => json!(["TRACK", instance, on]),
        Action::Poll => json!(["LOOKUP", instance]),
        Action::CloseIdleConnections { server } => json!(["DROP_CONNS", instance, server.0]),
        Action::Gossip { to: Some(peer), bytes } => json!(["MEMO_TO", instance, peer, hex::encode(bytes)]),
        Action::Gossip { to: None, bytes } => json!(["MEMO_TO", instance, "all", hex::encode(bytes)]),
        Action::SetTimer { after, id } => json!(["AFTER", instance, to_millis(*after), id.0]),
        Action::Log(text) => json!(["LOG", instance, text]),
    }
}
