//! Race conditions that the tests force: a close, a signal or a response arrives between two steps of the
//! proxy. Several tests stop the process with SIGSTOP, so that it finds all of these events at once.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{message, query, startup_response};
use support::*;

/// A client's write that waits for a connection to the data server. The data server has not answered the
/// startup packet of this connection.
struct PendingConnect {
    proxy: Proxy,
    client: Client,
    server_stream: TcpStream,
    _server: DelayedServer,
}

impl PendingConnect {
    fn start() -> Self {
        let server = DelayedServer::start();
        let endpoints = [server.endpoint("a", "read-write")];
        let proxy = start_proxy_with_config(&config_with_extended_connect_timeout(), &endpoints, None);
        let mut client = Client::connect(&proxy);
        client.send(&query(&write_statement(3000)));
        let server_stream = server.accept();
        Self { proxy, client, server_stream, _server: server }
    }
}

/// A pipelined request waits for the requests before it on its connection. This time counts against its own
/// timeout.
#[test]
fn the_deadline_of_a_pipelined_request_counts_from_its_arrival() {
    let server = start_server_with_marked_reply("id=a,", || Reply::NoResponse);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    client.send(
        &[
            query(&read_statement_with_id("a", 800)),
            query(&read_statement_with_id("b", 300)),
            query(&read_statement_with_id("c", 9000)),
        ]
        .concat(),
    );
    assert_eq!(message_kinds(&client.read_response()), "EZ", "expected the first request to time out");
    let second = client.read_response();
    assert_error_response(&second, "EZ", "53300");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    let statements = server.statements();
    assert!(statements.iter().all(|text| !text.contains("id=b,")), "expected request b not to be forwarded");
    let time_left =
        statements.iter().find_map(|text| text.split_once("id=c,c=own-changes,d=")?.1.split(',').next());
    let time_left_ms: u64 = time_left.and_then(|ms| ms.parse().ok()).expect("request c was forwarded");
    assert!(time_left_ms <= 1500 - 600, "expected at most 1500 ms minus the wait, got {time_left_ms} ms");
}

/// Pipelined bytes are still in the socket's receive buffer when the client closes the connection.
#[test]
fn a_disconnect_after_pipelined_bytes_is_noticed() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::NoResponse);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    client.send(&query(&write_statement(3000)));
    wait_until("the request is sent to the server", || server.statement_count() == 1);
    let pipelined: Vec<u8> =
        (0..200).flat_map(|i| query(&read_statement_with_id(&format!("f{i}"), 3000))).collect();
    assert!(pipelined.len() > 16 * 1024);
    client.send(&pipelined);
    let closed_at = Instant::now();
    drop(client);
    server.closed_connections.recv_timeout(TEST_TIMEOUT).expect("the proxy closes the attempt's connection");
    assert!(
        closed_at.elapsed() < Duration::from_secs(2),
        "expected the close long before the request's deadline"
    );
    assert_eq!(server.statement_count(), 1, "expected no pipelined request to be forwarded");
}

/// The connection to the data server becomes ready at the moment at which the client disconnects.
#[test]
fn no_query_is_sent_for_a_disconnected_client() {
    let PendingConnect { proxy, client, mut server_stream, _server } = PendingConnect::start();
    proxy.signal("STOP");
    drop(client);
    server_stream.write_all(&startup_response()).expect("the proxy keeps the connection open");
    proxy.signal("CONT");
    // If the proxy uses the connection, its first query must be the request of this second client.
    let mut second = Client::connect(&proxy);
    second.send(&query(&write_statement_with_id("e2", 3000)));
    let mut header = [0; 5];
    let has_request = read_once(&mut server_stream, &mut header).is_ok_and(|n| n > 0);
    let mut body = vec![0; 2000];
    let length = if has_request { read_once(&mut server_stream, &mut body).expect("a body") } else { 0 };
    let text = String::from_utf8_lossy(&body[..length]);
    assert!(!has_request || text.contains("id=e2,"), "expected only the second client's request: {text}");
}

/// While the proxy is stopped, a retry of a read with the same id arrives on a second connection and then the
/// first connection is closed. `tests/repeated_ids.rs` has the same for writes, which must not run twice.
#[test]
fn a_retry_of_a_read_after_a_disconnect_may_use_the_same_id() {
    let server = start_server_with_marked_reply("'pending'", || Reply::NoResponse);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut first = Client::connect(&proxy);
    let mut second = Client::connect(&proxy);
    let statement = read_statement_with_id("retried", 1500);
    first.send(&query(&statement.replace("'k'", "'pending'")));
    wait_until("the request is sent to the server", || server.statement_count() == 1);
    proxy.signal("STOP");
    second.send(&query(&statement));
    drop(first);
    proxy.signal("CONT");
    assert_eq!(message_kinds(&second.read_response()), "TDCZ");
}

/// The proxy closes a connection whose client still sends. The client must read the end of the stream without
/// a reset, and requests after the close must not be served.
#[test]
fn a_connection_closes_cleanly_while_its_client_sends() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    assert_eq!(admin_post(&proxy, "out-of-service"), Some(200));
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    client.send(&query(&write_statement(3000)));
    client.stream.shutdown(Shutdown::Write).expect("the client can close its side");
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    assert_eq!(server.statement_count(), 1, "expected no request after the close to be forwarded");
}

/// A Terminate message and many bytes after it follow a request that is still in flight.
#[test]
fn a_response_arrives_despite_bytes_after_a_terminate_message() {
    let (server, gate) = start_gated_server("");
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let trailing = query(&read_statement_with_id("j", 1000)).repeat(400);
    client.send(&[query(&write_statement(3000)), message(b'X', b""), trailing].concat());
    wait_until("the request is sent to the server", || server.statement_count() == 1);
    gate.send(()).expect("the server waits for the message");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    assert_eq!(server.statement_count(), 1);
}

/// An operator takes the data server offline while the proxy connects to it.
#[test]
fn no_query_is_sent_to_a_server_taken_offline_during_the_connect() {
    let PendingConnect { proxy, mut client, mut server_stream, _server } = PendingConnect::start();
    assert_eq!(admin_post(&proxy, "data-servers/a/offline"), Some(200));
    server_stream.write_all(&startup_response()).expect("the proxy keeps the connection open");
    assert_eq!(message_kinds(&client.read_response()), "EZ");
    drop(proxy);
    let mut received = Vec::new();
    let _ = server_stream.read_to_end(&mut received);
    assert!(received.is_empty(), "expected no bytes: {}", String::from_utf8_lossy(&received));
}
