//! Clients that write large values at the same time: each gets its answer in its time, also while the memory for their
//! statements is in use.

mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::ScriptedServer;
use pipittack_testkit::wire::query;
use support::*;

const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 32, sockets: 256 };
/// Time limit of the writes: the deadline of their class.
const CLASS_DEADLINE_MS: u32 = 3000;
/// Largest time by which the deadline that is passed on may exceed the time that the client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Lets one test run at a time, so that the memory of a proxy is shared with no other test's load.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes of one kind.
#[derive(Debug, Clone, Copy)]
struct Writes {
    clients: usize,
    value_bytes: usize,
    timeout_ms: u32,
}

/// What a client got for its write, and how long after its last byte.
struct WriteResult {
    kinds: String,
    time: Duration,
}

impl Writes {
    /// Starts a client for each write, at intervals.
    fn start(self, proxy: &Proxy, name: &str, interval: Duration) -> Vec<JoinHandle<WriteResult>> {
        let start_client = |number| {
            thread::sleep(interval);
            let client = Client::connect(proxy);
            let statement = write_of(&format!("{name}-{number}"), self.value_bytes, self.timeout_ms);
            thread::spawn(move || write_at_once(client, &query(&statement)))
        };
        (0..self.clients).map(start_client).collect()
    }
}

fn write_of(id: &str, value_bytes: usize, timeout_ms: u32) -> String {
    let value = format!(r"'\x{}'", "07".repeat(value_bytes));
    write_statement_with_id(id, timeout_ms).replace(r"'\x00'", &value)
}

fn write_at_once(mut client: Client, message: &[u8]) -> WriteResult {
    client.send(message);
    let written_at = Instant::now();
    let kinds = message_kinds(&client.read_response());
    WriteResult { kinds, time: written_at.elapsed() }
}

fn join(clients: Vec<JoinHandle<WriteResult>>) -> Vec<WriteResult> {
    clients.into_iter().map(|client| client.join().expect("no client panics")).collect()
}

/// Returns the time that the data server was told for the statement with this id.
fn time_told(server: &ScriptedServer, id: &str) -> Duration {
    let statements = server.statements();
    let statement = statements.iter().find(|text| text.contains(&format!("id={id},"))).expect("it was sent");
    let time = statement.rsplit_once(",d=").and_then(|(_, rest)| rest.split(',').next()?.parse().ok());
    Duration::from_millis(time.expect("the statement has a time"))
}

/// Number of writes whose data server does not answer, and the length of their values in bytes. Together they have the
/// memory for complete large statements, and another one waits.
const HELD_WRITES: usize = 4;
const HELD_VALUE_BYTES: usize = 600_000;
/// Time after which the data server answers them.
const HOLD_TIME: Duration = Duration::from_millis(800);

/// Guards against a wait for memory that does not count against the time of the request: the rest of its statement was
/// in the client's send buffer, and the data server was told the client's whole time.
#[test]
fn a_wait_for_memory_counts_against_the_time_that_is_passed_on() {
    let _alone = run_alone();
    let (server, gate) = start_gated_server("id=held");
    let proxy = start_proxy_with_limits(LIMITS, &[server.endpoint("a", "read-write", "Ready")]);
    let write = Writes { clients: HELD_WRITES, value_bytes: HELD_VALUE_BYTES, timeout_ms: CLASS_DEADLINE_MS };
    let held = write.start(&proxy, "held", Duration::ZERO);
    wait_until("the held writes reach the data server", || server.statement_count() >= HELD_WRITES);
    let waiting = Writes { clients: 1, ..write }.start(&proxy, "waiting", Duration::ZERO);
    thread::sleep(HOLD_TIME);
    (0..HELD_WRITES).for_each(|_| gate.send(()).expect("the data server runs"));
    let results = join(waiting);
    assert_eq!(results[0].kinds, "TDCZ");
    let time_left = Duration::from_millis(u64::from(CLASS_DEADLINE_MS)).saturating_sub(results[0].time);
    let told = time_told(&server, "waiting-0");
    assert!(results[0].time > HOLD_TIME / 2, "the write waited for {:?} only", results[0].time);
    assert!(told <= time_left + DEADLINE_SLACK, "told {told:?}, {time_left:?} were left");
    join(held);
}
