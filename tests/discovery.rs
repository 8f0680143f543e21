//! Discovery: the watch, changes of endpoints, and broken or silent services.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_discovery::{full_list, list_change};
use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use rstest::rstest;
use support::*;

#[test]
fn a_draining_server_gets_no_new_requests() {
    let old = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let new = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy =
        start_proxy(&[old.endpoint("a", "read-write", "Ready"), new.endpoint("b", "read-only", "Ready")]);
    let mut client = Client::connect(&proxy);
    assert_eq!(
        (message_kinds(&client.request(&write_statement(3000))), old.statement_count()),
        ("TDCZ".into(), 1)
    );
    proxy.discovery.changes.send(primary_change(2, &old, &new)).expect("it watches");
    // Once a write has reached the new primary, none may reach the old one.
    while new.statement_count() == 0 {
        client.request(&write_statement(3000));
    }
    let count_before = old.statement_count();
    (0..10).for_each(|_| drop(client.request(&write_statement(3000))));
    assert_eq!(old.statement_count(), count_before);
}

#[test]
fn an_ended_watch_is_reopened_from_the_cached_revision() {
    let proxy = start_proxy(&[]);
    let next_request_line = || proxy.discovery.request_lines.recv_timeout(TEST_TIMEOUT).expect("a request");
    assert_eq!(next_request_line(), "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
    proxy.discovery.changes.send(list_change(7, &[])).expect("it watches");
    proxy.discovery.changes.send(String::new()).expect("it watches");
    assert_eq!(next_request_line(), "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
}

/// A proxy with a list of two servers, of which the first one is the primary, and a discovery service.
struct Fixture {
    old: ScriptedServer,
    new: ScriptedServer,
    known: [String; 2],
    discovery: ManualDiscovery,
    proxy: Proxy,
}

impl Fixture {
    fn start() -> Self {
        let old = ScriptedServer::start(ServerRole::Primary, reply_with_row);
        let new = ScriptedServer::start(ServerRole::Primary, reply_with_row);
        let known = [old.endpoint("a", "read-write", "Ready"), new.endpoint("b", "read-only", "Ready")];
        let discovery = ManualDiscovery::start();
        let proxy = start_proxy_with_discovery(EXAMPLE_CONFIG, &known, discovery.address());
        Self { old, new, known, discovery, proxy }
    }
}

/// The change of the list once the second server has become the primary.
fn primary_change(revision: u32, old: &ScriptedServer, new: &ScriptedServer) -> String {
    let endpoints =
        [old.endpoint("a", "read-write", "Terminating"), new.endpoint("b", "read-write", "Ready")];
    list_change(revision, &endpoints)
}

#[rstest]
#[case::as_a_line(|text: &str| vec![format!("{text}\n")])]
#[case::indented(|text: &str| vec![text.replace(',', ",\n    ").replace('{', "{\n  ").replace('}', "\n}")])]
#[case::one_character_a_chunk(|text: &str| text.chars().map(String::from).chain(["\n".to_owned()]).collect())]
#[case::two_in_one_chunk(|text: &str| vec![format!("\n{{\"rev\":2,\"all\":false}}{text}{{\"rev\":9,")])]
#[case::longer_than_buffers(|text: &str| vec![" ".repeat(40_000) + text])]
fn a_change_takes_effect_once_it_is_complete_in_any_layout(#[case] pieces: fn(&str) -> Vec<String>) {
    let Fixture { old, new, discovery, proxy, .. } = Fixture::start();
    let (_, mut stream) = discovery.accept_watch();
    for piece in pieces(&primary_change(3, &old, &new)) {
        send_chunk(&mut stream, &piece);
    }
    let mut client = Client::connect(&proxy);
    wait_until("the change takes effect", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ" && new.statement_count() > 0
    });
}

/// A watch times out 6 s after its last complete message, whatever else its connection does.
#[rstest]
#[case::silent_from_the_start("", false)]
#[case::silent_behind_a_line("\n", false)]
#[case::silent_in_the_middle_of_a_list(r#"{"rev":3,"all":true,"targets":["#, false)]
#[case::trickling("\n", true)]
fn a_watch_without_a_complete_message_is_reopened_in_time(#[case] first_chunk: &str, #[case] trickles: bool) {
    let discovery = ManualDiscovery::start();
    let _proxy = start_proxy_with_discovery(EXAMPLE_CONFIG, &[], discovery.address());
    let (_, mut stream) = discovery.accept_watch();
    if !first_chunk.is_empty() {
        send_chunk(&mut stream, first_chunk);
    }
    let silent_since = Instant::now();
    let mut trickle = stream.try_clone().expect("a socket");
    std::thread::spawn(move || {
        while trickles && trickle.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(300));
        }
    });
    // The first new connection fails. The next one comes within the timeout too.
    drop(discovery.accept_request());
    drop(discovery.accept_request());
    assert!(silent_since.elapsed() < Duration::from_secs(6), "{:?}", silent_since.elapsed());
}

