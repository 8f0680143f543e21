//! Parsers of the network code, and splitting of buffer chains.

use std::time::Duration;

use pipittack::net::admin::{parse_call, AdminCall, HttpStatus};
use pipittack::net::buffers::{BufferPool, BUFFER_BYTES};
use pipittack::net::discovery::{parse_chunk_size, parse_response_head, BodyFraming};
use pipittack::net::postgres::{self, Query, Startup};
use rstest::rstest;

/// Parses a query. Returns the statement if it is to be routed, `None` for any other query and for invalid
/// text.
fn parse_routed(text: &str) -> Option<postgres::Statement> {
    match postgres::parse_query(text.as_bytes()) {
        Some(Query::Routed(statement)) => Some(statement),
        _ => None,
    }
}

#[rstest]
#[case::read(
    "SELECT body FROM objects WHERE oid = 'k1' /* id=9b,c=basket,d=480,cluster=2,after=1767225600123 */"
)]
#[case::other_case_and_spacing(
    "  select body\nfrom objects where oid='k1'/*id=9b,c=basket, d=480,cluster=2,after=1767225600123*/ ; "
)]
fn the_comment_fields_of_a_read_are_parsed(#[case] text: &str) {
    let statement = parse_routed(text).expect("the statement is routed");
    assert_eq!(
        (statement.is_write, &*statement.key, &*statement.class, statement.group, statement.is_retry),
        (false, "k1", "basket", 2, false)
    );
    assert_eq!(statement.id, "9b");
    assert_eq!(
        (statement.timeout, statement.after_unix_ms),
        (Duration::from_millis(480), Some(1_767_225_600_123.0))
    );
    assert_eq!(&text[statement.timeout_range], "480");
}

#[rstest]
#[case::plain(r"INSERT INTO objects (oid, body) VALUES ('k', '\x9f03') RETURNING body /* id=1,c=o,d=48,cluster=2,r=1 */", "k")]
#[case::doubled_quote(
    r"INSERT INTO objects (oid, body) VALUES ('a''b', '\x') RETURNING body /* id=1,c=o,d=48,cluster=2,r=1 */",
    "a''b"
)]
#[case::comment_in_the_key(
    r"INSERT INTO objects(oid,body)VALUES('/*d=1*/','\x')RETURNING body/*id=1,c=o,d=48,cluster=2,r=1*/",
    "/*d=1*/"
)]
fn the_key_and_the_retry_flag_of_a_write_are_parsed(#[case] text: &str, #[case] key: &str) {
    let statement = parse_routed(text).expect("the statement is routed");
    assert_eq!(
        (statement.is_write, &*statement.key, &*statement.class, statement.group, statement.is_retry),
        (true, key, "o", 2, true)
    );
    assert_eq!(&text[statement.timeout_range], "48");
}

#[rstest]
#[case::other_statement("SELECT 1")]
#[case::two_statements("SELECT body FROM objects WHERE oid = 'k' /* c=a */; SELECT 1")]
#[case::no_comment("SELECT body FROM objects WHERE oid = 'k'")]
#[case::unterminated_quote("SELECT body FROM objects WHERE oid = 'k /* c=a */")]
#[case::transaction("BEGIN")]
#[case::word_that_starts_with_a_command("SETTLE x")]
fn unsupported_queries_are_rejected(#[case] text: &str) {
    assert_eq!(postgres::parse_query(text.as_bytes()), None);
}

