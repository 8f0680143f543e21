//! Session tokens that the proxy tracks, and the state that passes between two processes of one proxy instance.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::*;
use pipittack_core::api::*;
use pipittack_core::RoutingEngine;
use rstest::rstest;

/// Settings of a proxy that tracks session tokens. Health checks are not permitted.
fn tracking() -> Settings {
    Settings { session_tokens: SessionTokens::Tracked, ..settings() }
}

/// Settings of a proxy that tracks session tokens and gets load reports with health checks.
fn tracking_with_health_checks() -> Settings {
    let mut settings = Settings { load_reports: LoadReports::OnHealthCheck, ..tracking() };
    settings.limits.allow_health_checks = true;
    settings
}

/// An engine to which all members have reported their positions after its start, the replicas with this lag.
fn reported(settings: Settings, lag: Duration) -> Bench {
    let mut bench = Bench::new(settings);
    bench.now += ms(1000);
    bench.report_all(lag);
    bench
}

/// A write of a session, which is served now.
fn write(bench: &mut Bench, session: &str) {
    let request = Request { session: Some(session.into()), ..bench.request(UNIQUE_WRITE) };
    assert_eq!(forwarded_to(&bench.step(vec![Event::Request(request)])), [1]);
    bench.end(Outcome::Success, Some(true), ms(0));
}

/// Where a read of a session goes. Its response reports nothing.
fn read(bench: &mut Bench, session: &str) -> u32 {
    let request = Request { session: Some(session.into()), ..bench.request(SESSION_READ) };
    let to = forwarded_to(&bench.step(vec![Event::Request(request)]));
    bench.end(Outcome::Success, None, ms(0));
    to[0]
}

fn receive(bench: &mut Bench, message: PeerMessage) {
    bench.step(vec![Event::PeerMessage(message)]);
}

#[test]
fn a_new_server_gets_no_session_read_before_it_has_passed_the_session_floor() {
    let mut bench = reported(tracking(), ms(20));
    write(&mut bench, "s");
    bench.now += ms(100);
    bench.report_all(ms(20)); // all members have passed the write, and its token is dropped
    bench.step(vec![Event::Endpoints(EndpointUpdate::Changes(vec![endpoint(9, false)]))]);
    let to: Vec<_> = (0..12).map(|_| read(&mut bench, "s")).collect();
    assert!(!to.contains(&9) && to.iter().any(|to| *to != 1), "{to:?}");
}

#[test]
fn a_server_that_was_out_of_service_gets_no_session_read_before_it_has_passed_the_session_floor() {
    let mut bench = reported(tracking(), ms(20));
    bench.step(vec![Event::TakenOutOfService(ServerId(3))]);
    write(&mut bench, "s");
    bench.now += ms(100);
    bench.report_all(ms(20));
    bench.step(vec![Event::ReturnedToService(ServerId(3))]);
    let to: Vec<_> = (0..12).map(|_| read(&mut bench, "s")).collect();
    assert!(!to.contains(&3) && to.contains(&2), "{to:?}");
}

#[test]
fn any_session_may_have_written_before_the_process_started() {
    let mut bench = Bench::new(tracking());
    assert_eq!(read(&mut bench, "s"), 1, "no replica has reported that it passed the start");
    bench.now += ms(500);
    bench.report_all(ms(2000));
    assert_eq!(read(&mut bench, "s"), 1);
    bench.now += ms(500);
    bench.report_all(ms(20));
    assert_ne!(read(&mut bench, "s"), 1);
}

/// How a replica is asked for its position.
#[derive(Clone, Copy, PartialEq)]
enum PositionCheck {
    HealthCheck,
    DeclinedWrite,
}

/// A replica that has reported nothing serves no session read, so it is asked: by a health check where that returns a
/// load report, else by a write that it declines.
#[rstest]
#[case::by_a_health_check(PositionCheck::HealthCheck)]
#[case::by_a_write(PositionCheck::DeclinedWrite)]
fn a_replica_that_has_reported_nothing_is_asked_for_its_position(#[case] check: PositionCheck) {
    let (settings, class) = match check {
        PositionCheck::HealthCheck => (tracking_with_health_checks(), SESSION_READ),
        PositionCheck::DeclinedWrite => (tracking(), UNIQUE_WRITE),
    };
    let mut bench = Bench::new(settings);
    let mut asked = BTreeSet::new();
    for _ in 0..6 {
        bench.now += ms(300);
        let actions = bench.call(class);
        for action in &actions {
            match action {
                Action::HealthCheck { server } => {
                    asked.insert(server.0);
                    let report = LoadReport {
                        position: Some(bench.now),
                        primary: Some(false),
                        ..LoadReport::default()
                    };
                    let checked =
                        Event::HealthChecked { server: *server, ok: true, load_report: Some(report) };
                    bench.step(vec![checked]);
                }
                Action::Forward { server, .. }
                    if *server != PRIMARY && check == PositionCheck::DeclinedWrite =>
                {
                    asked.insert(server.0);
                    bench.end(Outcome::Misdirected, Some(false), ms(0));
                }
                _ => {}
            }
        }
        while !bench.sent.is_empty() {
            bench.end(Outcome::Success, Some(true), ms(0));
        }
    }
    assert_eq!(asked.into_iter().collect::<Vec<_>>(), [2, 3]);
}

