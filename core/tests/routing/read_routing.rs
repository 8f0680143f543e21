//! Tests of the choice of a server for a read.

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

use crate::common::*;

#[test]
fn reads_go_to_fresh_replicas_and_writes_to_the_primary() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    for _ in 0..4 {
        let to = forwarded_to(&harness.submit(BOUNDED_READ));
        assert!(to == [2] || to == [3], "{to:?}");
    }
    assert_eq!(forwarded_to(&harness.submit(KEYED_WRITE)), [1]);
}

#[test]
fn a_read_goes_to_the_less_loaded_of_two_replicas() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let mut at_server_2 = 0;
    let mut at_server_3 = 0;
    for _ in 0..6 {
        match forwarded_to(&harness.submit(BOUNDED_READ))[..] {
            [2] => at_server_2 += 1,
            [3] => at_server_3 += 1,
            [1] => {} // the primary serves some reads if the replicas are busy
            ref other => panic!("{other:?}"),
        }
    }
    assert!(at_server_2 > 0 && i32::abs(at_server_2 - at_server_3) <= 1, "{at_server_2} and {at_server_3}");
}

#[test]
fn a_lagging_replica_gets_no_read_whose_staleness_bound_it_exceeds() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(5000));
    assert_eq!(forwarded_to(&harness.submit(BOUNDED_READ)), [1]);
    let eventual = forwarded_to(&harness.submit(EVENTUAL_READ));
    assert!(eventual == [2] || eventual == [3], "any replica may serve an eventual read: {eventual:?}");
}

#[test]
fn a_queued_read_is_not_forwarded_to_a_replica_that_has_become_too_stale() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    // Both replicas reach their concurrency limits. Then their reported positions exceed the staleness bound.
    while harness.in_flight.len() < 40 && !forwarded_to(&harness.submit(EVENTUAL_READ)).is_empty() {}
    let to: Vec<u32> = forwarded_to(&harness.submit(BOUNDED_READ));
    assert!(to.iter().all(|server| *server == 1), "{to:?}");
    harness.now += ms(1200);
    let attempt =
        *harness.in_flight.iter().find(|attempt| attempt.server != PRIMARY).expect("a replica is busy");
    let after = harness.end_attempt(attempt, Outcome::Timeout, None, ms(0));
    assert!(forwarded_to(&after).iter().all(|server| *server == 1), "{after:?}");
}

#[test]
fn a_session_read_goes_to_a_server_that_has_applied_its_write() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(300));
    let recent = Request { last_write_age: Some(ms(50)), ..harness.new_request(SESSION_READ) };
    assert_eq!(forwarded_to(&harness.step(vec![Event::Request(recent)])), [1]);
    let old = Request { last_write_age: Some(ms(900)), ..harness.new_request(SESSION_READ) };
    assert_ne!(forwarded_to(&harness.step(vec![Event::Request(old)])), [1]);
    let without_write = harness.submit(SESSION_READ);
    assert_ne!(forwarded_to(&without_write), [1]);
}

/// Guards against a replica that gets hardly any reads after its return to service, because it reports its
/// position only in responses.
#[test]
fn an_eventual_read_goes_to_a_replica_whose_position_is_unknown() {
    for returned in [2, 3] {
        let mut harness = Harness::new(settings());
        harness.report_all(ms(10));
        harness.step(vec![Event::TakenOutOfService(ServerId(returned))]);
        harness.step(vec![Event::ReturnedToService(ServerId(returned))]);
        assert_eq!(forwarded_to(&harness.submit(EVENTUAL_READ)), [returned]);
    }
}

#[test]
fn idle_replicas_share_reads() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let mut at_server_2 = 0;
    for _ in 0..40 {
        at_server_2 +=
            forwarded_to(&harness.submit(EVENTUAL_READ)).iter().filter(|server| **server == 2).count();
        harness.now += ms(10);
        harness.end_oldest(Outcome::Success, Some(false), ms(10));
    }
    assert!((8..=32).contains(&at_server_2), "{at_server_2} of 40");
}

#[test]
fn an_idle_primary_serves_some_reads_and_keeps_capacity_for_writes() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let to: Vec<u32> = (0..12).flat_map(|_| forwarded_to(&harness.submit(BOUNDED_READ))).collect();
    let at_primary = to.iter().filter(|server| **server == 1).count();
    assert!(at_primary > 0 && at_primary <= to.len() / 2, "{to:?}");
    assert_eq!(forwarded_to(&harness.submit(KEYED_WRITE)), [1]);
}

