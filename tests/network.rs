//! Requests through the proxy on real sockets: forwarding, retries, rejections and the client protocol.

mod support;

use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{parameter_status, query, ready_for_query, row, startup};
use rstest::rstest;
use support::*;

#[test]
fn values_are_unchanged_and_only_the_timeout_of_a_statement_is_rewritten() {
    let value: Vec<u8> = (0..65_536u32).map(|i| (i % 251) as u8).collect();
    let stored = value.clone();
    let server = ScriptedServer::start(ServerRole::Primary, move |_| Reply::Row(stored.clone()));
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let large = read_statement(1000).replace("'k'", &format!("'{}'", "k".repeat(100_000)));
    for text in [read_statement(1000), large] {
        let response = Client::connect(&proxy).request(&text);
        assert_eq!(message_kinds(&response), "TDCZ");
        assert!(response.iter().any(|m| m.0 == b'D' && m.1.ends_with(&value)), "expected the complete value");
        let statement = server.statements().pop().expect("the statement was forwarded");
        let (head, tail) = text.split_once("d=1000").expect("the statement has a timeout");
        let timeout =
            statement.strip_prefix(head).and_then(|t| t.strip_suffix(tail)).expect("the rest is unchanged");
        let timeout_ms: u32 =
            timeout.strip_prefix("d=").and_then(|n| n.parse().ok()).expect("the timeout is a number");
        assert!(
            (1..=1000).contains(&timeout_ms),
            "forwarded timeout is {timeout_ms} ms, expected 1 to 1000 ms"
        );
    }
}

/// Guards against messages behind a row that do not fit into the buffer in which they arrive.
#[test]
fn long_messages_behind_a_long_row_are_received() {
    const COMMAND_COMPLETE_BYTES: usize = 14;
    let value = vec![b'v'; 200_000];
    let mut before = row(&value);
    let command_complete = before.split_off(before.len() - COMMAND_COMPLETE_BYTES);
    let status = parameter_status("stats", &"x=1,".repeat(3000));
    let answer = [before, status.clone(), command_complete, status, ready_for_query()].concat();
    let server = ScriptedServer::start(ServerRole::Primary, move |_| Reply::Raw(answer.clone()));
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    for _ in 0..3 {
        let response = client.request(&read_statement(1000));
        assert_eq!(message_kinds(&response), "TDCZ");
        assert!(response.iter().any(|m| m.0 == b'D' && m.1.ends_with(&value)), "expected the complete value");
    }
}

/// Guards against a connection that is given up behind each long row, with the status of its server: what followed the
/// row had arrived with it, and the proxy waited for more (review case 6).
#[test]
fn the_connection_to_a_data_server_is_used_again_after_a_long_row() {
    let value = vec![b'v'; 200_000];
    let server = ScriptedServer::start(ServerRole::Primary, move |_| Reply::Row(value.clone()));
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    for _ in 0..6 {
        assert_eq!(message_kinds(&client.request(&read_statement(1000))), "TDCZ");
        // The proxy may receive ReadyForQuery after the client has its answer.
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(server.accepted_count(), 1);
}

#[test]
fn queries_pipelined_after_the_startup_packet_are_answered_in_order() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::open(&proxy);
    client.send(&[startup(), query(""), query(&read_statement(1000))].concat());
    assert_eq!(message_kinds(&client.read_response()), "RZ");
    assert_eq!(message_kinds(&client.read_response()), "IZ");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
}

/// A result is complete if the connection closes after CommandComplete, and incomplete if the connection
/// closes earlier.
#[test]
fn a_result_is_complete_when_its_server_closes_without_ready_for_query() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::RowThenClose(b"v".to_vec()));
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    for _ in 0..2 {
        assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    }
}

#[test]
fn the_largest_timeout_does_not_overflow() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&read_statement(u64::MAX))), "TDCZ");
}

#[test]
fn a_write_that_may_have_run_fails_and_is_not_retried() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Close);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let response = Client::connect(&proxy).request(&write_statement(3000));
    assert_error_response(&response, "EZ", "40003");
    assert_eq!(server.statement_count(), 1);
}

#[test]
fn a_write_that_never_ran_is_retried_on_another_server() {
    let replica = ScriptedServer::start(ServerRole::Replica, |_| Reply::Error("25006"));
    let primary = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[
        replica.endpoint("a", "read-write", "Ready"), // outdated: the server is a replica
        primary.endpoint("b", "read-only", "Ready"),
    ]);
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&write_statement(3000))), "TDCZ");
    assert!(replica.statement_count() > 0);
    assert_eq!(primary.statement_count(), 1);
}

