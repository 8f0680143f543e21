//! Limits on clients: timeouts for startup packets and queries, the connection limit, eviction of idle
//! clients, and memory.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{query, startup};
use rstest::rstest;
use support::*;

/// The proxy closes a connection whose startup packet or query stays incomplete, within 3 s of the connect.
/// Without this timeout, such a connection would use capacity forever.
#[rstest]
#[case::nothing(vec![], "")]
#[case::incomplete_startup_packet(startup()[..9].to_vec(), "E")]
#[case::incomplete_query([startup(), query(&read_statement(1000))[..40].to_vec()].concat(), "RZE")]
fn a_connection_with_incomplete_input_is_closed_after_a_timeout(
    #[case] bytes: Vec<u8>,
    #[case] expected_kinds: &str,
) {
    let proxy = start_proxy(&[]);
    let mut client = Client::open(&proxy);
    client.send(&bytes);
    let response = [client.read_response(), client.read_response()].concat();
    assert_eq!(message_kinds(&response), expected_kinds);
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
}

#[test]
fn clients_over_the_limit_are_rejected_and_use_no_capacity() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::NoResponse);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 192, sockets: 64 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let mut clients = Vec::new();
    let rejection = loop {
        let (mut client, response) = connect_with_response(&proxy);
        if message_kinds(&response) != "RZ" {
            break response;
        }
        client.send(&query(&write_statement_with_id(&clients.len().to_string(), 3000)));
        clients.push(client);
        assert!(clients.len() < 64, "expected fewer clients than sockets");
    };
    assert_error_response(&rejection, "E", "53300");
    (0..20).for_each(|_| drop(connect_with_response(&proxy)));
    clients.pop();
    let started = Instant::now();
    while message_kinds(&connect_with_response(&proxy).1) != "RZ" {
        assert!(started.elapsed() < TEST_TIMEOUT, "expected a new client to use the released capacity");
    }
    // Rejections are logged at most once per interval, not once for each client.
    proxy.signal("TERM");
    let lines: Vec<_> = proxy.log.iter().collect();
    let rejection_lines = lines.iter().filter(|line| line.contains(" client: rejected ")).count();
    assert!((1..=2).contains(&rejection_lines), "expected 1 or 2 lines about rejected clients: {lines:#?}");
}

/// Idle connections must not cause the rejection of clients that have a request.
#[test]
fn the_longest_idle_client_is_evicted_for_a_new_one() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 192, sockets: 64 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let mut clients: Vec<_> = std::iter::repeat_with(|| connect_with_response(&proxy))
        .take_while(|(_, response)| message_kinds(response) == "RZ")
        .map(|(mut client, _)| {
            let response = client.request(&read_statement(1000));
            assert_eq!(message_kinds(&response), "TDCZ", "expected a response from the data server");
            client
        })
        .collect();
    assert!(clients.len() < 64, "expected fewer clients than sockets");
    let started = Instant::now();
    while message_kinds(&connect_with_response(&proxy).1) != "RZ" {
        assert!(started.elapsed() < TEST_TIMEOUT, "expected an idle client to be evicted");
    }
    assert_eq!(read_once(&mut clients[0].stream, &mut [0]).expect("a close without a reset"), 0);
    let last = clients.last_mut().expect("the proxy accepts some clients");
    assert_eq!(message_kinds(&last.request(&read_statement(1000))), "TDCZ");
}

/// While the proxy is stopped, idle clients send a request and new clients connect, so that the proxy sees
/// the requests and the need to evict idle clients at the same time.
#[test]
fn a_client_with_a_pending_request_is_not_evicted() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 192, sockets: 128 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let mut idle: Vec<_> = (0..20).map(|_| connect_with_response(&proxy).0).collect();
    let text = |n: usize| read_statement(3000).replace("id=1", &format!("id={n}"));
    (0..).zip(&mut idle).for_each(|(n, client)| assert_eq!(message_kinds(&client.request(&text(n))), "TDCZ"));
    std::thread::sleep(Duration::from_millis(2100)); // clients idle for less than 2 s are not evicted
    proxy.signal("STOP");
    let new_clients: Vec<_> = (0..60).map(|_| Client::open(&proxy)).collect();
    (20..).zip(&mut idle).for_each(|(n, client)| client.send(&query(&text(n))));
    proxy.signal("CONT");
    for client in &mut idle {
        assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    }
    drop(new_clients);
}

