//! Tests of the queue, of load shedding and of final answers.

use pipittack_core::api::*;

use crate::common::*;

/// In a congested group the youngest reads are forwarded first, so an older read is unlikely to be forwarded.
#[test]
fn a_queued_read_of_a_congested_group_is_rejected_by_half_its_time_left() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    while (0..5).any(|_| !forwarded_to(&harness.submit(BOUNDED_READ)).is_empty()) {}
    harness.advance(ms(600)); // the queued reads expire, so the group counts as congested
    assert_eq!(forwarded_to(&harness.submit(BOUNDED_READ)), [1], "a test read is sent to the silent primary");
    let short_lived = Request { time_left: ms(600), ..harness.new_request(BOUNDED_READ) };
    assert_eq!(rejection_count(&harness.step(vec![Event::Request(short_lived)])), 0);
    assert_eq!(rejection_count(&harness.advance(ms(240))), 0);
    assert_eq!(
        forwarded_to(&harness.submit(BOUNDED_READ)),
        [0; 0],
        "the read waits until the next test read is due"
    );
    assert_eq!(rejection_count(&harness.advance(ms(60))), 1);
}

#[test]
fn a_full_queue_rejects_at_once_with_a_retry_after() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let actions: Vec<Action> = (0..400).flat_map(|_| harness.submit(BOUNDED_READ)).collect();
    assert!(rejection_count(&actions) > 100);
    let has_retry_after = |action: &Action| matches!(action, Action::Reject { retry_after: Some(_), .. });
    assert!(actions.iter().any(has_retry_after));
}

#[test]
fn every_request_gets_one_final_answer_if_no_server_responds() {
    let mut harness = Harness::new(settings());
    let mut answer_count = 0;
    for class in [BOUNDED_READ, SESSION_READ, KEYED_WRITE, UNIQUE_WRITE, EVENTUAL_READ].repeat(20) {
        let actions = harness.submit(class);
        answer_count += rejection_count(&actions) + failure_count(&actions);
    }
    for _ in 0..201 {
        harness.now += ms(10);
        let in_flight: Vec<_> = std::mem::take(&mut harness.in_flight);
        let mut actions = harness.step(Vec::new());
        for attempt in in_flight {
            // An attempt times out at the deadline of its request.
            if harness.now >= ms(102_000) {
                actions.extend(harness.end_attempt(attempt, Outcome::Timeout, None, ms(0)));
            } else {
                harness.in_flight.push(attempt);
            }
        }
        answer_count += rejection_count(&actions) + failure_count(&actions);
    }
    assert_eq!(answer_count, 100);
}

#[test]
fn a_class_whose_mean_exceeds_its_objective_is_still_forwarded() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    for _ in 0..200 {
        harness.submit(EVENTUAL_READ);
        harness.now += ms(1500);
        while !harness.in_flight.is_empty() {
            harness.end_oldest(Outcome::Success, Some(false), ms(1500));
        }
    }
    assert_eq!(forwarded_to(&harness.submit(EVENTUAL_READ)).len(), 1);
}

/// If reads were forwarded in order of arrival, every queued read would be served just after its deadline.
#[test]
fn the_youngest_read_of_a_congested_group_is_forwarded_first() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    while !forwarded_to(&harness.submit(EVENTUAL_READ)).is_empty() {}
    harness.submit(EVENTUAL_READ);
    harness.now += ms(250);
    harness.submit(EVENTUAL_READ);
    let expired = harness.advance(ms(245)); // the first two reads expire
    assert_eq!(rejection_count(&expired), 2, "{expired:?}");
    for _ in 0..3 {
        harness.now += ms(10);
        harness.submit(EVENTUAL_READ);
    }
    let youngest = harness.new_request(EVENTUAL_READ).id.0 - 1;
    let attempt = *harness
        .in_flight
        .iter()
        .find(|attempt| attempt.server == ServerId(2))
        .expect("server 2 has an attempt in flight");
    let freed = harness.end_attempt(attempt, Outcome::Success, Some(false), ms(10));
    let sent = freed.iter().find_map(|action| match action {
        Action::Forward { request, .. } => Some(request.0),
        _ => None,
    });
    assert_eq!(sent, Some(youngest));
}

