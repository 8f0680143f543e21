//! The wall clock of the machine steps by seconds or an hour: deadlines, windows, waits and grace periods are
//! real time and do not move.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::query;
use rstest::rstest;
use support::*;

const HOUR_MS: i64 = 3_600_000;
/// Longest time that a shutdown of the example configuration may take: until it is killed.
const KILL_DELAY: Duration = Duration::from_millis(3700);

fn start_servers() -> [ScriptedServer; 2] {
    [ServerRole::Primary, ServerRole::Replica].map(|role| ScriptedServer::start(role, reply_with_row))
}

fn endpoints(servers: &[ScriptedServer; 2]) -> [String; 2] {
    [servers[0].endpoint("a", "read-write", "Ready"), servers[1].endpoint("b", "read-only", "Ready")]
}

/// Sends reads and writes for a while, and returns the number of requests that were not served.
fn unserved_requests(client: &mut Client, prefix: &str) -> usize {
    let mut unserved = 0;
    for number in 0..40 {
        let statement = match number % 4 {
            0 => write_statement_with_id(&format!("{prefix}-{number}"), 1000),
            1 => read_statement_with_id(&format!("{prefix}-{number}"), 1000),
            _ => read_statement_with_id(&format!("{prefix}-{number}"), 1000)
                .replace("own-changes", "font-lookup"),
        };
        unserved += usize::from(message_kinds(&client.request(&statement)) != "TDCZ");
        thread::sleep(Duration::from_millis(10));
    }
    unserved
}

/// Guards against times in service that follow the wall clock.
#[rstest]
#[case(HOUR_MS)]
#[case(-HOUR_MS)]
#[case(5_000)]
#[case(-5_000)]
fn a_step_of_the_wall_clock_in_service_costs_no_request(#[case] step_ms: i64) {
    let servers = start_servers();
    let faults = SystemFaults::new(&format!("step-{step_ms}"));
    let mut proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints(&servers), None);
    let mut client = Client::connect(&proxy);
    assert_eq!(unserved_requests(&mut client, "before"), 0);
    faults.set("clock", step_ms, 1);
    assert_eq!(unserved_requests(&mut client, "after"), 0);
    faults.clear();
    assert_eq!(unserved_requests(&mut client, "back"), 0);
    faults.set("clock", step_ms, 1);
    let started = Instant::now();
    proxy.signal("TERM");
    assert!(proxy.child.wait().expect("the child can be waited for").success());
    assert!(started.elapsed() < KILL_DELAY, "the shutdown took {:?}", started.elapsed());
}

/// Guards against a request whose deadline moves with the wall clock while it waits.
#[rstest]
#[case(HOUR_MS)]
#[case(-HOUR_MS)]
fn a_step_of_the_wall_clock_does_not_move_a_deadline(#[case] step_ms: i64) {
    let server = start_server_with_marked_reply("id=slow,", || Reply::NoResponse);
    let faults = SystemFaults::new(&format!("deadline-{step_ms}"));
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, None);
    let mut client = Client::connect(&proxy);
    let started = Instant::now();
    client.send(&query(&write_statement_with_id("slow", 800)));
    wait_until("the write is sent to the server", || server.statement_count() == 1);
    faults.set("clock", step_ms, 1);
    assert_error_response(&client.read_response(), "EZ", "40003");
    let time = started.elapsed();
    assert!(
        (Duration::from_millis(700)..Duration::from_millis(1300)).contains(&time),
        "answered after {time:?}"
    );
}

/// Guards against state that is handed over with times of the wall clock: the successor would take a server's
/// last response, or the time since which it is down, for an hour ago or an hour ahead.
#[rstest]
#[case(HOUR_MS)]
#[case(-HOUR_MS)]
#[case(5_000)]
#[case(-5_000)]
fn a_step_of_the_wall_clock_before_a_hot_restart_costs_no_request(#[case] step_ms: i64) {
    let servers = start_servers();
    let name = format!("restart-step-{step_ms}");
    let state_dir = create_state_dir(&name);
    let faults = SystemFaults::new(&name);
    let predecessor = faults.start_proxy(EXAMPLE_CONFIG, &endpoints(&servers), Some(&state_dir));
    let mut client = Client::connect(&predecessor);
    assert_eq!(unserved_requests(&mut client, "before"), 0);
    faults.set("clock", step_ms, 1);
    let successor = faults.start_proxy(EXAMPLE_CONFIG, &endpoints(&servers), Some(&state_dir));
    wait_until("the successor is ready", || is_ready(&successor));
    let mut at_successor = Client::connect(&successor);
    let mut unserved = 0;
    for round in 0..5 {
        unserved += unserved_requests(&mut at_successor, &format!("successor-{round}"));
        unserved += unserved_requests(&mut client, &format!("predecessor-{round}"));
    }
    println!("{unserved} unserved: {:#?}", successor.log.try_iter().collect::<Vec<_>>());
    assert_eq!(unserved, 0);
}

