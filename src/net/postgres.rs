//! Version 3 of PostgreSQL's wire protocol, as far as simple queries need it: framing, the statements that
//! clients send, and the messages that the proxy writes itself.
//!
//! Pure functions from bytes to values and back. Nothing in here must ever read a socket, panic on what a
//! peer sent, or size an allocation by what a peer claims.

use std::ops::Range;
use std::time::Duration;

use winnow::ascii::{multispace0, multispace1, Caseless};
use winnow::binary::{be_u32, u8 as any_byte};
use winnow::combinator::{alt, cut_err, delimited, eof, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::{AsChar, LocatingSlice};
use winnow::token::{literal, take, take_till, take_until, take_while};

/// The longest value.
pub const VALUE_MOST: usize = 4 << 20;
/// The longest query taken from a client: such a value in hex, and its statement.
pub const QUERY_MOST: usize = 2 * VALUE_MOST + 16 * 1024;
/// The longest startup packet, as PostgreSQL has it.
pub const STARTUP_MOST: usize = 10_000;
/// The longest answer taken from a data server: such a value, whether in hex or not.
pub const ANSWER_MOST: usize = 2 * VALUE_MOST + 16 * 1024;

type Failure = ErrMode<ContextError>;

/// What a client opens its connection with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Startup {
    /// A session; the minor version that it asks for.
    Session(u16),
    /// It asks for encryption, by TLS or GSSAPI.
    Encryption,
    /// It cancels another connection's query.
    Cancel,
    /// Another version of the protocol.
    Unsupported(u32),
}

/// Reads the body of a startup packet, which is all but its length.
pub fn startup(mut body: &[u8]) -> Option<Startup> {
    let code = be_u32::<_, ContextError>.parse_next(&mut body).ok()?;
    Some(match (code, code >> 16) {
        (80_877_102, _) => Startup::Cancel,
        (80_877_103 | 80_877_104, _) => Startup::Encryption,
        (_, 3) => Startup::Session(code as u16),
        _ => Startup::Unsupported(code),
    })
}

/// The type of a message and its whole length with the type byte; `None` for a length that cannot be.
pub fn header(bytes: [u8; 5]) -> Option<(u8, usize)> {
    let (kind, length) =
        (any_byte::<_, ContextError>, be_u32::<_, ContextError>).parse_next(&mut &bytes[..]).ok()?;
    let length = usize::try_from(length).ok()?;
    (length >= 4).then(|| (kind, length.saturating_add(1)))
}

/// What a simple query asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Query {
    /// Nothing.
    Empty,
    /// A setting of the session, which means nothing here: the tag that answers it.
    Setting(&'static str),
    /// A statement to be routed.
    Routed(Statement),
}

/// What a client's statement says of itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Statement {
    /// It inserts.
    pub write: bool,
    /// The quoted key, as it was sent.
    pub key: String,
    /// `id`, which no other open request may have.
    pub id: String,
    /// `c`, the class.
    pub class: String,
    /// `cluster`, the group.
    pub group: u64,
    /// `d`, how long the client waits.
    pub wait: Duration,
    /// Where in the text the digits of `d` stand.
    pub wait_at: Range<usize>,
    /// `r`, a repeat by the client.
    pub retry: bool,
    /// `after`, the position that the read must see, in Unix milliseconds.
    pub after: Option<f64>,
}

type Text<'t> = LocatingSlice<&'t [u8]>;

fn keyword<'t>(word: &'static str) -> impl Parser<Text<'t>, (), Failure> {
    terminated(literal(Caseless(word)), multispace0).void()
}

/// A quoted string; doubled quotes stand for one, which is left as it is.
fn quoted<'t>(text: &mut Text<'t>) -> Result<&'t [u8], Failure> {
    let inside = repeat::<_, _, (), _, _>(0.., alt((take_till(1.., b'\'').void(), literal("''").void())));
    delimited(b'\'', inside.take(), b'\'').parse_next(text)
}

fn select<'t>(text: &mut Text<'t>) -> Result<&'t [u8], Failure> {
    let head = (keyword("select"), keyword("body"), keyword("from"), keyword("objects"), keyword("where"));
    preceded((head, keyword("oid"), keyword("=")), terminated(quoted, multispace0)).parse_next(text)
}

fn insert<'t>(text: &mut Text<'t>) -> Result<&'t [u8], Failure> {
    let head = (keyword("insert"), keyword("into"), keyword("objects"), keyword("("), keyword("oid"));
    let columns = (keyword(","), keyword("body"), keyword(")"), keyword("values"), keyword("("));
    let value = terminated(quoted.verify(is_bytea), (multispace0, keyword(")")));
    let tail = (keyword(","), value, keyword("returning"), keyword("body"));
    delimited((head, columns), terminated(quoted, multispace0), tail).parse_next(text)
}