#[test]
fn session_tokens_and_the_session_floor_pass_to_a_successor() {
    let mut old = reported(tracking(), ms(20));
    write(&mut old, "dropped");
    old.now += ms(100);
    old.report_all(ms(20));
    write(&mut old, "stored");
    // The zero of the successor's clock lies 40 s after the other one's.
    let mut snapshot = old.engine.snapshot();
    snapshot.shift_times(-40.0);
    let mut new = Bench::new(tracking());
    new.now = old.now - ms(40_000);
    new.engine = RoutingEngine::new(tracking(), 8).expect("valid");
    new.step(vec![
        Event::Endpoints(EndpointUpdate::Cached(endpoint_list())),
        Event::SnapshotReceived(Box::new(snapshot)),
    ]);
    assert_ne!(read(&mut new, "dropped"), 1, "the positions pass as well");
    assert_eq!(read(&mut new, "stored"), 1);
    new.report_all(ms(20));
    assert_ne!(read(&mut new, "stored"), 1, "the replicas have passed the write by now");
}

#[test]
fn without_a_session_floor_in_the_snapshot_any_session_may_have_just_written() {
    let mut new = reported(tracking(), ms(20));
    assert_ne!(read(&mut new, "s"), 1);
    new.step(vec![Event::SnapshotReceived(Box::default())]);
    assert_eq!(read(&mut new, "s"), 1, "it may have just written");
    new.now += ms(100);
    new.report_all(ms(20));
    assert_ne!(read(&mut new, "s"), 1);
}

#[test]
fn messages_of_the_peer_process_bind_this_one() {
    let mut bench = reported(tracking(), ms(20));
    let commit = bench.now.as_secs_f64();
    receive(&mut bench, PeerMessage::SessionWrite { session: "s".into(), commit });
    assert_eq!((read(&mut bench, "s"), read(&mut bench, "t") != 1), (1, true));
    receive(&mut bench, PeerMessage::PeerUnreachable(true));
    bench.now += ms(100);
    bench.report_all(ms(20));
    assert_eq!(read(&mut bench, "t"), 1, "any session may have just written");
    receive(&mut bench, PeerMessage::PeerUnreachable(false));
    assert_eq!(read(&mut bench, "t"), 1, "or while the peer was unreachable");
    bench.now += ms(100);
    bench.report_all(ms(20));
    assert_ne!(read(&mut bench, "t"), 1);
    receive(&mut bench, PeerMessage::ServerWithdrawn(ServerId(3)));
    for _ in 0..8 {
        assert_ne!(read(&mut bench, "t"), 3, "the peer learned that it drains");
    }
}

#[test]
fn a_commit_counts_for_its_session_although_the_client_has_left() {
    let mut bench = reported(tracking(), ms(20));
    let request = Request { session: Some("s".into()), ..bench.request(UNIQUE_WRITE) };
    let id = request.id;
    bench.step(vec![Event::Request(request)]);
    bench.step(vec![Event::ClientDisconnected(id)]);
    bench.end(Outcome::Success, Some(true), ms(0));
    assert_eq!(read(&mut bench, "s"), 1);
}

#[test]
fn impossible_figures_of_a_snapshot_are_not_restored() {
    let mut bench = reported(tracking(), ms(2000));
    let mut snapshot = bench.engine.snapshot();
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
    bench.step(vec![Event::SnapshotReceived(Box::new(snapshot))]);
    assert_eq!(read(&mut bench, "s"), 1);

    bench.now += ms(500);
    assert_eq!(forwarded_to(&bench.call(BOUNDED_READ)), [1], "no replica looks fresher than it reported");
}

/// The successor's endpoint list may not say when the server started.
#[test]
fn a_warming_server_still_warms_up_after_a_hot_restart() {
    let mut old = reported(settings(), ms(20));
    old.step(vec![Event::TakenOutOfService(ServerId(3))]);
    old.step(vec![Event::ReturnedToService(ServerId(3))]);
    let warming = |snapshot: &StateSnapshot| {
        snapshot.servers.iter().map(|server| server.started.is_some()).collect::<Vec<_>>()
    };
    let snapshot = old.engine.snapshot();
    assert_eq!(warming(&snapshot), [false, false, true]);
    let mut new = Bench::new(settings());
    new.now = old.now;
    new.step(vec![Event::SnapshotReceived(Box::new(snapshot))]);
    assert_eq!(warming(&new.engine.snapshot()), [false, false, true]);
    let sent = (0..200).flat_map(|_| forwarded_to(&new.call(EVENTUAL_READ))).filter(|to| *to == 3).count();
    assert!(sent <= 1, "{sent} requests at once at a server that starts");
}
