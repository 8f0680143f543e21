//! Parsing of the bodies of messages that data servers send.

use winnow::binary::{be_u32, u8 as any_byte};
use winnow::combinator::{eof, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::{literal, take, take_until};

use super::ParseFailure;

/// Size in bytes of the fixed attributes that follow the column name in a RowDescription.
const COLUMN_ATTRIBUTE_BYTES: usize = 18;

/// Parses a zero-terminated string.
fn c_string<'b>(input: &mut &'b [u8]) -> Result<&'b [u8], ParseFailure> {
    terminated(take_until(0.., 0u8), 0u8).parse_next(input)
}

/// Parses the name and value of a ParameterStatus body.
pub fn parse_parameter_status(mut body: &[u8]) -> Option<(&str, &str)> {
    let text = || c_string.try_map(std::str::from_utf8);
    terminated((text(), text()), eof).parse_next(&mut body).ok()
}

/// Parses the SQLSTATE of an ErrorResponse body. Returns `None` if the body is malformed or has none.
pub fn parse_sqlstate(mut body: &[u8]) -> Option<[u8; 5]> {
    let field = (any_byte.verify(|kind: &u8| *kind != 0), c_string);
    let fields: Vec<(u8, &[u8])> =
        terminated(repeat(0.., field), (0u8, eof::<_, ParseFailure>)).parse_next(&mut body).ok()?;
    fields.iter().find(|(kind, _)| *kind == b'C').and_then(|(_, code)| (*code).try_into().ok())
}

/// Parses the `name=value` pairs of a load report. Skips values that are not finite numbers.
pub fn parse_load_report(text: &str) -> Vec<(&str, f64)> {
    let pairs = text.split(',').filter_map(|part| part.split_once('='));
    let number = |value: &str| value.trim().parse().ok().filter(|number: &f64| number.is_finite());
    pairs.filter_map(|(name, value)| Some((name.trim(), number(value)?))).collect()
}

/// Returns whether a RowDescription body is valid and describes a single column.
pub fn is_single_column_description(mut body: &[u8]) -> bool {
    let column = (c_string, take(COLUMN_ATTRIBUTE_BYTES));
    (&[0, 1], column, eof::<_, ParseFailure>).parse_next(&mut body).is_ok()
}

/// Parses the value in a DataRow body of a single column. Returns `None` for a null or malformed column.
pub fn parse_single_column(mut body: &[u8]) -> Option<&[u8]> {
    let column =
        preceded(literal(&[0, 1][..]), be_u32::<_, ParseFailure>).flat_map(|length| take(length as usize));
    terminated(column, eof).parse_next(&mut body).ok()
}

/// Returns whether a CommandComplete body is valid: a single command tag.
pub fn is_command_tag(mut body: &[u8]) -> bool {
    terminated(c_string, eof::<_, ParseFailure>).parse_next(&mut body).is_ok()
}