/// Whether a quoted value is binary data in hex, not longer than a data server takes.
fn is_bytea(value: &[u8]) -> bool {
    let digits = value.strip_prefix(br"\x").filter(|hex| hex.len() <= 2 * VALUE_MOST);
    digits.is_some_and(|hex| hex.len() % 2 == 0 && hex.iter().all(u8::is_ascii_hexdigit))
}

/// One `name=value` of the comment, and where the value stands.
fn pair<'t>(text: &mut Text<'t>) -> Result<(&'t str, &'t str, Range<usize>), Failure> {
    let name = take_while(1.., (AsChar::is_alphanum, b'_')).try_map(std::str::from_utf8);
    let value = take_till(0.., |c: u8| c == b',' || c.is_ascii_whitespace() || c == b'*');
    let value = value.try_map(std::str::from_utf8).with_span();
    let (name, (value, at)) = (terminated(name, b'='), value).parse_next(text)?;
    Ok((name, value, at))
}

fn routed(text: &mut Text<'_>) -> Result<Statement, Failure> {
    let (write, key) =
        alt((select.map(|key| (false, key)), insert.map(|key| (true, key)))).parse_next(text)?;
    let pairs = separated::<_, _, Vec<_>, _, _, _, _>(1.., pair, (b',', multispace0));
    let comment = delimited((literal("/*"), multispace0), pairs, (multispace0, literal("*/")));
    let pairs = cut_err(terminated(comment, (multispace0, opt(b';'), multispace0, eof))).parse_next(text)?;
    let key = String::from_utf8_lossy(key).into_owned();
    let mut statement = Statement { write, key, ..Statement::default() };
    let wrong = || ErrMode::Cut(ContextError::new());
    let digits = |value: &str| value.bytes().all(|b| b.is_ascii_digit()); // `parse` would take a sign
    let whole = |value: &str| value.parse::<u64>().ok().filter(|_| digits(value)).ok_or_else(wrong);
    // Which of two values of one name a data server would go by is not known here.
    let mut named: Vec<_> = pairs.iter().map(|(name, ..)| *name).collect();
    named.sort_unstable();
    let twice = named.windows(2).any(|w| w[0] == w[1]);
    if twice || !["c", "cluster", "d", "id"].iter().all(|name| named.contains(name)) {
        return Err(wrong());
    }
    for (name, value, at) in pairs {
        match name {
            "id" => statement.id = value.to_owned(),
            "c" => statement.class = value.to_owned(),
            "cluster" => statement.group = whole(value)?,
            "d" => (statement.wait, statement.wait_at) = (Duration::from_millis(whole(value)?), at),
            "r" => statement.retry = whole(value)? == 1,
            "after" => statement.after = Some(whole(value)? as f64),
            _ => {} // passed on with the rest of the text
        }
    }
    let plain =
        |id: &str| !id.is_empty() && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
    plain(&statement.id).then_some(statement).ok_or_else(wrong)
}

/// Reads the text of a simple query, without the zero byte that ends it.
pub fn query(text: &[u8]) -> Option<Query> {
    std::str::from_utf8(text).ok()?;
    let setting = |word: &'static str| (literal(Caseless(word)), multispace1::<_, Failure>).value(word);
    let empty = (multispace0::<_, Failure>, repeat::<_, _, (), _, _>(0.., (b';', multispace0)), eof);
    let setting = preceded(multispace0, alt((setting("SET"), setting("RESET"), setting("DISCARD"))));
    let mut parser = alt((
        empty.value(Query::Empty),
        terminated(setting, winnow::token::rest).map(Query::Setting),
        preceded(multispace0, routed).map(Query::Routed),
    ));
    parser.parse_next(&mut LocatingSlice::new(text)).ok()
}

/// A zero-ended string.
fn c_string<'b>(input: &mut &'b [u8]) -> Result<&'b [u8], Failure> {
    terminated(take_until(0.., 0u8), 0u8).parse_next(input)
}

/// The name and value of a ParameterStatus body.
pub fn parameter(mut body: &[u8]) -> Option<(&str, &str)> {
    let text = || c_string.try_map(std::str::from_utf8);
    terminated((text(), text()), eof).parse_next(&mut body).ok()
}

/// The SQLSTATE of an ErrorResponse body.
pub fn sqlstate(mut body: &[u8]) -> Option<[u8; 5]> {
    let field = (any_byte.verify(|kind: &u8| *kind != 0), c_string);
    let fields: Vec<(u8, &[u8])> =
        terminated(repeat(0.., field), (0u8, eof::<_, Failure>)).parse_next(&mut body).ok()?;
    fields.iter().find(|(kind, _)| *kind == b'C').and_then(|(_, code)| (*code).try_into().ok())
}