/// The replica reports a replication position: a recent one, an old one, or one in the future.
#[rstest]
#[case::current(0, true)]
#[case::behind(600, false)]
#[case::in_the_future(-600, false)]
fn session_reads_go_only_to_replicas_with_a_recent_position(
    #[case] lag_secs: i64,
    #[case] reads_from_replica: bool,
) {
    let replica_script =
        |text: &str| if text.starts_with("INSERT") { Reply::Error("25006") } else { reply_with_row(text) };
    let replica = ScriptedServer::start_with_lag(lag_secs, ServerRole::Replica, replica_script);
    let primary = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    // The endpoint list is outdated and names the replica as the primary. The replica rejects the write and
    // reports its position.
    let proxy = start_proxy(&[
        replica.endpoint("a", "read-write", "Ready"),
        primary.endpoint("b", "read-only", "Ready"),
    ]);
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the system clock is past 1970");
    let session_token = format!(",after={} */", now.as_millis() - 60_000);
    for _ in 0..20 {
        assert_eq!(
            message_kinds(&client.request(&read_statement(1000).replace(" */", &session_token))),
            "TDCZ"
        );
    }
    let statements = replica.statements();
    assert_eq!(statements.iter().any(|text| text.starts_with("SELECT")), reads_from_replica);
}

#[test]
fn a_rejection_carries_a_retry_after_time() {
    let proxy = start_proxy(&[]);
    let sent_at = Instant::now();
    // The routing engine rejects a request with a timeout of 1 ms on arrival, because too little time is
    // left.
    let response = Client::connect(&proxy).request(&read_statement(1));
    assert_error_response(&response, "EZ", "53300");
    let retry_after: u32 = error_field(&response, b'D')
        .and_then(|d| d.parse().ok())
        .expect("the DETAIL field has a number of milliseconds");
    assert!((1..=1000).contains(&retry_after) && sent_at.elapsed() < TEST_TIMEOUT);
}

#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::NoResponse);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    client.send(&query(&write_statement(3000)));
    while server.statement_count() == 0 {
        std::thread::yield_now();
    }
    drop(client);
    server.closed_connections.recv_timeout(TEST_TIMEOUT).expect("the proxy closes the attempt's connection");
}

#[test]
fn a_connection_closed_by_the_server_is_not_reused() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    client.request(&write_statement(3000));
    server.close_all();
    server.closed_connections.recv_timeout(TEST_TIMEOUT).expect("the connection is closed");
    assert_eq!(
        (message_kinds(&client.request(&write_statement(3000))), server.statement_count()),
        ("TDCZ".into(), 2)
    );
}

#[rstest]
#[case::unsupported_statement(query("SELECT 1"), "EZ", "42601")]
#[case::unknown_class(query(&read_statement(9).replace("own-changes", "none")), "EZ", "42601")]
#[case::unknown_cluster(query(&read_statement(9).replace("cluster=1", "cluster=7")), "EZ", "42601")]
#[case::read_in_a_write_class(query(&read_statement(9).replace("own-changes", "usage-write")), "EZ", "42601")]
#[case::write_in_a_read_class(query(&write_statement(9).replace("usage-write", "own-changes")), "EZ", "42601")]
#[case::extended_protocol(b"P\0\0\0\x08\0\0\0\0S\0\0\0\x04".to_vec(), "EZ", "0A000")]
#[case::function_call(b"F\0\0\0\x04".to_vec(), "EZ", "0A000")]
#[case::unknown_message(b"!\0\0\0\x04".to_vec(), "E", "08P01")]
#[case::length_below_the_minimum(b"Q\0\0\0\x01".to_vec(), "E", "08P01")]
#[case::length_above_the_maximum(b"Q\x7f\xff\xff\xff".to_vec(), "E", "08P01")]
#[case::unterminated_text(b"Q\0\0\0\x05x".to_vec(), "E", "08P01")]
fn invalid_input_gets_an_error_and_is_not_forwarded(
    #[case] bytes: Vec<u8>,
    #[case] expected_kinds: &str,
    #[case] expected_code: &str,
) {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    client.send(&bytes);
    let response = client.read_response();
    assert_error_response(&response, expected_kinds, expected_code);
    assert_eq!(server.statement_count(), 0);
    assert_eq!(
        message_kinds(&Client::connect(&proxy).request(&read_statement(1000))),
        "TDCZ",
        "expected other clients to be served"
    );
}

/// Data servers identify requests by id, so two requests in flight must not have the same one.
#[test]
fn a_request_with_the_id_of_a_request_in_flight_is_rejected() {
    let server = start_server_with_marked_reply("id=9", || Reply::NoResponse);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut first = Client::connect(&proxy);
    let mut second = Client::connect(&proxy);
    let duplicate = write_statement_with_id("9", 3000);
    first.send(&query(&duplicate));
    while server.statement_count() == 0 {
        std::thread::yield_now();
    }
    let response = second.request(&duplicate);
    assert_error_response(&response, "EZ", "08P01");
    assert_eq!(
        (message_kinds(&second.request(&write_statement(3000))), server.statement_count()),
        ("TDCZ".into(), 2)
    );
}

#[test]
fn an_encryption_request_is_declined_and_a_cancel_request_is_closed() {
    let proxy = start_proxy(&[]);
    let mut client = Client::open(&proxy);
    client.send(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut response = [0];
    client.stream.read_exact(&mut response).expect("the proxy answers");
    assert_eq!(&response, b"N");
    client.send(&startup());
    assert_eq!(message_kinds(&client.read_response()), "RZ");
    let mut client = Client::open(&proxy);
    client.send(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2]);
    assert_eq!(read_once(&mut client.stream, &mut response).expect("a close without a reset"), 0);
}
