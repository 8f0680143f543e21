//! Parsing of the statements that clients send: a SELECT or an INSERT, followed by a comment with the routing
//! fields.

use std::ops::Range;
use std::time::Duration;

use winnow::ascii::{multispace0, multispace1, Caseless};
use winnow::combinator::{alt, cut_err, delimited, eof, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::{AsChar, LocatingSlice};
use winnow::token::{literal, take_till, take_while};

use super::{ParseFailure, MAX_VALUE_BYTES};

/// Largest number of fields in a comment. More of them would take many times the memory of the text.
const MAX_FIELDS: usize = 256;
/// Fields of the comment that routing requires.
const REQUIRED_FIELDS: [&str; 4] = ["c", "cluster", "d", "id"];

/// Content of a simple query.
#[derive(Debug, Clone, PartialEq)]
pub enum Query {
    /// No statement.
    Empty,
    /// Command on session settings, which has no effect in the proxy; holds its command tag.
    Setting(&'static str),
    /// Statement to be routed.
    Routed(Statement),
}

/// A statement with the routing fields of its comment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Statement {
    /// Whether the statement is an INSERT.
    pub is_write: bool,
    /// Key from the statement text, without its quotes; doubled quotes inside stay doubled.
    pub key: String,
    /// Field `id`: id of the request, unique among the requests in flight.
    pub id: String,
    /// Field `c`: name of the request's class.
    pub class: String,
    /// Field `cluster`: number of the replica set.
    pub group: u64,
    /// Field `d`: the client's timeout, sent in milliseconds.
    pub timeout: Duration,
    /// Range of the digits of `d` in the text, in bytes.
    pub timeout_range: Range<usize>,
    /// Field `r`: whether the client marked the statement as a retry.
    pub is_retry: bool,
    /// Field `after`: smallest replication position that the read must see, in Unix milliseconds; `None` if
    /// the comment has no such field.
    pub after_unix_ms: Option<f64>,
}

type Text<'t> = LocatingSlice<&'t [u8]>;

/// A `name=value` field of the comment.
struct Field<'t> {
    name: &'t str,
    value: &'t str,
    value_range: Range<usize>,
}

/// Parses the text of a simple query, given without its terminating zero byte. Returns `None` if the text is
/// not empty, not a command on session settings and not a statement that can be routed.
pub fn parse_query(text: &[u8]) -> Option<Query> {
    std::str::from_utf8(text).ok()?;
    let setting = |word: &'static str| (literal(Caseless(word)), multispace1::<_, ParseFailure>).value(word);
    let empty = (multispace0::<_, ParseFailure>, repeat::<_, _, (), _, _>(0.., (b';', multispace0)), eof);
    let setting = preceded(multispace0, alt((setting("SET"), setting("RESET"), setting("DISCARD"))));
    let mut parser = alt((
        empty.value(Query::Empty),
        terminated(setting, winnow::token::rest).map(Query::Setting),
        preceded(multispace0, routed_statement).map(Query::Routed),
    ));
    parser.parse_next(&mut LocatingSlice::new(text)).ok()
}

fn routed_statement(text: &mut Text<'_>) -> Result<Statement, ParseFailure> {
    let (is_write, key) =
        alt((select.map(|key| (false, key)), insert.map(|key| (true, key)))).parse_next(text)?;
    let fields = comment(text)?;
    check_field_names(&fields)?;
    let key = String::from_utf8_lossy(key).into_owned();
    let mut statement = Statement { is_write, key, ..Statement::default() };
    for field in fields {
        set_field(&mut statement, field)?;
    }
    is_valid_id(&statement.id).then_some(statement).ok_or_else(malformed)
}

fn comment<'t>(text: &mut Text<'t>) -> Result<Vec<Field<'t>>, ParseFailure> {
    let fields = separated::<_, _, Vec<_>, _, _, _, _>(1..=MAX_FIELDS, field, (b',', multispace0));
    let comment = delimited((literal("/*"), multispace0), fields, (multispace0, literal("*/")));
    cut_err(terminated(comment, (multispace0, opt(b';'), multispace0, eof))).parse_next(text)
}

