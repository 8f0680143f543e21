//! Forms of a script and their arguments, with the place of each fault.

use lexpr::datum::Ref;

/// A fault of a script.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SyntaxError {
    /// The text is no S-expression.
    #[error("{line}:{column}: not an S-expression: {description}")]
    NotAnExpression {
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// The parser's description.
        description: String,
    },
    /// A form that is not expected at its place.
    #[error("{line}:{column}: expected {expected}, found {found}")]
    Unexpected {
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What was expected.
        expected: String,
        /// The beginning of what was found.
        found: String,
    },
}

/// Length to which the found text in an error is cut.
const MAX_FOUND_CHARS: usize = 40;

/// The error for a datum in whose place something else was expected.
pub fn unexpected(datum: Ref<'_>, expected: &str) -> SyntaxError {
    let start = datum.span().start();
    SyntaxError::Unexpected {
        line: start.line(),
        column: start.column() + 1,
        expected: expected.to_owned(),
        found: datum.value().to_string().chars().take(MAX_FOUND_CHARS).collect(),
    }
}

/// A form `(NAME ITEM ...)`.
pub struct Form<'d> {
    /// The whole form.
    pub datum: Ref<'d>,
    /// Its name.
    pub name: &'d str,
    /// The items after the name.
    pub items: Vec<Ref<'d>>,
}

/// Splits a form into its name and items; `expected` describes it in errors.
pub fn split_form<'d>(datum: Ref<'d>, expected: &str) -> Result<Form<'d>, SyntaxError> {
    let mut items = datum.list_iter().into_iter().flatten();
    match items.next().and_then(|first| first.value().as_symbol()) {
        Some(name) => Ok(Form { datum, name, items: items.collect() }),
        None => Err(unexpected(datum, expected)),
    }
}

/// Reads a number that is not negative.
pub fn number(datum: Ref<'_>) -> Result<f64, SyntaxError> {
    match datum.value().as_f64() {
        Some(number) if number.is_finite() && number >= 0.0 => Ok(number),
        _ => Err(unexpected(datum, "a number")),
    }
}

impl<'d> Form<'d> {
    /// The only item, as a number.
    pub fn single_number(&self) -> Result<f64, SyntaxError> {
        match self.items[..] {
            [item] => number(item),
            _ => Err(unexpected(self.datum, "one number")),
        }
    }

    /// The only item, as a number of milliseconds, in seconds.
    pub fn single_ms(&self) -> Result<f64, SyntaxError> {
        Ok(self.single_number()? / 1e3)
    }

    /// The only item, as a word.
    pub fn single_word(&self) -> Result<&'d str, SyntaxError> {
        match self.items[..] {
            [item] => item.value().as_symbol().ok_or_else(|| unexpected(item, "a word")),
            _ => Err(unexpected(self.datum, "one word")),
        }
    }

    /// Whether the only item is `yes`.
    pub fn single_flag(&self) -> Result<bool, SyntaxError> {
        Ok(self.single_word()? == "yes")
    }

    /// The number at an index.
    pub fn number_at(&self, index: usize) -> Result<f64, SyntaxError> {
        match self.items.get(index) {
            Some(item) => number(*item),
            None => Err(unexpected(self.datum, "one more number")),
        }
    }
}
