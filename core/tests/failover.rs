//! Failovers through the routing engine: which writes it forwards, buffers, rejects and fails.

mod common;

use common::*;
use pipittack_core::api::*;

/// An engine that has a response of every member, and whose primary has served some writes.
fn steady() -> Bench {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    for _ in 0..10 {
        assert_eq!(forwarded_to(&bench.call(UNIQUE_WRITE)), [1]);
        bench.now += ms(50);
        bench.end(Outcome::Success, Some(true), ms(0));
    }
    bench
}

/// Lets time pass in steps of 10 ms and returns all actions.
fn pass(bench: &mut Bench, time_ms: u64) -> Vec<Action> {
    (0..time_ms / 10).flat_map(|_| bench.pass(ms(10))).collect()
}

/// Ends the oldest attempt in flight at a server with this outcome.
fn end_at(bench: &mut Bench, server: u32, outcome: Outcome, primary: Option<bool>) -> Vec<Action> {
    let index = bench
        .sent
        .iter()
        .position(|attempt| attempt.server == ServerId(server))
        .expect("an attempt is in flight at the server");
    let attempt = bench.sent.remove(index);
    bench.end_attempt(attempt, outcome, primary, ms(0))
}

#[test]
fn writes_are_buffered_while_the_primary_is_silent_and_sent_when_it_responds() {
    let mut bench = steady();
    assert_eq!(forwarded_to(&bench.call(UNIQUE_WRITE)), [1]);
    pass(&mut bench, 250);
    let sent: Vec<u32> = (0..3).flat_map(|_| forwarded_to(&bench.call(UNIQUE_WRITE))).collect();
    assert!(sent.is_empty(), "{sent:?}");
    let after = end_at(&mut bench, 1, Outcome::Success, Some(true));
    assert_eq!((forwarded_to(&after), rejection_count(&after)), (vec![1, 1, 1], 0));
}

#[test]
fn a_canary_read_tests_a_silent_primary() {
    let mut bench = steady();
    bench.call(UNIQUE_WRITE);
    pass(&mut bench, 250);
    assert_eq!(forwarded_to(&bench.call(BOUNDED_READ)), [1], "the canary");
    assert_ne!(forwarded_to(&bench.call(BOUNDED_READ)), [1], "one canary at a time");
    let write = bench.call(UNIQUE_WRITE);
    assert!(forwarded_to(&write).is_empty());
    let canary = *bench.sent.iter().rev().find(|attempt| attempt.server == ServerId(1)).expect("the canary");
    bench.sent.retain(|attempt| attempt.request != canary.request);
    let after = bench.end_attempt(canary, Outcome::Success, Some(true), ms(0));
    assert_eq!(forwarded_to(&after), [1], "the primary responds, and one slow write is no hang");
}

#[test]
fn after_a_failover_one_write_tests_the_successor_before_the_others_are_sent() {
    let mut bench = steady();
    bench.call(UNIQUE_WRITE);
    pass(&mut bench, 900);
    for _ in 0..4 {
        bench.call(UNIQUE_WRITE);
    }
    bench.sent.retain(|attempt| attempt.server == ServerId(1)); // the inquiry to a member is answered below
    bench.call(EVENTUAL_READ);
    let after = match bench.sent.last() {
        Some(SentAttempt { server: ServerId(server), .. }) if *server != 1 => {
            let server = *server;
            end_at(&mut bench, server, Outcome::Success, Some(true))
        }
        other => panic!("{other:?}"),
    };
    let first = forwarded_to(&after);
    assert_eq!(first.len(), 1, "{after:?}");
    let successor = first[0];
    let lost_attempts = bench.sent.iter().filter(|attempt| attempt.server == ServerId(1)).count();
    assert!((1..=2).contains(&lost_attempts), "the first write and at most one test write: {lost_attempts}");
    bench.now += ms(40);
    let after = end_at(&mut bench, successor, Outcome::Success, Some(true));
    assert!(
        forwarded_to(&after).iter().all(|s| *s == successor) && !forwarded_to(&after).is_empty(),
        "{after:?}"
    );
    assert_eq!(
        failure_count(&after),
        lost_attempts,
        "their outcome is unknown, and their clients are notified at once"
    );
}

