//! Compares the parse of an abridged statement with that of its whole text.

use rstest::rstest;

use super::*;
use crate::net::buffers::BufferPool;
use crate::net::postgres::{parse_query, Query, Statement};

/// Lengths of a run of hex digits around the length from which a part of it may be left out.
const RUN_LENGTHS: Range<usize> = 8100..8300;

/// Returns the message of a simple query.
fn query_message(text: &str) -> BufferChain {
    let mut message = BufferPool::default().chain();
    message.extend(b"Q");
    message.extend(&(text.len() as u32 + 5).to_be_bytes());
    message.extend(text.as_bytes());
    message.extend(&[0]);
    message
}

fn routed(text: &[u8]) -> Option<Statement> {
    match parse_query(text) {
        Some(Query::Routed(statement)) => Some(statement),
        _ => None,
    }
}

/// Returns the statement as the proxy parses it, with the range of its timeout in the whole text.
fn parse_abridged(text: &str) -> Option<Statement> {
    let message = query_message(text);
    let abridged = AbridgedText::new(&message);
    let mut copy = Vec::new();
    abridged.copy(&message, &mut copy);
    let mut statement = routed(copy.strip_suffix(&[0])?)?;
    let Range { start, end } = abridged.message_range(&statement.timeout_range);
    statement.timeout_range = start - TEXT_OFFSET..end - TEXT_OFFSET;
    Some(statement)
}

/// Returns a run of hex digits that differs from every shorter part of it, so that a part that is left out
/// changes the run.
fn hex_run(length: usize) -> String {
    (0..length).map(|n| char::from_digit((n * n + n / 16) as u32 % 16, 16).expect("a hex digit")).collect()
}

/// Guards against a long run of hex digits that is left out of a key or an id: two requests would then have
/// the same key or id for the proxy.
#[rstest]
#[case::read_key("SELECT body FROM objects WHERE oid = 'RUN' /* id=1,c=a,d=480,cluster=2 */")]
#[case::read_key_like_a_value(r"SELECT body FROM objects WHERE oid = '\xRUN' /* id=1,c=a,d=480,cluster=2 */")]
#[case::write_key(
    r"INSERT INTO objects (oid, body) VALUES ('RUN', '\x9f') RETURNING body /* id=1,c=a,d=480,cluster=2 */"
)]
#[case::write_key_like_a_value(
    r"INSERT INTO objects (oid, body) VALUES ('\xRUN', '\x9f') RETURNING body /* id=1,c=a,d=480,cluster=2 */"
)]
#[case::write_key_with_quotes(
    r"INSERT INTO objects (oid, body) VALUES ('a'', ''\xRUN', '\x9f') RETURNING body /* id=1,c=a,d=480,cluster=2 */"
)]
#[case::value(
    r"INSERT INTO objects (oid, body) VALUES ('k', '\xRUN') RETURNING body /* id=1,c=a,d=480,cluster=2 */"
)]
#[case::id("SELECT body FROM objects WHERE oid = 'k' /* id=RUN,c=a,d=480,cluster=2 */")]
#[case::class("SELECT body FROM objects WHERE oid = 'k' /* id=1,c=RUN,d=480,cluster=2 */")]
#[case::timeout("SELECT body FROM objects WHERE oid = 'k' /* id=1,c=a,d=RUN,cluster=2 */")]
#[case::unknown_field("SELECT body FROM objects WHERE oid = 'k' /* id=1,c=a,d=480,cluster=2,x=RUN */")]
fn an_abridged_statement_is_parsed_as_its_whole_text(#[case] text: &str) {
    for length in RUN_LENGTHS {
        let text = text.replace("RUN", &hex_run(length));
        let whole = routed(text.as_bytes());
        assert!(parse_abridged(&text) == whole, "run of {length} digits in {}", &text[..60]);
    }
}

#[test]
fn the_middle_of_a_long_value_is_left_out() {
    let value = hex_run(100_000);
    let text = format!(
        r"INSERT INTO objects (oid, body) VALUES ('k', '\x{value}') RETURNING body /* id=1,c=a,d=480,cluster=2 */"
    );
    let message = query_message(&text);
    let mut copy = Vec::new();
    AbridgedText::new(&message).copy(&message, &mut copy);
    assert!(copy.len() <= 2 * PARSED_BYTES_PER_END + 2, "{} bytes are parsed", copy.len());
}