/// Guards against forwarding a statement that a data server would reject or answer by closing the connection.
#[rstest]
#[case::complete("id=1,c=a,d=9,cluster=1", true)]
#[case::no_id("c=a,d=9,cluster=1", false)]
#[case::empty_id("id=,c=a,d=9,cluster=1", false)]
#[case::id_with_a_semicolon("id=1;2,c=a,d=9,cluster=1", false)]
#[case::no_class("id=1,d=9,cluster=1", false)]
#[case::no_timeout("id=1,c=a,cluster=1", false)]
#[case::no_group("id=1,c=a,d=9", false)]
#[case::timeout_is_not_a_number("id=1,c=a,d=soon,cluster=1", false)]
#[case::timeout_with_a_sign("id=1,c=a,d=+9,cluster=1", false)]
#[case::timeout_is_too_large("id=1,c=a,d=99999999999999999999999,cluster=1", false)]
#[case::negative_group("id=1,c=a,d=9,cluster=-1", false)]
#[case::position_is_not_finite("id=1,c=a,d=9,cluster=1,after=inf", false)]
#[case::duplicate_field("id=1,c=a,d=9,cluster=1,d=8", false)]
fn only_statements_with_a_complete_and_valid_comment_are_routed(
    #[case] comment: &str,
    #[case] is_routed: bool,
) {
    let text = format!("SELECT body FROM objects WHERE oid = 'k' /* {comment} */");
    assert_eq!(parse_routed(&text).is_some(), is_routed);
}

#[test]
fn a_query_with_invalid_utf8_is_rejected() {
    let text = b"SELECT body FROM objects WHERE oid = '\xff' /* id=1,c=a,d=9,cluster=1 */";
    assert_eq!(postgres::parse_query(text), None);
}

#[rstest]
#[case::empty(r"\x", true)]
#[case::longest_value(&format!(r"\x{}", "0f".repeat(postgres::MAX_VALUE_BYTES)), true)]
#[case::value_too_long(&format!(r"\x{}", "0f".repeat(postgres::MAX_VALUE_BYTES + 1)), false)]
#[case::odd_number_of_digits(r"\x0", false)]
#[case::not_hexadecimal(r"\xzz", false)]
#[case::no_prefix("00", false)]
fn only_hexadecimal_values_up_to_the_maximum_length_are_routed(#[case] value: &str, #[case] is_routed: bool) {
    let text = format!(
        "INSERT INTO objects (oid, body) VALUES ('k', '{value}') RETURNING body /* id=1,c=a,d=9,cluster=1 */"
    );
    assert_eq!(parse_routed(&text).is_some(), is_routed);
}

#[rstest]
#[case("", Query::Empty)]
#[case(" ; \n;", Query::Empty)]
#[case("set application_name = 'x'", Query::Setting("SET"))]
#[case("DISCARD ALL", Query::Setting("DISCARD"))]
fn empty_queries_and_session_commands_are_recognized(#[case] text: &str, #[case] query: Query) {
    assert_eq!(postgres::parse_query(text.as_bytes()), Some(query));
}

#[rstest]
#[case(&[0, 3, 0, 0], Some(Startup::Session(0)))]
#[case(&[0, 3, 0, 2], Some(Startup::Session(2)))]
#[case(&[4, 210, 22, 47], Some(Startup::Encryption))]
#[case(&[4, 210, 22, 48], Some(Startup::Encryption))]
#[case(&[4, 210, 22, 46, 0, 0, 0, 1], Some(Startup::Cancel))]
#[case(&[0, 2, 0, 0], Some(Startup::Unsupported(131_072)))]
#[case(&[0, 3], None)]
fn startup_packets_are_classified_by_their_code(#[case] body: &[u8], #[case] startup: Option<Startup>) {
    assert_eq!(postgres::parse_startup(body), startup);
}

#[rstest]
#[case([b'Q', 0, 0, 0, 5], Some((b'Q', 6)))]
#[case([b'Q', 0, 0, 0, 3], None)]
#[case([b'Q', 255, 255, 255, 255], Some((b'Q', 4_294_967_296)))]
fn a_message_header_is_parsed_into_kind_and_total_length(
    #[case] bytes: [u8; 5],
    #[case] header: Option<(u8, usize)>,
) {
    let parsed = postgres::parse_header(bytes).map(|header| (header.kind, header.length));
    assert_eq!(parsed, header);
}

