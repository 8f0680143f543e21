//! The operators' file: settings as S-expressions, with one form for each subsystem.
//!
//! Only this module knows the names of forms and settings. A file with any problem has no effect. All of its
//! problems are reported together, each with its position.

mod error;
mod form_reader;
#[cfg(test)]
mod tests;

use std::path::Path;

use lexpr::Parser;
use pipittack_core::api::FailoverSettings;

pub use self::error::{
    Expectation, OperatorSettingsError, OperatorSettingsFileError, Position, Problem, ProblemKind,
};
use self::form_reader::{Form, FormReader};

/// Largest whole number that a setting may have. An `f64` represents whole numbers up to this one exactly.
const MAX_WHOLE_NUMBER: f64 = 1e15;

/// Settings in an operators' file.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OperatorSettings {
    /// Settings of the form `(failover ...)`: detection of failovers and buffering of writes.
    pub failover: FailoverSettings,
}

impl OperatorSettings {
    /// Loads the file at `path`. Returns the defaults if there is no path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is invalid.
    pub fn load(path: Option<&Path>) -> Result<Self, OperatorSettingsFileError> {
        let Some(path) = path else { return Ok(Self::default()) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| OperatorSettingsFileError::Unreadable { path: path.to_owned(), source })?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Parses the text of an operators' file. `name` is the name of the text in error messages.
    ///
    /// # Errors
    ///
    /// Returns an error that lists all problems in the text.
    pub fn parse(name: &str, text: &str) -> Result<Self, OperatorSettingsError> {
        let mut reader = FormReader::default();
        let settings = read_forms(&mut reader, text);
        if reader.problems.is_empty() {
            Ok(settings)
        } else {
            Err(OperatorSettingsError { name: name.to_owned(), problems: reader.problems })
        }
    }
}

fn read_forms(reader: &mut FormReader, text: &str) -> OperatorSettings {
    let mut settings = OperatorSettings::default();
    let mut seen_names: Vec<String> = Vec::new();
    let mut parser = Parser::from_str(text);
    loop {
        let datum = match parser.next_datum() {
            Ok(Some(datum)) => datum,
            Ok(None) => break,
            Err(error) => {
                reader.report_syntax(&error);
                break;
            }
        };
        let Some(form) = reader.form(datum.as_ref(), Expectation::KnownForm) else { continue };
        if seen_names.iter().any(|name| name == form.name) {
            reader.report(form.datum, Expectation::UniqueForm);
            continue;
        }
        seen_names.push(form.name.to_owned());
        match form.name {
            "failover" => settings.failover = read_failover(reader, &form),
            _ => reader.report(form.datum, Expectation::KnownForm),
        }
    }
    settings
}

fn read_failover(reader: &mut FormReader, form: &Form<'_>) -> FailoverSettings {
    let mut settings = FailoverSettings::default();
    let problems_before = reader.problems.len();
    let mut seen_names: Vec<&str> = Vec::new();
    for item in &form.items {
        let Some(setting) = reader.form(*item, Expectation::Setting) else { continue };
        if seen_names.contains(&setting.name) {
            reader.report(setting.datum, Expectation::UniqueSetting);
            continue;
        }
        let Some(number) = reader.number(&setting) else { continue };
        seen_names.push(setting.name);
        if let Err(expected) = apply_setting(&mut settings, setting.name, number) {
            reader.report(setting.datum, expected);
        }
        let invalid = settings.validate().err().filter(|invalid| invalid.name == setting.name);
        if let Some(invalid) = invalid {
            reader.report(setting.datum, Expectation::InRange(invalid));
            // Resets the settings: `validate` returns only the first error, so the invalid value would hide
            // errors in other settings.
            settings = FailoverSettings::default();
        }
    }
    if reader.problems.len() == problems_before {
        if let Err(invalid) = settings.validate() {
            reader.report(form.datum, Expectation::InRange(invalid));
        }
    }
    settings
}

fn apply_setting(settings: &mut FailoverSettings, name: &str, number: f64) -> Result<(), Expectation> {
    match name {
        "hold-count" => settings.max_buffered_writes = positive_whole_number(number)? as usize,
        "hold-bytes" => settings.max_buffered_bytes = positive_whole_number(number)?,
        "hold-share" => settings.max_share_per_set = number,
        "patience" => settings.suspicion_factor = number,
        "refuse-under" => settings.min_recovery_chance = number,
        "hold-over" => settings.min_late_recovery_chance = number,
        _ => return Err(Expectation::KnownSetting),
    }
    Ok(())
}

fn positive_whole_number(number: f64) -> Result<u64, Expectation> {
    let is_valid = number.fract() == 0.0 && (1.0..=MAX_WHOLE_NUMBER).contains(&number);
    is_valid.then_some(number as u64).ok_or(Expectation::PositiveWholeNumber)
}
