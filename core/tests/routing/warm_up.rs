//! Tests of the load that a server gets after its process has started.

use std::time::Duration;

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

use crate::common::*;

#[test]
fn a_warming_server_gets_few_requests_in_its_first_second() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let just_started = |server| Endpoint { started_at: Some(harness.now), ..endpoint(server, false) };
    let list = vec![just_started(2), just_started(3)];
    harness.step(vec![Event::Endpoints(EndpointUpdate::Changes(list))]);
    let mut sent = 0;
    for _ in 0..100 {
        harness.now += ms(10);
        sent += forwarded_to(&harness.submit(EVENTUAL_READ)).iter().filter(|server| **server != 1).count();
        while let Some(attempt) = harness.in_flight.first().copied() {
            harness.end_oldest(Outcome::Success, Some(attempt.server == PRIMARY), ms(0));
        }
    }
    assert!((1..=40).contains(&sent), "{sent} of 100");
}

/// If each instance forwarded its first request at once, the server would get a hundred requests.
#[test]
fn a_hundred_instances_that_see_a_server_start_at_once_stay_within_the_warm_up_budget() {
    let mut sent = 0;
    for index in 0..100 {
        let settings = Settings { instance_index: index, ..large_fleet_settings() };
        let mut harness = Harness::new(settings.clone());
        harness.engine = RoutingEngine::new(settings, u64::from(index)).expect("valid");
        let just_started = |server| Endpoint { started_at: Some(harness.now), ..endpoint(server, false) };
        let list = vec![endpoint(1, true), just_started(2), just_started(3)];
        harness.step(vec![Event::Endpoints(EndpointUpdate::Cached(list))]);
        harness.advance(ms(100));
        sent += forwarded_to(&harness.submit(EVENTUAL_READ)).iter().filter(|server| **server != 1).count();
    }
    assert!(sent <= 5, "{sent} attempts at two servers that have just started");
}

/// If servers are down, the others respond more often, which does not show a higher capacity.
#[test]
fn servers_that_are_down_do_not_raise_the_warm_up_budget() {
    let sent_to_warming = |down: bool| {
        let mut harness = Harness::new(large_fleet_settings());
        harness.step(vec![Event::Endpoints(EndpointUpdate::Full(
            (1..=8).map(|server| endpoint(server, server == 1)).collect(),
        ))]);
        let mut sent = 0;
        for round in 0..1500 {
            if round == 500 {
                let list = vec![Endpoint { started_at: Some(harness.now), ..endpoint(2, false) }];
                harness.step(vec![Event::Endpoints(EndpointUpdate::Changes(list))]);
            }
            harness.now += ms(10);
            let to = forwarded_to(&harness.submit(EVENTUAL_READ));
            sent += usize::from(round >= 500 && to.contains(&2));
            while let Some(attempt) = harness.in_flight.pop() {
                let is_dead = down && round >= 500 && (4..=8).contains(&attempt.server.0);
                let outcome = if is_dead { Outcome::Reset } else { Outcome::Success };
                harness.end_attempt(
                    attempt,
                    outcome,
                    Some(attempt.server == PRIMARY).filter(|_| !is_dead),
                    ms(0),
                );
            }
        }
        sent
    };
    let (sent_with_five_down, sent_with_none_down) = (sent_to_warming(true), sent_to_warming(false));
    assert!(
        sent_with_none_down > 0 && sent_with_five_down <= 2 * sent_with_none_down,
        "{sent_with_five_down} attempts with five of eight down, {sent_with_none_down} with none"
    );
}

/// A heavy request may need a dozen times the work of a light request.
#[test]
fn the_warm_up_budget_counts_work_and_not_requests() {
    let heavy_class = Class {
        latency_objective: ms(4000),
        deadline: ms(8000),
        ..settings().classes[EVENTUAL_READ.0].clone()
    };
    let mut settings = Settings { instance_count: 3, ..settings() };
    settings.classes.push(heavy_class);
    let heavy_class = ClassId(settings.classes.len() - 1);
    let mut harness = Harness::new(settings);
    let mut in_service: Vec<(Duration, SentAttempt)> = Vec::new();
    let mut work_secs = 0.0;
    let mut light_requests = 0;
    // For 20 s, 60 light requests a second with 50 ms of work each, and three heavy requests a second
    // with 800 ms. Then, for 1.5 s, mostly heavy requests, while one replica drains and the other
    // replica has just started.
    for n in 0..1288 {
        let now = harness.now;
        let is_warming = n >= 1200;
        if n == 1200 {
            let started = Endpoint { started_at: Some(now), ..endpoint(2, false) };
            let draining = Endpoint { state: EndpointState::Draining, ..endpoint(3, false) };
            harness.step(vec![Event::Endpoints(EndpointUpdate::Changes(vec![started, draining]))]);
        }
        let class = if n % 20 == 0 || (is_warming && n % 6 != 0) { heavy_class } else { EVENTUAL_READ };
        harness.submit(class);
        for sent in std::mem::take(&mut harness.in_flight) {
            let is_heavy = harness.classes[&sent.request] == heavy_class;
            let work = if is_heavy { ms(800) } else { ms(50) };
            if is_warming && sent.server == ServerId(2) {
                work_secs += work.as_secs_f64();
                light_requests += usize::from(!is_heavy);
            }
            in_service.push((now + work, sent));
        }
        harness.now += ms(17);
        for (_, attempt) in in_service.extract_if(.., |(due, _)| *due <= now) {
            harness.end_attempt(attempt, Outcome::Success, Some(attempt.server == PRIMARY), ms(10));
        }
    }
    // In 1.5 s, a server with three cores may get 2.5 times the work that it does at
    // 0.2 to 0.28 of its capacity.
    let max_work_secs = 2.5 * 1.5 * 3.0 * 0.24 / 3.0;
    assert!(
        work_secs <= max_work_secs,
        "{work_secs} s of work, but one of three instances may send {max_work_secs} s"
    );
    assert!(light_requests > 2, "only {light_requests} light requests: the budget is not used");
}
