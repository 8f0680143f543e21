//! Time that a process takes to exit after SIGTERM.

mod support;

use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use support::*;

/// Upper bound on the time to exit. It is far below the drain deadline, which is 3.6 s with the example
/// configuration.
const MAX_TIME_TO_EXIT: Duration = Duration::from_millis(2500);
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
