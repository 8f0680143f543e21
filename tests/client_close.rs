//! A client that closes its connection has gone, whatever it has left unread or unsent: nothing is sent to a server
//! for it more than 0.1 s later.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::query;
use rstest::rstest;
use support::*;

/// Time that the server takes for a statement.
const EXECUTION_TIME: Duration = Duration::from_millis(300);
/// Time after the close of a client within which an attempt for it may still begin.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(100);
/// Time for which the server is watched after the close.
const WATCH_TIME: Duration = Duration::from_millis(1500);
/// Number of bytes that a client has sent ahead at least, which no socket buffer of the proxy holds.
const MIN_BYTES_AHEAD: usize = 1 << 20;

/// How a client ends its connection.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    HalfClose,
    Reset,
}

/// Starts a server that fails the first statement of each request after [`EXECUTION_TIME`], so that the proxy repeats
/// it. Returns the times at which statements arrived.
fn start_failing_server() -> (ScriptedServer, Arc<Mutex<Vec<Instant>>>) {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let server_arrivals = arrivals.clone();
    let server = ScriptedServer::start(ServerRole::Primary, move |_| {
        server_arrivals.lock().expect("no thread panics").push(Instant::now());
        thread::sleep(EXECUTION_TIME);
        Reply::Error("53300")
    });
    (server, arrivals)
}

/// Sends statements until the socket takes no more.
fn send_ahead(client: &mut Client, statement: impl Fn(usize) -> String) -> usize {
    client.stream.set_nonblocking(true).expect("the stream can be made non-blocking");
    let mut sent = 0;
    let mut blocked = 0;
    for number in 0.. {
        let message = query(&statement(number));
        let mut rest = &message[..];
        while !rest.is_empty() {
            match client.stream.write(rest) {
                Ok(count) => {
                    sent += count;
                    rest = &rest[count..];
                }
                Err(_) if blocked < 20 => {
                    blocked += 1;
                    thread::sleep(Duration::from_millis(1));
                }
                Err(_) => return sent,
            }
        }
    }
    sent
}

/// Guards against requests that are sent on for a client that has closed its connection behind more bytes than the
/// socket buffers hold, so that its close cannot be seen.
#[rstest]
#[case::close(End::Close)]
#[case::half_close(End::HalfClose)]
#[case::reset(End::Reset)]
fn nothing_is_sent_for_a_client_that_closes_behind_many_unread_bytes(#[case] end: End) {
    let (server, arrivals) = start_failing_server();
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let key = "k".repeat(1000);
    let statement =
        |number| read_statement_with_id(&format!("ahead-{number}"), 9000).replace("'k'", &format!("'{key}'"));
    let sent = send_ahead(&mut client, statement);
    assert!(sent > MIN_BYTES_AHEAD, "{sent} bytes sent ahead");
    wait_until("the first request is sent to the server", || server.statement_count() >= 1);
    let closed_at = Instant::now();
    match end {
        End::Close => drop(client),
        End::HalfClose => client.stream.shutdown(Shutdown::Write).expect("the connection is open"),
        End::Reset => {
            socket2::SockRef::from(&*client.stream)
                .set_linger(Some(Duration::ZERO))
                .expect("the option can be set");
            drop(client);
        }
    }
    thread::sleep(WATCH_TIME);
    let late: Vec<_> = arrivals
        .lock()
        .expect("no thread panics")
        .iter()
        .map(|at| at.saturating_duration_since(closed_at))
        .filter(|after| *after > MAX_NOTICE_TIME)
        .collect();
    assert!(late.is_empty(), "attempts began after the close: {late:?}");
}

/// Guards against a request that is dropped because its client has sent too much ahead: each gets one answer, in
/// order, and the connection goes on.
#[test]
fn each_request_that_is_sent_far_ahead_is_answered_in_order() {
    const REQUESTS: usize = 8000;
    let server = ScriptedServer::start(ServerRole::Primary, |text| {
        thread::sleep(if text.contains("id=first,") { EXECUTION_TIME } else { Duration::ZERO });
        reply_with_row(text)
    });
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let mut writer = client.stream.try_clone().expect("the stream can be cloned");
    let writing = thread::spawn(move || {
        let mut bytes = query(&read_statement_with_id("first", 1500));
        for number in 0..REQUESTS {
            bytes.extend(query(&read_statement_with_id(&format!("ahead-{number}"), 1500)));
        }
        writer.write_all(&bytes).expect("the proxy reads all");
    });
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    let mut rejected = 0;
    for number in 0..REQUESTS {
        let response = client.read_response();
        match message_kinds(&response).as_str() {
            "TDCZ" => {}
            _ => {
                assert_error_response(&response, "EZ", "53300");
                rejected += 1;
            }
        }
        assert!(!response.is_empty(), "request {number} got no answer");
    }
    writing.join().expect("the writer does not panic");
    assert!(rejected > 0 && rejected < REQUESTS, "{rejected} rejected");
    assert_eq!(message_kinds(&client.request(&read_statement_with_id("last", 1500))), "TDCZ");
}
