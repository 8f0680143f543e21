//! Crowds of every kind at once, at small memory limits: the proxy stays under its limit, and usual clients are served.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use rstest::rstest;
use support::*;

const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// Largest part of the memory limit that a process may use, in percent.
const MAX_USE_PERCENT: u64 = 90;
/// Number of clients of a crowd.
const CROWD_CLIENTS: usize = 800;
/// Time for which a crowd of every kind goes on, unless `CROWD_SECONDS` says otherwise.
const MIX_PERIOD: Duration = Duration::from_secs(6);
/// Time after which a server answers a read that asks for a late answer.
const LATE_ANSWER: Duration = Duration::from_millis(400);
/// Time for which a crowd of one kind goes on, unless `CROWD_SECONDS` says otherwise.
const KIND_PERIOD: Duration = Duration::from_millis(2500);

/// Number of hot restarts in series.
const RESTARTS: usize = 3;
/// Time for which a process runs beside a crowd before it is restarted.
const BEFORE_RESTART: Duration = Duration::from_millis(2500);
/// Time from the start of a process to its kill.
const BEFORE_SECOND_KILL: Duration = Duration::from_millis(720);
/// Time from the start of a process to the first usual client, within which a crowd has taken all places.
const BEFORE_USUAL_CLIENTS: Duration = Duration::from_millis(100);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Lets one test run at a time, so that the figures of a test are its own.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn period_or(default: Duration) -> Duration {
    let seconds = std::env::var("CROWD_SECONDS").ok();
    seconds.map_or(default, |text| Duration::from_secs(text.parse().expect("a number of seconds")))
}

/// Returns whether a log line tells why a usual client was not served.
fn is_of_interest(line: &str) -> bool {
    line.contains(" WARN ") || line.contains("id usual")
}

/// Starts a data server that answers a read with a value of the length that its id asks for.
fn start_server(role: ServerRole) -> ScriptedServer {
    ScriptedServer::start(role, |text| match requested_answer_bytes(text) {
        Some(bytes) => Reply::Row(vec![b'v'; bytes]),
        None if text.contains("id=late") => {
            thread::sleep(LATE_ANSWER);
            Reply::Row(b"v".to_vec())
        }
        None => Reply::Row(b"v".to_vec()),
    })
}

/// Plays a crowd beside usual clients. Asserts that the proxy keeps to its memory limit and that no usual request is
/// lost.
#[track_caller]
fn assert_crowd_is_withstood(memory_mb: u32, behaviours: &[Behaviour], period: Duration) {
    let _alone = run_alone();
    let servers = [start_server(ServerRole::Primary), start_server(ServerRole::Replica)];
    let endpoints =
        [servers[0].endpoint("a", "read-write", "Ready"), servers[1].endpoint("b", "read-only", "Ready")];
    let proxy = start_proxy_with_limits(ProcessLimits { memory_mb, sockets: 1024 }, &endpoints);
    let at_rest = peak_memory_bytes(proxy.child.id());
    let usual_clients = UsualClients::start(&proxy, "usual");
    let crowd = Crowd::start(&proxy, CROWD_CLIENTS, behaviours);
    thread::sleep(period_or(period));
    let responses = usual_clients.finish();
    drop(crowd);
    let peak = peak_memory_bytes(proxy.child.id());
    println!("{memory_mb} MB, {behaviours:?}: at rest {at_rest}, peak {peak} bytes, {responses:?}");
    proxy.log.try_iter().filter(|line| is_of_interest(line)).for_each(|line| println!("{line}"));
    assert_eq!(responses.lost, 0, "{responses:?}");
    let limit = u64::from(memory_mb) * BYTES_PER_MEGABYTE * MAX_USE_PERCENT / 100;
    assert!(peak <= limit, "the proxy has used {peak} of {limit} bytes");
}

/// Guards against an incident: hundreds of slow clients of every kind at once took a process over its memory limit.
#[rstest]
#[case::least_memory(16)]
#[case::small_memory(32)]
#[case::usual_memory(192)]
fn a_crowd_of_every_kind_stays_within_the_memory_limit(#[case] memory_mb: u32) {
    assert_crowd_is_withstood(memory_mb, &MIX, MIX_PERIOD);
}

