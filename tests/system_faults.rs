//! System calls that fail as Linux documents: every request keeps its answer, and service goes on once they
//! succeed again.

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use pipittack_testkit::wire::query;
use rstest::rstest;
use support::*;

const EINTR: i64 = 4;
const EIO: i64 = 5;
const ENOMEM: i64 = 12;
const ENFILE: i64 = 23;
const EMFILE: i64 = 24;
const ENOSPC: i64 = 28;
const EADDRNOTAVAIL: i64 = 99;
const ENETUNREACH: i64 = 101;
const ECONNABORTED: i64 = 103;
const ENOBUFS: i64 = 105;
const ETIMEDOUT: i64 = 110;
const EHOSTUNREACH: i64 = 113;
/// Stands for a transfer of a single byte.
const SHORT: i64 = 0;

const TIMEOUT_MS: u64 = 1000;
/// A response up to half a second after its time is late; a later one is lost.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(TIMEOUT_MS + 500);
/// Time after SIGTERM at which a proxy without clients has closed its listener.
const UNTIL_LISTENER_CLOSES: Duration = Duration::from_millis(900);
/// Time for which a call fails.
const FAULT_PERIOD: Duration = Duration::from_millis(400);
/// Time within which requests are served again once the calls succeed.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Largest processor time, in clock ticks of 10 ms, that a proxy uses while a call fails.
const MAX_TICKS: u64 = 25;

/// Returns the number of open descriptors of a process.
fn open_descriptors(proxy: &Proxy) -> usize {
    fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("the process runs").count()
}

/// Returns the processor time that a process has used, in clock ticks.
fn processor_ticks(proxy: &Proxy) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", proxy.child.id())).expect("the process runs");
    let (_, fields) = stat.rsplit_once(") ").expect("the name is in parentheses");
    let fields: Vec<_> = fields.split(' ').collect();
    [11, 12].iter().map(|field: &usize| fields[*field].parse::<u64>().expect("a number")).sum()
}

/// Sends a read on an open connection and asserts that it is answered in time. Returns whether it was served.
#[track_caller]
fn assert_answered(client: &mut Client, id: &str) -> bool {
    let sent_at = Instant::now();
    let kinds = message_kinds(&client.request(&read_statement_with_id(id, TIMEOUT_MS)));
    let time = sent_at.elapsed();
    assert!(["TDCZ", "EZ"].contains(&kinds.as_str()), "request {id}: {kinds:?} after {time:?}");
    assert!(time < MAX_RESPONSE_TIME, "request {id} took {time:?}");
    kinds == "TDCZ"
}

#[track_caller]
fn assert_service_recovers(proxy: &Proxy) {
    let started = Instant::now();
    let mut client = Client::connect(proxy);
    let mut number = 0;
    while !assert_answered(&mut client, &format!("recovered-{number}")) {
        number += 1;
        assert!(started.elapsed() < MAX_RECOVERY_TIME, "expected requests to be served again");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against calls that fail at times, as they do when a signal interrupts them or a transfer is short: each
/// request is served all the same.
#[rstest]
#[case::recv_interrupted("recv", EINTR, 2)]
#[case::recv_short("recv", SHORT, 2)]
#[case::recv_byte_by_byte("recv", SHORT, 1)]
#[case::writev_interrupted("writev", EINTR, 2)]
#[case::writev_short("writev", SHORT, 2)]
#[case::writev_byte_by_byte("writev", SHORT, 1)]
#[case::accept_interrupted("accept", EINTR, 2)]
#[case::accept_aborted("accept", ECONNABORTED, 2)]
#[case::connect_interrupted("connect", EINTR, 2)]
#[case::connect_without_port("connect", EADDRNOTAVAIL, 2)]
#[case::socket_without_memory("socket", ENOBUFS, 2)]
fn calls_that_fail_at_times_cost_no_request(#[case] call: &str, #[case] errno: i64, #[case] every: u32) {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let faults = SystemFaults::new(&format!("times-{call}-{errno}-{every}"));
    let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, None);
    let mut open = Client::connect(&proxy);
    faults.set(call, errno, every);
    for round in 0..10 {
        server.close_all(); // the next request needs a new connection to the server
        thread::sleep(Duration::from_millis(5));
        assert!(assert_answered(&mut open, &format!("open-{round}")), "request {round} was not served");
        let mut new = Client::connect(&proxy);
        let kinds = message_kinds(&new.request(&write_statement(TIMEOUT_MS as u32)));
        assert_eq!(kinds, "TDCZ", "write {round}");
    }
}

/// Guards against calls that fail for a while: requests on open connections are answered in time, the process does
/// not spin, and afterwards it serves as before with as many descriptors as before.
#[rstest]
#[case::accept_table_full("accept", ENFILE)]
#[case::accept_no_descriptor("accept", EMFILE)]
#[case::accept_no_buffers("accept", ENOBUFS)]
#[case::accept_no_memory("accept", ENOMEM)]
#[case::accept_aborted("accept", ECONNABORTED)]
#[case::accept_interrupted("accept", EINTR)]
#[case::connect_no_port("connect", EADDRNOTAVAIL)]
#[case::connect_no_network("connect", ENETUNREACH)]
#[case::connect_no_host("connect", EHOSTUNREACH)]
#[case::connect_timed_out("connect", ETIMEDOUT)]
#[case::connect_interrupted("connect", EINTR)]
#[case::socket_table_full("socket", ENFILE)]
#[case::socket_no_buffers("socket", ENOBUFS)]
fn calls_that_fail_for_a_while_cost_no_answer(#[case] call: &str, #[case] errno: i64) {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let faults = SystemFaults::new(&format!("while-{call}-{errno}"));
    let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, None);
    let mut client = Client::connect(&proxy);
    assert!(assert_answered(&mut client, "before"));
    let descriptors = open_descriptors(&proxy);
    faults.set(call, errno, 1);
    let (started, ticks) = (Instant::now(), processor_ticks(&proxy));
    let waiting = Client::open(&proxy); // stays in the accept queue while accept fails
    server.close_all();
    let mut number = 0;
    while started.elapsed() < FAULT_PERIOD {
        number += 1;
        assert_answered(&mut client, &format!("during-{number}"));
        thread::sleep(Duration::from_millis(10));
    }
    let used = processor_ticks(&proxy) - ticks;
    faults.clear();
    assert!(used <= MAX_TICKS, "the proxy used {used} ticks in {:?}", started.elapsed());
    drop(waiting);
    assert_service_recovers(&proxy);
    wait_until("the descriptors are closed", || open_descriptors(&proxy) <= descriptors + 1);
}