#[rstest]
#[case(b"SERROR\0C53300\0Mfull\0\0", Some(*b"53300"))]
#[case(b"SERROR\0Mno code\0\0", None)]
#[case(b"SERROR\0C5330\0\0", None)]
#[case(b"C53300", None)]
#[case(b"C53300\0\0more", None)]
#[case(b"", None)]
fn the_sqlstate_of_an_error_response_is_parsed(#[case] body: &[u8], #[case] code: Option<[u8; 5]>) {
    assert_eq!(postgres::parse_sqlstate(body), code);
}

#[rstest]
#[case(b"mode\0read-only\0", Some(("mode", "read-only")))]
#[case(b"mode\0read-only", None)]
#[case(b"mode", None)]
#[case(b"mode\0read-only\0more", None)]
#[case(b"mode\0\xff\0", None)]
fn a_parameter_status_is_parsed_into_name_and_value(#[case] body: &[u8], #[case] pair: Option<(&str, &str)>) {
    assert_eq!(postgres::parse_parameter_status(body), pair);
}

#[rstest]
#[case("inflight=7,util=0.61", &[("inflight", 7.0), ("util", 0.61)])]
#[case("inflight=,x,util = 1", &[("util", 1.0)])]
#[case("inflight=inf,util=nan", &[])]
#[case("", &[])]
fn the_finite_numbers_of_a_load_report_are_parsed(#[case] text: &str, #[case] pairs: &[(&str, f64)]) {
    assert_eq!(postgres::parse_load_report(text), pairs);
}

#[rstest]
#[case(&[0, 1, 0, 0, 0, 2, b'o', b'k'], Some(&b"ok"[..]))]
#[case(&[0, 1, 255, 255, 255, 255], None)]
#[case(&[0, 1, 0, 0, 0, 9, b'o'], None)]
#[case(&[0, 1, 0, 0, 0, 1, b'o', b'k'], None)]
#[case(&[0, 2, 0, 0, 0, 2, b'o', b'k'], None)]
fn only_a_complete_row_of_one_column_is_parsed(#[case] body: &[u8], #[case] column: Option<&[u8]>) {
    assert_eq!(postgres::parse_single_column(body), column);
}

#[rstest]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n", Some((200, BodyFraming::Chunked)))]
#[case("HTTP/1.1 503 Service Unavailable\r\ncontent-length:0\r\n", Some((503, BodyFraming::Length(0))))]
#[case("HTTP/1.0 200\r\n", Some((200, BodyFraming::UntilClose)))]
#[case("HTTP/1.1 200 \r\n", Some((200, BodyFraming::UntilClose)))]
#[case("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n", None)]
#[case("SSH-2.0-x\r\n", None)]
fn a_response_head_is_parsed_into_status_and_body_framing(
    #[case] text: &str,
    #[case] expected: Option<(u16, BodyFraming)>,
) {
    let head = parse_response_head(text.as_bytes());
    assert_eq!(head.map(|head| (head.status, head.framing)), expected);
}

#[rstest]
#[case(b"1f\r\n", Some(31))]
#[case(b"0;last\r\n", Some(0))]
#[case(b"\r\n", None)]
#[case(b"ffffffffffffffffff\r\n", None)]
fn a_chunk_size_line_is_parsed_as_hexadecimal(#[case] line: &[u8], #[case] size: Option<usize>) {
    assert_eq!(parse_chunk_size(line), size);
}

