//! Parses the lines of a batch. [`crate::event`] later parses the events of an instance, which needs the
//! names in that instance's settings.

use std::time::Duration;

use serde_json::Value;

use crate::error::ParseError;
use crate::fields::{missing, wrong_type, Fields};

/// A message of the line protocol: its name and the values after it.
pub struct Message {
    pub name: String,
    pub values: Vec<Value>,
}

/// A batch that has started and not yet ended.
pub struct OpenBatch {
    /// Simulated time at which the instances are stepped.
    pub now: Duration,
    /// Number of the batch, which the reply repeats.
    pub number: Value,
}

/// A message within a batch.
pub enum Line {
    /// Defines a numbered endpoint list (`REGISTER`).
    NewList { number: u64, items: Value },
    /// Starts an instance (`ENLIST`).
    Start { instance: u64, seed: u64, settings: Value },
    /// Removes an instance that was killed (`TEARDOWN`).
    Stop { instance: u64 },
    /// Updates an instance's endpoint list (`VIEW`). `list` is the number of a list, which is resolved at
    /// once.
    EndpointUpdate { instance: u64, form: String, list: Option<u64> },
    /// Any other event of an instance, not yet parsed.
    Event { instance: u64, message: Message },
}

/// Splits a line into a message's name and values.
pub fn parse_message(line: &str) -> Result<Message, ParseError> {
    let value: Value = serde_json::from_str(line).map_err(ParseError::NotJson)?;
    let Value::Array(mut values) = value else { return Err(ParseError::NotAnArray) };
    let name = values.first().and_then(Value::as_str).map(str::to_owned).ok_or(ParseError::Unnamed)?;
    values.remove(0);
    Ok(Message { name, values })
}

/// Parses the values of a `TURN` message.
pub fn parse_turn(values: &[Value]) -> Result<OpenBatch, ParseError> {
    let fields = Fields(values);
    let number = fields.get(1).filter(|value| value.is_number());
    let number = number.ok_or_else(|| missing("the batch number"))?.clone();
    Ok(OpenBatch { now: fields.duration(0, "the simulated time")?, number })
}

/// Parses a message within a batch.
pub fn parse_line(message: Message) -> Result<Line, ParseError> {
    let fields = Fields(&message.values);
    let first_field = if message.name == "REGISTER" { "Ref" } else { "GatewayId" };
    let first = fields.integer(0, first_field)?;
    Ok(match message.name.as_str() {
        "REGISTER" => {
            Line::NewList { number: first, items: message.values.into_iter().nth(1).unwrap_or(Value::Null) }
        }
        "ENLIST" => {
            let seed = fields.integer(1, "RandomSeed")?;
            let settings = fields.get(2).filter(|value| value.is_object());
            let settings = settings.ok_or_else(|| wrong_type("Env", "an object"))?.clone();
            Line::Start { instance: first, seed, settings }
        }
        "TEARDOWN" => Line::Stop { instance: first },
        "VIEW" => Line::EndpointUpdate {
            instance: first,
            form: fields.text(1, "Form")?.to_owned(),
            list: fields.get(3).map(|_| fields.integer(3, "Ref")).transpose()?,
        },
        _ => Line::Event { instance: first, message },
    })
}