/// Guards against a shutdown that drops the clients in the accept queue because one accept fails.
#[rstest]
#[case::interrupted(EINTR)]
#[case::aborted(ECONNABORTED)]
#[case::table_full(ENFILE)]
#[case::no_buffers(ENOBUFS)]
fn a_shutdown_answers_the_clients_in_the_accept_queue_although_accept_fails(#[case] errno: i64) {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let faults = SystemFaults::new(&format!("queue-{errno}"));
    let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, None);
    faults.set("accept", errno, 1);
    let statement = |number| query(&read_statement_with_id(&format!("queued-{number}"), TIMEOUT_MS));
    let mut clients: Vec<_> = (0..8).map(|_| Client::open(&proxy)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&[pipittack_testkit::wire::startup(), statement(number)].concat());
    }
    proxy.signal("TERM");
    thread::sleep(UNTIL_LISTENER_CLOSES);
    faults.set("accept", errno, 2);
    for client in &mut clients {
        let kinds = message_kinds(&[client.read_response(), client.read_response()].concat());
        assert!(["RZTDCZ", "RZEZ"].contains(&kinds.as_str()), "{kinds:?}");
    }
}

/// Returns the path of the only file in the state directory other than sockets.
#[track_caller]
fn stored_list(state_dir: &Path) -> PathBuf {
    let files = fs::read_dir(state_dir).expect("the directory exists").flatten();
    let is_file = |path: &PathBuf| path.extension().is_some_and(|extension| extension != "sock");
    let mut files: Vec<_> = files.map(|file| file.path()).filter(is_file).collect();
    assert_eq!(files.len(), 1, "expected one file: {files:?}");
    files.remove(0)
}

/// Guards against a change by an operator that is acknowledged and not stored, or stored in part: on a full or
/// broken disk the call fails, and the list stays as it was.
#[rstest]
#[case::full("write_file", ENOSPC)]
#[case::broken("write_file", EIO)]
#[case::not_synced("fsync", EIO)]
#[case::not_renamed("rename", ENOSPC)]
fn a_change_that_cannot_be_stored_is_refused_and_loses_nothing(#[case] call: &str, #[case] errno: i64) {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints = [server.endpoint("a", "read-write", "Ready"), server.endpoint("b", "read-only", "Ready")];
    let name = format!("disk-{call}-{errno}");
    let state_dir = create_state_dir(&name);
    let faults = SystemFaults::new(&name);
    let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    assert_eq!(admin_post(&proxy, "data-servers/a/offline"), Some(200));
    faults.set(call, errno, 1);
    assert_eq!(admin_post(&proxy, "data-servers/b/offline"), Some(500));
    let stored = || fs::read_to_string(stored_list(&state_dir)).expect("the file can be read");
    assert_eq!(stored(), r#"{"offline":["a"]}"#);
    faults.clear();
    assert_eq!(admin_post(&proxy, "data-servers/b/offline"), Some(200));
    assert_eq!(stored(), r#"{"offline":["a","b"]}"#);
}

/// Guards against half a write that is taken for the whole.
#[test]
fn a_change_that_is_written_in_pieces_is_stored_completely() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let state_dir = create_state_dir("disk-pieces");
    let faults = SystemFaults::new("disk-pieces");
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    faults.set("write_file", SHORT, 1);
    assert_eq!(admin_post(&proxy, "data-servers/a/offline"), Some(200));
    faults.clear();
    assert_eq!(admin_post(&proxy, "data-servers/a/online"), Some(200));
}

/// Guards against a change by another process of the proxy instance that is never applied, because the first read
/// of the file failed.
#[test]
fn a_stored_change_is_applied_although_reading_it_fails_at_first() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let state_dir = create_state_dir("disk-read");
    let faults = SystemFaults::new("disk-read");
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    assert_eq!(admin_post(&proxy, "data-servers/a/offline"), Some(200));
    assert_eq!(admin_post(&proxy, "data-servers/a/online"), Some(200));
    thread::sleep(Duration::from_millis(300)); // the process has read its own change
    faults.set("read_file", EIO, 1);
    let stored = stored_list(&state_dir);
    let changed = stored.with_extension("changed");
    fs::write(&changed, r#"{"offline":["a"]}"#).expect("the file can be written");
    fs::rename(&changed, &stored).expect("the file can be renamed");
    thread::sleep(Duration::from_millis(300)); // reading it has failed
    proxy.wait_for_log("reloading the out-of-service list failed: ");
    faults.clear();
    proxy.wait_for_log("server a taken out of service");
}
