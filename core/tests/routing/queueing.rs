//! The queue, load shedding and final answers.

use pipittack_core::api::*;

use crate::common::*;

/// The youngest reads are forwarded first there, so an old one would hardly be forwarded.
#[test]
fn a_queued_read_of_a_congested_group_is_rejected_by_half_its_time() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    while (0..5).any(|_| !forwarded_to(&bench.call(BOUNDED_READ)).is_empty()) {}
    bench.pass(ms(600)); // the queued reads expire, so that the group counts as congested
    assert_eq!(forwarded_to(&bench.call(BOUNDED_READ)), [1], "a canary read tests the silent primary");
    let short_lived = Request { time_left: ms(600), ..bench.request(BOUNDED_READ) };
    assert_eq!(rejection_count(&bench.step(vec![Event::Request(short_lived)])), 0);
    assert_eq!(rejection_count(&bench.pass(ms(240))), 0);
    assert_eq!(forwarded_to(&bench.call(BOUNDED_READ)), [0; 0], "this one waits for the next canary");
    assert_eq!(rejection_count(&bench.pass(ms(60))), 1);
}

#[test]
fn a_full_queue_rejects_at_once_with_a_retry_after() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let actions: Vec<Action> = (0..400).flat_map(|_| bench.call(BOUNDED_READ)).collect();
    assert!(rejection_count(&actions) > 100);
    let has_retry_after = |action: &Action| matches!(action, Action::Reject { retry_after: Some(_), .. });
    assert!(actions.iter().any(has_retry_after));
}

#[test]
fn every_request_gets_one_final_answer_where_no_server_responds() {
    let mut bench = Bench::new(settings());
    let mut answer_count = 0;
    for class in [BOUNDED_READ, SESSION_READ, KEYED_WRITE, UNIQUE_WRITE, EVENTUAL_READ].repeat(20) {
        let actions = bench.call(class);
        answer_count += rejection_count(&actions) + failure_count(&actions);
    }
    for _ in 0..201 {
        bench.now += ms(10);
        let in_flight: Vec<_> = std::mem::take(&mut bench.sent);
        let mut actions = bench.step(Vec::new());
        for attempt in in_flight {
            // Timeouts end at the deadline.
            if bench.now >= ms(102_000) {
                actions.extend(bench.end_attempt(attempt, Outcome::Timeout, None, ms(0)));
            } else {
                bench.sent.push(attempt);
            }
        }
        answer_count += rejection_count(&actions) + failure_count(&actions);
    }
    assert_eq!(answer_count, 100);
}

#[test]
fn a_class_whose_mean_exceeds_its_objective_is_still_forwarded() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    for _ in 0..200 {
        bench.call(EVENTUAL_READ);
        bench.now += ms(1500);
        while !bench.sent.is_empty() {
            bench.end(Outcome::Success, Some(false), ms(1500));
        }
    }
    assert_eq!(forwarded_to(&bench.call(EVENTUAL_READ)).len(), 1);
}

/// In the order of arrival each one would be served just too late.
#[test]
fn the_youngest_read_of_a_congested_group_is_forwarded_first() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    while !forwarded_to(&bench.call(EVENTUAL_READ)).is_empty() {}
    bench.call(EVENTUAL_READ);
    bench.now += ms(250);
    bench.call(EVENTUAL_READ);
    let expired = bench.pass(ms(245)); // the first two reads expire
    assert_eq!(rejection_count(&expired), 2, "{expired:?}");
    for _ in 0..3 {
        bench.now += ms(10);
        bench.call(EVENTUAL_READ);
    }
    let youngest = bench.request(EVENTUAL_READ).id.0 - 1;
    let attempt = *bench.sent.iter().find(|attempt| attempt.server == ServerId(2)).expect("busy");
    let freed = bench.end_attempt(attempt, Outcome::Success, Some(false), ms(10));
    let sent = freed.iter().find_map(|action| match action {
        Action::Forward { request, .. } => Some(request.0),
        _ => None,
    });
    assert_eq!(sent, Some(youngest));
}

