//! Errors in a configuration.

use crate::api::SettingsError;
use crate::settings::MIN_SOCKETS;

/// Error in a configuration file or a settings object. The message is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON, or the JSON value does not have the structure of a configuration.
    #[error("not a configuration: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A required key is absent.
    #[error("{key} is missing")]
    MissingKey {
        /// Name of the key. For a reload, also the names of the enclosing objects, as in `settings.Limits`.
        key: String,
    },
    /// An entry of an array has no name.
    #[error("an entry of {key} has no name")]
    UnnamedEntry {
        /// Key of the array.
        key: &'static str,
    },
    /// A value is not a number.
    #[error("{key} is not a number")]
    NotANumber {
        /// Key of the value.
        key: &'static str,
    },
    /// A value is not an unsigned 32-bit integer.
    #[error("{key} is not an unsigned 32-bit integer")]
    NotAnInteger {
        /// Key of the value.
        key: &'static str,
    },
    /// A value is not a boolean.
    #[error("{key} is not a boolean")]
    NotABoolean {
        /// Key of the value.
        key: &'static str,
    },
    /// A number of milliseconds is too large for a [`Duration`](std::time::Duration).
    #[error("{key} is too large for a duration in milliseconds")]
    DurationTooLarge {
        /// Key of the value.
        key: &'static str,
    },
    /// A string is not one of the values that its key may have.
    #[error("unknown value \"{value}\" of {key}")]
    UnknownValue {
        /// Key of the value.
        key: &'static str,
        /// The unknown value; empty or `(absent)` if the key is absent or its value is not a string.
        value: String,
    },
    /// A setting is out of range, or there are no classes of requests.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The seed is not a hexadecimal 64-bit number.
    #[error("seed is not a hexadecimal 64-bit number")]
    InvalidSeed,
    /// The limit on open file descriptors is too low.
    #[error("limits.sockets is below the minimum of {MIN_SOCKETS}")]
    TooFewSockets,
}
