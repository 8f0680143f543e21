//! Hundreds of peers that make the proxy keep bytes: it stays under its memory limit and serves other clients.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::discovery_server::EndpointEntry;
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{
    message, parameter_status, query, read_message, read_startup, ready_for_query, row, startup,
    startup_response,
};
use rstest::rstest;
use socket2::SockRef;
use support::*;

const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 32, sockets: 1024 };
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// Number of clients that make the proxy keep bytes.
const CLIENTS: usize = 400;
/// Time for which they do so.
const PERIOD: Duration = Duration::from_millis(2500);
const TIMEOUT_MS: u64 = 1000;
/// A response up to half a second after its time is late; a later one is lost.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(TIMEOUT_MS + 500);
/// Receive buffer of a client that reads slowly.
const SMALL_RECEIVE_BUFFER: usize = 4096;

/// Lets one test run at a time, so that the figures of a test are its own.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends usual reads for `PERIOD`, and asserts that each is answered in time and that the proxy has kept to its
/// memory limit.
#[track_caller]
fn assert_usual_requests_and_memory(proxy: &Proxy) {
    let mut client = Client::connect(proxy);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < PERIOD {
        number += 1;
        let sent_at = Instant::now();
        let response = client.request(&read_statement_with_id(&format!("usual-{number}"), TIMEOUT_MS));
        let time = sent_at.elapsed();
        let kinds = message_kinds(&response);
        assert!(["TDCZ", "EZ"].contains(&kinds.as_str()), "request {number}: {kinds}");
        assert!(time < MAX_RESPONSE_TIME, "request {number} took {time:?}");
        thread::sleep(Duration::from_millis(20));
    }
    let peak = peak_memory_bytes(proxy.child.id());
    println!("{number} usual requests, peak memory {peak} bytes");
    let limit = u64::from(LIMITS.memory_mb) * BYTES_PER_MEGABYTE;
    assert!(peak < limit, "the proxy has used {peak} of {limit} bytes");
}

/// Opens clients that each send the bytes for their number and nothing more.
fn open_clients(proxy: &Proxy, bytes: impl Fn(usize) -> Vec<u8>) -> Vec<Client> {
    let open_client = |number| {
        let mut client = Client::open(proxy);
        client.stream.set_nonblocking(true).expect("the stream can be made non-blocking");
        let _ = client.stream.write(&bytes(number));
        client
    };
    (0..CLIENTS).map(open_client).collect()
}

/// Guards against clients that fill the memory with what they leave unfinished.
#[rstest]
#[case::startup_of_short_fields([&9_900u32.to_be_bytes()[..], &196_608u32.to_be_bytes(), &b"a\0b\0".repeat(2000)].concat())]
#[case::half_of_a_statement([startup(), query(&"x".repeat(64_000))[..32_000].to_vec()].concat())]
#[case::half_of_a_long_statement([startup(), query(&"x".repeat(3 << 20))[..2 << 20].to_vec()].concat())]
fn unfinished_messages_stay_within_the_memory_limit(#[case] bytes: Vec<u8>) {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_limits(LIMITS, &[server.endpoint("a", "read-write", "Ready")]);
    let clients = open_clients(&proxy, |_| bytes.clone());
    assert_usual_requests_and_memory(&proxy);
    drop(clients);
}

/// Guards against clients that fill the memory with requests that they send ahead of their responses.
#[test]
fn requests_that_are_sent_far_ahead_stay_within_the_memory_limit() {
    let _alone = run_alone();
    let server = start_server_with_marked_reply("id=hangs", || Reply::NoResponse);
    let other = ScriptedServer::start(ServerRole::Replica, reply_with_row);
    let endpoints = [server.endpoint("a", "read-write", "Ready"), other.endpoint("b", "read-only", "Ready")];
    let proxy = start_proxy_with_limits(LIMITS, &endpoints);
    let ahead = read_statement_with_id("ahead", 1500).replace("'k'", &format!("'{}'", "k".repeat(900)));
    let ahead = query(&ahead).repeat(300);
    let clients = open_clients(&proxy, |number| {
        let first = query(&write_statement_with_id(&format!("hangs-{number}"), 9000));
        [&startup()[..], &first, &ahead].concat()
    });
    assert_usual_requests_and_memory(&proxy);
    drop(clients);
}

/// Guards against clients that fill the memory with what they do not read.
#[rstest]
#[case::short(60_000)]
#[case::long(3_900_000)]
fn responses_that_are_read_slowly_stay_within_the_memory_limit(#[case] bytes: usize) {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, move |text| {
        Reply::Row(if text.contains("id=long") { vec![b'v'; bytes] } else { b"v".to_vec() })
    });
    let proxy = start_proxy_with_limits(LIMITS, &[server.endpoint("a", "read-write", "Ready")]);
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| Client::connect(&proxy)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        SockRef::from(&*client.stream)
            .set_recv_buffer_size(SMALL_RECEIVE_BUFFER)
            .expect("the buffer size can be set");
        let statements =
            (0..8).flat_map(|part| query(&read_statement_with_id(&format!("long-{number}-{part}"), 1500)));
        client.send(&statements.collect::<Vec<_>>());
    }
    assert_usual_requests_and_memory(&proxy);
    drop(clients);
}

