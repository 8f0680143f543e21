//! Errors in the simulator's input.

use std::io;

use pipittack::api::SettingsError;
use pipittack::settings::ConfigError;

/// Error in parsing a line.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    #[error("the message is not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("the message is not an array")]
    NotAnArray,
    #[error("the message does not start with its name")]
    Unnamed,
    #[error("{field} is missing")]
    Missing { field: String },
    #[error("{field} is not {expected}")]
    WrongType { field: String, expected: &'static str },
    #[error("{field} is too large")]
    TooLarge { field: &'static str },
    /// A string that is not a valid value of its field.
    #[error("unknown {field} \"{value}\"")]
    Unknown { field: &'static str, value: String },
    #[error("{field} is not hexadecimal: {source}")]
    NotHex { field: &'static str, source: hex::FromHexError },
    #[error(transparent)]
    Duration(#[from] ConfigError),
}

/// Error in processing a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The settings of an instance cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The routing engine rejects the settings of an instance.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
    #[error("endpoint list {number} is not registered")]
    UnknownList { number: u64 },
    #[error("TURN is not allowed inside a batch")]
    NestedBatch,
    #[error("{message} is not allowed outside a batch")]
    OutsideBatch { message: String },
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Reason why the adapter ended before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("line {number}: {source}")]
    Line { number: usize, source: LineError },
    #[error("the input ended inside a batch")]
    UnfinishedBatch,
}
