//! Discovery: watches, changes of the endpoint list, and discovery services that fail or stop responding.

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
    proxy.discovery.changes.send(primary_change(2, &old, &new)).expect("the discovery service is running");
    // After the first write to the new primary, no write may be sent to the old one.
    while new.statement_count() == 0 {
        client.request(&write_statement(3000));
    }
    let count_before = old.statement_count();
    (0..10).for_each(|_| drop(client.request(&write_statement(3000))));
    assert_eq!(old.statement_count(), count_before);
}

#[test]
fn an_ended_watch_is_reopened_from_the_last_revision() {
    let proxy = start_proxy(&[]);
    let next_request_line = || proxy.discovery.request_lines.recv_timeout(TEST_TIMEOUT).expect("a request");
    assert_eq!(next_request_line(), "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
    proxy.discovery.changes.send(list_change(7, &[])).expect("the discovery service is running");
    proxy.discovery.changes.send(String::new()).expect("the discovery service is running");
    assert_eq!(next_request_line(), "GET /v1/endpoints?watch=1&from=7 HTTP/1.1");
}

/// Proxy with a discovery service and a cached endpoint list of two servers, the first of which is the
/// primary.
struct Fixture {
    old: ScriptedServer,
    new: ScriptedServer,
    cached_endpoints: [String; 2],
    discovery: ManualDiscovery,
    proxy: Proxy,
}

impl Fixture {
    fn start() -> Self {
        let old = ScriptedServer::start(ServerRole::Primary, reply_with_row);
        let new = ScriptedServer::start(ServerRole::Primary, reply_with_row);
        let cached_endpoints =
            [old.endpoint("a", "read-write", "Ready"), new.endpoint("b", "read-only", "Ready")];
        let discovery = ManualDiscovery::start();
        let proxy = start_proxy_with_discovery_at(EXAMPLE_CONFIG, &cached_endpoints, discovery.address());
        Self { old, new, cached_endpoints, discovery, proxy }
    }
}

/// Returns the change of the endpoint list after a switchover from the first server to the second.
fn primary_change(revision: u32, old: &ScriptedServer, new: &ScriptedServer) -> String {
    let endpoints =
        [old.endpoint("a", "read-write", "Terminating"), new.endpoint("b", "read-write", "Ready")];
    list_change(revision, &endpoints)
}

#[rstest]
#[case::one_line(|text: &str| vec![format!("{text}\n")])]
#[case::indented(|text: &str| vec![text.replace(',', ",\n    ").replace('{', "{\n  ").replace('}', "\n}")])]
#[case::one_character_per_chunk(|text: &str| text.chars().map(String::from).chain(["\n".to_owned()]).collect())]
#[case::several_values_in_one_chunk(|text: &str| vec![format!("\n{{\"rev\":2,\"all\":false}}{text}{{\"rev\":9,")])]
#[case::longer_than_a_buffer(|text: &str| vec![" ".repeat(40_000) + text])]
fn a_change_takes_effect_in_any_layout_and_chunking(#[case] chunks_of: fn(&str) -> Vec<String>) {
    let Fixture { old, new, discovery, proxy, .. } = Fixture::start();
    let (_, mut stream) = discovery.accept_watch();
    for chunk in chunks_of(&primary_change(3, &old, &new)) {
        send_chunk(&mut stream, &chunk);
    }
    let mut client = Client::connect(&proxy);
    wait_until("the change takes effect", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ" && new.statement_count() > 0
    });
}

/// Changes count as missed if no complete message arrives for 6 s. Within that time, the proxy must reopen a
/// watch that is silent or delivers only whitespace, even if the first new connection fails.
#[rstest]
#[case::silent_from_the_start("", false)]
#[case::silent_after_a_line("\n", false)]
#[case::silent_in_the_middle_of_a_list(r#"{"rev":3,"all":true,"targets":["#, false)]
#[case::slow_whitespace("\n", true)]
fn a_watch_without_a_complete_message_is_reopened_in_time(
    #[case] first_chunk: &str,
    #[case] sends_slowly: bool,
) {
    let discovery = ManualDiscovery::start();
    let _proxy = start_proxy_with_discovery_at(EXAMPLE_CONFIG, &[], discovery.address());
    let (_, mut stream) = discovery.accept_watch();
    if !first_chunk.is_empty() {
        send_chunk(&mut stream, first_chunk);
    }
    let last_message_at = Instant::now();
    let mut slow_stream = stream.try_clone().expect("the socket can be cloned");
    std::thread::spawn(move || {
        while sends_slowly && slow_stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(300));
        }
    });
    // The first new connection fails. The second one must arrive within the 6 s too.
    drop(discovery.accept_request());
    drop(discovery.accept_request());
    assert!(
        last_message_at.elapsed() < Duration::from_secs(6),
        "reopened after {:?}",
        last_message_at.elapsed()
    );
}