/// Starts a data server. It answers a statement whose id starts with `endless` with `bytes`, again and again each
/// millisecond until the proxy closes the connection, and any other statement with a row.
fn start_server_with_endless_answers(uid: &str, bytes: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let bytes = bytes.to_vec();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let bytes = bytes.clone();
            thread::spawn(move || serve_with_endless_answers(stream, &bytes));
        }
    });
    EndpointEntry { uid, address, group: 1, state: "Ready", mode: "read-write" }.to_json()
}

fn serve_with_endless_answers(mut stream: TcpStream, bytes: &[u8]) {
    if read_startup(&mut stream).is_err() || stream.write_all(&startup_response()).is_err() {
        return;
    }
    while let Some((_, text)) = read_message(&mut stream) {
        let is_endless = String::from_utf8_lossy(&text).contains("id=endless");
        while is_endless && stream.write_all(bytes).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        if stream.write_all(&[row(b"v"), ready_for_query()].concat()).is_err() {
            return;
        }
    }
}

/// Returns `count` notices of this size in bytes.
fn notices(bytes: usize, count: usize) -> Vec<u8> {
    message(b'N', &vec![b'n'; bytes]).repeat(count)
}

/// Guards against data servers that fill the memory: what is no part of a result was kept until the end of the
/// answer, outside the limits.
#[rstest]
#[case::small_notices(&notices(20, 64))]
#[case::large_notices(&notices(8_000, 1))]
#[case::parameters(&parameter_status("stats", &"x".repeat(8_000)))]
fn answers_without_an_end_stay_within_the_memory_limit(#[case] bytes: &[u8]) {
    let _alone = run_alone();
    let servers: Vec<_> =
        (0..4).map(|number| start_server_with_endless_answers(&format!("s{number}"), bytes)).collect();
    let proxy = start_proxy_with_limits(LIMITS, &servers);
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..64)
        .map(|number| {
            let (client, stop) = (Client::connect(&proxy), stop.clone());
            thread::spawn(move || request_endless_answers(client, number, &stop))
        })
        .collect();
    assert_usual_requests_and_memory(&proxy);
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("each request gets an answer"));
    let line = proxy.wait_for_log(" sent an invalid reply: ");
    assert!(line.contains("bytes of the reply belong to no result"), "{line}");
}

fn request_endless_answers(mut client: Client, number: usize, stop: &AtomicBool) {
    for round in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("endless-{number}-{round}");
        let response = client.request(&read_statement_with_id(&id, 1500));
        assert_eq!(message_kinds(&response), "EZ");
    }
}

/// Number of clients that stop in the middle of a statement.
const STALLED_CLIENTS: usize = 60;
/// Length of a statement in bytes whose client stops in the middle of it.
const STALLED_BYTES: usize = 124_000;
/// Length of the value of a usual write, in bytes, whose statement needs several buffers.
const USUAL_VALUE_BYTES: usize = 10_000;
/// Time that a usual write may take, in milliseconds.
const WRITE_TIMEOUT_MS: u32 = 1300;

/// Guards against clients that stop in the middle of a statement and keep the memory for statements from others: their
/// writes were answered after their time. A statement that gets no memory is rejected at once.
#[test]
fn writes_are_answered_in_time_while_stalled_statements_fill_the_memory() {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let limits = ProcessLimits { memory_mb: 48, sockets: 1024 };
    let proxy = start_proxy_with_limits(limits, &[server.endpoint("a", "read-write", "Ready")]);
    let half = [startup(), query(&"x".repeat(STALLED_BYTES))[..STALLED_BYTES / 2].to_vec()].concat();
    let stop = Arc::new(AtomicBool::new(false));
    let stalled: Vec<_> = (0..STALLED_CLIENTS)
        .map(|_| {
            let (address, half, stop) = (proxy.address, half.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                    let _ = stream.write_all(&half);
                    let mut buffer = [0; 512];
                    // Stays until the proxy closes the connection.
                    while !stop.load(Ordering::Relaxed) {
                        match stream.read(&mut buffer) {
                            Ok(0) => break,
                            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => break,
                            _ => {}
                        }
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let value = format!(r"'\x{}'", "0".repeat(2 * USUAL_VALUE_BYTES));
    let mut client = Client::connect(&proxy);
    let (mut served, mut longest) = (0, Duration::ZERO);
    for number in 0..20 {
        let statement = write_statement_with_id(&format!("usual-{number}"), WRITE_TIMEOUT_MS);
        let sent_at = Instant::now();
        let kinds = message_kinds(&client.request(&statement.replace(r"'\x00'", &value)));
        let time = sent_at.elapsed();
        longest = longest.max(time);
        assert!(["TDCZ", "EZ"].contains(&kinds.as_str()), "write {number}: {kinds}");
        assert!(
            time < Duration::from_millis(u64::from(WRITE_TIMEOUT_MS) + 500),
            "write {number} took {time:?}"
        );
        served += usize::from(kinds == "TDCZ");
    }
    println!("{served} of 20 served, the longest after {longest:?}");
    let statements = server.statements();
    let time_left =
        statements.iter().filter_map(|text| text.rsplit_once(",d=")?.1.split(',').next()?.parse().ok());
    assert!(time_left.max() <= Some(WRITE_TIMEOUT_MS));
    drop(statements);
    assert!(served > 0, "expected some writes to get memory");
    stop.store(true, Ordering::Relaxed);
    stalled.into_iter().for_each(|thread| thread.join().expect("no client panics"));
}
