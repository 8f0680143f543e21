//! Tests which writes the routing engine forwards, buffers, rejects and fails during a failover.

mod common;

use common::*;
use pipittack_core::api::*;

/// Returns an engine to which every member has responded and whose primary has served ten writes.
fn harness_with_steady_primary() -> Harness {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    for _ in 0..10 {
        assert_eq!(forwarded_to(&harness.submit(UNIQUE_WRITE)), [1]);
        harness.now += ms(50);
        harness.end_oldest(Outcome::Success, Some(true), ms(0));
    }
    harness
}

/// Advances the clock in steps of 10 ms and returns all actions.
fn advance(harness: &mut Harness, time_ms: u64) -> Vec<Action> {
    (0..time_ms / 10).flat_map(|_| harness.advance(ms(10))).collect()
}

/// Ends the oldest attempt in flight at a server. `primary` is the role that the response reports.
fn end_at(harness: &mut Harness, server: u32, outcome: Outcome, primary: Option<bool>) -> Vec<Action> {
    let index = harness
        .in_flight
        .iter()
        .position(|attempt| attempt.server == ServerId(server))
        .expect("an attempt is in flight at the server");
    let attempt = harness.in_flight.remove(index);
    harness.end_attempt(attempt, outcome, primary, ms(0))
}

#[test]
fn writes_are_buffered_while_the_primary_is_silent_and_sent_when_it_responds() {
    let mut harness = harness_with_steady_primary();
    assert_eq!(forwarded_to(&harness.submit(UNIQUE_WRITE)), [1]);
    advance(&mut harness, 250);
    let sent: Vec<u32> = (0..3).flat_map(|_| forwarded_to(&harness.submit(UNIQUE_WRITE))).collect();
    assert!(sent.is_empty(), "{sent:?}");
    let after = end_at(&mut harness, 1, Outcome::Success, Some(true));
    assert_eq!((forwarded_to(&after), rejection_count(&after)), (vec![1, 1, 1], 0));
}

#[test]
fn a_test_read_is_sent_to_a_silent_primary() {
    let mut harness = harness_with_steady_primary();
    harness.submit(UNIQUE_WRITE);
    advance(&mut harness, 250);
    assert_eq!(forwarded_to(&harness.submit(BOUNDED_READ)), [1], "a test read is sent to the silent primary");
    assert_ne!(forwarded_to(&harness.submit(BOUNDED_READ)), [1], "the next test read is not due yet");
    let write = harness.submit(UNIQUE_WRITE);
    assert!(forwarded_to(&write).is_empty());
    let test_read = *harness
        .in_flight
        .iter()
        .rev()
        .find(|attempt| attempt.server == ServerId(1))
        .expect("the test read is in flight at the primary");
    harness.in_flight.retain(|attempt| attempt.request != test_read.request);
    let after = harness.end_attempt(test_read, Outcome::Success, Some(true), ms(0));
    assert_eq!(
        forwarded_to(&after),
        [1],
        "the primary responds again, so one slow write does not count as a hang"
    );
}

#[test]
fn after_a_failover_one_write_tests_the_new_primary_before_the_others_are_sent() {
    let mut harness = harness_with_steady_primary();
    harness.submit(UNIQUE_WRITE);
    advance(&mut harness, 900);
    for _ in 0..4 {
        harness.submit(UNIQUE_WRITE);
    }
    // Drops the search attempt at a replica. Below, the response to a read reports that the replica is the
    // new primary.
    harness.in_flight.retain(|attempt| attempt.server == ServerId(1));
    harness.submit(EVENTUAL_READ);
    let after = match harness.in_flight.last() {
        Some(SentAttempt { server: ServerId(server), .. }) if *server != 1 => {
            let server = *server;
            end_at(&mut harness, server, Outcome::Success, Some(true))
        }
        other => panic!("{other:?}"),
    };
    let first = forwarded_to(&after);
    assert_eq!(first.len(), 1, "{after:?}");
    let new_primary = first[0];
    let attempts_at_lost_primary =
        harness.in_flight.iter().filter(|attempt| attempt.server == ServerId(1)).count();
    assert!(
        (1..=2).contains(&attempts_at_lost_primary),
        "expected the first write and at most one test write at the primary: {attempts_at_lost_primary}"
    );
    harness.now += ms(40);
    let after = end_at(&mut harness, new_primary, Outcome::Success, Some(true));
    assert!(
        forwarded_to(&after).iter().all(|s| *s == new_primary) && !forwarded_to(&after).is_empty(),
        "{after:?}"
    );
    assert_eq!(
        failure_count(&after),
        attempts_at_lost_primary,
        "writes with an unknown outcome fail as soon as the new primary is confirmed"
    );
}

