//! Guarantees of the driver to the routing engine and to clients, whatever events the client side and the
//! server side report.

#[path = "../core/tests/common/mod.rs"]
mod common;

use std::cell::RefCell;
use std::rc::Rc;

use common::*;
use pipittack::api::*;
use pipittack::net::buffers::BufferPool;
use pipittack::net::driver::{
    AttemptCommand, AttemptResult, Clock, Driver, DriverParts, NewRequest, PeerLink, ReceivedFromPeer,
    Response, ServerCommand,
};
use pipittack::net::server::{self, Query, ReuseStatistics, ServerOptions};
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::query;
use tokio::sync::mpsc::UnboundedReceiver;

type TestDriver = Driver<&'static str, &'static str>;
type TestCommands = UnboundedReceiver<ServerCommand<&'static str>>;

/// Class that [`start_driver`] adds to those of the common settings.
const LINEARIZABLE_READ: ClassId = ClassId(5);

/// Starts a driver with a cached endpoint list: server 1 is the primary, servers 2 and 3 are replicas.
fn start_driver(clock: Clock) -> (TestDriver, TestCommands) {
    let mut settings = settings();
    let linearizable = Class { consistency: Consistency::Linearizable, ..settings.classes[0].clone() };
    settings.classes.push(linearizable);
    let DriverParts { driver, server_commands, .. } =
        DriverParts::new(settings, 7, clock).expect("the settings are valid");
    driver.endpoints_updated(
        EndpointUpdate::Cached(vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)]),
        [],
    );
    (driver, server_commands)
}

fn new_request(class: ClassId) -> NewRequest {
    NewRequest { class, group: GroupId(1), time_left: ms(2000), ..NewRequest::default() }
}

/// Returns the next attempt that the driver commands; `None` if there is none. Skips other commands.
fn next_attempt(commands: &mut TestCommands) -> Option<AttemptCommand<&'static str>> {
    while let Ok(command) = commands.try_recv() {
        if let ServerCommand::StartAttempt(attempt) = command {
            return Some(attempt);
        }
    }
    None
}

fn attempt_result(
    outcome: Outcome,
    primary: bool,
    position: std::time::Duration,
) -> AttemptResult<&'static str> {
    let status = Some(ServerStatus { position: Some(position), primary: Some(primary) });
    AttemptResult {
        outcome,
        status,
        load_report: None,
        response: (outcome == Outcome::Success).then_some("value"),
    }
}

#[test]
fn the_first_response_is_final_and_later_results_are_dropped() {
    let (driver, mut commands) = start_driver(Clock::start());
    let (_, mut response) = driver.submit(new_request(KEYED_WRITE), "query");
    driver.step();
    let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    assert_eq!((*attempt.query, attempt.server, attempt.id.number), ("query", ServerId(1), AttemptNumber(0)));
    for _ in 0..2 {
        driver.attempt_ended(attempt.id, attempt_result(Outcome::Success, true, driver.clock().now()));
    }
    assert_eq!(response.try_recv(), Ok(Response::Served("value")));
    assert_eq!(driver.requests_in_flight(), 0);
    driver.step();
    assert!(next_attempt(&mut commands).is_none());
}

#[test]
fn a_result_for_an_unknown_attempt_is_dropped() {
    let (driver, mut commands) = start_driver(Clock::start());
    let id = AttemptId { request: RequestId(99), number: AttemptNumber(0) };
    driver.attempt_ended(id, attempt_result(Outcome::Success, true, driver.clock().now()));
    driver.step();
    assert!(next_attempt(&mut commands).is_none() && driver.requests_in_flight() == 0);
}

#[test]
fn a_client_disconnect_cancels_the_attempt_and_drops_the_response() {
    let (driver, mut commands) = start_driver(Clock::start());
    let (id, mut response) = driver.submit(new_request(KEYED_WRITE), "query");
    driver.step();
    let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    driver.client_disconnected(id);
    driver.step();
    assert!(
        matches!(commands.try_recv(), Ok(ServerCommand::CancelAttempt(cancelled)) if cancelled == attempt.id)
    );
    assert!(response.try_recv().is_err());
}

