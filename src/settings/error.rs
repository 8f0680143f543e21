//! What can be wrong in a configuration.

use crate::api::SettingsError;
use crate::settings::MIN_SOCKETS;

/// A configuration that cannot be used. Its text is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON, or not of a configuration's shape.
    #[error("not a configuration: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A key is required and absent.
    #[error("{key} is missing")]
    MissingKey {
        /// The key, with the keys of the objects around it.
        key: String,
    },
    /// An entry of a list of names has no name.
    #[error("{key} has an entry without a name")]
    UnnamedEntry {
        /// The list's key.
        key: &'static str,
    },
    /// A value is not a number.
    #[error("{key} is not a number")]
    NotANumber {
        /// The value's key.
        key: &'static str,
    },
    /// A value is not a whole number of 32 bits.
    #[error("{key} is not a whole number")]
    NotAWholeNumber {
        /// The value's key.
        key: &'static str,
    },
    /// A value is not a boolean.
    #[error("{key} is not a boolean")]
    NotABoolean {
        /// The value's key.
        key: &'static str,
    },
    /// A number of milliseconds does not fit a duration.
    #[error("{key} is not a duration")]
    NotADuration {
        /// The value's key.
        key: &'static str,
    },
    /// A value is not one of the words that its key may have.
    #[error("unknown {key} {word}")]
    UnknownWord {
        /// The value's key.
        key: &'static str,
        /// The word; empty or `(absent)` where there is none.
        word: String,
    },
    /// The engine cannot work with the settings.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// The seed cannot be parsed.
    #[error("seed is not a hex number of 64 bits")]
    InvalidSeed,
    /// The limit on descriptors is too low.
    #[error("limits.sockets is under {MIN_SOCKETS}")]
    TooFewSockets,
}