/// Guards against a kind of slow client that makes the proxy keep what no limit counts.
#[rstest]
#[case::admin_heads(Behaviour::AdminHeadOfShortFields)]
#[case::startup_packets(Behaviour::StartupOfShortParameters)]
#[case::stopped_short_statements(Behaviour::StoppedStatement(1_000))]
#[case::stopped_statements(Behaviour::StoppedStatement(60_000))]
#[case::stopped_long_statements(Behaviour::StoppedStatement(3_000_000))]
#[case::slow_short_statements(Behaviour::SlowStatement { bytes: 6_000, per_turn: 7 })]
#[case::slow_long_statements(Behaviour::SlowStatement { bytes: 200_000, per_turn: 2_000 })]
#[case::invalid_statements(Behaviour::InvalidStatement(800_000))]
#[case::invalid_long_statements(Behaviour::InvalidStatement(8_000_000))]
#[case::statements_of_short_fields(Behaviour::StatementOfShortFields(8_000))]
#[case::long_statements_of_short_fields(Behaviour::StatementOfShortFields(200_000))]
#[case::pipelined_slow_reads(Behaviour::SlowReader { answer_bytes: 20_000, requests: 50 })]
#[case::slow_reads(Behaviour::SlowReader { answer_bytes: 60_000, requests: 4 })]
#[case::slow_long_reads(Behaviour::SlowReader { answer_bytes: 1_900_000, requests: 1 })]
#[case::pipelined_messages(Behaviour::PipelinedMessages)]
#[case::abandoned_statements(Behaviour::AbandonedStatement(60_000))]
fn a_crowd_of_one_kind_stays_within_the_least_memory_limit(#[case] behaviour: Behaviour) {
    assert_crowd_is_withstood(16, &[behaviour], KIND_PERIOD);
}

/// Memory of several processes at the time of its largest sum, sampled until it is finished.
struct SharedMemoryPeak {
    processes: Arc<Mutex<Vec<u32>>>,
    peak: Arc<Mutex<MemorySample>>,
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

/// Memory of each of several processes at one time.
#[derive(Debug, Clone, Default)]
struct MemorySample {
    /// Time after the start of the sampling.
    elapsed: Duration,
    /// Memory of each process in bytes, in the order in which they were started.
    bytes: Vec<u64>,
}

impl MemorySample {
    fn sum(&self) -> u64 {
        self.bytes.iter().sum()
    }
}

impl SharedMemoryPeak {
    fn start() -> Self {
        let (processes, peak, stop) =
            (Arc::<Mutex<Vec<u32>>>::default(), Arc::<Mutex<_>>::default(), Arc::new(AtomicBool::new(false)));
        let (sampled, highest, stopped) = (processes.clone(), peak.clone(), stop.clone());
        let start = Instant::now();
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let processes: Vec<u32> = sampled.lock().expect("no thread panics").clone();
                let bytes = processes.into_iter().map(proportional_memory_bytes).collect();
                record_if_higher(&highest, MemorySample { elapsed: start.elapsed(), bytes });
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { processes, peak, stop, thread }
    }

    fn add(&self, proxy: &Proxy) {
        self.processes.lock().expect("no thread panics").push(proxy.child.id());
    }

