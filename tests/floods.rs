//! Peers that send as fast as they can: whatever they send, other clients get their responses in time and the
//! proxy keeps to its memory limit.

mod support;

use std::io::Read;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use pipittack_testkit::wire::{message, query, startup};
use rstest::rstest;
use support::*;

/// Numbers of flooding clients.
const CLIENT_COUNTS: [usize; 4] = [1, 6, 24, 100];
/// Time for which the clients flood the proxy.
const FLOOD_PERIOD: Duration = Duration::from_millis(800);
/// Memory limit of the proxy, in megabytes.
const MEMORY_MB: u32 = 64;
/// Time from SIGTERM to SIGKILL: the longest deadline of the example configuration and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);
const READINESS_REQUEST: &[u8] = b"GET /control/ready HTTP/1.1\r\nHost: proxy\r\n\r\n";
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Lets one flood run at a time, so that the figures of a flood are its own.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a request for encryption with this code.
fn encryption_request(code: u32) -> Vec<u8> {
    [8u32.to_be_bytes(), code.to_be_bytes()].concat()
}

/// Starts a proxy with one data server.
fn start_flooded_proxy(server: &ScriptedServer) -> Proxy {
    let limits = ProcessLimits { memory_mb: MEMORY_MB, sockets: 1024 };
    start_proxy_with_limits(limits, &[server.endpoint("a", "read-write", "Ready")])
}

#[track_caller]
fn assert_memory_limit_kept(proxy: &Proxy) {
    let peak = peak_memory_bytes(proxy.child.id());
    assert!(peak < u64::from(MEMORY_MB) * BYTES_PER_MEGABYTE, "the proxy has used {peak} bytes");
}

/// Floods a proxy with each number of clients, and asserts that usual clients lose no response.
#[track_caller]
fn assert_usual_requests_are_answered(flood: &Flood) {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_flooded_proxy(&server);
    for clients in CLIENT_COUNTS {
        let responses = usual_responses_beside_flood(&proxy, proxy.address, clients, flood, FLOOD_PERIOD);
        println!("{clients} flooding clients: {responses:?}");
        assert_eq!(responses.lost, 0, "{clients} flooding clients: {responses:?}");
    }
    assert_memory_limit_kept(&proxy);
}

/// Guards against an incident: requests of other clients got no answer in time while clients asked for
/// encryption without a pause.
#[rstest]
#[case::tls(80_877_103)]
#[case::gssapi(80_877_104)]
fn requests_for_encryption_without_a_pause_do_not_delay_other_requests(#[case] code: u32) {
    assert_usual_requests_are_answered(&Flood::of_startup_packets(&encryption_request(code)));
}

/// Guards against a startup without an end: a client needs one request for TLS and one for GSSAPI.
#[test]
fn a_client_that_asks_for_encryption_again_and_again_is_disconnected() {
    let proxy = start_proxy(&[]);
    let mut client = Client::open(&proxy);
    client.send(&encryption_request(80_877_103).repeat(4));
    client.stream.read_exact(&mut [0; 4]).expect("the proxy declines encryption four times");
    client.send(&encryption_request(80_877_103));
    assert_error_response(&client.read_response(), "E", "08P01");
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    let line = proxy.wait_for_log("WARN");
    assert!(line.contains("client: client connection 1 closed after "), "{line}");
    assert!(line.contains(" ms: too many requests for encryption (1 closed with an error)"), "{line}");
}

/// Guards against a kind of message that is handled without letting other connections run.
#[rstest]
#[case::sync(message(b'S', b""))]
#[case::parse(message(b'P', b"\0\0\0\0"))]
#[case::function_call(message(b'F', b""))]
#[case::empty_query(query(""))]
#[case::setting(query("SET a = 1"))]
#[case::unparseable(query("SELECT 1, 2"))]
fn messages_without_a_pause_do_not_delay_other_requests(#[case] message: Vec<u8>) {
    assert_usual_requests_are_answered(&Flood::of_messages(&message));
}