/// Returns how many of 40 reads are rejected at once after `reads` reads that took
/// `late_steps` times 50 ms each.
fn rejected_after_late_reads(settings: Settings, reads: usize, late_steps: usize) -> usize {
    let mut harness = Harness::new(settings);
    harness.report_all(ms(10));
    for _ in 0..reads {
        harness.submit(EVENTUAL_READ);
        for _ in 0..late_steps {
            harness.advance(ms(50));
        }
        while !harness.in_flight.is_empty() {
            harness.end_oldest(Outcome::Success, Some(false), ms(10));
        }
    }
    (0..40).map(|_| rejection_count(&harness.submit(EVENTUAL_READ))).sum()
}

#[test]
fn in_a_large_fleet_reads_are_shed_while_responses_are_late() {
    let (in_large_fleet, alone) = (
        rejected_after_late_reads(large_fleet_settings(), 30, 12),
        rejected_after_late_reads(settings(), 30, 12),
    );
    assert!(in_large_fleet >= 10 && alone == 0, "{in_large_fleet} with 100 instances, {alone} with one");
}

/// All servers of an overloaded group are slow. Their late responses must count, and not be ignored as
/// responses of faulty servers are.
#[test]
fn late_responses_of_slow_servers_count_for_load_shedding() {
    let rejected = rejected_after_late_reads(large_fleet_settings(), 30, 38);
    assert!(rejected >= 28, "{rejected} of 40 rejected");
}

/// A rejection at half of the time left leaves the client time to retry.
#[test]
fn a_write_without_a_primary_is_rejected_by_half_its_time_left_with_a_retry_after() {
    let mut harness = Harness::new(settings());
    for _ in 0..20 {
        harness.submit(KEYED_WRITE);
        while !harness.in_flight.is_empty() {
            harness.end_oldest(Outcome::ConnectFailed, None, ms(0));
        }
        harness.now += ms(200);
    }
    let write = harness.new_request(KEYED_WRITE);
    let id = write.id;
    assert!(forwarded_to(&harness.step(vec![Event::Request(write)])).is_empty());
    let mut retry_delay = None;
    let mut waited = ms(0);
    while retry_delay.is_none() && waited < ms(2000) {
        waited += ms(20);
        for action in harness.advance(ms(20)) {
            match action {
                Action::Reject { request, retry_after } if request == id => retry_delay = retry_after,
                Action::Forward { .. } => {
                    harness.end_oldest(Outcome::ConnectFailed, None, ms(0));
                }
                _ => {}
            }
        }
    }
    assert!(waited < ms(1000) && waited > ms(500), "{waited:?}");
    assert!(retry_delay.is_some_and(|retry_delay| retry_delay > ms(0)));
}

#[test]
fn a_write_stays_queued_while_its_responsive_primary_is_at_capacity() {
    let mut harness = Harness::new(settings());
    while !forwarded_to(&harness.submit(KEYED_WRITE)).is_empty() {}
    for _ in 0..12 {
        let position = Some(harness.now);
        let report = Some(LoadReport { position, primary: Some(true), ..LoadReport::default() });
        let mut actions =
            harness.step(vec![Event::HealthChecked { server: PRIMARY, ok: true, load_report: report }]);
        actions.extend(harness.advance(ms(100)));
        assert_eq!((rejection_count(&actions), failure_count(&actions)), (0, 0));
    }
}

#[test]
fn a_write_queued_for_a_silent_primary_is_rejected_before_its_deadline() {
    let mut harness = Harness::new(settings());
    while !forwarded_to(&harness.submit(KEYED_WRITE)).is_empty() {}
    let actions: Vec<_> = (0..12).flat_map(|_| harness.advance(ms(100))).collect();
    assert_eq!(
        forwarded_to(&actions),
        [2],
        "the write is sent to another member in search of the primary: {actions:?}"
    );
    let search_attempt = harness.in_flight.pop().expect("the search attempt is in flight");
    let mut actions = harness.end_attempt(search_attempt, Outcome::ConnectFailed, None, ms(0));
    actions.extend((0..3).flat_map(|_| harness.advance(ms(100))));
    assert_eq!((rejection_count(&actions), failure_count(&actions)), (1, 0), "{actions:?}");
}
