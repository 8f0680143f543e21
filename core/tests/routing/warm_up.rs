//! How much a server gets after its process has started.

use std::time::Duration;

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

use crate::common::*;

#[test]
fn a_warming_server_gets_few_requests_in_its_first_second() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let just_started = |server| Endpoint { started_at: Some(bench.now), ..endpoint(server, false) };
    let list = vec![just_started(2), just_started(3)];
    bench.step(vec![Event::Endpoints(EndpointUpdate::Changes(list))]);
    let mut sent = 0;
    for _ in 0..100 {
        bench.now += ms(10);
        sent += forwarded_to(&bench.call(EVENTUAL_READ)).iter().filter(|server| **server != 1).count();
        while let Some(attempt) = bench.sent.first().copied() {
            bench.end(Outcome::Success, Some(attempt.server == PRIMARY), ms(0));
        }
    }
    assert!((1..=40).contains(&sent), "{sent} of 100");
}

/// If each one forwarded its first request at once, the server would get a hundred.
#[test]
fn a_hundred_instances_that_learn_of_a_start_at_once_keep_the_warm_up_budget() {
    let mut sent = 0;
    for index in 0..100 {
        let settings = Settings { instance_index: index, ..large_fleet_settings() };
        let mut bench = Bench::new(settings.clone());
        bench.engine = RoutingEngine::new(settings, u64::from(index)).expect("valid");
        let just_started = |server| Endpoint { started_at: Some(bench.now), ..endpoint(server, false) };
        let list = vec![endpoint(1, true), just_started(2), just_started(3)];
        bench.step(vec![Event::Endpoints(EndpointUpdate::Cached(list))]);
        bench.pass(ms(100));
        sent += forwarded_to(&bench.call(EVENTUAL_READ)).iter().filter(|server| **server != 1).count();
    }
    assert!(sent <= 5, "{sent} attempts at two servers that have just started");
}

/// The other servers then respond more often, which is no sign of higher capacity.
#[test]
fn servers_that_are_down_do_not_raise_the_warm_up_budget() {
    let sent_to_warming = |down: bool| {
        let mut bench = Bench::new(large_fleet_settings());
        bench.step(vec![Event::Endpoints(EndpointUpdate::Full(
            (1..=8).map(|server| endpoint(server, server == 1)).collect(),
        ))]);
        let mut sent = 0;
        for round in 0..1500 {
            if round == 500 {
                let list = vec![Endpoint { started_at: Some(bench.now), ..endpoint(2, false) }];
                bench.step(vec![Event::Endpoints(EndpointUpdate::Changes(list))]);
            }
            bench.now += ms(10);
            let to = forwarded_to(&bench.call(EVENTUAL_READ));
            sent += usize::from(round >= 500 && to.contains(&2));
            while let Some(attempt) = bench.sent.pop() {
                let is_dead = down && round >= 500 && (4..=8).contains(&attempt.server.0);
                let outcome = if is_dead { Outcome::Reset } else { Outcome::Success };
                bench.end_attempt(
                    attempt,
                    outcome,
                    Some(attempt.server == PRIMARY).filter(|_| !is_dead),
                    ms(0),
                );
            }
        }
        sent
    };
    let (few_up, all_up) = (sent_to_warming(true), sent_to_warming(false));
    assert!(
        all_up > 0 && few_up <= 2 * all_up,
        "{few_up} attempts with five of eight down, {all_up} with none"
    );
}

/// A report may be the work of a dozen look-ups.
#[test]
fn the_warm_up_budget_counts_work_and_not_requests() {
    let report = Class {
        latency_objective: ms(4000),
        deadline: ms(8000),
        ..settings().classes[EVENTUAL_READ.0].clone()
    };
    let mut settings = Settings { instance_count: 3, ..settings() };
    settings.classes.push(report);
    let report = ClassId(settings.classes.len() - 1);
    let mut bench = Bench::new(settings);
    let mut in_service: Vec<(Duration, SentAttempt)> = Vec::new();
    let mut work_secs = 0.0;
    let mut look_ups = 0;
    // For 20 s, 60 look-ups a second of 50 ms of work each, and three reports of 800 ms. Then, for 1.5 s, mostly
    // reports, while one replica drains and the other one has just started.
    for n in 0..1288 {
        let now = bench.now;
        let is_warming = n >= 1200;
        if n == 1200 {
            let started = Endpoint { started_at: Some(now), ..endpoint(2, false) };
            let draining = Endpoint { state: EndpointState::Draining, ..endpoint(3, false) };
            bench.step(vec![Event::Endpoints(EndpointUpdate::Changes(vec![started, draining]))]);
        }
        let class = if n % 20 == 0 || (is_warming && n % 6 != 0) { report } else { EVENTUAL_READ };
        bench.call(class);
        for sent in std::mem::take(&mut bench.sent) {
            let is_report = bench.classes[&sent.request] == report;
            let work = if is_report { ms(800) } else { ms(50) };
            if is_warming && sent.server == ServerId(2) {
                work_secs += work.as_secs_f64();
                look_ups += usize::from(!is_report);
            }
            in_service.push((now + work, sent));
        }
        bench.now += ms(17);
        for (_, attempt) in in_service.extract_if(.., |(due, _)| *due <= now) {
            bench.end_attempt(attempt, Outcome::Success, Some(attempt.server == PRIMARY), ms(10));
        }
    }
    // In 1.5 s a server of three cores may get 2.5 times what it does at 0.2 to 0.28 of its capacity.
    let third = 2.5 * 1.5 * 3.0 * 0.24 / 3.0;
    assert!(work_secs <= third, "{work_secs} s of work, of {third} that a third of the proxies may send");
    assert!(look_ups > 2, "{look_ups} look-ups: the budget is used");
}