#[test]
fn neither_the_role_nor_the_position_that_a_deposed_primary_reports_is_trusted() {
    let mut harness = harness_with_steady_primary();
    harness.step(vec![Event::HealthChecked {
        server: ServerId(2),
        ok: true,
        load_report: Some(LoadReport {
            position: Some(harness.now),
            primary: Some(true),
            ..LoadReport::default()
        }),
    }]);
    assert_eq!(forwarded_to(&harness.submit(UNIQUE_WRITE)), [2]);
    harness.now += ms(20);
    end_at(&mut harness, 2, Outcome::Success, Some(true));
    // The deposed primary still serves reads, and reports that it is the primary and up to date.
    let mut has_served_read = false;
    for _ in 0..40 {
        harness.now += ms(10);
        has_served_read |= forwarded_to(&harness.submit(EVENTUAL_READ)) == [1];
        while let Some(SentAttempt { server: ServerId(server), .. }) = harness.in_flight.first().copied() {
            harness.end_oldest(Outcome::Success, Some(server != 3), ms(if server == 3 { 10 } else { 0 }));
        }
    }
    assert!(has_served_read, "the deposed primary has served reads");
    assert_eq!(
        forwarded_to(&harness.submit(UNIQUE_WRITE)),
        [2],
        "the role that the deposed primary reports is ignored"
    );
    end_at(&mut harness, 2, Outcome::Success, Some(true));
    harness.now += ms(3000); // all positions reported before exceed the staleness bound
    let reads: Vec<u32> = (0..10).flat_map(|_| forwarded_to(&harness.submit(BOUNDED_READ))).collect();
    assert!(!reads.contains(&1), "the position that the deposed primary reports is ignored: {reads:?}");
}

/// A server that declines a write accepts no writes, even if it reports that it is the primary:
/// it is about to step down.
#[test]
fn a_primary_that_declines_writes_is_not_retried_repeatedly() {
    let mut harness = harness_with_steady_primary();
    harness.submit(UNIQUE_WRITE);
    let mut attempts = 0;
    let mut rejected = 0;
    for _ in 0..40 {
        while !harness.in_flight.is_empty() {
            attempts += 1;
            let actions = harness.end_oldest(Outcome::Misdirected, Some(true), ms(0));
            rejected += rejection_count(&actions);
        }
        rejected += rejection_count(&harness.advance(ms(10)));
    }
    assert!(rejected == 0 && attempts <= 5, "{attempts} attempts, {rejected} rejected");
}

#[test]
fn the_write_buffer_is_bounded_and_further_writes_are_rejected() {
    let failover = FailoverSettings { max_buffered_writes: 6, ..FailoverSettings::default() };
    let mut harness = Harness::new(Settings { failover, ..settings() });
    harness.report_all(ms(10));
    harness.step(vec![
        Event::TakenOutOfService(ServerId(1)),
        Event::TakenOutOfService(ServerId(2)),
        Event::TakenOutOfService(ServerId(3)),
    ]);
    let rejected: Vec<usize> = (0..6).map(|_| rejection_count(&harness.submit(UNIQUE_WRITE))).collect();
    assert_eq!(rejected, [0, 0, 0, 1, 1, 1], "one replica set may use half of the buffer");
}

#[test]
fn writes_stay_buffered_when_the_settings_are_reloaded() {
    let mut harness = harness_with_steady_primary();
    harness.submit(UNIQUE_WRITE);
    advance(&mut harness, 250);
    assert!(forwarded_to(&harness.submit(UNIQUE_WRITE)).is_empty());
    harness.step(vec![Event::Settings(Box::new(settings()))]);
    assert!(forwarded_to(&harness.submit(UNIQUE_WRITE)).is_empty(), "the write is still buffered");
    assert_eq!(forwarded_to(&end_at(&mut harness, 1, Outcome::Success, Some(true))), [1, 1]);
}

#[test]
fn a_snapshot_passes_the_epoch_and_the_deposed_primary_to_another_process() {
    let mut harness = Harness::new(settings());
    let replica_set =
        ReplicaSetSnapshot { epoch: 4, deposed: true, failover: Some((FailoverKind::Unplanned, 1.5)) };
    harness.step(vec![
        Event::HealthChecked {
            server: ServerId(2),
            ok: true,
            load_report: Some(LoadReport {
                position: Some(harness.now),
                primary: Some(true),
                ..LoadReport::default()
            }),
        },
        Event::SnapshotReceived(Box::new(StateSnapshot {
            servers: vec![ServerSnapshot { server: 1, replica_set, ..ServerSnapshot::default() }],
            ..StateSnapshot::default()
        })),
    ]);
    let restored = harness.engine.snapshot().servers[0].replica_set;
    assert_eq!((restored.epoch, restored.deposed), (4, true));
    assert_eq!(forwarded_to(&harness.submit(UNIQUE_WRITE)), [2]);
    harness.now += ms(10);
    end_at(&mut harness, 2, Outcome::Success, Some(true));
    harness.step(vec![Event::HealthChecked {
        server: ServerId(1),
        ok: true,
        load_report: Some(LoadReport {
            position: Some(harness.now),
            primary: Some(true),
            ..LoadReport::default()
        }),
    }]);
    assert_eq!(
        forwarded_to(&harness.submit(UNIQUE_WRITE)),
        [2],
        "the role that the deposed primary reports is ignored"
    );
}

#[test]
fn a_buffered_write_is_dropped_when_its_client_disconnects() {
    let mut harness = harness_with_steady_primary();
    harness.submit(UNIQUE_WRITE);
    advance(&mut harness, 250);
    let request = harness.new_request(UNIQUE_WRITE);
    let id = request.id;
    assert!(forwarded_to(&harness.step(vec![Event::Request(request)])).is_empty());
    harness.step(vec![Event::ClientDisconnected(id)]);
    let after = end_at(&mut harness, 1, Outcome::Success, Some(true));
    assert!(forwarded_to(&after).is_empty(), "{after:?}");
}