#[test]
fn replicas_without_reported_positions_share_reads_if_they_decline_stale_reads() {
    let mut chosen_servers = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let settings = Settings { stale_read_policy: StaleReadPolicy::Decline, ..large_fleet_settings() };
        let mut harness = Harness::new(settings.clone());
        harness.engine = RoutingEngine::new(settings, seed).expect("valid");
        harness.step(vec![Event::Endpoints(EndpointUpdate::Cached(endpoint_list()))]);
        chosen_servers.extend(forwarded_to(&harness.submit(BOUNDED_READ)));
    }
    assert!(chosen_servers.contains(&2) && chosen_servers.contains(&3), "{chosen_servers:?}");
}

/// Guards against reads with a staleness bound that all go to the primary because the replicas rarely respond.
#[test]
fn a_health_check_asks_a_replica_for_its_position_before_the_primary_serves_a_read() {
    let mut settings = large_fleet_settings();
    settings.limits.allow_health_checks = true;
    settings.load_reports = LoadReports::OnHealthCheck;
    let mut harness = Harness::new(settings);
    let first = harness.submit(BOUNDED_READ);
    let checked = first.iter().find_map(|action| match action {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    });
    let checked = checked.unwrap_or_else(|| panic!("no replica was checked: {first:?}"));
    assert!(forwarded_to(&first).is_empty(), "{first:?}");
    let report =
        LoadReport { position: Some(harness.now - ms(100)), primary: Some(false), ..LoadReport::default() };
    harness.now += ms(5);
    let then =
        harness.step(vec![Event::HealthChecked { server: checked, ok: true, load_report: Some(report) }]);
    assert_eq!(forwarded_to(&then), [checked.0]);
}

#[test]
fn no_health_check_is_sent_for_a_position_if_health_checks_return_no_load_report() {
    let mut settings = large_fleet_settings();
    settings.limits.allow_health_checks = true;
    let mut harness = Harness::new(settings);
    let first = harness.submit(BOUNDED_READ);
    assert!(!first.iter().any(|action| matches!(action, Action::HealthCheck { .. })), "{first:?}");
    assert_eq!(forwarded_to(&first), [1], "the read must not wait for a health check");
}

/// The reads of all instances together would overload a slow primary.
#[test]
fn in_a_large_fleet_no_read_goes_to_a_slow_primary() {
    let to_primary = |settings: Settings| {
        let mut harness = Harness::new(settings);
        harness.report_all(ms(5000));
        for _ in 0..6 {
            harness.submit(KEYED_WRITE);
            for _ in 0..24 {
                harness.advance(ms(50));
            }
            while !harness.in_flight.is_empty() {
                harness.end_oldest(Outcome::Success, Some(true), ms(0));
            }
        }
        forwarded_to(&harness.submit(BOUNDED_READ)) == [1]
    };
    assert_eq!((to_primary(settings()), to_primary(large_fleet_settings())), (true, false));
}

#[test]
fn a_session_token_is_stored_while_replicas_are_behind_it() {
    let mut harness = Harness::new(Settings { session_tokens: SessionTokens::Tracked, ..settings() });
    harness.report_all(ms(3000));
    harness.submit(KEYED_WRITE);
    harness.end_oldest(Outcome::Success, Some(true), ms(0));
    harness.advance(ms(200));
    assert_eq!(
        forwarded_to(&harness.submit(SESSION_READ)),
        [1],
        "the replicas are seconds behind the session's write"
    );
}

/// This choice keeps the other replicas free for reads with a staleness bound.
#[test]
fn an_eventual_read_goes_to_the_replica_that_lags_most() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let request = harness.new_request(EVENTUAL_READ);
    let to = forwarded_to(&harness.step(vec![Event::Request(request)]));
    let lagging = to[0];
    harness.end_oldest(Outcome::Success, Some(false), ms(400)); // the replica lags from now on
    for _ in 0..6 {
        assert_eq!(forwarded_to(&harness.submit(EVENTUAL_READ)), [lagging]);
        harness.now += ms(10);
        harness.end_oldest(Outcome::Success, Some(false), ms(400));
    }
    // The other replica serves as well once the lagging replica is so busy that responses would be late.
    let to: Vec<u32> = (0..30).flat_map(|_| forwarded_to(&harness.submit(EVENTUAL_READ))).collect();
    assert!(to.contains(&lagging) && to.iter().any(|server| *server != lagging), "{to:?}");
}
