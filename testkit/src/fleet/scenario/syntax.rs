//! Parsing of single forms and of their arguments, and the errors with their locations.

use lexpr::datum::Ref;

/// Syntax error in a scenario, with its location.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxError {
    /// The text is not an S-expression.
    #[error("{line}:{column}: not an S-expression: {description}")]
    NotAnExpression {
        /// Line number, counted from 1.
        line: usize,
        /// Column number, counted from 1.
        column: usize,
        /// Error message of the S-expression parser.
        description: String,
    },
    /// A form or an argument is not the expected one.
    #[error("{line}:{column}: expected {expected}, found {found}")]
    Unexpected {
        /// Line number, counted from 1.
        line: usize,
        /// Column number, counted from 1.
        column: usize,
        /// Syntax that was expected.
        expected: String,
        /// Beginning of the text that was found.
        found: String,
    },
}

/// Maximum length of the found text in an error, in characters.
const MAX_FOUND_CHARS: usize = 40;

/// Returns the error for a datum where `expected` was expected.
pub fn unexpected(datum: Ref<'_>, expected: &str) -> SyntaxError {
    let start = datum.span().start();
    SyntaxError::Unexpected {
        line: start.line(),
        column: start.column() + 1,
        expected: expected.to_owned(),
        found: datum.value().to_string().chars().take(MAX_FOUND_CHARS).collect(),
    }
}

/// A parsed form `(NAME ITEM ...)`.
pub struct Form<'d> {
    /// Datum of the whole form, for the location in errors.
    pub datum: Ref<'d>,
    /// Name of the form.
    pub name: &'d str,
    /// Items after the name.
    pub items: Vec<Ref<'d>>,
}

/// Splits a form into its name and items. `expected` describes the expected syntax in errors.
pub fn split_form<'d>(datum: Ref<'d>, expected: &str) -> Result<Form<'d>, SyntaxError> {
    let mut items = datum.list_iter().into_iter().flatten();
    match items.next().and_then(|first| first.value().as_symbol()) {
        Some(name) => Ok(Form { datum, name, items: items.collect() }),
        None => Err(unexpected(datum, expected)),
    }
}

/// Parses a finite number that is not negative.
pub fn parse_number(datum: Ref<'_>) -> Result<f64, SyntaxError> {
    match datum.value().as_f64() {
        Some(number) if number.is_finite() && number >= 0.0 => Ok(number),
        _ => Err(unexpected(datum, "a number")),
    }
}

impl<'d> Form<'d> {
    /// Returns the only item, which must be a number.
    pub fn single_number(&self) -> Result<f64, SyntaxError> {
        match self.items[..] {
            [item] => parse_number(item),
            _ => Err(unexpected(self.datum, "one number")),
        }
    }

    /// Returns the only item, which must be a number of milliseconds, converted to seconds.
    pub fn single_ms_as_seconds(&self) -> Result<f64, SyntaxError> {
        Ok(self.single_number()? / 1e3)
    }

    /// Returns the only item, which must be a word.
    pub fn single_word(&self) -> Result<&'d str, SyntaxError> {
        match self.items[..] {
            [item] => item.value().as_symbol().ok_or_else(|| unexpected(item, "a word")),
            _ => Err(unexpected(self.datum, "one word")),
        }
    }

    /// Returns whether the only item, which must be a word, is `yes`.
    pub fn single_flag(&self) -> Result<bool, SyntaxError> {
        Ok(self.single_word()? == "yes")
    }

    /// Returns the item at an index, which must be a number.
    pub fn number_at(&self, index: usize) -> Result<f64, SyntaxError> {
        match self.items.get(index) {
            Some(item) => parse_number(*item),
            None => Err(unexpected(self.datum, "one more number")),
        }
    }
}