/// Time within which a server that responds again is used again.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Guards against a server that stays down for as long as the wall clock was set back before a hot restart.
#[rstest]
#[case(0)]
#[case(HOUR_MS)]
#[case(-HOUR_MS)]
fn a_server_that_was_down_before_a_step_and_a_hot_restart_is_used_again(#[case] step_ms: i64) {
    let hangs = Arc::new(AtomicBool::new(false));
    let server_hangs = hangs.clone();
    let server =
        ScriptedServer::start(ServerRole::Primary, move |text| match server_hangs.load(Ordering::Relaxed) {
            true => Reply::NoResponse,
            false => reply_with_row(text),
        });
    let name = format!("down-step-{step_ms}");
    let state_dir = create_state_dir(&name);
    let faults = SystemFaults::new(&name);
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let predecessor = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    let mut client = Client::connect(&predecessor);
    assert_eq!(unserved_requests(&mut client, "before"), 0);
    hangs.store(true, Ordering::Relaxed);
    for number in 0..4 {
        client.request(&read_statement_with_id(&format!("hang-{number}"), 300));
    }
    predecessor.wait_for_log("entered phase suspected");
    faults.set("clock", step_ms, 1);
    let successor = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    wait_until("the successor is ready", || is_ready(&successor));
    hangs.store(false, Ordering::Relaxed);
    let started = Instant::now();
    let mut number = 0;
    let mut at_successor = Client::connect(&successor);
    while message_kinds(&at_successor.request(&read_statement_with_id(&format!("again-{number}"), 300)))
        != "TDCZ"
    {
        number += 1;
        assert!(started.elapsed() < MAX_RECOVERY_TIME, "expected the server to be used again");
        thread::sleep(Duration::from_millis(20));
    }
    println!("step {step_ms}: used again after {:?}", started.elapsed());
}

/// Bound of the age of the data that a read of `font-lookup` may see.
const MAX_DATA_AGE: Duration = Duration::from_secs(3);

/// Proxy that was started while its wall clock was 3.5 s behind, with a primary and a replica whose data is 4 s old,
/// which looks fresh to the proxy.
struct ClockBehind {
    primary: ScriptedServer,
    replica: ScriptedServer,
    proxy: Proxy,
}

impl ClockBehind {
    fn start(name: &str) -> Self {
        let primary = ScriptedServer::start(ServerRole::Primary, reply_with_row);
        let replica = ScriptedServer::start_with_lag(4, ServerRole::Replica, reply_with_row);
        let faults = SystemFaults::new(name);
        faults.set("clock", -3_500, 1);
        let endpoints =
            [primary.endpoint("a", "read-write", "Ready"), replica.endpoint("b", "read-only", "Ready")];
        let proxy = faults.start_proxy(EXAMPLE_CONFIG, &endpoints, None);
        Self { primary, replica, proxy }
    }

    /// Sends requests and returns the number of bounded reads that the replica got of them.
    fn bounded_reads_at_replica(&self, prefix: &str) -> usize {
        let mut client = Client::connect(&self.proxy);
        assert_eq!(unserved_requests(&mut client, prefix), 0);
        assert!(self.primary.statement_count() > 0);
        let is_bounded =
            |statement: &&String| statement.contains(prefix) && statement.contains("font-lookup");
        self.replica.statements().iter().filter(is_bounded).count()
    }
}

/// Guards against stale reads without end by a proxy that was started while its wall clock was behind.
#[test]
fn a_proxy_whose_clock_is_behind_stops_bounded_reads_at_replicas() {
    let fixture = ClockBehind::start("behind");
    fixture.bounded_reads_at_replica("first");
    thread::sleep(MAX_DATA_AGE);
    assert_eq!(fixture.bounded_reads_at_replica("later"), 0);
}

/// Guards against stale reads in the first seconds of a proxy that was started while its wall clock was behind.
#[test]
fn a_proxy_whose_clock_is_behind_sends_no_bounded_read_to_a_replica_that_is_too_old() {
    assert_eq!(ClockBehind::start("behind-first").bounded_reads_at_replica("first"), 0);
}
