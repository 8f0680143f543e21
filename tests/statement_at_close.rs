//! Statements that arrive just as a process would close or hand over their connection: in a graceful shutdown,
//! and in both processes of a hot restart. A process is stopped by a signal, so that the statement arrives
//! between its last poll and its decision.

mod support;

use std::io;
use std::time::Duration;

use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use pipittack_testkit::wire::query;
use support::*;

/// Time after SIGTERM at which connections are still open. Idle ones are closed 1.8 s after it with the
/// deadlines of the example configuration.
const BEFORE_DRAINING: Duration = Duration::from_millis(1500);
/// Time for which the process is stopped: past the time at which idle connections are closed.
const STOPPED_TIME: Duration = Duration::from_millis(500);

/// Proxy with one data server and a client that has sent one request.
struct Fixture {
    server: ScriptedServer,
    proxy: Proxy,
    client: Client,
    state_dir: std::path::PathBuf,
}

impl Fixture {
    fn start(name: &str) -> Self {
        let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
        let state_dir = create_state_dir(name);
        let endpoints = [server.endpoint("a", "read-write", "Ready")];
        let proxy = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
        let mut client = Client::connect(&proxy);
        assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
        Self { server, proxy, client, state_dir }
    }

    /// Starts a successor beside the proxy, and waits until it is ready.
    fn start_successor(&self) -> Proxy {
        let endpoints = [self.server.endpoint("a", "read-write", "Ready")];
        let successor = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&self.state_dir));
        wait_until("the successor is ready", || is_ready(&successor));
        successor
    }
}

/// The time at which idle connections are closed passes while the process is stopped.
#[test]
fn a_statement_that_arrives_before_a_draining_process_closes_its_connection_is_answered() {
    let Fixture { server, mut proxy, mut client, .. } = Fixture::start("close-drain");
    proxy.signal("TERM");
    proxy.wait_for_log("graceful shutdown started");
    std::thread::sleep(BEFORE_DRAINING);
    proxy.signal("STOP");
    std::thread::sleep(STOPPED_TIME);
    client.send(&query(&write_statement(3000)));
    proxy.signal("CONT");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    assert_eq!(server.statement_count(), 2);
    assert!(proxy.child.wait().expect("the process exits").success());
}

/// The predecessor is stopped when it is terminated, and resumes with the statement in its socket.
#[test]
fn a_statement_that_arrives_before_its_connection_is_handed_over_is_answered_once() {
    let fixture = Fixture::start("close-predecessor");
    let successor = fixture.start_successor();
    let Fixture { server, mut proxy, mut client, .. } = fixture;
    proxy.signal("STOP");
    proxy.signal("TERM");
    client.send(&query(&write_statement(3000)));
    proxy.signal("CONT");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    assert!(proxy.child.wait().expect("the process exits").success());
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    assert_eq!(server.statement_count(), 3);
    drop(successor);
}

/// The successor is stopped while the predecessor hands over the connection and exits.
#[test]
fn a_statement_that_arrives_while_a_stopped_successor_has_its_connection_is_answered_once() {
    let fixture = Fixture::start("close-successor");
    let successor = fixture.start_successor();
    let Fixture { server, mut proxy, mut client, .. } = fixture;
    successor.signal("STOP");
    proxy.signal("TERM");
    assert!(proxy.child.wait().expect("the process exits").success());
    client.send(&query(&write_statement(3000)));
    assert_eq!(server.statement_count(), 1, "expected no process to read the statement");
    successor.signal("CONT");
    assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    assert_eq!(server.statement_count(), 2);
}

/// The successor dies with the connection in its socket, before it has read the connection. The client must
/// see the end at once, and nothing may be forwarded.
#[test]
fn a_connection_handed_over_to_a_successor_that_dies_ends_at_once() {
    let fixture = Fixture::start("close-dead-successor");
    let mut successor = fixture.start_successor();
    let Fixture { server, mut proxy, mut client, .. } = fixture;
    successor.signal("STOP");
    proxy.signal("TERM");
    assert!(proxy.child.wait().expect("the process exits").success());
    client.send(&query(&write_statement(3000)));
    successor.child.kill().expect("the successor is running");
    let end = read_once(&mut client.stream, &mut [0]);
    let is_reset = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionReset;
    assert!(matches!(&end, Ok(0)) || end.as_ref().is_err_and(is_reset), "expected the end, got {end:?}");
    assert_eq!(server.statement_count(), 1);
}

/// A client ends its connection with a Terminate message while the successor, which has the listener, is
/// stopped. The predecessor's close must not wait for the successor.
#[test]
fn a_close_by_the_predecessor_is_not_held_up_by_a_stopped_successor() {
    let fixture = Fixture::start("close-terminate");
    let successor = fixture.start_successor();
    let Fixture { mut client, proxy, .. } = fixture;
    successor.signal("STOP");
    client.send(&pipittack_testkit::wire::message(b'X', b""));
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    successor.signal("CONT");
    drop((proxy, successor));
}
