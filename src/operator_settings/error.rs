//! What can be wrong in the operators' file.

use std::fmt;
use std::io;
use std::path::PathBuf;

use pipittack_core::api::InvalidFailoverSetting;

/// An operators' file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorSettingsFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// Its content has problems.
    #[error(transparent)]
    Invalid(#[from] OperatorSettingsError),
}

/// All problems in a text, one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettingsError {
    /// The text's name in the report.
    pub name: String,
    /// The problems, in the order of the text.
    pub problems: Vec<Problem>,
}

impl std::error::Error for OperatorSettingsError {}

impl fmt::Display for OperatorSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let Position { line, column } = problem.position;
            write!(f, "{}:{line}:{column}: {}", self.name, problem.kind)?;
        }
        Ok(())
    }
}

/// A problem at one place of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Where it is.
    pub position: Position,
    /// What it is.
    pub kind: ProblemKind,
}

/// A place in a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

/// What is wrong at a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProblemKind {
    /// The text is not an S-expression.
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// An S-expression is not the expected one.
    Unexpected {
        /// What may be there.
        expected: Expectation,
        /// The start of what is there.
        found: String,
    },
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { message } => write!(f, "not an S-expression: {message}"),
            Self::Unexpected { expected, found } => write!(f, "expected {expected}, found {found}"),
        }
    }
}

/// What may be at a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// A form that exists.
    KnownForm,
    /// A form that has not occurred before.
    FormOnce,
    /// A setting: its name and a number.
    Setting,
    /// The name of a setting that exists.
    KnownSetting,
    /// A setting that has not occurred before.
    SettingOnce,
    /// One number after the name of a setting.
    Number {
        /// The setting's name.
        setting: String,
    },
    /// A whole number of at least 1.
    PositiveWholeNumber,
    /// A value in the setting's range.
    InRange(InvalidFailoverSetting),
}

impl fmt::Display for Expectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KnownForm => f.write_str("(failover ...)"),
            Self::FormOnce => f.write_str("each form once"),
            Self::Setting => f.write_str("(NAME NUMBER)"),
            Self::KnownSetting => {
                f.write_str("hold-count, hold-bytes, hold-share, patience, refuse-under or hold-over")
            }
            Self::SettingOnce => f.write_str("each name once"),
            Self::Number { setting } => write!(f, "({setting} NUMBER)"),
            Self::PositiveWholeNumber => f.write_str("a whole number of 1 or more"),
            Self::InRange(invalid) => write!(f, "{} for {}", invalid.expected, invalid.name),
        }
    }
}
