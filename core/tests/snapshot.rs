//! What sessions have written, where the proxy remembers it, and what passes between two processes of one proxy.

mod common;

use std::time::Duration;

use common::*;
use pipittack_core::api::*;
use pipittack_core::api::{PeerMessage, StateSnapshot};
use rstest::rstest;

/// A deployment whose proxies keep marks; load reports come with probes, as far as `probes`.
fn kept(probes: bool) -> Settings {
    let mut settings = Settings { session_tokens: SessionTokens::Tracked, ..settings() };
    settings.limits.allow_health_checks = probes;
    if probes {
        settings.load_reports = LoadReports::OnHealthCheck;
    }
    settings
}

/// A gateway to which all servers have told where they stand after its start: the primary, and replicas `behind` it.
fn heard(settings: Settings, behind: Duration) -> Bench {
    let mut b = Bench::new(settings);
    b.now += ms(1000);
    b.hear_all(behind);
    b
}

/// A write of a session, served now.
fn writes(b: &mut Bench, session: &str) {
    let request = Request { session: Some(session.into()), ..b.request(ONCE) };
    assert_eq!(targets(&b.step(vec![Event::Request(request)])), [1]);
    b.end(Outcome::Success, Some(true), ms(0));
}

/// Where a read of a session goes, and its end there, which tells nothing.
fn reads(b: &mut Bench, session: &str) -> u32 {
    let request = Request { session: Some(session.into()), ..b.request(OWN) };
    let to = targets(&b.step(vec![Event::Request(request)]));
    b.end(Outcome::Success, None, ms(0));
    to[0]
}

fn told(b: &mut Bench, word: PeerMessage) {
    b.step(vec![Event::PeerMessage(word)]);
}

#[test]
fn a_server_that_comes_later_gets_no_session_read_before_it_has_passed_what_was_forgotten() {
    let mut b = heard(kept(false), ms(20));
    writes(&mut b, "s");
    b.now += ms(100);
    b.hear_all(ms(20)); // all have passed the write, and its mark is forgotten
    b.step(vec![Event::Endpoints(EndpointUpdate::Changes(vec![entry(9, false)]))]);
    let to: Vec<_> = (0..12).map(|_| reads(&mut b, "s")).collect();
    assert!(!to.contains(&9) && to.iter().any(|to| *to != 1), "{to:?}");
}

#[test]
fn a_server_that_was_out_gets_no_session_read_before_it_has_passed_what_was_forgotten() {
    let mut b = heard(kept(false), ms(20));
    b.step(vec![Event::TakenOutOfService(ServerId(3))]);
    writes(&mut b, "s");
    b.now += ms(100);
    b.hear_all(ms(20));
    b.step(vec![Event::ReturnedToService(ServerId(3))]);
    let to: Vec<_> = (0..12).map(|_| reads(&mut b, "s")).collect();
    assert!(!to.contains(&3) && to.contains(&2), "{to:?}");
}

#[test]
fn a_process_does_not_know_what_was_written_before_its_start() {
    let mut b = Bench::new(kept(false));
    assert_eq!(reads(&mut b, "s"), 1, "nobody has told that he has passed the start");
    b.now += ms(500);
    b.hear_all(ms(2000));
    assert_eq!(reads(&mut b, "s"), 1);
    b.now += ms(500);
    b.hear_all(ms(20));
    assert_ne!(reads(&mut b, "s"), 1);
}

/// Who has told nothing is asked, so that it is of use: by a probe where reports tell, else by a write on its way.
#[rstest]
#[case::by_a_probe(true)]
#[case::by_a_write(false)]
fn a_replica_that_has_told_nothing_is_asked(#[case] probes: bool) {
    let mut b = Bench::new(kept(probes));
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..6 {
        b.now += ms(300);
        let request = b.request(if probes { OWN } else { ONCE });
        let actions = b.step(vec![Event::Request(request)]);
        for action in &actions {
            match action {
                Action::HealthCheck { server } => {
                    asked.insert(server.0);
                    let report =
                        LoadReport { position: Some(b.now), primary: Some(false), ..LoadReport::default() };
                    b.step(vec![Event::HealthChecked {
                        server: *server,
                        ok: true,
                        load_report: Some(report),
                    }]);
                }
                Action::Forward { server, .. } if server.0 != 1 && !probes => {
                    asked.insert(server.0);
                    b.end(Outcome::Misdirected, Some(false), ms(0));
                }
                _ => {}
            }
        }
        while !b.sent.is_empty() {
            b.end(Outcome::Success, Some(true), ms(0));
        }
    }
    assert_eq!(asked.into_iter().collect::<Vec<_>>(), [2, 3]);
}