fn field<'t>(text: &mut Text<'t>) -> Result<Field<'t>, ParseFailure> {
    let name = take_while(1.., (AsChar::is_alphanum, b'_')).try_map(std::str::from_utf8);
    let value = take_till(0.., |byte: u8| byte == b',' || byte.is_ascii_whitespace() || byte == b'*');
    let value = value.try_map(std::str::from_utf8).with_span();
    let (name, (value, value_range)) = (terminated(name, b'='), value).parse_next(text)?;
    Ok(Field { name, value, value_range })
}

/// Checks that all required fields are present and that no name occurs twice. Duplicates are rejected because
/// it is unknown which of the two values a data server would use.
fn check_field_names(fields: &[Field<'_>]) -> Result<(), ParseFailure> {
    let mut names: Vec<_> = fields.iter().map(|field| field.name).collect();
    names.sort_unstable();
    let has_duplicate = names.windows(2).any(|pair| pair[0] == pair[1]);
    let has_required = REQUIRED_FIELDS.iter().all(|name| names.contains(name));
    (has_required && !has_duplicate).then_some(()).ok_or_else(malformed)
}

/// Sets the part of `statement` that a field holds. Ignores unknown fields, which the data server gets with
/// the rest of the text.
fn set_field(statement: &mut Statement, field: Field<'_>) -> Result<(), ParseFailure> {
    match field.name {
        "id" => statement.id = field.value.to_owned(),
        "c" => statement.class = field.value.to_owned(),
        "cluster" => statement.group = whole_number(field.value)?,
        "d" => {
            statement.timeout = Duration::from_millis(whole_number(field.value)?);
            statement.timeout_range = field.value_range;
        }
        "r" => statement.is_retry = whole_number(field.value)? == 1,
        "after" => statement.after_unix_ms = Some(whole_number(field.value)? as f64),
        _ => {}
    }
    Ok(())
}

/// Parses a number that consists of digits alone; `parse` would also accept a sign.
fn whole_number(value: &str) -> Result<u64, ParseFailure> {
    let number = value.parse::<u64>().ok();
    number.filter(|_| value.bytes().all(|byte| byte.is_ascii_digit())).ok_or_else(malformed)
}

fn is_valid_id(id: &str) -> bool {
    !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}

fn malformed() -> ParseFailure {
    ErrMode::Cut(ContextError::new())
}

fn keyword<'t>(word: &'static str) -> impl Parser<Text<'t>, (), ParseFailure> {
    terminated(literal(Caseless(word)), multispace0).void()
}

/// Parses a quoted string and returns it without its quotes. A doubled quote, which stands for one quote,
/// stays doubled.
fn quoted<'t>(text: &mut Text<'t>) -> Result<&'t [u8], ParseFailure> {
    let inside = repeat::<_, _, (), _, _>(0.., alt((take_till(1.., b'\'').void(), literal("''").void())));
    delimited(b'\'', inside.take(), b'\'').parse_next(text)
}

fn select<'t>(text: &mut Text<'t>) -> Result<&'t [u8], ParseFailure> {
    let head = (keyword("select"), keyword("body"), keyword("from"), keyword("objects"), keyword("where"));
    preceded((head, keyword("oid"), keyword("=")), terminated(quoted, multispace0)).parse_next(text)
}

fn insert<'t>(text: &mut Text<'t>) -> Result<&'t [u8], ParseFailure> {
    let head = (keyword("insert"), keyword("into"), keyword("objects"), keyword("("), keyword("oid"));
    let columns = (keyword(","), keyword("body"), keyword(")"), keyword("values"), keyword("("));
    let value = terminated(quoted.verify(is_hex_bytea), (multispace0, keyword(")")));
    let tail = (keyword(","), value, keyword("returning"), keyword("body"));
    delimited((head, columns), terminated(quoted, multispace0), tail).parse_next(text)
}

/// Returns whether a quoted value is binary data in hex and not longer than a data server accepts.
fn is_hex_bytea(value: &[u8]) -> bool {
    let digits = value.strip_prefix(br"\x").filter(|hex| hex.len() <= 2 * MAX_VALUE_BYTES);
    digits.is_some_and(|hex| hex.len() % 2 == 0 && hex.iter().all(u8::is_ascii_hexdigit))
}
