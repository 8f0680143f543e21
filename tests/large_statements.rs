//! Clients that write large values at the same time: each gets its answer in its time, also while the memory for their
//! statements is in use.

mod support;

use std::io::Write;
use std::sync::mpsc::Sender;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use pipittack_testkit::wire::query;
use rstest::rstest;
use support::*;

const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 32, sockets: 256 };
/// Length of the largest values in bytes.
const LARGEST_VALUE_BYTES: usize = 4 * 1024 * 1024 - 1024;
/// Time in which a slow client writes its value, and the number of pieces in which it does.
const SLOW_WRITE_TIME: Duration = Duration::from_secs(2);
const PIECES: u32 = 100;
/// Time limit of the slow writes: the deadline of their class.
const CLASS_DEADLINE_MS: u32 = 3000;
/// A response up to half a second after its time is late; a later one is lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
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
    /// Time in which each client writes its statement; zero writes it at once.
    write_time: Duration,
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
            thread::spawn(move || write_in_pieces(client, &query(&statement), self.write_time))
        };
        (0..self.clients).map(start_client).collect()
    }
}

fn write_of(id: &str, value_bytes: usize, timeout_ms: u32) -> String {
    let value = format!(r"'\x{}'", "07".repeat(value_bytes));
    write_statement_with_id(id, timeout_ms).replace(r"'\x00'", &value)
}

fn write_in_pieces(mut client: Client, message: &[u8], write_time: Duration) -> WriteResult {
    let pieces = if write_time.is_zero() { 1 } else { PIECES };
    for piece in message.chunks(message.len().div_ceil(pieces as usize)) {
        client.stream.write_all(piece).expect("the proxy reads the statement");
        thread::sleep(write_time / pieces);
    }
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

const SLOW: Writes = Writes {
    clients: 3,
    value_bytes: LARGEST_VALUE_BYTES,
    timeout_ms: CLASS_DEADLINE_MS,
    write_time: SLOW_WRITE_TIME,
};
const OTHER: Writes =
    Writes { clients: 10, value_bytes: 96 * 1024, timeout_ms: 1500, write_time: Duration::ZERO };

/// Guards against writes that have arrived and wait without a limit behind larger ones (review case 8): they were
/// answered seconds after their time. All are served, since there is memory for them.
#[rstest]
#[case::of_96_kib(SLOW, OTHER)]
#[case::of_1_mb(SLOW, Writes { clients: 4, value_bytes: 1_000_000, ..OTHER })]
#[case::many_beside_larger_ones(Writes { clients: 6, ..SLOW }, Writes { clients: 20, ..OTHER })]
#[case::beside_writes_of_2_mib(Writes { clients: 5, value_bytes: 2 << 20, ..SLOW }, OTHER)]
#[case::beside_writes_of_500_kb(Writes { clients: 20, value_bytes: 500_000, ..SLOW }, OTHER)]
fn writes_are_served_in_time_beside_larger_slow_ones(#[case] slow: Writes, #[case] other: Writes) {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_limits(LIMITS, &[server.endpoint("a", "read-write", "Ready")]);
    let slow_clients = slow.start(&proxy, "slow", Duration::ZERO);
    thread::sleep(SLOW_WRITE_TIME / 5);
    let max_time = Duration::from_millis(u64::from(other.timeout_ms)) + MAX_LATENESS;
    let other_clients = other.start(&proxy, "other", Duration::from_millis(50));
    for (number, result) in join(other_clients).into_iter().enumerate() {
        assert_eq!(result.kinds, "TDCZ", "write {number} after {:?}", result.time);
        assert!(result.time < max_time, "write {number} took {:?}", result.time);
    }
    for (number, result) in join(slow_clients).into_iter().enumerate() {
        assert_eq!(result.kinds, "TDCZ", "slow write {number} after {:?}", result.time);
    }
}

/// Guards against many large writes that come at once and are rejected, though they can be served one after another.
#[test]
fn large_writes_that_come_at_once_are_all_served() {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, |text| {
        thread::sleep(Duration::from_millis(20));
        reply_with_row(text)
    });
    let proxy = start_proxy_with_limits(LIMITS, &[server.endpoint("a", "read-write", "Ready")]);
    let clients = Writes { clients: 60, ..OTHER }.start(&proxy, "write", Duration::ZERO);
    for (number, result) in join(clients).into_iter().enumerate() {
        assert_eq!(result.kinds, "TDCZ", "write {number} after {:?}", result.time);
    }
}

/// Number of writes whose data server does not answer, and the length of their values in bytes. Together they have the
/// memory for complete large statements, and another one waits.
const HELD_WRITES: usize = 4;
const HELD_VALUE_BYTES: usize = 600_000;
/// Time after which the data server answers them.
const HOLD_TIME: Duration = Duration::from_millis(800);

const HELD: Writes = Writes {
    clients: HELD_WRITES,
    value_bytes: HELD_VALUE_BYTES,
    timeout_ms: CLASS_DEADLINE_MS,
    write_time: Duration::ZERO,
};

/// A proxy whose memory is kept by writes that its data server holds.
struct ProxyWithHeldWrites {
    proxy: Proxy,
    server: ScriptedServer,
    /// Lets the data server answer one held write for each message, and all of them once it is dropped.
    gate: Sender<()>,
    held: Vec<JoinHandle<WriteResult>>,
}

/// Starts a proxy and the held writes, and waits until the data server has received all of them.
fn start_with_held_writes() -> ProxyWithHeldWrites {
    let (server, gate) = start_gated_server("id=held");
    let proxy = start_proxy_with_limits(LIMITS, &[server.endpoint("a", "read-write", "Ready")]);
    let held = HELD.start(&proxy, "held", Duration::ZERO);
    wait_until("the held writes reach the data server", || server.statement_count() >= HELD_WRITES);
    ProxyWithHeldWrites { proxy, server, gate, held }
}

/// Guards against a wait for memory that does not count against the time of the request: the rest of its statement was
/// in the client's send buffer, and the data server was told the client's whole time.
#[test]
fn a_wait_for_memory_counts_against_the_time_that_is_passed_on() {
    let _alone = run_alone();
    let ProxyWithHeldWrites { server, proxy, gate, held } = start_with_held_writes();
    let waiting = Writes { clients: 1, ..HELD }.start(&proxy, "waiting", Duration::ZERO);
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

/// Guards against a large statement that waits for memory longer than any client waits for its answer: while its time
/// is not known, it is rejected early enough for a retry.
#[test]
fn a_large_write_is_rejected_in_time_while_others_keep_the_memory() {
    let _alone = run_alone();
    let ProxyWithHeldWrites { server: _server, proxy, gate, held } = start_with_held_writes();
    let waiting = Writes { clients: 1, timeout_ms: 1260, ..HELD }.start(&proxy, "waiting", Duration::ZERO);
    let results = join(waiting);
    assert_eq!(results[0].kinds, "EZ");
    assert!(results[0].time < Duration::from_millis(1260), "the rejection came after {:?}", results[0].time);
    drop(gate);
    join(held);
}