#[test]
fn neither_the_role_nor_the_position_that_a_deposed_primary_reports_is_trusted() {
    let mut bench = steady();
    bench.step(vec![Event::HealthChecked {
        server: ServerId(2),
        ok: true,
        load_report: Some(LoadReport {
            position: Some(bench.now),
            primary: Some(true),
            ..LoadReport::default()
        }),
    }]);
    assert_eq!(forwarded_to(&bench.call(UNIQUE_WRITE)), [2]);
    bench.now += ms(20);
    end_at(&mut bench, 2, Outcome::Success, Some(true));
    // The deposed primary answers reads: it reports that it is the primary and up to date.
    let mut asked = false;
    for _ in 0..40 {
        bench.now += ms(10);
        asked |= forwarded_to(&bench.call(EVENTUAL_READ)) == [1];
        while let Some(SentAttempt { server: ServerId(server), .. }) = bench.sent.first().copied() {
            bench.end(Outcome::Success, Some(server != 3), ms(if server == 3 { 10 } else { 0 }));
        }
    }
    assert!(asked, "it has answered reads");
    assert_eq!(forwarded_to(&bench.call(UNIQUE_WRITE)), [2], "its claim is stale");
    end_at(&mut bench, 2, Outcome::Success, Some(true));
    bench.now += ms(3000); // the positions reported before are too old by now
    let reads: Vec<u32> = (0..10).flat_map(|_| forwarded_to(&bench.call(BOUNDED_READ))).collect();
    assert!(!reads.contains(&1), "its position is unknown: {reads:?}");
}

/// A server that declines a write takes none, even if it reports that it is the primary: it is about to step
/// down.
#[test]
fn a_primary_that_declines_writes_is_not_retried_repeatedly() {
    let mut bench = steady();
    bench.call(UNIQUE_WRITE);
    let mut attempts = 0;
    let mut rejected = 0;
    for _ in 0..40 {
        while !bench.sent.is_empty() {
            attempts += 1;
            let actions = bench.end(Outcome::Misdirected, Some(true), ms(0));
            rejected += rejection_count(&actions);
        }
        rejected += rejection_count(&bench.pass(ms(10)));
    }
    assert!(rejected == 0 && attempts <= 5, "{attempts} attempts, {rejected} rejected");
}

#[test]
fn the_write_buffer_is_bounded_and_further_writes_are_rejected() {
    let failover = FailoverSettings { max_buffered_writes: 6, ..FailoverSettings::default() };
    let mut bench = Bench::new(Settings { failover, ..settings() });
    bench.report_all(ms(10));
    bench.step(vec![
        Event::TakenOutOfService(ServerId(1)),
        Event::TakenOutOfService(ServerId(2)),
        Event::TakenOutOfService(ServerId(3)),
    ]);
    let rejected: Vec<usize> = (0..6).map(|_| rejection_count(&bench.call(UNIQUE_WRITE))).collect();
    assert_eq!(rejected, [0, 0, 0, 1, 1, 1], "a set may use half of the buffer");
}

#[test]
fn new_settings_do_not_affect_a_failover_in_progress() {
    let mut bench = steady();
    bench.call(UNIQUE_WRITE);
    pass(&mut bench, 250);
    assert!(forwarded_to(&bench.call(UNIQUE_WRITE)).is_empty());
    bench.step(vec![Event::Settings(Box::new(settings()))]);
    assert!(forwarded_to(&bench.call(UNIQUE_WRITE)).is_empty(), "the write is still buffered");
    assert_eq!(forwarded_to(&end_at(&mut bench, 1, Outcome::Success, Some(true))), [1, 1]);
}

#[test]
fn a_snapshot_passes_the_epoch_and_the_deposed_primary_to_another_process() {
    let mut bench = Bench::new(settings());
    let replica_set =
        ReplicaSetSnapshot { epoch: 4, deposed: true, failover: Some((FailoverKind::Unplanned, 1.5)) };
    bench.step(vec![
        Event::HealthChecked {
            server: ServerId(2),
            ok: true,
            load_report: Some(LoadReport {
                position: Some(bench.now),
                primary: Some(true),
                ..LoadReport::default()
            }),
        },
        Event::SnapshotReceived(Box::new(StateSnapshot {
            servers: vec![ServerSnapshot { server: 1, replica_set, ..ServerSnapshot::default() }],
            ..StateSnapshot::default()
        })),
    ]);
    let restored = bench.engine.snapshot().servers[0].replica_set;
    assert_eq!((restored.epoch, restored.deposed), (4, true));
    assert_eq!(forwarded_to(&bench.call(UNIQUE_WRITE)), [2]);
    bench.now += ms(10);
    end_at(&mut bench, 2, Outcome::Success, Some(true));
    bench.step(vec![Event::HealthChecked {
        server: ServerId(1),
        ok: true,
        load_report: Some(LoadReport {
            position: Some(bench.now),
            primary: Some(true),
            ..LoadReport::default()
        }),
    }]);
    assert_eq!(forwarded_to(&bench.call(UNIQUE_WRITE)), [2], "the deposed primary is not trusted");
}

#[test]
fn a_buffered_write_is_dropped_when_its_client_disconnects() {
    let mut bench = steady();
    bench.call(UNIQUE_WRITE);
    pass(&mut bench, 250);
    let request = bench.request(UNIQUE_WRITE);
    let id = request.id;
    assert!(forwarded_to(&bench.step(vec![Event::Request(request)])).is_empty());
    bench.step(vec![Event::ClientDisconnected(id)]);
    let after = end_at(&mut bench, 1, Outcome::Success, Some(true));
    assert!(forwarded_to(&after).is_empty(), "{after:?}");
}