/// How many of 40 reads are rejected at once after some reads that were late, each by `late_steps` of 50 ms.
fn rejected_after_late_reads(settings: Settings, reads: usize, late_steps: usize) -> usize {
    let mut bench = Bench::new(settings);
    bench.report_all(ms(10));
    for _ in 0..reads {
        bench.call(EVENTUAL_READ);
        for _ in 0..late_steps {
            bench.pass(ms(50));
        }
        while !bench.sent.is_empty() {
            bench.end(Outcome::Success, Some(false), ms(10));
        }
    }
    (0..40).map(|_| rejection_count(&bench.call(EVENTUAL_READ))).sum()
}

#[test]
fn in_a_large_fleet_reads_are_shed_while_responses_are_late() {
    let (in_large_fleet, alone) = (
        rejected_after_late_reads(large_fleet_settings(), 30, 12),
        rejected_after_late_reads(settings(), 30, 12),
    );
    assert!(in_large_fleet >= 10 && alone == 0, "{in_large_fleet} with 100 instances, {alone} with one");
}

/// All servers of an overloaded group are slow; their responses must not be left out as those of faulty ones.
#[test]
fn late_responses_of_slow_servers_count_for_load_shedding() {
    let rejected = rejected_after_late_reads(large_fleet_settings(), 30, 38);
    assert!(rejected >= 28, "{rejected} of 40 rejected");
}

/// Its client can then retry while there is time.
#[test]
fn a_write_without_a_primary_is_rejected_by_half_its_time_with_a_retry_after() {
    let mut bench = Bench::new(settings());
    for _ in 0..20 {
        bench.call(KEYED_WRITE);
        while !bench.sent.is_empty() {
            bench.end(Outcome::ConnectFailed, None, ms(0));
        }
        bench.now += ms(200);
    }
    let write = bench.request(KEYED_WRITE);
    let id = write.id;
    assert!(forwarded_to(&bench.step(vec![Event::Request(write)])).is_empty());
    let mut hint = None;
    let mut waited = ms(0);
    while hint.is_none() && waited < ms(2000) {
        waited += ms(20);
        for action in bench.pass(ms(20)) {
            match action {
                Action::Reject { request, retry_after } if request == id => hint = retry_after,
                Action::Forward { .. } => {
                    bench.end(Outcome::ConnectFailed, None, ms(0));
                }
                _ => {}
            }
        }
    }
    assert!(waited < ms(1000) && waited > ms(500), "{waited:?}");
    assert!(hint.is_some_and(|hint| hint > ms(0)));
}

#[test]
fn a_write_stays_queued_while_its_responsive_primary_is_at_capacity() {
    let mut bench = Bench::new(settings());
    while !forwarded_to(&bench.call(KEYED_WRITE)).is_empty() {}
    for _ in 0..12 {
        let position = Some(bench.now);
        let report = Some(LoadReport { position, primary: Some(true), ..LoadReport::default() });
        let mut actions =
            bench.step(vec![Event::HealthChecked { server: PRIMARY, ok: true, load_report: report }]);
        actions.extend(bench.pass(ms(100)));
        assert_eq!((rejection_count(&actions), failure_count(&actions)), (0, 0));
    }
}

#[test]
fn a_write_queued_for_a_silent_primary_is_rejected_before_its_deadline() {
    let mut bench = Bench::new(settings());
    while !forwarded_to(&bench.call(KEYED_WRITE)).is_empty() {}
    let actions: Vec<_> = (0..12).flat_map(|_| bench.pass(ms(100))).collect();
    assert_eq!(
        forwarded_to(&actions),
        [2],
        "it asks another member which server is the primary: {actions:?}"
    );
    let inquiry = bench.sent.pop().expect("it was sent");
    let mut actions = bench.end_attempt(inquiry, Outcome::ConnectFailed, None, ms(0));
    actions.extend((0..3).flat_map(|_| bench.pass(ms(100))));
    assert_eq!((rejection_count(&actions), failure_count(&actions)), (1, 0), "{actions:?}");
}