/// The server side must drop the state of removed servers. Otherwise its state grows with each server that is
/// listed.
#[rstest::rstest]
#[case::removed(EndpointUpdate::Changes(vec![Endpoint { state: EndpointState::Removed, ..endpoint(3, false) }]), &[3])]
#[case::draining(EndpointUpdate::Changes(vec![Endpoint { state: EndpointState::Draining, ..endpoint(3, false) }]), &[])]
#[case::not_in_the_complete_list(EndpointUpdate::Full(vec![endpoint(2, false), endpoint(4, true)]), &[1, 3])]
#[case::never_listed(EndpointUpdate::Changes(vec![Endpoint { state: EndpointState::Removed, ..endpoint(9, false) }]), &[])]
fn removed_servers_are_reported_to_the_server_side(#[case] update: EndpointUpdate, #[case] expected: &[u32]) {
    let (driver, mut commands) = start_driver(Clock::start());
    driver.endpoints_updated(update, []);
    let mut removed = Vec::new();
    while let Ok(command) = commands.try_recv() {
        if let ServerCommand::RemoveServer(server) = command {
            removed.push(server.0);
        }
    }
    assert_eq!(removed, expected);
    assert!(driver.knows_group(GroupId(1)) && !driver.knows_group(GroupId(9)));
}

#[test]
fn attempts_are_numbered_in_the_order_of_sending() {
    let (driver, mut commands) = start_driver(Clock::start());
    let (_, _response) = driver.submit(new_request(KEYED_WRITE), "query");
    // The listed primary answers that it is not the primary. The engine then tries the other members in turn.
    for expected in 0..2 {
        driver.step();
        let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
        assert_eq!(attempt.id.number, AttemptNumber(expected));
        driver.attempt_ended(attempt.id, attempt_result(Outcome::Misdirected, false, driver.clock().now()));
    }
}

/// The staleness bound must hold when the query is sent, even if the attempt waited for a connection. An
/// attempt at a replica therefore has a staleness deadline, after which the replica's last known position is
/// too old. A primary is up to date, so an attempt at a primary has no such deadline.
#[test]
fn an_attempt_at_a_replica_has_a_staleness_deadline() {
    let clock = Clock::start();
    let (driver, mut commands) = start_driver(clock);
    let (mut at_replica, mut at_primary) = (0, 0);
    for round in 0..200 {
        let (_, _response) =
            driver.submit(new_request(if round < 50 { EVENTUAL_READ } else { BOUNDED_READ }), "query");
        driver.step();
        while let Some(attempt) = next_attempt(&mut commands) {
            let primary = attempt.server == ServerId(1);
            if round >= 50 {
                (at_primary, at_replica) =
                    (at_primary + u32::from(primary), at_replica + u32::from(!primary));
                assert_eq!(attempt.send_deadline.is_none(), primary);
            }
            driver.attempt_ended(attempt.id, attempt_result(Outcome::Success, primary, clock.now()));
        }
    }
    assert!(at_replica > 0, "expected reads at replicas: {at_replica} there, {at_primary} at the primary");
}

/// Guards against a bounded read that is written when the data is too old: it waits for a connection, and the position
/// of its replica is known from a load report alone (trial late-connections of the second review).
#[rstest::rstest]
#[case::report_with_role(Some(false))]
#[case::report_without_role(None)]
fn a_replica_known_from_a_load_report_has_a_staleness_deadline(#[case] role: Option<bool>) {
    let clock = Clock::start();
    let (driver, mut commands) = start_driver(clock);
    for server in [ServerId(2), ServerId(3)] {
        let report = |primary| LoadReport { position: Some(clock.now()), primary, ..LoadReport::default() };
        driver.health_checked(server, true, Some(report(Some(false))));
        driver.health_checked(server, true, Some(report(role)));
    }
    driver.step();
    let mut at_replica = 0;
    for _ in 0..50 {
        let (_, _response) = driver.submit(new_request(BOUNDED_READ), "query");
        driver.step();
        while let Some(attempt) = next_attempt(&mut commands) {
            if attempt.server != ServerId(1) {
                at_replica += 1;
                assert!(attempt.send_deadline.is_some(), "read {at_replica} at a replica has no deadline");
            }
        }
    }
    assert!(at_replica > 0, "expected reads at replicas");
}