/// The `name=value` pairs of a load report. What is no figure is passed over.
pub fn load_report(text: &str) -> Vec<(&str, f64)> {
    let pairs = text.split(',').filter_map(|part| part.split_once('='));
    let figure = |value: &str| value.trim().parse().ok().filter(|v: &f64| v.is_finite());
    pairs.filter_map(|(name, value)| Some((name.trim(), figure(value)?))).collect()
}

/// Whether a RowDescription body describes a single column.
pub fn describes_one_column(mut body: &[u8]) -> bool {
    let column = (c_string, take(18usize));
    (&[0, 1], column, eof::<_, Failure>).parse_next(&mut body).is_ok()
}

/// The value in a DataRow body of a single column.
pub fn only_column(mut body: &[u8]) -> Option<&[u8]> {
    let column = preceded(literal(&[0, 1][..]), be_u32::<_, Failure>).flat_map(|n| take(n as usize));
    terminated(column, eof).parse_next(&mut body).ok()
}

/// Whether a CommandComplete body is a tag.
pub fn is_tag(mut body: &[u8]) -> bool {
    terminated(c_string, eof::<_, Failure>).parse_next(&mut body).is_ok()
}

/// Whether a message from a data server may be so long. What claims to be longer is not waited for.
pub fn may_be(kind: u8, length: usize) -> bool {
    let (least, most) = match kind {
        b'Z' => (6, 6),
        b'R' => (9, 1024),
        b'K' => (13, 512),
        b'C' => (6, 256),
        b'T' => (7, 4096),
        b'E' | b'N' => (6, 16 * 1024),
        b'S' => (7, 16 * 1024),
        b'D' => (11, ANSWER_MOST),
        _ => return false,
    };
    (least..=most).contains(&length)
}

/// Appends a message: its type, its length, and what `body` writes.
fn message(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn strings(out: &mut Vec<u8>, parts: &[&str]) {
    parts.iter().for_each(|part| {
        out.extend(part.bytes().filter(|b| *b != 0));
        out.push(0);
    });
}

/// The startup packet that opens a connection to a data server.
pub fn startup_packet(user: &str, database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, 0, |out| {
        out.extend(196_608u32.to_be_bytes());
        strings(out, &["user", user, "database", database, ""]);
    });
    out.split_off(1) // a startup packet has no type byte
}

/// The greeting of a client: it is in, and may send queries.
pub fn welcome(minor: u16) -> Vec<u8> {
    let mut out = Vec::new();
    if minor > 0 {
        message(&mut out, b'v', |out| out.extend([0, 3, 0, 0, 0, 0, 0, 0]));
    }
    message(&mut out, b'R', |out| out.extend([0; 4]));
    let parameters = [
        ("server_version", concat!("15.0 (pipittack ", env!("CARGO_PKG_VERSION"), ")")),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        message(&mut out, b'S', |out| strings(out, &[name, value]));
    }
    ready(&mut out);
    out
}

/// ReadyForQuery, outside a transaction.
pub fn ready(out: &mut Vec<u8>) {
    message(out, b'Z', |out| out.push(b'I'));
}

/// EmptyQueryResponse.
pub fn empty_query(out: &mut Vec<u8>) {
    message(out, b'I', |_| {});
}

/// CommandComplete with its tag.
pub fn complete(out: &mut Vec<u8>, tag: &str) {
    message(out, b'C', |out| strings(out, &[tag]));
}

/// How an error ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The connection goes on.
    Error,
    /// The connection ends.
    Fatal,
}

/// ErrorResponse; `detail` is its field D.
pub fn error(out: &mut Vec<u8>, severity: Severity, code: &str, text: &str, detail: Option<&str>) {
    let severity = if severity == Severity::Fatal { "FATAL" } else { "ERROR" };
    message(out, b'E', |out| {
        let fields = [('S', severity), ('V', severity), ('C', code), ('M', text)];
        for (kind, value) in fields.into_iter().chain(detail.map(|d| ('D', d))) {
            out.push(kind as u8);
            strings(out, &[value]);
        }
        out.push(0);
    });
}

/// The start of a simple query message that is `length` bytes long in all.
pub fn query_header(length: usize) -> [u8; 5] {
    let [a, b, c, d] = ((length - 1) as u32).to_be_bytes();
    [b'Q', a, b, c, d]
}

/// A simple query as a whole.
pub fn simple_query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, b'Q', |out| strings(out, &[text]));
    out
}
