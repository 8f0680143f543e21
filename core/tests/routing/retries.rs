//! Retries, timeouts and who is blamed for a failure.

use pipittack_core::api::*;

use crate::common::*;

#[test]
fn a_non_idempotent_write_fails_after_a_reset_and_is_not_retried() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    bench.call(UNIQUE_WRITE);
    let after = bench.end(Outcome::Reset, None, ms(0));
    assert_eq!((forwarded_to(&after).len(), failure_count(&after), rejection_count(&after)), (0, 1, 0));
}

#[test]
fn a_request_that_was_never_executed_is_rejected_and_not_failed() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    bench.call(UNIQUE_WRITE);
    bench.end(Outcome::Misdirected, Some(false), ms(0)); // it is retried elsewhere, or waits
    let mut actions = Vec::new();
    for _ in 0..250 {
        bench.now += ms(10);
        let attempt = bench.sent.pop();
        actions.extend(match attempt {
            Some(attempt) => bench.end_attempt(attempt, Outcome::Misdirected, Some(false), ms(0)),
            None => bench.step(Vec::new()),
        });
    }
    assert_eq!((rejection_count(&actions), failure_count(&actions)), (1, 0));
}

#[test]
fn a_write_with_a_key_is_retried_within_the_key_window_and_fails_after_it() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    bench.call(KEYED_WRITE);
    bench.now += ms(600);
    let again = bench.end(Outcome::ServerError, Some(true), ms(0));
    assert_eq!(forwarded_to(&again), [1]);
    bench.now += ms(1000);
    let late = bench.end(Outcome::ServerError, Some(true), ms(0));
    assert_eq!((forwarded_to(&late).len(), failure_count(&late), rejection_count(&late)), (0, 1, 0));
}

#[test]
fn without_a_primary_a_write_asks_the_members_in_id_order_and_then_waits() {
    let mut bench = Bench::new(settings());
    bench.call(KEYED_WRITE);
    let mut asked = vec![bench.sent[0].server.0];
    for _ in 0..3 {
        bench.now += ms(30);
        let next = bench.end(Outcome::Misdirected, Some(false), ms(0));
        asked.extend(forwarded_to(&next));
        if bench.sent.is_empty() {
            break;
        }
    }
    assert_eq!(asked[0], 1, "the listed primary first");
    let soon: Vec<u32> = forwarded_to(&bench.pass(ms(1)));
    assert!(soon.is_empty(), "after a round of declined attempts it waits: {soon:?}");
}

/// If only quick responses counted, timeouts would shorten themselves.
#[test]
fn timeouts_raise_the_expected_response_time() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let first = first_timeout(&bench.call(EVENTUAL_READ)).expect("sent");
    let end = bench.now + first;
    while bench.now < end {
        bench.pass(ms(50)); // its timers come due, so that it does not count as paused
    }
    bench.end(Outcome::Timeout, None, ms(0));
    bench.sent.clear();
    let second = first_timeout(&bench.call(EVENTUAL_READ)).expect("sent");
    assert!(second > first, "{second:?} after {first:?}");
}

/// Servers complete work that clients gave up.
#[test]
fn an_abandoned_attempt_occupies_its_server_for_as_long_again() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let mut sent = 0;
    while !forwarded_to(&bench.call(KEYED_WRITE)).is_empty() {
        sent += 1;
    }
    assert!((2..=64).contains(&sent));
    bench.now += ms(200);
    let attempt = bench.sent[0];
    let after = bench.end_attempt(attempt, Outcome::Timeout, None, ms(0));
    assert!(forwarded_to(&after).is_empty(), "the server is still occupied: {after:?}");
    let attempt = bench.sent[1];
    let after = bench.end_attempt(attempt, Outcome::Success, Some(true), ms(0));
    assert_eq!(forwarded_to(&after), [1], "a response frees capacity at once");
}

#[test]
fn errors_of_one_tenant_are_not_retried_and_count_against_no_server() {
    let tenants = vec![Tenant { quota_per_s: 1e6, share: 0.5 }; 2];
    let mut bench = Bench::new(Settings { tenants, ..settings() });
    bench.report_all(ms(10));
    let mut retries = 0;
    for round in 0..60 {
        let tenant = TenantId(round % 2);
        let request = Request { tenant: Some(tenant), ..bench.request(EVENTUAL_READ) };
        bench.step(vec![Event::Request(request)]);
        bench.now += ms(10);
        while let Some(attempt) = bench.sent.pop() {
            let outcome = if tenant == TenantId(0) { Outcome::ServerError } else { Outcome::Success };
            let after = bench.end_attempt(attempt, outcome, Some(false), ms(10));
            retries += usize::from(round > 30) * forwarded_to(&after).len();
        }
    }
    assert_eq!(retries, 0, "attempts after an error that is the tenant's own");
}

#[test]
fn a_process_pause_does_not_count_as_slowness_of_a_server() {
    let timeout_after = |is_paused: bool| {
        let mut bench = Bench::new(settings());
        bench.report_all(ms(10));
        for _ in 0..5 {
            bench.call(EVENTUAL_READ);
            for _ in 0..if is_paused { 0 } else { 12 } {
                bench.pass(ms(100));
            }
            bench.now += if is_paused { ms(1200) } else { ms(0) };
            bench.end(Outcome::Success, Some(false), ms(10));
            bench.sent.clear();
        }
        first_timeout(&bench.call(EVENTUAL_READ)).expect("sent")
    };
    let after_pauses = timeout_after(true);
    let after_slow = timeout_after(false);
    assert!(after_pauses < after_slow, "{after_pauses:?} after pauses, {after_slow:?} after slow responses");
}