#[track_caller]
fn assert_no_strong_read_is_sent_to_server_1(driver: &TestDriver, commands: &mut TestCommands) {
    for _ in 0..10 {
        let (_, _response) = driver.submit(new_request(LINEARIZABLE_READ), "query");
        driver.step();
        let servers: Vec<_> =
            std::iter::from_fn(|| next_attempt(commands)).map(|attempt| attempt.server).collect();
        assert!(!servers.contains(&ServerId(1)), "{servers:?}");
    }
}

/// Guards against strong reads that go on to a former primary: it says that it is a replica only at the end of a long
/// row, when the attempt has already ended (review case 6).
#[test]
fn no_strong_read_goes_to_a_server_whose_late_status_says_that_it_is_a_replica() {
    let (driver, mut commands) = start_driver(Clock::start());
    let (_, _response) = driver.submit(new_request(LINEARIZABLE_READ), "query");
    driver.step();
    let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    assert_eq!(attempt.server, ServerId(1), "the listed primary");
    let without_status =
        AttemptResult { status: None, ..attempt_result(Outcome::Success, true, driver.clock().now()) };
    driver.attempt_ended(attempt.id, without_status);
    let status = ServerStatus { position: Some(driver.clock().now()), primary: Some(false) };
    driver.status_reported(ServerId(1), status, attempt.sent_at);
    assert_no_strong_read_is_sent_to_server_1(&driver, &mut commands);
}

/// Peer process that has sent these messages, each of which is received once.
struct TellingPeer(RefCell<Vec<PeerMessage>>);

impl PeerLink for TellingPeer {
    fn send(&self, _: &PeerMessage) {}

    fn close(&self) {}

    fn send_executed_id(&self, _: &str) {}

    fn receive(&self) -> ReceivedFromPeer {
        ReceivedFromPeer { messages: self.0.take(), ..ReceivedFromPeer::default() }
    }
}

/// Guards against a successor that sends strong reads to a former primary: the server told the predecessor its role after
/// the state was taken, and before it is restored (review case 9).
#[test]
fn a_successor_believes_what_a_server_has_told_its_predecessor_since_the_state_was_taken() {
    let clock = Clock::start();
    let (predecessor, mut commands) = start_driver(clock);
    let (_, _response) = predecessor.submit(new_request(KEYED_WRITE), "query");
    predecessor.step();
    let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    predecessor.attempt_ended(attempt.id, attempt_result(Outcome::Success, true, clock.now()));
    let state = predecessor.snapshot();

    let (successor, mut commands) = start_driver(clock);
    let told = PeerMessage::RoleReported { server: ServerId(1), is_primary: false };
    successor.connect_peer(Rc::new(TellingPeer(RefCell::new(vec![told]))));
    successor.step();
    successor.restore(state, clock.zero_unix_ms());
    successor.step();
    assert_no_strong_read_is_sent_to_server_1(&successor, &mut commands);
}

/// Guards against a client that reads through the other process of a hot restart before that knows of the role which the
/// client's last response has shown.
#[test]
fn the_peer_is_told_each_change_of_a_role_before_the_client_gets_the_response() {
    let (driver, mut commands) = start_driver(Clock::start());
    let peer = Rc::new(RecordingPeer::default());
    driver.connect_peer(peer.clone());
    for (outcome, is_primary) in
        [(Outcome::Success, true), (Outcome::Success, true), (Outcome::Misdirected, false)]
    {
        let (_, mut response) = driver.submit(new_request(KEYED_WRITE), "query");
        driver.step();
        let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
        driver.attempt_ended(attempt.id, attempt_result(outcome, is_primary, driver.clock().now()));
        assert_eq!(response.try_recv().is_ok(), outcome == Outcome::Success);
        let last = PeerMessage::RoleReported { server: ServerId(1), is_primary };
        assert_eq!(peer.0.borrow().last(), Some(&last));
    }
    assert_eq!(peer.0.borrow().len(), 2, "{:?}", peer.0.borrow());
}

