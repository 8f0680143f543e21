//! Tests of endpoint lists, operators' commands, settings and gossip.

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

use crate::common::*;

#[test]
fn a_draining_server_gets_no_new_attempts() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(2, false) };
    harness.step(vec![Event::Endpoints(EndpointUpdate::Changes(vec![draining]))]);
    for _ in 0..4 {
        assert_ne!(forwarded_to(&harness.submit(BOUNDED_READ)), [2]);
    }
    harness.step(vec![Event::Endpoints(EndpointUpdate::Full(vec![endpoint(1, true), endpoint(2, false)]))]);
    let again: Vec<u32> = (0..6).flat_map(|_| forwarded_to(&harness.submit(BOUNDED_READ))).collect();
    assert!(
        again.contains(&2) && !again.contains(&3),
        "server 2 is listed again, server 3 is not: {again:?}"
    );
}

#[test]
fn a_server_out_of_service_gets_nothing_until_it_is_returned() {
    let mut harness = Harness::new(Settings {
        limits: Limits { allow_health_checks: true, ..settings().limits },
        ..settings()
    });
    harness.report_all(ms(10));
    harness.step(vec![Event::TakenOutOfService(ServerId(2))]);
    let list_without_first = |count| endpoint_list().into_iter().skip(count).collect();
    for update in [
        EndpointUpdate::Full(vec![endpoint(1, true)]),
        EndpointUpdate::Full(list_without_first(0)),
        EndpointUpdate::Changes(list_without_first(1)),
    ] {
        harness.step(vec![Event::Endpoints(update)]);
        for class in [BOUNDED_READ, SESSION_READ, EVENTUAL_READ] {
            let actions = harness.submit(class);
            assert!(!forwarded_to(&actions).contains(&2), "{actions:?}");
        }
        harness.now += ms(3000);
        let is_checked = harness.advance(ms(300)).contains(&Action::HealthCheck { server: ServerId(2) });
        assert!(!is_checked, "a server out of service gets no health check");
    }
    harness.step(vec![Event::ReturnedToService(ServerId(2))]);
    let is_used = (0..100).any(|_| {
        harness.now += ms(20);
        forwarded_to(&harness.submit(EVENTUAL_READ)).contains(&2)
    });
    assert!(is_used, "the server serves again after its return");
}

#[test]
fn a_removed_server_still_serves_if_the_rules_permit_it() {
    let mut settings = settings();
    settings.rules.removed_may_serve = true;
    let mut harness = Harness::new(settings);
    harness.report_all(ms(10));
    harness.step(vec![Event::Endpoints(EndpointUpdate::Full(vec![endpoint(1, true)]))]);
    assert_ne!(forwarded_to(&harness.submit(BOUNDED_READ)), [1]);
}

#[test]
fn a_response_shows_the_new_primary_and_overrides_an_outdated_list() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    harness.submit(BOUNDED_READ);
    let server = harness.in_flight[0].server;
    harness.end_oldest(Outcome::Success, Some(true), ms(0));
    assert_eq!(forwarded_to(&harness.submit(KEYED_WRITE)), [server.0]);
    harness.end_oldest(Outcome::Success, Some(true), ms(0));
    harness.step(vec![Event::Endpoints(EndpointUpdate::Full(endpoint_list()))]);
    assert_eq!(forwarded_to(&harness.submit(KEYED_WRITE)), [server.0]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings());
        harness.report_all(ms(10));
        (0..50)
            .flat_map(|i| harness.submit([BOUNDED_READ, SESSION_READ, KEYED_WRITE][i % 3]))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn ends_of_unknown_and_completed_attempts_are_ignored() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let unknown = SentAttempt { request: RequestId(999), number: 0, server: ServerId(77) };
    let after = harness.end_attempt(unknown, Outcome::Success, Some(true), ms(0));
    assert!(forwarded_to(&after).is_empty());
    harness.submit(BOUNDED_READ);
    let attempt = harness.in_flight[0];
    harness.end_oldest(Outcome::Success, Some(false), ms(0));
    let twice = harness.end_attempt(attempt, Outcome::ServerError, Some(false), ms(0));
    assert_eq!((forwarded_to(&twice).len(), rejection_count(&twice), failure_count(&twice)), (0, 0, 0));
}