#[test]
fn marks_pass_to_a_successor_and_so_does_what_was_forgotten() {
    let mut old = heard(kept(false), ms(20));
    writes(&mut old, "forgotten");
    old.now += ms(100);
    old.hear_all(ms(20));
    writes(&mut old, "marked");
    // Its clock's zero lies 40 s before the other one's.
    let mut heritage = old.gateway.snapshot();
    heritage.shift(-40.0);
    let mut new = Bench::new(kept(false));
    new.now = old.now - ms(40_000);
    let list = vec![entry(1, true), entry(2, false), entry(3, false)];
    new.gateway = pipittack_core::RoutingEngine::new(kept(false), 8).expect("valid");
    new.step(vec![
        Event::Endpoints(EndpointUpdate::Cached(list)),
        Event::SnapshotReceived(Box::new(heritage)),
    ]);
    assert_ne!(reads(&mut new, "forgotten"), 1, "positions pass too, so nobody has to ask anew");
    assert_eq!(reads(&mut new, "marked"), 1);
    new.hear_all(ms(20));
    assert_ne!(reads(&mut new, "marked"), 1, "its replicas have passed it by now");
}

#[test]
fn a_successor_that_is_told_nothing_of_sessions_counts_the_worst() {
    let mut new = heard(kept(false), ms(20));
    assert_ne!(reads(&mut new, "s"), 1);
    new.step(vec![Event::SnapshotReceived(Box::default())]);
    assert_eq!(reads(&mut new, "s"), 1, "it may have written just now");
    new.now += ms(100);
    new.hear_all(ms(20));
    assert_ne!(reads(&mut new, "s"), 1);
}

#[test]
fn what_the_other_process_acknowledges_binds_this_one() {
    let mut b = heard(kept(false), ms(20));
    let commit = b.now.as_secs_f64();
    told(&mut b, PeerMessage::SessionWrite { session: "s".into(), commit });
    assert_eq!((reads(&mut b, "s"), reads(&mut b, "t") != 1), (1, true));
    told(&mut b, PeerMessage::PeerUnreachable(true));
    b.now += ms(100);
    b.hear_all(ms(20));
    assert_eq!(reads(&mut b, "t"), 1, "any session may have written just now");
    told(&mut b, PeerMessage::PeerUnreachable(false));
    assert_eq!(reads(&mut b, "t"), 1, "or while nothing could be heard");
    b.now += ms(100);
    b.hear_all(ms(20));
    assert_ne!(reads(&mut b, "t"), 1);
    told(&mut b, PeerMessage::ServerWithdrawn(ServerId(3)));
    for _ in 0..8 {
        assert_ne!(reads(&mut b, "t"), 3, "the other one was told that it drains");
    }
}

/// A write whose client left before its answer came has gone through all the same.
#[test]
fn a_commit_that_nobody_waits_for_any_more_counts() {
    let mut b = heard(kept(false), ms(20));
    let request = Request { session: Some("s".into()), ..b.request(ONCE) };
    let id = request.id;
    b.step(vec![Event::Request(request)]);
    b.step(vec![Event::ClientGone(id)]);
    b.end(Outcome::Success, Some(true), ms(0));
    assert_eq!(reads(&mut b, "s"), 1);
}

#[test]
fn figures_that_cannot_be_are_not_taken_over() {
    let mut b = heard(kept(false), ms(2000));
    let mut heritage = b.gateway.snapshot();
    for s in &mut heritage.servers {
        (s.position, s.last_response, s.concurrency_limit) = (Some(f64::INFINITY), f64::NAN, Some(f64::NAN));
        (s.started, s.warm_up_budget, s.down) = (Some(1e300), f64::NAN, Some((f64::NEG_INFINITY, true)));
    }
    heritage.session_floor = Some(f64::NAN);
    heritage.session_tokens.push(("t".into(), f64::INFINITY));
    b.step(vec![Event::SnapshotReceived(Box::new(heritage))]);
    assert_eq!(reads(&mut b, "s"), 1);

    b.now += ms(500);
    assert_eq!(targets(&b.call(LOOK)), [1], "no replica looks fresher than it told");
}

/// A server that the old process knew to be cold is cold to its successor, whose list may not say so.
#[test]
fn a_cold_server_stays_cold_over_an_upgrade() {
    let mut old = heard(settings(), ms(20));
    old.step(vec![Event::TakenOutOfService(ServerId(3))]);
    old.step(vec![Event::ReturnedToService(ServerId(3))]);
    let cold =
        |heritage: &StateSnapshot| heritage.servers.iter().map(|s| s.started.is_some()).collect::<Vec<_>>();
    let heritage = old.gateway.snapshot();
    assert_eq!(cold(&heritage), [false, false, true]);
    let mut new = Bench::new(settings());
    new.now = old.now;
    new.step(vec![Event::SnapshotReceived(Box::new(heritage))]);
    assert_eq!(cold(&new.gateway.snapshot()), [false, false, true]);
    let sent = (0..200).flat_map(|_| targets(&new.call(ANY))).filter(|to| *to == 3).count();
    assert!(sent <= 1, "{sent} requests at once at a server that starts");
}
