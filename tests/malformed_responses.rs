//! Responses of data servers that violate the PostgreSQL protocol.

mod support;

use std::io::Read;

use pipittack_testkit::scripted_server::Reply;
use pipittack_testkit::wire::{message, query, row};
use rstest::rstest;
use support::*;

/// Part of the value has already been sent to the client, so the proxy cannot send an error in its place. It
/// closes the connection instead.
#[rstest]
#[case::truncated(vec![7; 100_000])]
#[case::error_before_the_end([vec![7; 200_000], message(b'E', b"C53300\0\0"), message(b'Z', b"I")].concat())]
#[case::garbage_before_the_end([vec![7; 200_000], vec![0x9f; 400]].concat())]
fn a_malformed_large_value_closes_the_client_connection(#[case] rest: Vec<u8>) {
    let complete = row(&vec![7; 200_000]);
    let head = complete[..complete.len() - 200_000 - message(b'C', b"SELECT 1\0").len()].to_vec();
    let server = start_server_with_marked_reply("'malformed'", move || {
        Reply::RawThenClose([&head[..], &rest].concat())
    });
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    client.send(&query(&write_statement(3000).replace("'k'", "'malformed'")));
    let mut received = Vec::new();
    client.stream.read_to_end(&mut received).expect("a close without a reset");
    assert!(received.len() > 60_000 && !received.ends_with(&message(b'Z', b"I")));
    assert_eq!(server.statement_count(), 1, "expected no retry");
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&write_statement(3000))), "TDCZ");
}

/// Returns a result of one row with the byte at one offset replaced.
fn result_with_byte(value: &[u8], offset: usize, byte: u8) -> Vec<u8> {
    let mut bytes = [row(value), message(b'Z', b"I")].concat();
    bytes[offset] = byte;
    bytes
}

/// After a malformed response the write may have been executed. The request fails with an unknown outcome and
/// is not retried. The server is not ejected.
#[rstest]
#[case::garbage(vec![0x9f; 400])]
#[case::unknown_message(result_with_byte(b"v", 0, b'!'))]
#[case::wrong_message_length(result_with_byte(b"v", 4, 200))]
#[case::wrong_column_length(result_with_byte(b"v", row(b"v").len() - 16 - 1 - 1, 9))]
#[case::no_row_description(result_with_byte(b"v", 0, b'N'))]
#[case::two_rows([&row(b"v")[..42], &row(b"v")[30..], &message(b'Z', b"I")].concat())]
#[case::value_length_of_3_gb([&row(b"v")[..30], b"D\xc0\0\0\0\0\x01\xbf\xff\xff\xf6", &[7; 9000]].concat())]
#[case::incomplete(row(b"v")[..35].to_vec())]
#[case::unknown_transaction_status([row(b"v"), message(b'Z', b"?")].concat())]
#[case::ready_without_a_result(message(b'Z', b"I"))]
#[case::error_after_a_row([&row(b"v")[..42], &message(b'E', b"C53300\0\0"), &message(b'Z', b"I")].concat())]
#[case::unknown_role([row(b"v"), message(b'S', b"mode\0read-\0"), message(b'Z', b"I")].concat())]
fn a_malformed_response_fails_with_unknown_outcome(#[case] bytes: Vec<u8>) {
    let server = start_server_with_marked_reply("'malformed'", move || Reply::Raw(bytes.clone()));
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    for _ in 0..4 {
        let count_before = server.statement_count();
        let response = client.request(&write_statement(3000).replace("'k'", "'malformed'"));
        assert_error_response(&response, "EZ", "40003");
        assert_eq!(server.statement_count(), count_before + 1, "expected no retry");
        assert_eq!(
            message_kinds(&client.request(&write_statement(3000))),
            "TDCZ",
            "expected the server not to be ejected"
        );
    }
}

/// Bytes after a complete result must not be taken for the next response.
#[rstest]
#[case::second_result([row(b"old"), message(b'Z', b"I"), row(b"old"), message(b'Z', b"I")].concat())]
#[case::garbage([row(b"old"), message(b'Z', b"I"), vec![0x9f; 20_000]].concat())]
#[case::malformed_load_report([row(b"old"), message(b'S', b"stats\0\xff\0\xfe"), message(b'Z', b"I")].concat())]
fn a_valid_result_is_served_despite_trailing_bytes(#[case] bytes: Vec<u8>) {
    let server = start_server_with_marked_reply("'trailing'", move || Reply::Raw(bytes.clone()));
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    for _ in 0..4 {
        let response = client.request(&write_statement(3000).replace("'k'", "'trailing'"));
        assert_eq!(message_kinds(&response), "TDCZ");
        assert!(response.iter().any(|m| m.0 == b'D' && m.1.ends_with(b"old")));
        let response = client.request(&write_statement(3000));
        assert!(response.iter().any(|m| m.0 == b'D' && m.1 == *b"\0\x01\0\0\0\x01v"), "{response:?}");
    }
}
