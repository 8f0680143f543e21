//! Requests that come again under their id: after their client has left, after their answer, and at the other
//! process of a hot restart. A write that must not be repeated and may have been executed is not sent again.

mod support;

use std::io::Write;
use std::time::Duration;

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{query, read_message, startup_response};
use rstest::rstest;
use support::*;

/// Time that a data server takes to execute a statement.
const EXECUTION_TIME: Duration = Duration::from_millis(300);
const TIMEOUT_MS: u32 = 3000;

/// Starts a primary that takes [`EXECUTION_TIME`] for each statement.
fn start_slow_server() -> ScriptedServer {
    ScriptedServer::start(ServerRole::Primary, |text| {
        std::thread::sleep(EXECUTION_TIME);
        reply_with_row(text)
    })
}

fn endpoints(server: &ScriptedServer) -> [String; 1] {
    [server.endpoint("a", "read-write", "Ready")]
}

/// Returns how often a server has received a statement with this id.
fn executions(server: &ScriptedServer, id: &str) -> usize {
    let field = format!("id={id},");
    server.statements().iter().filter(|statement| statement.contains(&field)).count()
}

/// Sends a statement on a new connection and waits until the server has received it.
fn send_to_server(proxy: &Proxy, server: &ScriptedServer, id: &str, statement: &str) -> Client {
    let mut client = Client::connect(proxy);
    client.send(&query(statement));
    wait_until("the statement is sent to the server", || executions(server, id) == 1);
    client
}

/// When the close of a client is read, relative to the second request with its id.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CloseIsRead {
    Before,
    Together,
    After,
}

/// Guards against a write that runs twice: its client left, and the same id came on a new connection while
/// the first execution was still running.
#[rstest]
#[case(CloseIsRead::Before)]
#[case(CloseIsRead::Together)]
#[case(CloseIsRead::After)]
fn a_write_that_comes_again_after_its_client_has_left_is_not_executed_again(#[case] order: CloseIsRead) {
    let server = start_slow_server();
    let proxy = start_proxy(&endpoints(&server));
    let statement = write_statement_with_id("w", TIMEOUT_MS);
    let first = send_to_server(&proxy, &server, "w", &statement);
    let mut second = Client::connect(&proxy);
    match order {
        CloseIsRead::Before => {
            drop(first);
            server.closed_connections.recv_timeout(TEST_TIMEOUT).expect("the attempt is cancelled");
            second.send(&query(&statement));
        }
        CloseIsRead::Together => {
            proxy.signal("STOP");
            second.send(&query(&statement));
            drop(first);
            proxy.signal("CONT");
        }
        CloseIsRead::After => {
            second.send(&query(&statement));
            assert_error_response(&second.read_response(), "EZ", "08P01");
            drop(first);
            server.closed_connections.recv_timeout(TEST_TIMEOUT).expect("the attempt is cancelled");
            second.send(&query(&statement));
        }
    }
    assert_error_response(&second.read_response(), "EZ", "40003");
    assert_eq!(executions(&server, "w"), 1);
}

/// Guards against an id that is forgotten with its answer, which a client that left may not have read.
#[test]
fn a_write_that_comes_again_after_its_answer_is_not_executed_again() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&endpoints(&server));
    let statement = write_statement_with_id("w", TIMEOUT_MS);
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&statement)), "TDCZ");
    assert_error_response(&Client::connect(&proxy).request(&statement), "EZ", "40003");
    assert_eq!(executions(&server, "w"), 1);
}

/// Guards against a refusal of what is safe: reads may run again.
#[test]
fn a_read_that_comes_again_after_its_client_has_left_is_served() {
    let server = start_slow_server();
    let proxy = start_proxy(&endpoints(&server));
    let statement = read_statement_with_id("r", u64::from(TIMEOUT_MS));
    drop(send_to_server(&proxy, &server, "r", &statement));
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&statement)), "TDCZ");
    assert_eq!(executions(&server, "r"), 2);
}

/// Guards against a refusal of what is safe: a write that no server received, since its connection to the
/// server was not established before its client left.
#[test]
fn a_write_that_was_never_written_to_a_server_is_served_when_it_comes_again() {
    let server = DelayedServer::start();
    let config = config_with_extended_connect_timeout();
    let proxy = start_proxy_with_config(&config, &[server.endpoint("a", "read-write")], None);
    let statement = write_statement_with_id("w", TIMEOUT_MS);
    let mut first = Client::connect(&proxy);
    first.send(&query(&statement));
    let mut unused = server.accept();
    drop(first);
    assert_eq!(read_once(&mut unused, &mut [0]).expect("a close without a reset"), 0);
    let mut second = Client::connect(&proxy);
    second.send(&query(&statement));
    let mut stream = server.accept();
    stream.write_all(&startup_response()).expect("the proxy keeps the connection open");
    assert_eq!(read_message(&mut stream).map(|message| message.0), Some(b'Q'));
}

/// Guards against a refusal of what is safe: a write that the server has rejected without executing it.
#[test]
fn a_write_that_a_server_has_rejected_is_served_when_it_comes_again() {
    let rejects = std::sync::atomic::AtomicBool::new(true);
    let server = ScriptedServer::start(ServerRole::Primary, move |text| {
        match rejects.swap(false, std::sync::atomic::Ordering::Relaxed) {
            true => Reply::Error("53300"),
            false => reply_with_row(text),
        }
    });
    let proxy = start_proxy(&endpoints(&server));
    let statement = write_statement_with_id("w", TIMEOUT_MS);
    let first = message_kinds(&Client::connect(&proxy).request(&statement));
    if first == "EZ" {
        assert_eq!(message_kinds(&Client::connect(&proxy).request(&statement)), "TDCZ");
    }
    assert_eq!(executions(&server, "w"), 2);
}

