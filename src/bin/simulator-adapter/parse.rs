//! Parses the lines of a batch. Events of an instance are parsed later, by [`crate::event`], with its names.

use std::time::Duration;

use serde_json::Value;

use crate::error::ParseError;
use crate::fields::{missing, wrong_type, Fields};

/// A message: its name and the values after it.
pub struct Message {
    pub name: String,
    pub values: Vec<Value>,
}

/// The start of a batch.
pub struct Turn {
    pub now: Duration,
    /// The batch's number, which the reply repeats.
    pub batch: Value,
}

/// A message within a batch.
pub enum Line {
    /// A numbered endpoint list.
    Register { number: u64, items: Value },
    /// An instance starts.
    Enlist { instance: u64, seed: u64, settings: Value },
    /// An instance was killed.
    Teardown { instance: u64 },
    /// An update of the endpoint list, to be resolved at once.
    EndpointUpdate { instance: u64, form: String, list: Option<u64> },
    /// Any other event of an instance.
    Event { instance: u64, message: Message },
}

/// Splits a line into its name and its values.
pub fn parse_message(line: &str) -> Result<Message, ParseError> {
    let value: Value = serde_json::from_str(line).map_err(ParseError::NotJson)?;
    let Value::Array(mut values) = value else { return Err(ParseError::NotAnArray) };
    let name = values.first().and_then(Value::as_str).map(str::to_owned).ok_or(ParseError::Unnamed)?;
    values.remove(0);
    Ok(Message { name, values })
}

/// The values of a `TURN`.
pub fn parse_turn(values: &[Value]) -> Result<Turn, ParseError> {
    let fields = Fields(values);
    let batch = fields.get(1).filter(|value| value.is_number());
    let batch = batch.ok_or_else(|| missing("the batch number"))?.clone();
    Ok(Turn { now: fields.duration(0, "the clock")?, batch })
}

/// A message within a batch.
pub fn parse_line(message: Message) -> Result<Line, ParseError> {
    let fields = Fields(&message.values);
    let first_field = if message.name == "REGISTER" { "Ref" } else { "GatewayId" };
    let first = fields.integer(0, first_field)?;
    Ok(match message.name.as_str() {
        "REGISTER" => {
            Line::Register { number: first, items: message.values.into_iter().nth(1).unwrap_or(Value::Null) }
        }
        "ENLIST" => {
            let seed = fields.integer(1, "RandomSeed")?;
            let settings = fields.get(2).filter(|value| value.is_object());
            let settings = settings.ok_or_else(|| wrong_type("Env", "an object"))?.clone();
            Line::Enlist { instance: first, seed, settings }
        }
        "TEARDOWN" => Line::Teardown { instance: first },
        "VIEW" => Line::EndpointUpdate {
            instance: first,
            form: fields.text(1, "Form")?.to_owned(),
            list: fields.get(3).map(|_| fields.integer(3, "Ref")).transpose()?,
        },
        _ => Line::Event { instance: first, message },
    })
}
