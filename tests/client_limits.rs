//! Limits on clients: timeouts of startup and query, connection limits, eviction of idle clients, and memory.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{query, startup};
use rstest::rstest;
use support::*;

/// A client that cannot be served is closed 3 s after it connected. An unfinished startup packet or query must not use
/// capacity for good.
#[rstest]
#[case::nothing(vec![], "")]
#[case::half_a_startup_packet(startup()[..9].to_vec(), "E")]
#[case::half_a_query([startup(), query(&read_statement(1000))[..40].to_vec()].concat(), "RZE")]
fn incomplete_input_is_closed_after_a_timeout(#[case] bytes: Vec<u8>, #[case] expected_kinds: &str) {
    let proxy = start_proxy(&[]);
    let mut client = Client::open(&proxy);
    client.send(&bytes);
    let response = [client.read_response(), client.read_response()].concat();
    assert_eq!(message_kinds(&response), expected_kinds);
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a clean end"), 0);
}

#[test]
fn clients_over_the_limit_are_rejected_and_use_no_capacity() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Nothing);
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
        client.send(&query(&write_statement(3000).replace("id=2", &format!("id={}", clients.len()))));
        clients.push(client);
        assert!(clients.len() < 64, "more clients than descriptors");
    };
    assert_error_response(&rejection, "E", "53300");
    (0..20).for_each(|_| drop(connect_with_response(&proxy)));
    clients.pop();
    let since = Instant::now();
    while message_kinds(&connect_with_response(&proxy).1) != "RZ" {
        assert!(since.elapsed() < TEST_TIMEOUT, "the capacity that became free is used again");
    }
    // The log does not get one line for each rejected client.
    proxy.signal("TERM");
    let lines: Vec<_> = proxy.log.iter().collect();
    let rejection_lines = lines.iter().filter(|line| line.contains(" client: rejected ")).count();
    assert!((1..=2).contains(&rejection_lines), "expected 1 or 2 lines about rejected clients: {lines:#?}");
}

/// Idle connections must not keep out clients that have a request.
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
            assert_eq!(message_kinds(&response), "TDCZ", "it has a connection to its server");
            client
        })
        .collect();
    assert!(clients.len() < 64, "more clients than descriptors");
    let since = Instant::now();
    while message_kinds(&connect_with_response(&proxy).1) != "RZ" {
        assert!(since.elapsed() < TEST_TIMEOUT, "an idle client is evicted");
    }
    assert_eq!(read_once(&mut clients[0].stream, &mut [0]).expect("a clean end"), 0);
    let last = clients.last_mut().expect("some are admitted");
    assert_eq!(message_kinds(&last.request(&read_statement(1000))), "TDCZ");
}

/// The program is stopped, so that it finds a request and the clients that need its connection's capacity at once.
#[test]
fn a_client_is_served_its_pending_request_before_eviction() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 192, sockets: 128 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let mut idle: Vec<_> = (0..20).map(|_| connect_with_response(&proxy).0).collect();
    let text = |n: usize| read_statement(3000).replace("id=1", &format!("id={n}"));
    (0..).zip(&mut idle).for_each(|(n, client)| assert_eq!(message_kinds(&client.request(&text(n))), "TDCZ"));
    std::thread::sleep(Duration::from_millis(2100)); // a client that was idle for less is not evicted
    proxy.signal("STOP");
    let crowd: Vec<_> = (0..60).map(|_| Client::open(&proxy)).collect();
    (20..).zip(&mut idle).for_each(|(n, client)| client.send(&query(&text(n))));
    proxy.signal("CONT");
    for client in &mut idle {
        assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    }
    drop(crowd);
}

/// Clients that send nothing get a share of the connections. Beyond it a new client must send a request at once; it is
/// served also where its request comes slowly.
#[test]
fn silent_clients_do_not_displace_active_ones() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 192, sockets: 64 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let mut slow = Client::open(&proxy);
    let request = [startup(), query(&write_statement(3000))].concat();
    slow.send(&request[..9]);
    let mut silent: Vec<_> = (0..20).map(|_| Client::open(&proxy)).collect();
    let mut last = silent.pop().expect("there are twenty");
    assert_eq!(read_once(&mut last.stream, &mut [0]).expect("a clean end"), 0);
    silent[0].stream.set_nonblocking(true).expect("a socket");
    let first = read_once(&mut silent[0].stream, &mut [0]).map_err(|e| e.kind());
    assert_eq!(first, Err(std::io::ErrorKind::WouldBlock), "it came within the share of silent clients");
    slow.send(&request[9..]);
    assert_eq!(message_kinds(&[slow.read_response(), slow.read_response()].concat()), "RZTDCZ");
    let mut active = Client::open(&proxy);
    active.send(&[startup(), query(&read_statement(1000))].concat());
    assert_eq!(message_kinds(&[active.read_response(), active.read_response()].concat()), "RZTDCZ");
}

/// Memory is bounded by the buffers and not by the number of clients.
#[test]
fn a_small_memory_limit_admits_many_clients() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Nothing);
    let proxy = start_proxy_with_limits(
        ProcessLimits { memory_mb: 32, sockets: 256 },
        &[server.endpoint("a", "read-write", "Ready")],
    );
    let clients: Vec<_> = (0..256 / 3)
        .map(|number| {
            let (mut client, response) = connect_with_response(&proxy);
            assert_eq!(message_kinds(&response), "RZ");
            client.send(&query(&write_statement(3000).replace("id=2", &format!("id={number}"))));
            client
        })
        .collect();
    drop(clients);
}

/// The values together are many times the memory. Those that wait for memory keep out no short request.
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
        write_statement(3000)
            .replace("id=2", &format!("id=w{number}"))
            .replace(r"\x00'", &format!(r"\x{digits}'"))
    };
    let (slow, mut clients): (Vec<_>, Vec<_>) =
        (0..12).map(|_| (Client::connect(&proxy), Client::connect(&proxy))).unzip();
    // Half a statement each, together more than the memory.
    let halves: Vec<_> = slow
        .into_iter()
        .map(|mut client| {
            std::thread::spawn(move || client.stream.write_all(&query(&"x".repeat(8 << 20))[..4 << 20]))
        })
        .collect();
    assert_eq!(
        message_kinds(&Client::connect(&proxy).request(&write_statement(3000))),
        "TDCZ",
        "short requests are served meanwhile"
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
    for response in responses.into_iter().map(|thread| thread.join().expect("no panic")) {
        assert_eq!(message_kinds(&response), "TDCZ");
        assert!(response.iter().any(|m| m.0 == b'D' && m.1.ends_with(&value)), "the value is complete");
    }
    let statement = server.statements().iter().find(|t| t.contains("w0,")).expect("it came").clone();
    let (head, tail) = text(0)
        .split_once("d=3000")
        .map(|(head, tail)| (head.to_owned(), tail.to_owned()))
        .expect("so written");
    assert!(statement.starts_with(&head) && statement.ends_with(&tail), "unchanged but for d");
    halves.into_iter().for_each(|half| drop(half.join()));
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a figure");
    let peak: u32 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 32_000, "{peak} kB");
}
