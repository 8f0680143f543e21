//! Typed access to the values of a JSON object. A key that is absent or null has a default value.

use std::time::Duration;

use serde_json::Value;

use super::error::ConfigError;

const MILLIS_PER_SECOND: f64 = 1e3;

/// Converts milliseconds to a duration. A negative number becomes zero.
///
/// # Errors
///
/// Returns an error that names `key` if the number is too large for a [`Duration`].
pub fn duration_from_millis(ms: f64, key: &'static str) -> Result<Duration, ConfigError> {
    Duration::try_from_secs_f64(ms.max(0.0) / MILLIS_PER_SECOND)
        .map_err(|_| ConfigError::DurationTooLarge { key })
}

/// Reader of a JSON object. A JSON value of any other type is treated as an empty object.
#[derive(Clone, Copy)]
pub(super) struct ObjectReader<'v>(pub &'v Value);

impl<'v> ObjectReader<'v> {
    fn value(self, key: &str) -> Option<&'v Value> {
        self.0.get(key).filter(|value| !value.is_null())
    }

    /// Returns a nested object; empty by default.
    pub fn object(self, key: &str) -> Self {
        Self(self.0.get(key).unwrap_or(&Value::Null))
    }

    pub fn number_or(self, key: &'static str, default: f64) -> Result<f64, ConfigError> {
        match self.value(key) {
            Some(value) => value.as_f64().ok_or(ConfigError::NotANumber { key }),
            None => Ok(default),
        }
    }

    /// Returns a number of milliseconds as a duration; zero by default.
    pub fn duration(self, key: &'static str) -> Result<Duration, ConfigError> {
        duration_from_millis(self.number_or(key, 0.0)?, key)
    }

    /// Returns an unsigned 32-bit integer, which may be written with a fraction of zero, as in `1.0`.
    pub fn integer_or(self, key: &'static str, default: u32) -> Result<u32, ConfigError> {
        let value = self.number_or(key, f64::from(default))?;
        let is_integer = (0.0..=f64::from(u32::MAX)).contains(&value) && value.fract() == 0.0;
        is_integer.then_some(value as u32).ok_or(ConfigError::NotAnInteger { key })
    }

    /// Returns a boolean; `false` by default.
    pub fn boolean(self, key: &'static str) -> Result<bool, ConfigError> {
        match self.value(key) {
            Some(value) => value.as_bool().ok_or(ConfigError::NotABoolean { key }),
            None => Ok(false),
        }
    }

    /// Returns a string; empty by default, and if the value has another type.
    pub fn string(self, key: &str) -> &'v str {
        self.0.get(key).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns an array; empty by default, and if the value has another type.
    pub fn array(self, key: &str) -> &'v [Value] {
        self.0.get(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default()
    }
}
