//! Which server a read goes to.

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

use crate::common::*;

#[test]
fn reads_go_to_fresh_replicas_and_writes_to_the_primary() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    for _ in 0..4 {
        let to = forwarded_to(&bench.call(BOUNDED_READ));
        assert!(to == [2] || to == [3], "{to:?}");
    }
    assert_eq!(forwarded_to(&bench.call(KEYED_WRITE)), [1]);
}

#[test]
fn a_read_goes_to_the_less_loaded_of_two_replicas() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let mut at_two = 0;
    let mut at_three = 0;
    for _ in 0..6 {
        match forwarded_to(&bench.call(BOUNDED_READ))[..] {
            [2] => at_two += 1,
            [3] => at_three += 1,
            [1] => {} // the primary relieves busy replicas
            ref other => panic!("{other:?}"),
        }
    }
    assert!(at_two > 0 && i32::abs(at_two - at_three) <= 1, "{at_two} and {at_three}");
}

#[test]
fn a_lagging_replica_gets_no_read_whose_staleness_bound_it_exceeds() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(5000));
    assert_eq!(forwarded_to(&bench.call(BOUNDED_READ)), [1]);
    let eventual = forwarded_to(&bench.call(EVENTUAL_READ));
    assert!(eventual == [2] || eventual == [3], "any member may serve it: {eventual:?}");
}

#[test]
fn staleness_is_checked_when_a_queued_read_is_forwarded() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    // Both replicas reach their concurrency limits; then their reported positions grow old.
    while bench.sent.len() < 40 && !forwarded_to(&bench.call(EVENTUAL_READ)).is_empty() {}
    let to: Vec<u32> = forwarded_to(&bench.call(BOUNDED_READ));
    assert!(to.iter().all(|server| *server == 1), "{to:?}");
    bench.now += ms(1200);
    let attempt = *bench.sent.iter().find(|attempt| attempt.server != PRIMARY).expect("a replica is busy");
    let after = bench.end_attempt(attempt, Outcome::Timeout, None, ms(0));
    assert!(forwarded_to(&after).iter().all(|server| *server == 1), "{after:?}");
}

#[test]
fn a_session_read_goes_to_a_server_that_has_applied_its_write() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(300));
    let recent = Request { last_write_age: Some(ms(50)), ..bench.request(SESSION_READ) };
    assert_eq!(forwarded_to(&bench.step(vec![Event::Request(recent)])), [1]);
    let old = Request { last_write_age: Some(ms(900)), ..bench.request(SESSION_READ) };
    assert_ne!(forwarded_to(&bench.step(vec![Event::Request(old)])), [1]);
    let without_write = bench.call(SESSION_READ);
    assert_ne!(forwarded_to(&without_write), [1]);
}

/// Otherwise a replica that returned to service would get next to no reads, because nothing makes it report.
#[test]
fn an_eventual_read_goes_to_a_replica_whose_position_is_unknown() {
    for returned in [2, 3] {
        let mut bench = Bench::new(settings());
        bench.report_all(ms(10));
        bench.step(vec![Event::TakenOutOfService(ServerId(returned))]);
        bench.step(vec![Event::ReturnedToService(ServerId(returned))]);
        assert_eq!(forwarded_to(&bench.call(EVENTUAL_READ)), [returned]);
    }
}

#[test]
fn idle_replicas_share_reads() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let mut at_two = 0;
    for _ in 0..40 {
        at_two += forwarded_to(&bench.call(EVENTUAL_READ)).iter().filter(|server| **server == 2).count();
        bench.now += ms(10);
        bench.end(Outcome::Success, Some(false), ms(10));
    }
    assert!((8..=32).contains(&at_two), "{at_two} of 40");
}

#[test]
fn an_idle_primary_serves_some_reads_and_keeps_capacity_for_writes() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let to: Vec<u32> = (0..12).flat_map(|_| forwarded_to(&bench.call(BOUNDED_READ))).collect();
    let at_primary = to.iter().filter(|server| **server == 1).count();
    assert!(at_primary > 0 && at_primary <= to.len() / 2, "{to:?}");
    assert_eq!(forwarded_to(&bench.call(KEYED_WRITE)), [1]);
}

