//! Bodies of the messages that data servers send.

use winnow::binary::{be_u32, u8 as any_byte};
use winnow::combinator::{eof, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::{literal, take, take_until};

use super::ParseFailure;

/// Bytes of a column's description after its name.
const COLUMN_ATTRIBUTE_BYTES: usize = 18;

/// A zero-terminated string.
fn c_string<'b>(input: &mut &'b [u8]) -> Result<&'b [u8], ParseFailure> {
    terminated(take_until(0.., 0u8), 0u8).parse_next(input)
}

/// The name and value of a ParameterStatus body.
pub fn parse_parameter_status(mut body: &[u8]) -> Option<(&str, &str)> {
    let text = || c_string.try_map(std::str::from_utf8);
    terminated((text(), text()), eof).parse_next(&mut body).ok()
}

/// The SQLSTATE of an ErrorResponse body.
pub fn parse_sqlstate(mut body: &[u8]) -> Option<[u8; 5]> {
    let field = (any_byte.verify(|kind: &u8| *kind != 0), c_string);
    let fields: Vec<(u8, &[u8])> =
        terminated(repeat(0.., field), (0u8, eof::<_, ParseFailure>)).parse_next(&mut body).ok()?;
    fields.iter().find(|(kind, _)| *kind == b'C').and_then(|(_, code)| (*code).try_into().ok())
}

/// The `name=value` pairs of a load report. Values that are not finite numbers are skipped.
pub fn parse_load_report(text: &str) -> Vec<(&str, f64)> {
    let pairs = text.split(',').filter_map(|part| part.split_once('='));
    let number = |value: &str| value.trim().parse().ok().filter(|number: &f64| number.is_finite());
    pairs.filter_map(|(name, value)| Some((name.trim(), number(value)?))).collect()
}

/// Whether a RowDescription body describes a single column.
pub fn is_single_column_description(mut body: &[u8]) -> bool {
    let column = (c_string, take(COLUMN_ATTRIBUTE_BYTES));
    (&[0, 1], column, eof::<_, ParseFailure>).parse_next(&mut body).is_ok()
}

/// The value in a DataRow body of a single column.
pub fn parse_single_column(mut body: &[u8]) -> Option<&[u8]> {
    let column =
        preceded(literal(&[0, 1][..]), be_u32::<_, ParseFailure>).flat_map(|length| take(length as usize));
    terminated(column, eof).parse_next(&mut body).ok()
}

/// Whether a CommandComplete body is a tag.
pub fn is_command_tag(mut body: &[u8]) -> bool {
    terminated(c_string, eof::<_, ParseFailure>).parse_next(&mut body).is_ok()
}