/// Data servers may close idle connections earlier than the settings say; such a connection breaks at its
/// next query. Connections are not reused after an idle time at which they break often. If connections break
/// as often after a short idle time, the idle time is not the cause and stays unlimited.
#[rstest::rstest]
#[case::long_idle_connections_break(0.0, 0.5, true)]
#[case::long_idle_connections_break_rarely(0.03, 0.05, false)]
#[case::short_idle_connections_break_as_often(0.4, 0.4, false)]
fn idle_connections_are_reused_up_to_the_idle_time_at_which_they_break(
    #[case] short_idle_break_share: f64,
    #[case] long_idle_break_share: f64,
    #[case] is_limited: bool,
) {
    let mut statistics = ReuseStatistics::default();
    let (mut due_breaks, mut now) = ([0.0, 0.0], 0.0);
    for _ in 0..100 {
        for (due, (share, idle_ms)) in
            due_breaks.iter_mut().zip([(short_idle_break_share, 10), (long_idle_break_share, 300)])
        {
            *due += share;
            statistics.record(now, ms(idle_ms), *due >= 1.0);
            *due %= 1.0;
        }
        now += 0.01;
    }
    assert_eq!(statistics.max_idle_time(now), is_limited.then_some(ms(256)));
    assert_eq!(
        statistics.max_idle_time(now + 100.0),
        None,
        "expected long idle connections to be tried again after 100 s"
    );
}

/// If an attempt failed for lack of a socket, a short shortage would use up all attempts of a request within
/// a few steps.
#[test]
fn an_attempt_waits_for_a_socket() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime can be built");
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Row(b"v".to_vec()));
    let clock = Clock::start();
    let DriverParts { driver, server_commands, .. } =
        DriverParts::new(settings(), 7, clock).expect("the settings are valid");
    let options = ServerOptions {
        max_sockets: 1,
        connect_timeout: ms(5000),
        max_idle_time: std::time::Duration::ZERO,
        health_checks_return_load_reports: false,
        start_timeout: None,
    };
    let pool = BufferPool::default();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(server::run(driver.clone(), server_commands, options, pool.clone()));
        let stepping = driver.clone();
        tokio::task::spawn_local(async move { stepping.run().await });
        driver.endpoints_updated(
            EndpointUpdate::Cached(vec![endpoint(1, true)]),
            [(ServerId(1), server.address)],
        );
        let responses: Vec<_> = (0..8)
            .map(|_| {
                let mut message = pool.chain();
                message.extend(&query("SELECT d=0"));
                driver.submit(new_request(UNIQUE_WRITE), Query { message, timeout_range: 14..15 }).1
            })
            .collect();
        for response in responses {
            assert!(matches!(response.await, Ok(Response::Served(_))));
        }
    });
    assert_eq!(server.statement_count(), 8);
}

#[test]
fn unix_times_keep_their_order_when_converted_to_the_clock() {
    let clock = Clock::start();
    let unix_time = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the system clock is past 1970");
    let unix_ms = unix_time.as_millis() as f64;
    assert!(clock.from_unix_ms(unix_ms) < clock.from_unix_ms(unix_ms + 1.0));
    assert!(clock.from_unix_ms(unix_ms - 1000.0) < clock.now());
    assert_eq!(clock.from_unix_ms(0.0), std::time::Duration::ZERO);
    assert_eq!(clock.from_unix_ms(f64::INFINITY), std::time::Duration::ZERO);
}