/// Clients that have sent no request may use only a share of the connections. Beyond this share, a new client
/// must send its first request at once. A client within the share is served even if its first request arrives
/// slowly.
#[test]
fn clients_without_a_request_use_only_a_share_of_the_connections() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 192, sockets: 64 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let mut slow = Client::open(&proxy);
    let request = [startup(), query(&write_statement(3000))].concat();
    slow.send(&request[..9]);
    let mut silent: Vec<_> = (0..20).map(|_| Client::open(&proxy)).collect();
    let mut last = silent.pop().expect("20 clients were opened");
    assert_eq!(read_once(&mut last.stream, &mut [0]).expect("a close without a reset"), 0);
    silent[0].stream.set_nonblocking(true).expect("the socket can be made non-blocking");
    let first = read_once(&mut silent[0].stream, &mut [0]).map_err(|e| e.kind());
    assert_eq!(
        first,
        Err(std::io::ErrorKind::WouldBlock),
        "expected the first silent client, within the share, to stay connected"
    );
    slow.send(&request[9..]);
    assert_eq!(message_kinds(&[slow.read_response(), slow.read_response()].concat()), "RZTDCZ");
    let mut active = Client::open(&proxy);
    active.send(&[startup(), query(&read_statement(1000))].concat());
    assert_eq!(message_kinds(&[active.read_response(), active.read_response()].concat()), "RZTDCZ");
}

/// The memory limit bounds the buffers and not the number of clients.
#[test]
fn a_small_memory_limit_allows_many_clients() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::NoResponse);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 32, sockets: 256 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let clients: Vec<_> = (0..256 / 3)
        .map(|number| {
            let (mut client, response) = connect_with_response(&proxy);
            assert_eq!(message_kinds(&response), "RZ");
            client.send(&query(&write_statement_with_id(&format!("{number}"), 3000)));
            client
        })
        .collect();
    drop(clients);
}

/// The values together need many times the memory limit. Values that wait for memory must not block short
/// requests.
#[test]
fn large_values_pass_both_ways_within_a_small_memory_limit() {
    let value: Vec<u8> = (0..4 << 20).map(|i| (i % 251) as u8).collect();
    let stored = value.clone();
    let digits = hex::encode(&value);
    let server = ScriptedServer::start(ServerRole::Primary, move |text| {
        let is_large = text.contains(r"'\x0001");
        Reply::Row(if is_large { stored.clone() } else { b"v".to_vec() })
    });
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 32, sockets: 1024 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let text = |number: usize| {
        write_statement_with_id(&format!("w{number}"), 3000).replace(r"\x00'", &format!(r"\x{digits}'"))
    };
    let (slow, mut clients): (Vec<_>, Vec<_>) =
        (0..12).map(|_| (Client::connect(&proxy), Client::connect(&proxy))).unzip();
    // Each client sends half a statement. The halves together exceed the memory limit.
    let halves: Vec<_> = slow
        .into_iter()
        .map(|mut client| {
            std::thread::spawn(move || client.stream.write_all(&query(&"x".repeat(8 << 20))[..4 << 20]))
        })
        .collect();
    assert_eq!(
        message_kinds(&Client::connect(&proxy).request(&write_statement(3000))),
        "TDCZ",
        "expected a short request to be served"
    );
    let responses: Vec<_> = clients
        .drain(..)
        .enumerate()
        .map(|(number, mut client)| {
            let text = text(number);
            std::thread::spawn(move || {
                client.send(&query(&text));
                client.read_response()
            })
        })
        .collect();
    for response in responses.into_iter().map(|thread| thread.join().expect("no client panics")) {
        assert_eq!(message_kinds(&response), "TDCZ");
        assert!(response.iter().any(|m| m.0 == b'D' && m.1.ends_with(&value)), "expected the complete value");
    }
    let statement = server.statements().iter().find(|t| t.contains("w0,")).expect("a write").clone();
    let (head, tail) = text(0)
        .split_once("d=3000")
        .map(|(head, tail)| (head.to_owned(), tail.to_owned()))
        .expect("the statement has a timeout");
    assert!(statement.starts_with(&head) && statement.ends_with(&tail), "expected only d to differ");
    halves.into_iter().for_each(|half| drop(half.join()));
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a status file");
    let peak_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a VmHWM line");
    let peak_kb: u32 = peak_kb.trim().trim_end_matches(" kB").parse().expect("VmHWM is a number");
    assert!(peak_kb < 32_000, "peak memory is {peak_kb} kB, expected less than 32000 kB");
}
