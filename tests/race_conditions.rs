//! Race conditions, each forced: a close, a signal or a response that comes between two steps of the program.
//! A process that is stopped meanwhile finds all of them at once.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{message, query, startup_response};
use support::*;

/// A client's write that waits for a connection to the data server, which has not answered the startup
/// packet.
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

/// The time that a request waits behind another one of its connection counts against its own wait.
#[test]
fn the_deadline_of_a_pipelined_request_counts_from_its_arrival() {
    let server = start_server_with_marked_reply("id=a,", || Reply::Nothing);
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
    assert_eq!(message_kinds(&client.read_response()), "EZ", "its wait ends first");
    let second = client.read_response();
    assert_error_response(&second, "EZ", "53300");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    let statements = server.statements();
    assert!(statements.iter().all(|text| !text.contains("id=b,")), "it was not forwarded");
    let left =
        statements.iter().find_map(|text| text.split_once("id=c,c=own-changes,d=")?.1.split(',').next());
    let left: u64 = left.and_then(|left| left.parse().ok()).expect("it was forwarded");
    assert!(left <= 1500 - 600, "{left} ms are left, of 1500 less what it has waited");
}

/// The bytes are still buffered by the kernel when the client closes.
#[test]
fn a_disconnect_behind_pipelined_bytes_is_noticed() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Nothing);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    client.send(&query(&write_statement(3000)));
    wait_until("the request is sent", || server.statement_count() == 1);
    let pipelined: Vec<u8> =
        (0..200).flat_map(|i| query(&read_statement_with_id(&format!("f{i}"), 3000))).collect();
    assert!(pipelined.len() > 16 * 1024);
    client.send(&pipelined);
    let closed_at = Instant::now();
    drop(client);
    server.closed_connections.recv_timeout(TEST_TIMEOUT).expect("the proxy closes the attempt's connection");
    assert!(closed_at.elapsed() < Duration::from_secs(2), "long before the request's deadline");
    assert_eq!(server.statement_count(), 1, "none of the pipelined requests is forwarded");
}

/// The connection to the server comes up at the moment in which the client disconnects.
#[test]
fn nothing_is_written_for_a_client_that_has_gone() {
    let PendingConnect { proxy, client, mut server_stream, _server } = PendingConnect::start();
    proxy.signal("STOP");
    drop(client);
    server_stream.write_all(&startup_response()).expect("it reads");
    proxy.signal("CONT");
    // A request of a second client shows that the first one's was handled.
    let mut next = Client::connect(&proxy);
    next.send(&query(&write_statement(3000).replace("id=2,", "id=e2,")));
    let mut first = [0; 5];
    let has_request = read_once(&mut server_stream, &mut first).is_ok_and(|n| n > 0);
    let mut rest = vec![0; 2000];
    let length = if has_request { read_once(&mut server_stream, &mut rest).expect("its rest") } else { 0 };
    let text = String::from_utf8_lossy(&rest[..length]);
    assert!(!has_request || text.contains("id=e2,"), "{text}");
}

/// The retry with the same id arrives before the end of the first connection was read. Both wait for the
/// process.
#[test]
fn a_client_that_comes_again_under_its_id_is_served() {
    let server = start_server_with_marked_reply("'pending'", || Reply::Nothing);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut first = Client::connect(&proxy);
    let mut second = Client::connect(&proxy);
    first.send(&query(&write_statement(3000).replace("'k'", "'pending'")));
    wait_until("the request is sent", || server.statement_count() == 1);
    proxy.signal("STOP");
    second.send(&query(&write_statement(3000)));
    drop(first);
    proxy.signal("CONT");
    assert_eq!(message_kinds(&second.read_response()), "TDCZ");
}

/// The client reads a clean end whatever it sends meanwhile, and none of that is served.
#[test]
fn a_connection_closes_cleanly_while_its_client_sends() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    assert_eq!(admin_post(&proxy, "out-of-service"), Some(200));
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a clean end"), 0);
    client.send(&query(&write_statement(3000)));
    client.stream.shutdown(Shutdown::Write).expect("a socket");
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("no reset"), 0);
    assert_eq!(server.statement_count(), 1, "a request after the close is not forwarded");
}

/// A Terminate message with many bytes behind it follows a request whose response is still outstanding.
#[test]
fn a_response_arrives_despite_bytes_behind_a_terminate_message() {
    let (server, gate) = start_gated_server("");
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let trailing = query(&read_statement_with_id("j", 1000)).repeat(400);
    client.send(&[query(&write_statement(3000)), message(b'X', b""), trailing].concat());
    wait_until("the request is sent", || server.statement_count() == 1);
    gate.send(()).expect("the server waits");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a clean end"), 0);
    assert_eq!(server.statement_count(), 1);
}

/// The operator takes the server offline while a connection to it comes up.
#[test]
fn nothing_is_written_to_a_server_taken_offline_during_the_connect() {
    let PendingConnect { proxy, mut client, mut server_stream, _server } = PendingConnect::start();
    assert_eq!(admin_post(&proxy, "data-servers/a/offline"), Some(200));
    server_stream.write_all(&startup_response()).expect("it reads");
    assert_eq!(message_kinds(&client.read_response()), "EZ");
    drop(proxy);
    let mut received = Vec::new();
    let _ = server_stream.read_to_end(&mut received);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}