/// Guards against state that is kept for each name that a client makes up.
#[rstest]
#[case::classes("id=1,c=class-N,d=400,cluster=1")]
#[case::ids("id=flood-N,c=unknown,d=400,cluster=1")]
#[case::groups("id=1,c=own-changes,d=400,cluster=7N")]
fn new_names_without_a_pause_do_not_delay_other_requests(#[case] fields: &str) {
    let statement = |number: usize| {
        let fields = fields.replace('N', &number.to_string());
        format!("SELECT body FROM objects WHERE oid = 'k' /* {fields} */")
    };
    assert_usual_requests_are_answered(&Flood::of_statements(statement));
}

/// Guards against a client that never reads what it is sent.
#[test]
fn clients_that_read_no_response_do_not_delay_other_requests() {
    assert_usual_requests_are_answered(&Flood { reads: false, ..Flood::of_messages(&query("")) });
}

/// Guards against an accept loop, or a startup, that keeps other connections waiting.
#[rstest]
#[case::without_a_byte(&[])]
#[case::malformed_startup(&[0, 0, 0, 7, 1, 2, 3, 4])]
#[case::startup(&startup())]
fn connections_without_a_pause_do_not_delay_other_requests(#[case] bytes: &[u8]) {
    assert_usual_requests_are_answered(&Flood::of_connections(bytes));
}

/// Guards against an admin API that keeps the proxy's clients waiting.
#[rstest]
#[case::pipelined(Flood { opening: Vec::new(), ..Flood::of_messages(READINESS_REQUEST) })]
#[case::connections(Flood::of_connections(READINESS_REQUEST))]
#[case::short_fields(Flood { opening: b"GET /control/ready HTTP/1.1\r\n".to_vec(), ..Flood::of_messages(b"a:\r\n") })]
fn admin_requests_without_a_pause_do_not_delay_other_requests(#[case] flood: Flood) {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_flooded_proxy(&server);
    for clients in CLIENT_COUNTS {
        let responses =
            usual_responses_beside_flood(&proxy, proxy.admin_address, clients, &flood, FLOOD_PERIOD);
        assert_eq!(responses.lost, 0, "{clients} flooding clients: {responses:?}");
    }
    assert_memory_limit_kept(&proxy);
}

/// Guards against floods that a proxy withstands in service but not while it ends: each request that it has
/// received is answered, and it ends in time.
#[rstest]
#[case::tls(Flood::of_startup_packets(&encryption_request(80_877_103)))]
#[case::empty_query(Flood::of_messages(&query("")))]
#[case::connections(Flood::of_connections(&startup()))]
fn a_flood_does_not_keep_a_shutdown_from_answering_and_ending(#[case] flood: Flood) {
    let _alone = run_alone();
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let mut proxy = start_flooded_proxy(&server);
    let flooding_clients = FloodingClients::start(proxy.address, 24, &flood);
    let mut client = Client::connect(&proxy);
    proxy.signal("TERM");
    let ended_at = Instant::now() + KILL_DELAY;
    let mut number = 0;
    loop {
        number += 1;
        client.send(&query(&read_statement_with_id(&format!("last-{number}"), 400)));
        let sent_at = Instant::now();
        let response = message_kinds(&client.read_response());
        if response.is_empty() {
            break; // the proxy closed the connection between requests
        }
        assert!(["TDCZ", "EZ", "E"].contains(&response.as_str()), "request {number}: {response}");
        assert!(sent_at.elapsed() < Duration::from_millis(900), "request {number}: {:?}", sent_at.elapsed());
    }
    assert!(number > 10, "{number} requests before the connection closed");
    wait_until("the process ends", || proxy.child.try_wait().expect("the child can be waited for").is_some());
    assert!(Instant::now() < ended_at, "the process outlasted the time of its kill");
    drop(flooding_clients);
}
