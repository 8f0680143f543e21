//! Tests session tokens that the proxy tracks, and the state that is passed between two processes of one
//! proxy instance.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::*;
use pipittack_core::api::*;
use pipittack_core::RoutingEngine;
use rstest::rstest;

/// Returns the settings of a proxy that tracks session tokens. Health checks are not permitted.
fn tracking_settings() -> Settings {
    Settings { session_tokens: SessionTokens::Tracked, ..settings() }
}

/// Returns the settings of a proxy that tracks session tokens and receives load reports with health checks.
fn tracking_settings_with_health_checks() -> Settings {
    let mut settings = Settings { load_reports: LoadReports::OnHealthCheck, ..tracking_settings() };
    settings.limits.allow_health_checks = true;
    settings
}

/// Returns an engine to which all members have reported their positions, the replicas with this lag.
fn harness_with_positions(settings: Settings, lag: Duration) -> Harness {
    let mut harness = Harness::new(settings);
    harness.now += ms(1000);
    harness.report_all(lag);
    harness
}

/// Sends a write of a session, which the primary serves at once.
fn write(harness: &mut Harness, session: &str) {
    let request = Request { session: Some(session.into()), ..harness.new_request(UNIQUE_WRITE) };
    assert_eq!(forwarded_to(&harness.step(vec![Event::Request(request)])), [1]);
    harness.end_oldest(Outcome::Success, Some(true), ms(0));
}

/// Sends a read of a session and returns the server that it is forwarded to. The response reports no status.
fn read(harness: &mut Harness, session: &str) -> u32 {
    let request = Request { session: Some(session.into()), ..harness.new_request(SESSION_READ) };
    let to = forwarded_to(&harness.step(vec![Event::Request(request)]));
    harness.end_oldest(Outcome::Success, None, ms(0));
    to[0]
}

fn receive(harness: &mut Harness, message: PeerMessage) {
    harness.step(vec![Event::PeerMessage(message)]);
}

#[test]
fn a_new_server_gets_no_session_read_before_its_position_reaches_the_session_floor() {
    let mut harness = harness_with_positions(tracking_settings(), ms(20));
    write(&mut harness, "s");
    harness.now += ms(100);
    harness.report_all(ms(20)); // all members have applied the write, so its token is evicted
    harness.step(vec![Event::Endpoints(EndpointUpdate::Changes(vec![endpoint(9, false)]))]);
    let to: Vec<_> = (0..12).map(|_| read(&mut harness, "s")).collect();
    assert!(!to.contains(&9) && to.iter().any(|to| *to != 1), "{to:?}");
}

#[test]
fn a_server_that_was_out_of_service_gets_no_session_read_before_its_position_reaches_the_session_floor() {
    let mut harness = harness_with_positions(tracking_settings(), ms(20));
    harness.step(vec![Event::TakenOutOfService(ServerId(3))]);
    write(&mut harness, "s");
    harness.now += ms(100);
    harness.report_all(ms(20));
    harness.step(vec![Event::ReturnedToService(ServerId(3))]);
    let to: Vec<_> = (0..12).map(|_| read(&mut harness, "s")).collect();
    assert!(!to.contains(&3) && to.contains(&2), "{to:?}");
}

#[test]
fn any_session_may_have_written_before_the_process_started() {
    let mut harness = Harness::new(tracking_settings());
    assert_eq!(
        read(&mut harness, "s"),
        1,
        "no replica has reported a position after the start of the process"
    );
    harness.now += ms(500);
    harness.report_all(ms(2000));
    assert_eq!(read(&mut harness, "s"), 1);
    harness.now += ms(500);
    harness.report_all(ms(20));
    assert_ne!(read(&mut harness, "s"), 1);
}

/// Means by which the position of a replica is probed.
#[derive(Clone, Copy, PartialEq)]
enum PositionProbe {
    HealthCheck,
    DeclinedWrite,
}

/// A replica that has reported no position serves no session read. The engine probes the position with a
/// health check if that returns a load report, otherwise with a write that the replica declines.
#[rstest]
#[case::by_a_health_check(PositionProbe::HealthCheck)]
#[case::by_a_write(PositionProbe::DeclinedWrite)]
fn a_replica_without_a_reported_position_is_probed(#[case] probe: PositionProbe) {
    let (settings, class) = match probe {
        PositionProbe::HealthCheck => (tracking_settings_with_health_checks(), SESSION_READ),
        PositionProbe::DeclinedWrite => (tracking_settings(), UNIQUE_WRITE),
    };
    let mut harness = Harness::new(settings);
    let mut probed = BTreeSet::new();
    for _ in 0..6 {
        harness.now += ms(300);
        let actions = harness.submit(class);
        for action in &actions {
            match action {
                Action::HealthCheck { server } => {
                    probed.insert(server.0);
                    let report = LoadReport {
                        position: Some(harness.now),
                        primary: Some(false),
                        ..LoadReport::default()
                    };
                    let checked =
                        Event::HealthChecked { server: *server, ok: true, load_report: Some(report) };
                    harness.step(vec![checked]);
                }
                Action::Forward { server, .. }
                    if *server != PRIMARY && probe == PositionProbe::DeclinedWrite =>
                {
                    probed.insert(server.0);
                    harness.end_oldest(Outcome::Misdirected, Some(false), ms(0));
                }
                _ => {}
            }
        }
        while !harness.in_flight.is_empty() {
            harness.end_oldest(Outcome::Success, Some(true), ms(0));
        }
    }
    assert_eq!(probed.into_iter().collect::<Vec<_>>(), [2, 3]);
}

