//! How long a process takes to end after SIGTERM.

mod support;

use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use support::*;

/// Far below the drain deadline, which is 3.6 s in the example configuration.
const MAX_TIME_TO_EXIT: Duration = Duration::from_millis(2500);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits for the process to end; gives the time from `since`.
fn time_to_exit(proxy: &mut Proxy, since: Instant) -> Duration {
    while proxy.child.try_wait().expect("it is a child").is_none() {
        assert!(since.elapsed() < TEST_TIMEOUT, "the process does not end");
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
    since.elapsed()
}

/// Guards against a process that waits for its drain deadline because it counts a late connection twice.
#[test]
fn a_connection_accepted_during_the_shutdown_does_not_delay_the_exit_after_it_has_closed() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let mut proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let started = Instant::now();
    proxy.signal("TERM");
    proxy.wait_for_log("graceful shutdown started");
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    drop(client);
    let time = time_to_exit(&mut proxy, started);
    assert!(time < MAX_TIME_TO_EXIT, "{time:?}");
}
