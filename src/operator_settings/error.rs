//! Errors in the operators' file.

use std::fmt;
use std::io;
use std::path::PathBuf;

use pipittack_core::api::InvalidFailoverSetting;

/// Error in loading the operators' file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorSettingsFileError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system call that failed.
        source: io::Error,
    },
    /// The file's content is invalid.
    #[error(transparent)]
    Invalid(#[from] OperatorSettingsError),
}

/// All problems in the text of an operators' file. The message has one line for each problem.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettingsError {
    /// Name of the text in the message, such as its file path.
    pub name: String,
    /// Problems, in the order in which the reader found them.
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

/// A problem and its position in the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Position at which the problem begins.
    pub position: Position,
    /// Kind of the problem.
    pub kind: ProblemKind,
}

/// Position in a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Line number, from 1.
    pub line: usize,
    /// Column number, from 1.
    pub column: usize,
}

/// Kind of a problem.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProblemKind {
    /// The text is not an S-expression.
    Syntax {
        /// Error message of the parser.
        message: String,
    },
    /// An S-expression differs from what the format requires.
    Unexpected {
        /// Expression that the format requires at this position.
        expected: Expectation,
        /// Text of the expression that was found, cut off after 40 characters.
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

/// Expression that the format requires at a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// A form with a known name.
    KnownForm,
    /// A form that does not repeat an earlier form.
    UniqueForm,
    /// A setting, which is a list of a name and a number.
    Setting,
    /// A setting with a known name.
    KnownSetting,
    /// A setting that does not repeat an earlier setting.
    UniqueSetting,
    /// Exactly one number after the name of a setting.
    Number {
        /// Name of the setting.
        setting: String,
    },
    /// A whole number, at least 1.
    PositiveWholeNumber,
    /// A value in the range of its setting.
    InRange(InvalidFailoverSetting),
}

impl fmt::Display for Expectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KnownForm => f.write_str("(failover ...)"),
            Self::UniqueForm => f.write_str("each form once"),
            Self::Setting => f.write_str("(NAME NUMBER)"),
            Self::KnownSetting => {
                f.write_str("hold-count, hold-bytes, hold-share, patience, refuse-under or hold-over")
            }
            Self::UniqueSetting => f.write_str("each setting once"),
            Self::Number { setting } => write!(f, "({setting} NUMBER)"),
            Self::PositiveWholeNumber => f.write_str("a whole number of 1 or more"),
            Self::InRange(invalid) => write!(f, "{} for {}", invalid.expected, invalid.name),
        }
    }
}