/// A body without a length is incomplete where the connection ends early. One of the wrong status is ignored too.
#[rstest]
#[case::cut(200, false)]
#[case::reset(200, true)]
#[case::wrong_status(500, false)]
fn an_incomplete_list_is_ignored(#[case] status: u16, #[case] resets: bool) {
    let Fixture { old, new, discovery, proxy, .. } = Fixture::start();
    let (_, mut stream) = discovery.accept_request();
    let complete = full_list(5, &[new.endpoint("b", "read-write", "Ready")]);
    let body = if status == 200 { &complete[..complete.len() - 1] } else { &complete[..] };
    stream.write_all(format!("HTTP/1.1 {status} X\r\n\r\n{body}").as_bytes()).expect("it reads");
    if resets {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }
    drop(stream);
    let (path, _stream) = discovery.accept_watch();
    assert_eq!(path, "/v1/endpoints?watch=1&from=1", "it asks for changes to the cached list");
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&write_statement(3000))), "TDCZ");
    assert_eq!((old.statement_count(), new.statement_count()), (1, 0), "the cached list stays in effect");
}

/// A discovery service that was restarted counts revisions from the beginning. Its changes do not fit the cached list.
#[test]
fn a_change_to_an_older_revision_triggers_a_request_for_the_complete_list() {
    let Fixture { old, new, discovery, proxy, known } = Fixture::start();
    let (_, mut stream) = discovery.accept_watch();
    send_chunk(&mut stream, &format!("{}\n", full_list(8, &known)));
    send_chunk(&mut stream, &format!("{}\n", primary_change(3, &old, &new)));
    let (path, mut stream) = discovery.accept_watch();
    assert_eq!(path, "/v1/endpoints?watch=1&from=0");
    let mut client = Client::connect(&proxy);
    assert_eq!(
        (message_kinds(&client.request(&write_statement(3000))), old.statement_count()),
        ("TDCZ".into(), 1)
    );
    send_chunk(&mut stream, &format!("{}\n", full_list(3, &[new.endpoint("b", "read-write", "Ready")])));
    wait_until("its complete list takes effect", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ" && new.statement_count() > 0
    });
}

/// Clients that connect and send nothing use all their sockets. Discovery and data servers have sockets of their own.
#[test]
fn idle_clients_leave_sockets_for_discovery_and_data_servers() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let discovery = ManualDiscovery::start();
    let known = [server.endpoint("a", "read-write", "Ready")];
    let config = config_with_limits(ProcessLimits { memory_mb: 192, sockets: 64 });
    let proxy = start_proxy_with_discovery(&config, &known, discovery.address());
    drop(discovery.accept_request());
    let mut client = Client::connect(&proxy);
    let idle: Vec<_> = (0..100).map(|_| TcpStream::connect(proxy.address).expect("it listens")).collect();
    let (_, mut stream) = discovery.accept_watch();
    let next = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    send_chunk(&mut stream, &format!("{}\n", primary_change(2, &server, &next)));
    wait_until("the change takes effect", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ" && next.statement_count() > 0
    });
    drop(idle);
}