/// Requests in flight keep the rules of their class. A changed class therefore gets an id that no request in
/// flight uses.
#[test]
fn new_settings_apply_to_requests_submitted_after_them() {
    let (driver, mut commands) = start_driver(Clock::start());
    driver.submit(new_request(KEYED_WRITE), "open");
    driver.step();
    let open_attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    let changed = Class { deadline: ms(900), ..settings().classes[KEYED_WRITE.0].clone() };
    let single_attempt = Settings {
        classes: vec![settings().classes[BOUNDED_READ.0].clone(), changed],
        limits: Limits { max_attempts: 1, ..settings().limits },
        ..settings()
    };
    let ids = driver.reconfigure(single_attempt.clone(), &[Some(BOUNDED_READ), None], &[]);
    assert_eq!(
        ids,
        [BOUNDED_READ, SESSION_READ],
        "expected the id of a removed class without requests for the changed class"
    );
    let (_, mut new_response) = driver.submit(new_request(ids[1]), "new");
    driver.step();
    let new_attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    for attempt in [open_attempt, new_attempt] {
        driver.attempt_ended(attempt.id, attempt_result(Outcome::ConnectFailed, true, driver.clock().now()));
    }
    let retries = std::iter::repeat_with(|| {
        std::thread::yield_now(); // the engine retries at the server once the clock has advanced
        driver.step();
        next_attempt(&mut commands)
    });
    let retry = retries.take(1 << 22).flatten().next().expect("the old attempt limit applies");
    assert_eq!((*retry.query, retry.id.number), ("open", AttemptNumber(1)));
    assert!(
        matches!(new_response.try_recv(), Ok(Response::Rejected(_))),
        "expected no retry of the new request"
    );
    assert_eq!(
        driver.reconfigure(single_attempt, &[Some(BOUNDED_READ), None], &[SESSION_READ]),
        [BOUNDED_READ, UNIQUE_WRITE],
        "expected an id that is not in use"
    );
    assert_eq!(driver.max_deadline(), ms(2000));
}

/// A client gets its response before the next step of the engine. A snapshot for a successor that is taken in
/// between must contain the commit; otherwise the successor could serve the session a stale read.
#[test]
fn a_write_acknowledged_since_the_last_step_is_in_the_snapshot() {
    let settings = Settings { session_tokens: SessionTokens::Tracked, ..settings() };
    let parts: DriverParts<&str, &str> =
        DriverParts::new(settings, 7, Clock::start()).expect("the settings are valid");
    let (driver, mut commands) = (parts.driver, parts.server_commands);
    driver.endpoints_updated(EndpointUpdate::Cached(vec![endpoint(1, true), endpoint(2, false)]), []);
    let write = NewRequest { session: Some("s".into()), ..new_request(KEYED_WRITE) };
    let (_, mut response) = driver.submit(write, "query");
    driver.step();
    let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    let commit = driver.clock().now();
    driver.attempt_ended(attempt.id, attempt_result(Outcome::Success, true, commit));
    assert_eq!(response.try_recv(), Ok(Response::Served("value")));
    let session_tokens = driver.snapshot().session_tokens;
    assert_eq!(session_tokens, [("s".to_owned(), commit.as_secs_f64())]);
}

/// Peer process that records the messages that the driver sends to it.
#[derive(Default)]
struct RecordingPeer(RefCell<Vec<PeerMessage>>);

impl PeerLink for RecordingPeer {
    fn send(&self, message: &PeerMessage) {
        self.0.borrow_mut().push(message.clone());
    }

    fn close(&self) {}

    fn send_executed_id(&self, _: &str) {}

    fn receive(&self) -> ReceivedFromPeer {
        ReceivedFromPeer::default()
    }
}

impl RecordingPeer {
    /// Returns the last commit that was sent for a session, in seconds on the driver's clock.
    fn last_commit(&self, name: &str) -> Option<f64> {
        self.0.borrow().iter().rev().find_map(|message| match message {
            PeerMessage::SessionWrite { session, commit } if session == name => Some(*commit),
            _ => None,
        })
    }
}

/// Guards against a long write that leaves no session token: its attempt ends before the response has told the
/// commit position. Until then the token is an upper bound, here, in a snapshot and in the peer process.
#[test]
fn a_write_whose_response_has_no_position_yet_leaves_a_token_here_and_in_the_peer() {
    let settings = Settings { session_tokens: SessionTokens::Tracked, ..settings() };
    let parts: DriverParts<&str, &str> =
        DriverParts::new(settings, 7, Clock::start()).expect("the settings are valid");
    let (driver, mut commands) = (parts.driver, parts.server_commands);
    let peer = Rc::new(RecordingPeer::default());
    driver.connect_peer(peer.clone());
    driver.endpoints_updated(EndpointUpdate::Cached(vec![endpoint(1, true), endpoint(2, false)]), []);
    let write = NewRequest { session: Some("s".into()), ..new_request(KEYED_WRITE) };
    let (_, mut response) = driver.submit(write, "query");
    driver.step();
    let attempt = next_attempt(&mut commands).expect("the driver commands an attempt");
    assert_eq!(attempt.writing_session.as_deref(), Some("s"));
    let ended_at = driver.clock().now();
    let result =
        AttemptResult { response: Some("value"), ..AttemptResult::without_response(Outcome::Success) };
    driver.attempt_ended(attempt.id, result);
    assert_eq!(response.try_recv(), Ok(Response::Served("value")));
    assert!(peer.last_commit("s") >= Some(ended_at.as_secs_f64()));
    let token = driver.snapshot().session_tokens.pop().map(|(_, token)| token);
    assert!(token >= Some(ended_at.as_secs_f64()), "{token:?}");

    let commit = ended_at + ms(700);
    driver.write_committed("s", Some(commit));
    assert_eq!(peer.last_commit("s"), Some(commit.as_secs_f64()));
    assert_eq!(driver.snapshot().session_tokens, [("s".to_owned(), commit.as_secs_f64())]);
}

