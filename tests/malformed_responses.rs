//! Responses of data servers that violate the protocol.

mod support;

use std::io::Read;

use pipittack_testkit::scripted_server::Reply;
use pipittack_testkit::wire::{message, query, row};
use rstest::rstest;
use support::*;

/// A part of the value has gone to the client already, so that no error can replace it. The connection ends
/// instead.
#[rstest]
#[case::cut_off(vec![7; 100_000])]
#[case::error_in_place_of_the_end([vec![7; 200_000], message(b'E', b"C53300\0\0"), message(b'Z', b"I")].concat())]
#[case::noise_in_place_of_the_end([vec![7; 200_000], vec![0x9f; 400]].concat())]
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
    client.stream.read_to_end(&mut received).expect("an end");
    assert!(received.len() > 60_000 && !received.ends_with(&message(b'Z', b"I")));
    assert_eq!(server.statement_count(), 1, "it is not retried");
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&write_statement(3000))), "TDCZ");
}

/// A result with one byte changed.
fn with_byte(value: &[u8], at: usize, byte: u8) -> Vec<u8> {
    let mut bytes = [row(value), message(b'Z', b"I")].concat();
    bytes[at] = byte;
    bytes
}

/// The write may have run. Its server is not ejected.
#[rstest]
#[case::noise(vec![0x9f; 400])]
#[case::unknown_message(with_byte(b"v", 0, b'!'))]
#[case::length_that_does_not_fit(with_byte(b"v", 4, 200))]
#[case::column_that_does_not_fit(with_byte(b"v", row(b"v").len() - 16 - 1 - 1, 9))]
#[case::no_description(with_byte(b"v", 0, b'N'))]
#[case::two_rows([&row(b"v")[..42], &row(b"v")[30..], &message(b'Z', b"I")].concat())]
#[case::value_that_claims_3_gb([&row(b"v")[..30], b"D\xc0\0\0\0\0\x01\xbf\xff\xff\xf6", &[7; 9000]].concat())]
#[case::incomplete(row(b"v")[..35].to_vec())]
#[case::unknown_transaction_status([row(b"v"), message(b'Z', b"?")].concat())]
#[case::ready_without_a_result(message(b'Z', b"I"))]
#[case::error_behind_a_row([&row(b"v")[..42], &message(b'E', b"C53300\0\0"), &message(b'Z', b"I")].concat())]
#[case::unknown_role([row(b"v"), message(b'S', b"mode\0read-\0"), message(b'Z', b"I")].concat())]
fn a_malformed_response_fails_with_unknown_outcome(#[case] bytes: Vec<u8>) {
    let server = start_server_with_marked_reply("'malformed'", move || Reply::Raw(bytes.clone()));
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    for _ in 0..4 {
        let count_before = server.statement_count();
        let response = client.request(&write_statement(3000).replace("'k'", "'malformed'"));
        assert_error_response(&response, "EZ", "40003");
        assert_eq!(server.statement_count(), count_before + 1, "it is not retried");
        assert_eq!(
            message_kinds(&client.request(&write_statement(3000))),
            "TDCZ",
            "its server is not ejected"
        );
    }
}

/// The bytes behind the result are not taken for the next response either.
#[rstest]
#[case::second_result([row(b"old"), message(b'Z', b"I"), row(b"old"), message(b'Z', b"I")].concat())]
#[case::noise([row(b"old"), message(b'Z', b"I"), vec![0x9f; 20_000]].concat())]
#[case::unreadable_report([row(b"old"), message(b'S', b"stats\0\xff\0\xfe"), message(b'Z', b"I")].concat())]
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