#[test]
fn replicas_that_have_reported_nothing_share_the_reads_they_check_themselves() {
    let mut seen = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let settings = Settings { stale_read_policy: StaleReadPolicy::Decline, ..large_fleet_settings() };
        let mut bench = Bench::new(settings.clone());
        bench.engine = RoutingEngine::new(settings, seed).expect("valid");
        bench.step(vec![Event::Endpoints(EndpointUpdate::Cached(endpoint_list()))]);
        seen.extend(forwarded_to(&bench.call(BOUNDED_READ)));
    }
    assert!(seen.contains(&2) && seen.contains(&3), "{seen:?}");
}

/// Otherwise all reads with a staleness bound go to the primary where responses are rare.
#[test]
fn a_health_check_asks_a_replica_for_its_position_before_the_primary_serves_a_read() {
    let mut settings = large_fleet_settings();
    settings.limits.allow_health_checks = true;
    settings.load_reports = LoadReports::OnHealthCheck;
    let mut bench = Bench::new(settings);
    let first = bench.call(BOUNDED_READ);
    let checked = first.iter().find_map(|action| match action {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    });
    let checked = checked.unwrap_or_else(|| panic!("no replica was checked: {first:?}"));
    assert!(forwarded_to(&first).is_empty(), "{first:?}");
    let report =
        LoadReport { position: Some(bench.now - ms(100)), primary: Some(false), ..LoadReport::default() };
    bench.now += ms(5);
    let then =
        bench.step(vec![Event::HealthChecked { server: checked, ok: true, load_report: Some(report) }]);
    assert_eq!(forwarded_to(&then), [checked.0]);
}

#[test]
fn no_health_check_asks_for_a_position_where_it_reports_none() {
    let mut settings = large_fleet_settings();
    settings.limits.allow_health_checks = true;
    let mut bench = Bench::new(settings);
    let first = bench.call(BOUNDED_READ);
    assert!(!first.iter().any(|action| matches!(action, Action::HealthCheck { .. })), "{first:?}");
    assert_eq!(forwarded_to(&first), [1], "the read waits for nothing");
}

/// The reads of all instances together would overload it.
#[test]
fn in_a_large_fleet_no_read_goes_to_a_slow_primary() {
    let to_primary = |settings: Settings| {
        let mut bench = Bench::new(settings);
        bench.report_all(ms(5000));
        for _ in 0..6 {
            bench.call(KEYED_WRITE);
            for _ in 0..24 {
                bench.pass(ms(50));
            }
            while !bench.sent.is_empty() {
                bench.end(Outcome::Success, Some(true), ms(0));
            }
        }
        forwarded_to(&bench.call(BOUNDED_READ)) == [1]
    };
    assert_eq!((to_primary(settings()), to_primary(large_fleet_settings())), (true, false));
}

#[test]
fn a_session_token_is_stored_until_all_members_have_passed_it() {
    let mut bench = Bench::new(Settings { session_tokens: SessionTokens::Tracked, ..settings() });
    bench.report_all(ms(3000));
    bench.call(KEYED_WRITE);
    bench.end(Outcome::Success, Some(true), ms(0));
    bench.pass(ms(200));
    assert_eq!(
        forwarded_to(&bench.call(SESSION_READ)),
        [1],
        "the replicas are seconds behind the session's write"
    );
}

/// Reads with a bound can then use the other replicas.
#[test]
fn an_eventual_read_goes_to_the_replica_that_lags_most() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let request = bench.request(EVENTUAL_READ);
    let to = forwarded_to(&bench.step(vec![Event::Request(request)]));
    let lagging = to[0];
    bench.end(Outcome::Success, Some(false), ms(400)); // it lags from now on
    for _ in 0..6 {
        assert_eq!(forwarded_to(&bench.call(EVENTUAL_READ)), [lagging]);
        bench.now += ms(10);
        bench.end(Outcome::Success, Some(false), ms(400));
    }
    // Once its responses would be late, the other replica serves as well.
    let to: Vec<u32> = (0..30).flat_map(|_| forwarded_to(&bench.call(EVENTUAL_READ))).collect();
    assert!(to.contains(&lagging) && to.iter().any(|server| *server != lagging), "{to:?}");
}