/// Time for which servers remember an idempotency key, in milliseconds.
const WINDOW_MS: u64 = 1000;

/// Guards against a keyed write that comes again under its id after servers have forgotten its key.
#[test]
fn a_keyed_write_is_executed_again_only_while_servers_remember_its_key() {
    let keyed = format!(r#""Effect": "by_key", "DedupScope": "all", "WindowMs": {WINDOW_MS}"#);
    let config = EXAMPLE_CONFIG.replace(r#""Effect": "once""#, &keyed);
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_config(&config, &endpoints(&server), None);
    let statement = write_statement_with_id("w", TIMEOUT_MS);
    let request = || Client::connect(&proxy).request(&statement);
    assert_eq!((message_kinds(&request()), message_kinds(&request())), ("TDCZ".into(), "TDCZ".into()));
    assert_eq!(executions(&server, "w"), 2);
    std::thread::sleep(Duration::from_millis(WINDOW_MS));
    assert_error_response(&request(), "EZ", "40003");
    assert_eq!(executions(&server, "w"), 2);
}

/// Proxy in a hot restart: both processes serve.
struct HotRestart {
    server: ScriptedServer,
    predecessor: Proxy,
    state_dir: std::path::PathBuf,
}

impl HotRestart {
    fn start(name: &str) -> Self {
        let server = start_slow_server();
        let state_dir = create_state_dir(name);
        let predecessor = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints(&server), Some(&state_dir));
        Self { server, predecessor, state_dir }
    }

    /// Starts a successor beside the running process, and waits until it is ready.
    fn start_successor(&self) -> Proxy {
        let successor =
            start_proxy_with_config(EXAMPLE_CONFIG, &endpoints(&self.server), Some(&self.state_dir));
        wait_until("the successor is ready", || is_ready(&successor));
        successor
    }
}

/// Guards against a write that runs at both processes of an upgrade: it was in flight as the successor
/// started.
#[rstest]
#[case::while_the_predecessor_serves(false)]
#[case::after_the_predecessor_was_killed(true)]
fn a_write_in_flight_before_a_hot_restart_is_not_executed_by_the_successor(#[case] is_killed: bool) {
    let mut restart = HotRestart::start(&format!("ids-before-{is_killed}"));
    let statement = write_statement_with_id("w", TIMEOUT_MS);
    let mut first = send_to_server(&restart.predecessor, &restart.server, "w", &statement);
    let successor = restart.start_successor();
    if is_killed {
        restart.predecessor.child.kill().expect("the predecessor is running");
        restart.predecessor.child.wait().expect("the predecessor ends");
    }
    assert_error_response(&Client::connect(&successor).request(&statement), "EZ", "40003");
    assert_eq!(executions(&restart.server, "w"), 1);
    assert_eq!(message_kinds(&first.read_response()), if is_killed { "" } else { "TDCZ" });
}

/// Guards against a write that runs at both processes of an upgrade: each process learns of what the other
/// has sent since the successor started, in both directions.
#[rstest]
#[case::first_at_the_predecessor(true)]
#[case::first_at_the_successor(false)]
fn a_write_during_a_hot_restart_is_not_executed_by_the_other_process(#[case] predecessor_first: bool) {
    let restart = HotRestart::start(&format!("ids-during-{predecessor_first}"));
    let mut at_predecessor = Client::connect(&restart.predecessor);
    assert_eq!(message_kinds(&at_predecessor.request(&read_statement(u64::from(TIMEOUT_MS)))), "TDCZ");
    let successor = restart.start_successor();
    let mut at_successor = Client::connect(&successor);
    let (first, second) = match predecessor_first {
        true => (&mut at_predecessor, &mut at_successor),
        false => (&mut at_successor, &mut at_predecessor),
    };
    let statement = write_statement_with_id("w", TIMEOUT_MS);
    first.send(&query(&statement));
    wait_until("the write is sent to the server", || executions(&restart.server, "w") == 1);
    assert_error_response(&second.request(&statement), "EZ", "40003");
    assert_eq!(message_kinds(&first.read_response()), "TDCZ");
    assert_eq!(executions(&restart.server, "w"), 1);
}

/// Guards against two processes that both send a write with one id because neither has heard of the other's:
/// both find the write at the same time.
#[test]
fn a_write_that_arrives_at_both_processes_at_once_is_executed_at_most_once() {
    let restart = HotRestart::start("ids-at-once");
    let mut at_predecessor = Client::connect(&restart.predecessor);
    assert_eq!(message_kinds(&at_predecessor.request(&read_statement(u64::from(TIMEOUT_MS)))), "TDCZ");
    let successor = restart.start_successor();
    let mut at_successor = Client::connect(&successor);
    for round in 0..10 {
        let id = format!("w{round}");
        let statement = query(&write_statement_with_id(&id, TIMEOUT_MS));
        at_predecessor.send(&statement);
        at_successor.send(&statement);
        let kinds =
            [&mut at_predecessor, &mut at_successor].map(|client| message_kinds(&client.read_response()));
        assert!(kinds.iter().all(|kinds| ["TDCZ", "EZ"].contains(&kinds.as_str())), "{kinds:?}");
        assert!(executions(&restart.server, &id) <= 1, "round {round}");
    }
}
