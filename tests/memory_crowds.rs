//! Crowds of every kind at once, at small memory limits: the proxy stays under its limit, and usual clients are served.

mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

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
/// Time for which a crowd of one kind goes on, unless `CROWD_SECONDS` says otherwise.
const KIND_PERIOD: Duration = Duration::from_millis(2500);

/// Lets one test run at a time, so that the figures of a test are its own.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn period_or(default: Duration) -> Duration {
    let seconds = std::env::var("CROWD_SECONDS").ok();
    seconds.map_or(default, |text| Duration::from_secs(text.parse().expect("a number of seconds")))
}

/// Starts a data server that answers a read with a value of the length that its id asks for.
fn start_server(role: ServerRole) -> ScriptedServer {
    ScriptedServer::start(role, |text| match requested_answer_bytes(text) {
        Some(bytes) => Reply::Row(vec![b'v'; bytes]),
        None if text.contains("id=hangs") => Reply::NoResponse,
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
#[case::pipelined_slow_reads(Behaviour::SlowReader { answer_bytes: 20_000, requests: 50 })]
#[case::slow_reads(Behaviour::SlowReader { answer_bytes: 60_000, requests: 4 })]
#[case::slow_long_reads(Behaviour::SlowReader { answer_bytes: 1_900_000, requests: 1 })]
#[case::pipelined_messages(Behaviour::PipelinedMessages)]
#[case::abandoned_statements(Behaviour::AbandonedStatement(60_000))]
fn a_crowd_of_one_kind_stays_within_the_least_memory_limit(#[case] behaviour: Behaviour) {
    assert_crowd_is_withstood(16, &[behaviour], KIND_PERIOD);
}
