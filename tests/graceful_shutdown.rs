//! The end of a process after SIGTERM: the time to exit, and the answers to the requests that it has received.

mod support;

use std::io::Write;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{query, read_message, ready_for_query, row, startup_response};
use rstest::rstest;
use support::*;

/// Upper bound on the time to exit. It is far below the drain deadline, which is 3.6 s with the example
/// configuration.
const MAX_TIME_TO_EXIT: Duration = Duration::from_millis(2500);
/// Time after SIGTERM at which connections are still open.
const BEFORE_DRAINING: Duration = Duration::from_millis(1200);
/// Time that a slow data server takes for a statement.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(90);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits for the process to exit. Returns the time since `signalled_at`.
fn time_to_exit(proxy: &mut Proxy, signalled_at: Instant) -> Duration {
    while proxy.child.try_wait().expect("the proxy is a child process").is_none() {
        assert!(signalled_at.elapsed() < TEST_TIMEOUT, "expected the process to exit");
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
    signalled_at.elapsed()
}

/// Guards against a process that counts a connection accepted during the shutdown twice. Such a process waits
/// for its drain deadline even if the connection has closed.
#[test]
fn a_closed_connection_that_was_accepted_during_the_shutdown_does_not_delay_the_exit() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let mut proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let signalled_at = Instant::now();
    proxy.signal("TERM");
    proxy.wait_for_log("graceful shutdown started");
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    drop(client);
    let time = time_to_exit(&mut proxy, signalled_at);
    assert!(time < MAX_TIME_TO_EXIT, "exit took {time:?}, expected less than {MAX_TIME_TO_EXIT:?}");
}

/// Guards against a process that ends by itself while a data server still sends a long value (trial restart-value of the
/// second review).
#[test]
fn a_long_value_that_outlasts_the_shutdown_is_passed_on_to_its_end() {
    const VALUE_BYTES: usize = 1_000_000;
    const PIECE_BYTES: usize = 10_000;
    // The value takes 5.5 s, and the drain deadline is 3.6 s after the signal.
    const PIECE_INTERVAL: Duration = Duration::from_millis(55);
    let server = DelayedServer::start();
    let mut proxy = start_proxy(&[server.endpoint("a", "read-write")]);
    let sender = thread::spawn(move || {
        let mut stream = server.accept();
        stream.write_all(&startup_response()).expect("the proxy keeps the connection open");
        read_message(&mut stream).expect("the proxy sends a statement");
        let answer = [row(&vec![b'v'; VALUE_BYTES]), ready_for_query()].concat();
        for piece in answer.chunks(PIECE_BYTES) {
            stream.write_all(piece).expect("the proxy reads the whole answer");
            sleep(PIECE_INTERVAL);
        }
    });
    let mut client = Client::connect(&proxy);
    client.send(&query(&read_statement(1500)));
    sleep(PIECE_INTERVAL * 5);
    proxy.signal("TERM");
    let response = client.read_response();
    assert_eq!(message_kinds(&response), "TDCZ");
    assert!(response.iter().any(|message| message.1.len() > VALUE_BYTES), "expected the complete value");
    let answered_at = Instant::now();
    assert!(time_to_exit(&mut proxy, answered_at) < Duration::from_millis(500));
    sender.join().expect("the server has sent its answer");
}

/// Returns a write with an id of its own and a value of this many bytes.
fn numbered_write(number: usize, value_bytes: usize) -> String {
    let value = format!(r"'\x{}'", "00".repeat(value_bytes));
    write_statement_with_id(&format!("n{number}"), 3000).replace(r"'\x00'", &value)
}

fn start_slow_server() -> ScriptedServer {
    ScriptedServer::start(ServerRole::Primary, |_| {
        sleep(SLOW_RESPONSE_TIME);
        Reply::Row(b"v".to_vec())
    })
}

/// Reads the answers to `count` requests in order. Returns how many were served. The others must be rejected, or
/// fail in flight.
fn read_answers(client: &mut Client, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let response = client.read_response();
        match message_kinds(&response).as_str() {
            "TDCZ" => served += 1,
            kinds => {
                assert_eq!(kinds, "EZ", "request {number} of {count} got no answer");
                let code = error_field(&response, b'C').expect("an error has a code");
                assert!(["53300", "57P03", "57P01", "40003"].contains(&code.as_str()), "{code}");
            }
        }
    }
    served
}

fn assert_ends_in_order(client: &mut Client) {
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
}

/// Guards against a shutdown that drops pipelined requests: it served or rejected them one by one, each in a step
/// of the routing engine, until the process ended. Few bytes are read ahead; the others wait in the socket.
#[rstest]
#[case::read_ahead(50, 1)]
#[case::in_the_socket(400, 100)]
fn a_shutdown_answers_all_pipelined_requests_before_the_process_ends(
    #[case] count: usize,
    #[case] value_bytes: usize,
) {
    let server = start_slow_server();
    let mut proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut clients: Vec<_> = (0..4).map(|_| Client::connect(&proxy)).collect();
    for client in &mut clients {
        assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    }
    proxy.signal("TERM");
    proxy.wait_for_log("graceful shutdown started");
    sleep(BEFORE_DRAINING);
    for (index, client) in clients.iter_mut().enumerate() {
        let numbers = index * count..(index + 1) * count;
        let statements: Vec<_> = numbers.map(|number| query(&numbered_write(number, value_bytes))).collect();
        client.send(&statements.concat());
    }
    for client in &mut clients {
        let served = read_answers(client, count);
        assert!((1..count).contains(&served), "{served} of {count} were served");
        assert_ends_in_order(client);
    }
    assert!(proxy.child.wait().expect("the process exits").success());
}

