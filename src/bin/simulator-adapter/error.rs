//! What can be wrong in the simulator's lines.

use std::io;

use pipittack::api::SettingsError;
use pipittack::settings::ConfigError;

/// A line that cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("not an array")]
    NotAnArray,
    #[error("a message starts with its name")]
    Unnamed,
    #[error("{field} is missing")]
    Missing { field: String },
    #[error("{field} is not {expected}")]
    WrongType { field: String, expected: &'static str },
    #[error("{field} is too large")]
    TooLarge { field: &'static str },
    /// A word or name that its field may not have.
    #[error("unknown {field} {word}")]
    Unknown { field: &'static str, word: String },
    #[error("{field}: {source}")]
    NotHex { field: &'static str, source: hex::FromHexError },
    #[error(transparent)]
    Duration(#[from] ConfigError),
}

/// A line that cannot be carried out.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// An instance's settings cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The engine refuses an instance's settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    #[error("no list number {number}")]
    UnknownList { number: u64 },
    #[error("TURN inside a batch")]
    NestedBatch,
    #[error("{message} outside a batch")]
    OutsideBatch { message: String },
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why the adapter ended early.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("line {number}: {source}")]
    Line { number: usize, source: LineError },
    #[error("input ended inside a batch")]
    UnfinishedBatch,
}