#[rstest]
#[case::empty_chain(0, 0)]
#[case::within_a_buffer(100, 40)]
#[case::at_the_end_of_a_buffer(BUFFER_BYTES, BUFFER_BYTES)]
#[case::across_several_buffers(3 * BUFFER_BYTES + 7, BUFFER_BYTES + 1)]
#[case::past_the_end(10, 20)]
fn splitting_a_chain_keeps_its_bytes_and_dropping_it_returns_its_buffers(
    #[case] length: usize,
    #[case] split_at: usize,
) {
    let bytes: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
    let pool = BufferPool::default();
    let mut rest = pool.chain();
    rest.extend(&bytes);
    let first = rest.split_to(split_at);
    let (mut head, mut tail) = (Vec::new(), Vec::new());
    first.copy(0..first.len(), &mut head);
    rest.copy(0..rest.len(), &mut tail);
    assert_eq!((head.len(), [head, tail].concat()), (split_at.min(length), bytes));
    let used_buffers = first.len().div_ceil(BUFFER_BYTES) + rest.len().div_ceil(BUFFER_BYTES);
    let idle_before = pool.idle_buffers();
    drop((first, rest));
    assert_eq!(pool.idle_buffers(), idle_before + used_buffers);
}

#[rstest]
#[case::ready("GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n", Ok(AdminCall::Ready))]
#[case::query_and_old_version("GET /control/ready?x=1 HTTP/1.0\r\n\r\n", Ok(AdminCall::Ready))]
#[case::offline("POST /control/data-servers/s-1/offline HTTP/1.1\r\n\r\n", Ok(AdminCall::Offline("s-1".into())))]
#[case::online("POST /control/data-servers/a%2fb/online HTTP/1.1\r\n\r\n", Ok(AdminCall::Online("a/b".into())))]
#[case::out_of_service("POST /control/out-of-service HTTP/1.1\r\n\r\n", Ok(AdminCall::OutOfService))]
#[case::in_service("POST /control/in-service HTTP/1.1\r\n\r\n", Ok(AdminCall::InService))]
#[case::wrong_method("GET /control/in-service HTTP/1.1\r\n\r\n", Err(405))]
#[case::no_id("POST /control/data-servers//online HTTP/1.1\r\n\r\n", Err(404))]
#[case::unknown("GET / HTTP/1.1\r\n\r\n", Err(404))]
#[case::unsupported_version("GET /control/ready HTTP/2.0\r\n\r\n", Err(505))]
#[case::control_characters("\u{1}\u{2}\r\n\r\n", Err(400))]
#[case::no_version("GET /control/ready\r\n\r\n", Err(400))]
#[case::invalid_header_field("GET /control/ready HTTP/1.1\r\nno field\r\n\r\n", Err(400))]
fn admin_calls_are_parsed_or_rejected_with_a_status(
    #[case] head: &str,
    #[case] expected: Result<AdminCall, u16>,
) {
    assert_eq!(parse_call(head.as_bytes()).map_err(HttpStatus::code), expected);
}

/// Messages are taken off the front of a chain one by one while further bytes are appended. Each byte must come out
/// once and in order, whichever part of the chain is copied, and all buffers must return.
#[test]
fn bytes_taken_off_a_chain_piece_by_piece_keep_their_order() {
    let pool = BufferPool::new(1 << 20);
    let bytes: Vec<u8> = (0..200_000u32).map(|i| (i % 251) as u8).collect();
    for piece_bytes in [1, 100, 5000, BUFFER_BYTES, BUFFER_BYTES + 1, 60_000] {
        let mut chain = pool.chain();
        let mut taken = Vec::new();
        for (number, added) in bytes.chunks(7000).enumerate() {
            chain.extend(added);
            while number % 3 == 2 && chain.len() >= piece_bytes {
                let piece = chain.split_to(piece_bytes);
                assert_eq!(piece.len(), piece_bytes);
                piece.slices(0..piece.len()).for_each(|slice| taken.extend_from_slice(slice));
            }
        }
        assert_eq!(chain.array::<1>(0), bytes.get(taken.len()).map(|byte| [*byte]));
        let rest = chain.split_to(chain.len());
        assert!(chain.is_empty());
        rest.slices(0..rest.len()).for_each(|slice| taken.extend_from_slice(slice));
        assert_eq!(taken, bytes);
        chain.extend(b"more");
        assert_eq!(chain.array::<4>(0), Some(*b"more"));
    }
}