#[test]
fn a_failed_watch_is_opened_again_after_a_backoff() {
    let settings = Settings { discovery: DiscoveryMode::Subscribe, ..settings() };
    let mut engine = RoutingEngine::new(settings, 1).expect("valid");
    let mut actions = Vec::new();
    engine.step(
        ms(1000),
        vec![Event::Endpoints(EndpointUpdate::Cached(vec![endpoint(1, true)]))],
        &mut actions,
    );
    assert!(actions.contains(&Action::Watch { on: true }));
    actions.clear();
    engine.step(ms(1010), vec![Event::Endpoints(EndpointUpdate::Failed)], &mut actions);
    assert!(!actions.contains(&Action::Watch { on: true }), "the watch must not be opened at once");
    engine.step(ms(3000), Vec::new(), &mut actions);
    assert!(actions.contains(&Action::Watch { on: true }));
    actions.clear();
    engine.step(ms(3010), vec![Event::Endpoints(EndpointUpdate::Changes(Vec::new()))], &mut actions);
    engine.step(ms(60_000), Vec::new(), &mut actions);
    assert!(!actions.contains(&Action::Watch { on: true }), "an open watch must not be opened again");
}

#[test]
fn invalid_settings_are_rejected_with_a_typed_error() {
    let no_classes = Settings { classes: Vec::new(), ..settings() };
    assert_eq!(RoutingEngine::new(no_classes, 0).err(), Some(SettingsError::NoClasses));
    let mut not_a_number = settings();
    not_a_number.classes[0].priority_weight = f64::NAN;
    assert!(matches!(RoutingEngine::new(not_a_number, 0).err(), Some(SettingsError::OutOfRange(_))));
}

/// Guards against a price that is left out of the check.
#[test]
fn each_negative_price_is_rejected() {
    let with_price = |set: fn(&mut Prices)| {
        let mut settings = settings();
        set(&mut settings.prices);
        RoutingEngine::new(settings, 0).err()
    };
    let setters: [fn(&mut Prices); 5] = [
        |prices| prices.cross_zone = -1.0,
        |prices| prices.health_check = -1.0,
        |prices| prices.gossip = -1.0,
        |prices| prices.wasted_work = -1.0,
        |prices| prices.late_failure = -1.0,
    ];
    for (index, set) in setters.into_iter().enumerate() {
        assert_eq!(with_price(set), Some(SettingsError::OutOfRange("a price")), "price {index}");
    }
}

#[test]
fn gossip_does_not_divert_a_write_from_the_primary() {
    let mut settings = large_fleet_settings();
    settings.limits.allow_gossip = true;
    let mut harness = Harness::new(settings);
    harness.report_all(ms(10));
    for bytes in [vec![], vec![0xff; 256], vec![1, 0, 0, 0, 255, 255], vec![99, 0, 0, 0, 1, 3]] {
        for _ in 0..50 {
            harness.step(vec![Event::Gossip { from: 7, bytes: bytes.clone() }]);
        }
    }
    assert_eq!(forwarded_to(&harness.submit(KEYED_WRITE)), [1]);
}

#[test]
fn a_large_fleet_sends_gossip_to_a_few_instances_if_it_is_permitted() {
    let message_count = |settings: Settings| {
        let mut harness = Harness::new(settings);
        harness.report_all(ms(10));
        harness.submit(EVENTUAL_READ);
        let after = harness.end_oldest(Outcome::Success, Some(false), ms(10));
        after.iter().filter(|action| matches!(action, Action::Gossip { to: Some(_), .. })).count()
    };
    let permit = |mut settings: Settings| {
        settings.limits.allow_gossip = true;
        settings.prices.gossip = 0.01;
        settings
    };
    assert!((1..=8).contains(&message_count(permit(large_fleet_settings()))));
    assert_eq!((message_count(permit(settings())), message_count(large_fleet_settings())), (0, 0));
}