#[test]
fn session_tokens_and_the_session_floor_pass_to_a_successor() {
    let mut old = harness_with_positions(tracking_settings(), ms(20));
    write(&mut old, "dropped");
    old.now += ms(100);
    old.report_all(ms(20));
    write(&mut old, "stored");
    // The zero of the successor's clock is 40 s after the zero of the predecessor's clock.
    let mut snapshot = old.engine.snapshot();
    snapshot.shift_times(-40.0);
    let mut new = Harness::new(tracking_settings());
    new.now = old.now - ms(40_000);
    new.engine = RoutingEngine::new(tracking_settings(), 8).expect("valid");
    new.step(vec![
        Event::Endpoints(EndpointUpdate::Cached(endpoint_list())),
        Event::SnapshotReceived(Box::new(snapshot)),
    ]);
    assert_ne!(read(&mut new, "dropped"), 1, "the snapshot contains the positions of the servers");
    assert_eq!(read(&mut new, "stored"), 1);
    new.report_all(ms(20));
    assert_ne!(read(&mut new, "stored"), 1, "the replicas have applied the write");
}

#[test]
fn without_a_session_floor_in_the_snapshot_any_session_may_have_just_written() {
    let mut new = harness_with_positions(tracking_settings(), ms(20));
    assert_ne!(read(&mut new, "s"), 1);
    new.step(vec![Event::SnapshotReceived(Box::default())]);
    assert_eq!(read(&mut new, "s"), 1, "the session may have just written");
    new.now += ms(100);
    new.report_all(ms(20));
    assert_ne!(read(&mut new, "s"), 1);
}

#[test]
fn messages_from_the_peer_process_are_applied() {
    let mut harness = harness_with_positions(tracking_settings(), ms(20));
    let commit = harness.now.as_secs_f64();
    receive(&mut harness, PeerMessage::SessionWrite { session: "s".into(), commit });
    assert_eq!((read(&mut harness, "s"), read(&mut harness, "t") != 1), (1, true));
    receive(&mut harness, PeerMessage::PeerUnreachable(true));
    harness.now += ms(100);
    harness.report_all(ms(20));
    assert_eq!(read(&mut harness, "t"), 1, "any session may have just written");
    receive(&mut harness, PeerMessage::PeerUnreachable(false));
    assert_eq!(read(&mut harness, "t"), 1, "the session may have written while the peer was unreachable");
    harness.now += ms(100);
    harness.report_all(ms(20));
    assert_ne!(read(&mut harness, "t"), 1);
    receive(&mut harness, PeerMessage::ServerWithdrawn(ServerId(3)));
    for _ in 0..8 {
        assert_ne!(read(&mut harness, "t"), 3, "the peer reported that the server drains");
    }
}

#[test]
fn a_commit_raises_the_session_token_after_the_client_has_disconnected() {
    let mut harness = harness_with_positions(tracking_settings(), ms(20));
    let request = Request { session: Some("s".into()), ..harness.new_request(UNIQUE_WRITE) };
    let id = request.id;
    harness.step(vec![Event::Request(request)]);
    harness.step(vec![Event::ClientDisconnected(id)]);
    harness.end_oldest(Outcome::Success, Some(true), ms(0));
    assert_eq!(read(&mut harness, "s"), 1);
}

#[test]
fn invalid_numbers_in_a_snapshot_are_not_restored() {
    let mut harness = harness_with_positions(tracking_settings(), ms(2000));
    let mut snapshot = harness.engine.snapshot();
    for server in &mut snapshot.servers {
        server.position = Some(f64::INFINITY);
        server.last_response = f64::NAN;
        server.concurrency_limit = Some(f64::NAN);
        server.started = Some(1e300);
        server.warm_up_budget = f64::NAN;
        server.down = Some((f64::NEG_INFINITY, true));
    }
    snapshot.session_floor = Some(f64::NAN);
    snapshot.session_tokens.push(("t".into(), f64::INFINITY));
    harness.step(vec![Event::SnapshotReceived(Box::new(snapshot))]);
    assert_eq!(read(&mut harness, "s"), 1);

    harness.now += ms(500);
    assert_eq!(
        forwarded_to(&harness.submit(BOUNDED_READ)),
        [1],
        "the invalid position of the snapshot is ignored, so both replicas are too stale"
    );
}

/// Guards against a successor that sends a warming server full load, because its endpoint list need not
/// contain the start time of the server.
#[test]
fn a_warming_server_still_warms_up_after_a_hot_restart() {
    let mut old = harness_with_positions(settings(), ms(20));
    old.step(vec![Event::TakenOutOfService(ServerId(3))]);
    old.step(vec![Event::ReturnedToService(ServerId(3))]);
    let warming = |snapshot: &StateSnapshot| {
        snapshot.servers.iter().map(|server| server.started.is_some()).collect::<Vec<_>>()
    };
    let snapshot = old.engine.snapshot();
    assert_eq!(warming(&snapshot), [false, false, true]);
    let mut new = Harness::new(settings());
    new.now = old.now;
    new.step(vec![Event::SnapshotReceived(Box::new(snapshot))]);
    assert_eq!(warming(&new.engine.snapshot()), [false, false, true]);
    let sent = (0..200).flat_map(|_| forwarded_to(&new.submit(EVENTUAL_READ))).filter(|to| *to == 3).count();
    assert!(sent <= 1, "{sent} requests sent at once to a server that warms up");
}
