//! Typed access to a JSON object by key. A key that is absent or null has a neutral default.

use std::time::Duration;

use serde_json::Value;

use super::error::ConfigError;

const MILLIS_PER_SECOND: f64 = 1e3;

/// A number of milliseconds as a duration; a negative number is zero.
///
/// # Errors
///
/// Names `key` where the number is too large or not a number.
pub fn millis(value: f64, key: &'static str) -> Result<Duration, ConfigError> {
    Duration::try_from_secs_f64(value.max(0.0) / MILLIS_PER_SECOND)
        .map_err(|_| ConfigError::NotADuration { key })
}

/// A JSON object. A value of any other type is read as an object without keys.
#[derive(Clone, Copy)]
pub(super) struct ObjectReader<'v>(pub &'v Value);

impl<'v> ObjectReader<'v> {
    fn value(self, key: &str) -> Option<&'v Value> {
        self.0.get(key).filter(|value| !value.is_null())
    }

    /// An inner object; empty by default.
    pub fn object(self, key: &str) -> Self {
        Self(self.0.get(key).unwrap_or(&Value::Null))
    }

    pub fn number_or(self, key: &'static str, default: f64) -> Result<f64, ConfigError> {
        match self.value(key) {
            Some(value) => value.as_f64().ok_or(ConfigError::NotANumber { key }),
            None => Ok(default),
        }
    }

    /// A number of milliseconds; zero by default.
    pub fn duration(self, key: &'static str) -> Result<Duration, ConfigError> {
        millis(self.number_or(key, 0.0)?, key)
    }

    /// A whole number of 32 bits; `1.0` is one as well.
    pub fn count_or(self, key: &'static str, default: u32) -> Result<u32, ConfigError> {
        let value = self.number_or(key, f64::from(default))?;
        let is_count = (0.0..=f64::from(u32::MAX)).contains(&value) && value.fract() == 0.0;
        is_count.then_some(value as u32).ok_or(ConfigError::NotAWholeNumber { key })
    }

    /// A boolean; false by default.
    pub fn flag(self, key: &'static str) -> Result<bool, ConfigError> {
        match self.value(key) {
            Some(value) => value.as_bool().ok_or(ConfigError::NotABoolean { key }),
            None => Ok(false),
        }
    }

    /// A string; empty by default, and for a value of another type.
    pub fn word(self, key: &str) -> &'v str {
        self.0.get(key).and_then(Value::as_str).unwrap_or("")
    }

    /// An array; empty by default, and for a value of another type.
    pub fn array(self, key: &str) -> &'v [Value] {
        self.0.get(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default()
    }
}
