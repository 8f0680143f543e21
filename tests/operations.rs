//! Operation of the proxy: the admin API, graceful shutdown and hot restart.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_discovery::list_change;
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{message, query, read_message, row, startup, startup_response};
use rstest::rstest;
use support::*;

/// Changes in discovery, reloads and restarts must not put an offline server back online.
#[test]
fn a_server_taken_offline_stays_offline_until_it_is_put_online() {
    let first = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let second = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints =
        |state| [first.endpoint("a", "read-write", state), second.endpoint("b", "read-only", "Ready")];
    let state_dir = create_state_dir("offline");
    let proxy = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints("Ready"), Some(&state_dir));
    let mut client = Client::connect(&proxy);
    assert_eq!(
        (message_kinds(&client.request(&write_statement(3000))), first.statement_count()),
        ("TDCZ".into(), 1)
    );
    assert_eq!(admin_post(&proxy, "data-servers/never/offline"), Some(404));
    (0..2).for_each(|_| assert_eq!(admin_post(&proxy, "data-servers/a/offline"), Some(200)));
    wait_until("the other server is used", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ" && second.statement_count() > 0
    });
    let count_before = first.statement_count();
    for (revision, state) in [(2, "Gone"), (3, "Ready")] {
        proxy
            .discovery
            .changes
            .send(list_change(revision, &endpoints(state)))
            .expect("the discovery service is running");
        (0..10).for_each(|_| drop(client.request(&write_statement(3000))));
    }
    proxy.signal("HUP");
    proxy.wait_for_log("configuration reloaded");
    (0..10).for_each(|_| drop(client.request(&write_statement(3000))));
    drop((client, proxy));
    // The killed process has stored the offline state, and the next process reads it.
    let proxy = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints("Ready"), Some(&state_dir));
    let mut client = Client::connect(&proxy);
    (0..10).for_each(|_| drop(client.request(&write_statement(3000))));
    assert_eq!(first.statement_count(), count_before, "expected no request to the offline server");
    second.close_all();
    assert_eq!(admin_post(&proxy, "data-servers/b/offline"), Some(200));
    assert_eq!(admin_post(&proxy, "data-servers/a/online"), Some(200));
    wait_until("the server is used again", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ"
            && first.statement_count() > count_before
    });
}

/// Admin connections that send nothing or only part of a request must not block the admin API.
#[test]
fn stalled_admin_connections_do_not_block_other_requests() {
    let proxy = start_proxy(&[]);
    wait_until("the proxy is ready", || is_ready(&proxy));
    let stalled: Vec<_> = (0..40)
        .map(|i| {
            let mut stream =
                TcpStream::connect(proxy.admin_address).expect("the admin API accepts connections");
            stream
                .write_all(&b"POST /control/out-of-serv"[..i % 26])
                .expect("the admin API has not closed the connection");
            stream
        })
        .collect();
    assert!(is_ready(&proxy));
    assert_eq!(admin_request(&proxy, b"GET /control/\r\n\r\n"), Some(400));
    assert_eq!(admin_request(&proxy, &[b'x'; 9000]), Some(431));
    drop(stalled);
}

/// While the instance is out of service, empty queries (the health checks of the load balancer) get an error,
/// requests are served, and idle connections are closed.
#[test]
fn an_instance_out_of_service_closes_idle_clients_and_accepts_new_ones_once_back_in_service() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request("")), "IZ");
    assert_eq!(admin_post(&proxy, "out-of-service"), Some(200));
    let response = client.request("");
    assert_error_response(&response, "EZ", "57P03");
    assert_eq!(
        message_kinds(&client.request(&write_statement(3000))),
        "TDCZ",
        "expected requests to be served"
    );
    assert!(!is_ready(&proxy));
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    let (_, response) = connect_with_response(&proxy);
    assert_error_response(&response, "E", "57P03");
    assert_eq!(admin_post(&proxy, "in-service"), Some(200));
    assert_eq!(message_kinds(&Client::connect(&proxy).request("")), "IZ");
}