    fn finish(self) -> MemorySample {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the thread does not panic");
        let peak = self.peak.lock().expect("no thread panics");
        peak.clone()
    }
}

fn record_if_higher(highest: &Mutex<MemorySample>, sample: MemorySample) {
    let mut highest = highest.lock().expect("no thread panics");
    if sample.sum() > highest.sum() {
        *highest = sample;
    }
}

/// Returns the memory of a process, of which shared pages count in proportion; 0 if the process has ended.
fn proportional_memory_bytes(process_id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process_id}/smaps_rollup")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("Pss:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Returns the configuration of a process at the address of another one.
fn config_at(proxy: &Proxy, limits: ProcessLimits) -> String {
    config_with_limits(limits).replace("127.0.0.1:5433", &proxy.address.to_string())
}

/// Guards against two processes of a hot restart that each use what the limit allows one process.
#[rstest]
#[case::least_memory(16)]
#[case::small_memory(32)]
fn both_processes_of_hot_restarts_beside_a_crowd_stay_within_the_memory_limit(#[case] memory_mb: u32) {
    let _alone = run_alone();
    let servers = [start_server(ServerRole::Primary), start_server(ServerRole::Replica)];
    let endpoints =
        [servers[0].endpoint("a", "read-write", "Ready"), servers[1].endpoint("b", "read-only", "Ready")];
    let limits = ProcessLimits { memory_mb, sockets: 1024 };
    let state_dir = create_state_dir(&format!("crowd-{memory_mb}"));
    let mut process = start_proxy_with_config(&config_with_limits(limits), &endpoints, Some(&state_dir));
    let memory = SharedMemoryPeak::start();
    memory.add(&process);
    let usual_clients = UsualClients::start_reconnecting(&process, "usual");
    let crowd = Crowd::start(&process, CROWD_CLIENTS, &MIX);
    for _ in 0..RESTARTS {
        thread::sleep(BEFORE_RESTART);
        let successor = start_proxy_with_config(&config_with_limits(limits), &endpoints, Some(&state_dir));
        memory.add(&successor);
        wait_until("the successor is ready", || is_ready(&successor));
        process.signal("TERM");
        assert!(process.child.wait().expect("the process exits").success());
        process
            .log
            .try_iter()
            .filter(|line| line.contains("of the buffers"))
            .for_each(|line| println!("{line}"));
        process = successor;
    }
    let responses = usual_clients.finish();
    drop(crowd);
    let peak = memory.finish();
    let (sum, MemorySample { elapsed, bytes }) = (peak.sum(), &peak);
    println!(
        "{memory_mb} MB, {RESTARTS} hot restarts: peak {sum} bytes ({bytes:?}) after {elapsed:?}, {responses:?}"
    );
    assert_eq!(responses.lost, 0, "{responses:?}");
    let limit = u64::from(memory_mb) * BYTES_PER_MEGABYTE * MAX_USE_PERCENT / 100;
    assert!(sum <= limit, "the processes have used {sum} of {limit} bytes");
}

/// Guards against the storm after a kill: all clients of a crowd return at once to a process that has just started.
#[test]
fn a_process_that_is_killed_and_started_beside_a_crowd_stays_within_the_memory_limit() {
    let _alone = run_alone();
    let servers = [start_server(ServerRole::Primary), start_server(ServerRole::Replica)];
    let endpoints =
        [servers[0].endpoint("a", "read-write", "Ready"), servers[1].endpoint("b", "read-only", "Ready")];
    let limits = ProcessLimits { memory_mb: 16, sockets: 1024 };
    let mut process = start_proxy_with_limits(limits, &endpoints);
    let config = config_at(&process, limits);
    let crowd = Crowd::start(&process, CROWD_CLIENTS, &MIX);
    for running_time in [BEFORE_RESTART, BEFORE_SECOND_KILL, BEFORE_RESTART] {
        thread::sleep(running_time);
        let peak = peak_memory_bytes(process.child.id());
        println!("peak {peak} bytes after {running_time:?}");
        assert!(
            peak <= 16 * BYTES_PER_MEGABYTE * MAX_USE_PERCENT / 100,
            "the process has used {peak} bytes after {running_time:?}"
        );
        assert!(process.child.try_wait().expect("the child can be waited for").is_none(), "it has ended");
        drop(process);
        process = start_proxy_with_config(&config, &endpoints, None);
    }
    thread::sleep(BEFORE_USUAL_CLIENTS);
    let usual_clients = UsualClients::start_reconnecting(&process, "usual");
    thread::sleep(KIND_PERIOD);
    let responses = usual_clients.finish();
    drop(crowd);
    assert_eq!(responses.lost, 0, "{responses:?}");
}