/// A list without a content length is incomplete if the connection ends before its closing brace. A list in a
/// response with an error status is ignored too.
#[rstest]
#[case::truncated(200, false)]
#[case::reset(200, true)]
#[case::wrong_status(500, false)]
fn an_incomplete_or_failed_response_is_ignored(#[case] status: u16, #[case] resets: bool) {
    let Fixture { old, new, discovery, proxy, .. } = Fixture::start();
    let (_, mut stream) = discovery.accept_request();
    let complete = full_list(5, &[new.endpoint("b", "read-write", "Ready")]);
    let body = if status == 200 { &complete[..complete.len() - 1] } else { &complete[..] };
    stream
        .write_all(format!("HTTP/1.1 {status} X\r\n\r\n{body}").as_bytes())
        .expect("the proxy keeps the connection open");
    if resets {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("SO_LINGER can be set");
    }
    drop(stream);
    let (path, _stream) = discovery.accept_watch();
    assert_eq!(path, "/v1/endpoints?watch=1&from=1", "expected a request for changes to the cached list");
    assert_eq!(message_kinds(&Client::connect(&proxy).request(&write_statement(3000))), "TDCZ");
    assert_eq!(
        (old.statement_count(), new.statement_count()),
        (1, 0),
        "expected the cached list to stay in effect"
    );
}

/// A restarted discovery service starts again at the first revision. Its changes cannot be applied to the
/// cached list of a later revision.
#[test]
fn a_change_to_an_older_revision_triggers_a_request_for_the_complete_list() {
    let Fixture { old, new, discovery, proxy, cached_endpoints } = Fixture::start();
    let (_, mut stream) = discovery.accept_watch();
    send_chunk(&mut stream, &format!("{}\n", full_list(8, &cached_endpoints)));
    send_chunk(&mut stream, &format!("{}\n", primary_change(3, &old, &new)));
    let (path, mut stream) = discovery.accept_watch();
    assert_eq!(path, "/v1/endpoints?watch=1&from=0");
    let mut client = Client::connect(&proxy);
    assert_eq!(
        (message_kinds(&client.request(&write_statement(3000))), old.statement_count()),
        ("TDCZ".into(), 1)
    );
    send_chunk(&mut stream, &format!("{}\n", full_list(3, &[new.endpoint("b", "read-write", "Ready")])));
    wait_until("the complete list takes effect", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ" && new.statement_count() > 0
    });
}

/// Clients that connect and send nothing can use up the sockets for clients. Discovery and data servers have
/// reserved sockets.
#[test]
fn idle_clients_leave_sockets_for_discovery_and_data_servers() {
    let old = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let discovery = ManualDiscovery::start();
    let endpoints = [old.endpoint("a", "read-write", "Ready")];
    let config = config_with_limits(ProcessLimits { memory_mb: 192, sockets: 64 });
    let proxy = start_proxy_with_discovery_at(&config, &endpoints, discovery.address());
    drop(discovery.accept_request());
    let mut client = Client::connect(&proxy);
    let idle: Vec<_> =
        (0..100).map(|_| TcpStream::connect(proxy.address).expect("the proxy accepts connections")).collect();
    let (_, mut stream) = discovery.accept_watch();
    let new = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    send_chunk(&mut stream, &format!("{}\n", primary_change(2, &old, &new)));
    wait_until("the change takes effect", || {
        message_kinds(&client.request(&write_statement(3000))) == "TDCZ" && new.statement_count() > 0
    });
    drop(idle);
}

/// Guards against a setting that is accepted and not served: a site whose lists come unasked got no list at all, and
/// requests went to servers that drained.
#[rstest]
#[case::automatic(r#""Discovery": "automatic""#, r#""AskEveryMs": 10000"#)]
#[case::no_interval(r#""Discovery": "automatic""#, r#""AskEveryMs": 0"#)]
fn a_proxy_whose_lists_come_unasked_keeps_to_a_drain(#[case] mode: &str, #[case] interval: &str) {
    let old = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let new = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints = [old.endpoint("a", "read-write", "Ready"), new.endpoint("b", "read-only", "Ready")];
    let config = EXAMPLE_CONFIG
        .replace(r#""Discovery": "subscribe""#, mode)
        .replace(r#""AskEveryMs": 10000"#, interval);
    let proxy = start_proxy_with_config(&config, &endpoints, None);
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    proxy.discovery.request_lines.recv_timeout(TEST_TIMEOUT).expect("the proxy watches the list");
    proxy.discovery.changes.send(primary_change(2, &old, &new)).expect("the discovery service is running");
    let started = Instant::now();
    while new.statement_count() == 0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "expected writes at the new primary");
        client.request(&write_statement(3000));
    }
    let count_before = old.statement_count();
    (0..10).for_each(|_| drop(client.request(&write_statement(3000))));
    assert_eq!(old.statement_count(), count_before);
    let further_calls = proxy.discovery.request_lines.try_iter().count();
    assert!(further_calls <= 2, "{further_calls} further calls");
}