/// Guards against a shutdown that drops what waits behind a request in flight. The deadline of that request is
/// later than the end of the process.
#[test]
fn requests_behind_one_that_outlasts_the_process_are_answered() {
    let server = start_server_with_marked_reply("id=n0,", || Reply::NoResponse);
    let config = EXAMPLE_CONFIG.replace(r#""DeadlineMs": 3000"#, r#""DeadlineMs": 9000"#);
    let mut proxy = start_proxy_with_config(&config, &[server.endpoint("a", "read-write", "Ready")], None);
    let mut client = Client::connect(&proxy);
    let statements = (0..5).map(|number| query(&numbered_write(number, 1).replace("d=3000", "d=9000")));
    client.send(&statements.collect::<Vec<_>>().concat());
    wait_until("the first request is sent to the server", || server.statement_count() == 1);
    proxy.signal("TERM");
    assert_eq!(read_answers(&mut client, 5), 0);
    assert_ends_in_order(&mut client);
    assert!(proxy.child.wait().expect("the process exits").success());
}

/// Guards against a shutdown that drops a statement which waits for buffers: clients that stop in the middle of
/// statements have reserved them.
#[test]
fn a_statement_that_waits_for_buffers_is_answered_before_the_process_ends() {
    const STALLED_CLIENTS: usize = 5;
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let limits = ProcessLimits { memory_mb: 4, sockets: 256 };
    let mut proxy = start_proxy_with_limits(limits, &[server.endpoint("a", "read-write", "Ready")]);
    let mut stalled: Vec<_> = (0..STALLED_CLIENTS).map(|_| Client::connect(&proxy)).collect();
    let mut client = Client::connect(&proxy);
    proxy.signal("TERM");
    proxy.wait_for_log("graceful shutdown started");
    sleep(BEFORE_DRAINING);
    for (number, client) in stalled.iter_mut().enumerate() {
        let statement = query(&numbered_write(number, 55_000));
        client.send(&statement[..20_000]);
    }
    sleep(Duration::from_millis(100));
    client.send(&query(&numbered_write(STALLED_CLIENTS, 10_000)));
    read_answers(&mut client, 1);
    assert_ends_in_order(&mut client);
    assert!(proxy.child.wait().expect("the process exits").success());
}

/// Guards against a predecessor that drops pipelined requests at the end of a hot restart.
#[test]
fn a_predecessor_answers_all_pipelined_requests_before_it_ends() {
    const COUNT: usize = 90;
    let server = start_slow_server();
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let state_dir = create_state_dir("pipelined-predecessor");
    let mut predecessor = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    let mut client = Client::connect(&predecessor);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    let successor = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    wait_until("the successor is ready", || is_ready(&successor));
    let statements: Vec<_> = (0..COUNT).map(|number| query(&numbered_write(number, 1))).collect();
    // The first part keeps the connection with the predecessor; the second still waits when the process ends.
    let (first, second) = statements.split_at(COUNT / 3);
    client.send(&first.concat());
    predecessor.signal("TERM");
    sleep(BEFORE_DRAINING);
    client.send(&second.concat());
    let served = read_answers(&mut client, COUNT);
    assert!((1..COUNT).contains(&served), "{served} of {COUNT} were served");
    assert!(predecessor.child.wait().expect("the process exits").success());
    // The predecessor has closed the connection, or handed it over once no request waited any more.
    let _ = client.stream.write_all(&query(&numbered_write(COUNT, 1)));
    let kinds = message_kinds(&client.read_response());
    assert!(kinds.is_empty() || kinds == "TDCZ", "{kinds}");
    drop(successor);
}

/// Deadline of the only class of writes after the reload, and the longest one then.
const NEW_DEADLINE: Duration = Duration::from_millis(1500);
/// Time from the longest deadline after SIGTERM to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time after SIGTERM at which a request arrives that the process cannot serve until SIGKILL.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(900);

/// Guards against a shutdown that waits for the deadline of a class that a reload has dropped, and is killed with
/// requests in flight (trial dropped-class of the second review).
#[test]
fn a_shutdown_after_a_reload_ends_by_the_deadlines_of_the_new_classes() {
    let server = start_server_with_marked_reply("id=hangs", || Reply::NoResponse);
    let mut proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    let config = std::fs::read_to_string(&proxy.config_path).expect("the configuration can be read");
    let config = config
        .replace("usage-write", "usage-note")
        .replace(r#""DeadlineMs": 3000"#, &format!(r#""DeadlineMs": {}"#, NEW_DEADLINE.as_millis()));
    std::fs::write(&proxy.config_path, config).expect("the configuration can be written");
    proxy.signal("HUP");
    proxy.wait_for_log("configuration reloaded");
    let signalled_at = Instant::now();
    proxy.signal("TERM");
    sleep(LATE_REQUEST_DELAY);
    let timeout_ms = NEW_DEADLINE.as_millis() as u32;
    let statement = write_statement_with_id("hangs", timeout_ms).replace("usage-write", "usage-note");
    let response = client.request(&statement);
    let answered_at = signalled_at.elapsed();
    assert_eq!(message_kinds(&response), "EZ", "after {answered_at:?}");
    let time = time_to_exit(&mut proxy, signalled_at);
    let killed_at = NEW_DEADLINE + KILL_DELAY;
    assert!(
        answered_at < killed_at && time < killed_at,
        "answered after {answered_at:?}, ended after {time:?}"
    );
}