/// During a process pause, a successor may have taken over and served writes. For a grace period after the
/// pause, the driver therefore assumes that any session has just written. The shorter times between two steps
/// of an idle process do not count as a pause.
#[tokio::test(start_paused = true)]
async fn a_process_pause_raises_the_session_floor() {
    let settings = Settings { session_tokens: SessionTokens::Tracked, ..settings() };
    let parts: DriverParts<&str, &str> =
        DriverParts::new(settings, 7, Clock::start()).expect("the settings are valid");
    let driver = parts.driver;
    driver.endpoints_updated(EndpointUpdate::Cached(vec![endpoint(1, true), endpoint(2, false)]), []);
    let initial_floor = driver.snapshot().session_floor;
    for idle_time in [ms(250), ms(600)] {
        tokio::time::advance(idle_time).await;
        assert_eq!(driver.snapshot().session_floor, initial_floor);
    }
    tokio::time::advance(ms(1200)).await;
    let resumed_at = driver.clock().now();
    assert!(
        driver.snapshot().session_floor > Some(resumed_at.as_secs_f64()),
        "expected the floor to cover writes of any session during the pause"
    );
    tokio::time::advance(ms(700)).await;
    assert!(driver.snapshot().session_floor < Some(driver.clock().now().as_secs_f64()));
}

/// Submits reads of a class until the driver commands an attempt at server 1, the primary.
fn read_attempt_at_primary(
    driver: &TestDriver,
    commands: &mut TestCommands,
    class: ClassId,
) -> AttemptCommand<&'static str> {
    for _ in 0..100 {
        let written_at = driver.clock().now();
        let last_write_unix_ms = Some(driver.clock().zero_unix_ms() + written_at.as_secs_f64() * 1e3);
        let read = NewRequest { session: Some("s".into()), last_write_unix_ms, ..new_request(class) };
        // The receiver is dropped: the response is not part of the test.
        drop(driver.submit(read, "query"));
        driver.step();
        while let Some(attempt) = next_attempt(commands) {
            if attempt.server == ServerId(1) {
                return attempt;
            }
        }
        std::thread::sleep(ms(5));
    }
    panic!("the driver commands no attempt at the primary");
}

/// Guards against a stale read: an attempt that was decided while the server counted as the primary may wait for
/// a connection until the server has reported that it is a replica.
#[rstest::rstest]
#[case::session_read(SESSION_READ)]
#[case::bounded_read(BOUNDED_READ)]
fn a_read_at_a_primary_is_not_sent_once_the_server_reports_that_it_is_a_replica(#[case] class: ClassId) {
    let (driver, mut commands) = start_driver(Clock::start());
    let read = read_attempt_at_primary(&driver, &mut commands, class);
    assert!(driver.may_send_attempt(read.id, read.server));
    driver.submit(new_request(KEYED_WRITE), "query");
    driver.step();
    let write = next_attempt(&mut commands).expect("the driver commands an attempt");
    assert_eq!(write.server, ServerId(1));
    assert!(driver.may_send_attempt(write.id, write.server));
    driver.attempt_ended(write.id, attempt_result(Outcome::Misdirected, false, ms(0)));
    assert!(!driver.may_send_attempt(read.id, read.server));
}
