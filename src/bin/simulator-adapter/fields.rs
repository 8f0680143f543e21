//! Typed access to the values of a message by position. A null value counts as absent.

use std::time::Duration;

use pipittack::settings::duration_from_millis;
use serde_json::Value;

use crate::error::ParseError;

/// Values of a message, or of an array in a message.
#[derive(Clone, Copy)]
pub struct Fields<'v>(pub &'v [Value]);

impl<'v> Fields<'v> {
    pub fn get(self, index: usize) -> Option<&'v Value> {
        self.0.get(index).filter(|value| !value.is_null())
    }

    pub fn optional_number(self, index: usize, field: &str) -> Result<Option<f64>, ParseError> {
        let Some(value) = self.get(index) else { return Ok(None) };
        value.as_f64().map(Some).ok_or_else(|| wrong_type(field, "a number"))
    }

    pub fn number(self, index: usize, field: &str) -> Result<f64, ParseError> {
        self.optional_number(index, field)?.ok_or_else(|| missing(field))
    }

    /// Returns a non-negative integer, which may be written with a fraction of zero, as in `1.0`.
    pub fn integer(self, index: usize, field: &str) -> Result<u64, ParseError> {
        let value = self.get(index).ok_or_else(|| missing(field))?;
        let from_float = || {
            let number = value.as_f64().filter(|number| *number >= 0.0 && number.fract() == 0.0);
            number.map(|number| number as u64)
        };
        value.as_u64().or_else(from_float).ok_or_else(|| wrong_type(field, "a whole number"))
    }

    /// Returns a non-negative integer, or zero if it is absent.
    pub fn integer_or_zero(self, index: usize, field: &str) -> Result<u64, ParseError> {
        self.get(index).map_or(Ok(0), |_| self.integer(index, field))
    }

    pub fn integer_u32(self, index: usize, field: &'static str) -> Result<u32, ParseError> {
        u32::try_from(self.integer(index, field)?).map_err(|_| ParseError::TooLarge { field })
    }

    /// Returns a string, or `None` if the value is absent or has another type.
    pub fn optional_text(self, index: usize) -> Option<&'v str> {
        self.get(index).and_then(Value::as_str)
    }

    pub fn text(self, index: usize, field: &str) -> Result<&'v str, ParseError> {
        self.optional_text(index).ok_or_else(|| wrong_type(field, "a string"))
    }

    pub fn boolean(self, index: usize, field: &str) -> Result<bool, ParseError> {
        self.get(index).and_then(Value::as_bool).ok_or_else(|| wrong_type(field, "a boolean"))
    }

    /// Returns a number of milliseconds as a duration.
    pub fn duration(self, index: usize, field: &'static str) -> Result<Duration, ParseError> {
        Ok(duration_from_millis(self.number(index, field)?, field)?)
    }

    /// Returns a number of milliseconds as a duration. Zero and negative numbers count as absent.
    pub fn positive_duration(
        self,
        index: usize,
        field: &'static str,
    ) -> Result<Option<Duration>, ParseError> {
        match self.optional_number(index, field)?.filter(|ms| *ms > 0.0) {
            Some(ms) => Ok(Some(duration_from_millis(ms, field)?)),
            None => Ok(None),
        }
    }
}

pub fn missing(field: &str) -> ParseError {
    ParseError::Missing { field: field.to_owned() }
}

pub fn wrong_type(field: &str, expected: &'static str) -> ParseError {
    ParseError::WrongType { field: field.to_owned(), expected }
}

pub fn unknown(field: &'static str, value: &str) -> ParseError {
    ParseError::Unknown { field, value: value.to_owned() }
}