#[test]
fn graceful_shutdown_completes_requests_in_flight() {
    let (server, gate) = start_gated_server("");
    let mut proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut busy = Client::connect(&proxy);
    let mut idle = Client::connect(&proxy);
    busy.send(&query(&write_statement(3000)));
    while server.statement_count() == 0 {
        std::thread::yield_now();
    }
    proxy.signal("TERM");
    assert_eq!(
        read_once(&mut idle.stream, &mut [0]).expect("a close without a reset"),
        0,
        "expected the idle connection to be closed"
    );
    gate.send(()).expect("the server waits for the message");
    assert_eq!(message_kinds(&busy.read_response()), "TDCZ");
    assert_eq!(read_once(&mut busy.stream, &mut [0]).expect("a close without a reset"), 0);
    assert!(proxy.child.wait().expect("the process exits").success());
}

/// Pipelined requests are answered in order, even if more signals arrive during the shutdown.
#[test]
fn graceful_shutdown_answers_pipelined_requests() {
    let (server, gate) = start_gated_server("'gated'");
    let mut proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let gated = query(&write_statement(3000).replace("'k'", "'gated'"));
    client.send(
        &[gated, query(&read_statement_with_id("b", 1500)), query(&write_statement_with_id("c", 3000))]
            .concat(),
    );
    wait_until("the request is sent to the server", || server.statement_count() == 1);
    proxy.signal("TERM");
    proxy.wait_for_log("graceful shutdown started");
    proxy.signal("HUP");
    proxy.signal("TERM");
    gate.send(()).expect("the server waits for the message");
    for _ in 0..3 {
        assert_eq!(message_kinds(&client.read_response()), "TDCZ");
    }
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    assert!(proxy.child.wait().expect("the process exits").success());
}

/// Stage of a request at the start of a graceful shutdown. In every stage, the request gets one response, and
/// the connection is closed without a reset.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    HalfRead,
    Connecting,
    InFlight,
    InAcceptQueue,
    BeforeEndpointList,
}

#[rstest]
#[case::half_read(Stage::HalfRead, "TDCZ")]
#[case::connecting(Stage::Connecting, "TDCZ")]
#[case::in_flight(Stage::InFlight, "EZ")]
#[case::in_accept_queue(Stage::InAcceptQueue, "RZTDCZ")]
#[case::before_endpoint_list(Stage::BeforeEndpointList, "EZ")]
fn graceful_shutdown_answers_requests_in_every_stage(#[case] stage: Stage, #[case] expected_kinds: &str) {
    let is_in_flight = stage == Stage::InFlight;
    let server = ScriptedServer::start(ServerRole::Primary, move |text| {
        if is_in_flight {
            Reply::NoResponse
        } else {
            reply_with_row(text)
        }
    });
    let delayed_server = DelayedServer::start();
    let endpoints = match stage {
        Stage::Connecting => vec![delayed_server.endpoint("a", "read-write")],
        Stage::BeforeEndpointList => vec![],
        _ => vec![server.endpoint("a", "read-write", "Ready")],
    };
    let mut proxy = start_proxy_with_config(&config_with_extended_connect_timeout(), &endpoints, None);
    let request = query(&write_statement(2000));
    let sent_length = if stage == Stage::HalfRead { request.len() / 2 } else { request.len() };
    let mut client = if stage == Stage::InAcceptQueue {
        proxy.signal("STOP");
        let mut client = Client::open(&proxy);
        client.send(&[startup(), request.clone()].concat());
        client
    } else {
        let mut client = Client::connect(&proxy);
        client.send(&request[..sent_length]);
        client
    };
    let pending_connection = (stage == Stage::Connecting).then(|| delayed_server.accept());
    if is_in_flight {
        wait_until("the request is sent to the server", || server.statement_count() == 1);
    }
    proxy.signal("TERM");
    proxy.signal("CONT");
    proxy.wait_for_log("graceful shutdown started");
    client.send(&request[sent_length..]);
    if let Some(mut stream) = pending_connection {
        stream.write_all(&startup_response()).expect("the proxy keeps the connection open");
        assert_eq!(read_message(&mut stream).map(|m| m.0), Some(b'Q'));
        stream
            .write_all(&[row(b"v"), message(b'Z', b"I")].concat())
            .expect("the proxy keeps the connection open");
    }
    let startup_messages = if stage == Stage::InAcceptQueue { client.read_response() } else { Vec::new() };
    assert_eq!(message_kinds(&[startup_messages, client.read_response()].concat()), expected_kinds);
    assert_eq!(read_once(&mut client.stream, &mut [0]).expect("a close without a reset"), 0);
    assert!(proxy.child.wait().expect("the process exits").success());
}

