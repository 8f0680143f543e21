//! Reads S-expressions as forms and collects the problems in them. A form is a list that starts with a name.

use lexpr::datum::Ref;

use super::error::{Expectation, Position, Problem, ProblemKind};

/// Longest text of a found expression in an error message, in characters.
const MAX_FOUND_CHARS: usize = 40;

/// A list that starts with a name.
pub(super) struct Form<'d> {
    /// The complete list.
    pub datum: Ref<'d>,
    pub name: &'d str,
    /// Items of the list after the name.
    pub items: Vec<Ref<'d>>,
}

/// Reader of forms, with the problems that it has found.
#[derive(Default)]
pub(super) struct FormReader {
    pub problems: Vec<Problem>,
}

impl FormReader {
    /// Records that the text is not a valid S-expression.
    pub fn report_syntax(&mut self, error: &lexpr::parse::Error) {
        let position = error.location().map_or(Position { line: 1, column: 1 }, |location| Position {
            line: location.line(),
            column: location.column() + 1,
        });
        self.problems.push(Problem { position, kind: ProblemKind::Syntax { message: error.to_string() } });
    }

    /// Records that an expression differs from the expected one.
    pub fn report(&mut self, datum: Ref<'_>, expected: Expectation) {
        let found = datum.value().to_string().chars().take(MAX_FOUND_CHARS).collect();
        let kind = ProblemKind::Unexpected { expected, found };
        self.problems.push(Problem { position: start_of(datum), kind });
    }

    /// Reads a form. If `datum` is not a form, records a problem and returns `None`.
    pub fn form<'d>(&mut self, datum: Ref<'d>, expected: Expectation) -> Option<Form<'d>> {
        let mut items = datum.list_iter().into_iter().flatten();
        let Some(name) = items.next().and_then(|first| first.value().as_symbol()) else {
            self.report(datum, expected);
            return None;
        };
        Some(Form { datum, name, items: items.collect() })
    }

    /// Reads the only item of a form as a finite number. If there is no such number, or more than one item,
    /// records a problem and returns `None`.
    pub fn number(&mut self, form: &Form<'_>) -> Option<f64> {
        let number = match form.items.as_slice() {
            [only] => only.value().as_f64().filter(|number| number.is_finite()),
            _ => None,
        };
        if number.is_none() {
            self.report(form.datum, Expectation::Number { setting: form.name.to_owned() });
        }
        number
    }
}

fn start_of(datum: Ref<'_>) -> Position {
    let start = datum.span().start();
    Position { line: start.line(), column: start.column() + 1 }
}