/// Guards against a client that is never sent away, since it always has several requests out (trial out-of-service of the
/// second review).
#[test]
fn an_instance_out_of_service_sends_away_a_client_that_is_never_idle() {
    const REQUESTS_OUT: usize = 4;
    const MAX_TIME: Duration = Duration::from_secs(4);
    let server = ScriptedServer::start(ServerRole::Primary, |_| {
        thread::sleep(Duration::from_millis(5));
        Reply::Row(b"v".to_vec())
    });
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let mut ids = (0..).map(|number| query(&read_statement_with_id(&format!("r{number}"), 1000)));
    (0..REQUESTS_OUT).for_each(|_| client.send(&ids.next().expect("ids never end")));
    assert_eq!(admin_post(&proxy, "out-of-service"), Some(200));
    let called_at = Instant::now();
    let (mut served, mut rejected) = (0, 0);
    loop {
        let response = client.read_response();
        match message_kinds(&response).as_str() {
            "TDCZ" => served += 1,
            "EZ" => rejected += 1,
            _ => break,
        }
        assert!(called_at.elapsed() < MAX_TIME, "{served} served, {rejected} rejected");
        // The connection may be closed by now.
        let _ = client.stream.write_all(&ids.next().expect("ids never end"));
    }
    assert!(served > 100, "{served} served, {rejected} rejected");
}

/// Guards against clients that nobody answers: the predecessor of a hot restart is killed while its successor waits for
/// discovery, and the listener stays open (review case 10).
#[test]
fn a_successor_serves_at_once_if_its_predecessor_is_killed() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let state_dir = create_state_dir("killed-predecessor");
    let predecessor = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    let address = predecessor.address;
    let silent_discovery = ManualDiscovery::start();
    let discovery = silent_discovery.address();
    let successor =
        thread::spawn(move || start_successor_with_discovery_at(&endpoints, &state_dir, discovery));
    predecessor.wait_for_log("successor connected");
    thread::sleep(Duration::from_millis(100)); // the successor has the listener and the state
    drop(predecessor);
    let started = Instant::now();
    let response = Client::connect_to(address).request(&read_statement(500));
    assert_eq!(message_kinds(&response), "TDCZ");
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    drop(successor.join().expect("the successor starts"));
}

/// A hot restart must not close any client connection, not even an idle one.
#[test]
fn a_hot_restart_hands_over_the_listener_and_the_clients() {
    let server = start_server_with_marked_reply("id=9", || Reply::NoResponse);
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let state_dir = create_state_dir("upgrade");
    let mut predecessor = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    let mut idle = Client::connect(&predecessor);
    let mut silent = Client::open(&predecessor);
    let mut busy = Client::connect(&predecessor);
    assert_eq!(message_kinds(&idle.request(&write_statement(3000))), "TDCZ");
    busy.send(&query(&write_statement_with_id("9", 3000)));
    wait_until("the request is sent to the server", || server.statement_count() == 2);
    let successor = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    assert_eq!(successor.address, predecessor.address);
    wait_until("the proxy is ready", || is_ready(&successor));
    assert_eq!(message_kinds(&idle.request(&write_statement(3000))), "TDCZ");
    predecessor.signal("TERM");
    silent.send(&startup());
    assert_eq!(message_kinds(&silent.read_response()), "RZ");
    assert_eq!(
        message_kinds(&busy.read_response()),
        "EZ",
        "expected the predecessor to answer its request in flight"
    );
    assert!(predecessor.child.wait().expect("the process exits").success());
    for client in [&mut idle, &mut silent, &mut busy, &mut Client::connect(&successor)] {
        assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    }
    // A killed process must not prevent the next one from starting.
    drop(successor);
    let next = start_proxy_with_config(EXAMPLE_CONFIG, &endpoints, Some(&state_dir));
    assert_eq!(message_kinds(&Client::connect(&next).request(&write_statement(3000))), "TDCZ");
}
