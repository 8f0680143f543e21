//! Changes of primary through the whole module: what it sends, holds, refuses and fails.

mod common;

use common::*;
use pipittack_core::api::*;
use pipittack_core::api::{FailoverKind, FailoverSettings, ReplicaSetSnapshot};
use pipittack_core::api::{ServerSnapshot, StateSnapshot};

/// A gateway that has heard all members, and whose primary has served some writes.
fn steady() -> Bench {
    let mut b = Bench::new(settings());
    b.hear_all(ms(10));
    for _ in 0..10 {
        assert_eq!(targets(&b.call(ONCE)), [1]);
        b.now += ms(50);
        b.end(Outcome::Success, Some(true), ms(0));
    }
    b
}

/// Lets time pass in steps of a tick or so, and gives all that was done.
fn pass(b: &mut Bench, time: u64) -> Vec<Action> {
    (0..time / 10).flat_map(|_| b.pass(ms(10))).collect()
}

/// Ends what is out at a server with an answer of this kind.
fn end_at(b: &mut Bench, server: u32, outcome: Outcome, primary: Option<bool>) -> Vec<Action> {
    let at =
        b.sent.iter().position(|attempt| attempt.server == ServerId(server)).expect("something is out there");
    let attempt = b.sent.remove(at);
    b.end_attempt(attempt, outcome, primary, ms(0))
}

#[test]
fn writes_are_held_while_the_primary_pauses_and_go_on_when_it_speaks() {
    let mut b = steady();
    assert_eq!(targets(&b.call(ONCE)), [1]);
    pass(&mut b, 250);
    let held: Vec<u32> = (0..3).flat_map(|_| targets(&b.call(ONCE))).collect();
    assert!(held.is_empty(), "{held:?}");
    let after = end_at(&mut b, 1, Outcome::Success, Some(true));
    assert_eq!((targets(&after), refusals(&after)), (vec![1, 1, 1], 0));
}

#[test]
fn a_read_shows_whether_a_silent_primary_answers() {
    let mut b = steady();
    b.call(ONCE);
    pass(&mut b, 250);
    assert_eq!(targets(&b.call(LOOK)), [1], "the canary");
    assert_ne!(targets(&b.call(LOOK)), [1], "one is enough");
    let held = b.call(ONCE);
    assert!(targets(&held).is_empty());
    let canary = *b.sent.iter().rev().find(|attempt| attempt.server == ServerId(1)).expect("the canary");
    b.sent.retain(|attempt| attempt.request != canary.request);
    let after = b.end_attempt(canary, Outcome::Success, Some(true), ms(0));
    assert_eq!(targets(&after), [1], "it does, and one slow write is no hang");
}

#[test]
fn after_a_failover_one_write_tests_the_successor_and_the_rest_follows() {
    let mut b = steady();
    b.call(ONCE);
    pass(&mut b, 900);
    for _ in 0..4 {
        b.call(ONCE);
    }
    b.sent.retain(|attempt| attempt.server == ServerId(1)); // what asked a member is answered below
    b.call(ANY);
    let after = match b.sent.last() {
        Some(SentAttempt { server: ServerId(server), .. }) if *server != 1 => {
            let server = *server;
            end_at(&mut b, server, Outcome::Success, Some(true))
        }
        other => panic!("{other:?}"),
    };
    let first = targets(&after);
    assert_eq!(first.len(), 1, "{after:?}");
    let successor = first[0];
    let doomed = b.sent.iter().filter(|attempt| attempt.server == ServerId(1)).count();
    assert!(
        (1..=2).contains(&doomed),
        "the one that was there, and one that saw whether it answers: {doomed}"
    );
    b.now += ms(40);
    let then = end_at(&mut b, successor, Outcome::Success, Some(true));
    assert!(targets(&then).iter().all(|s| *s == successor) && !targets(&then).is_empty(), "{then:?}");
    assert_eq!(failures(&then), doomed, "their fate is unknown, and their clients hear so at once");
}

#[test]
fn a_deposed_primary_that_returns_is_believed_in_nothing() {
    let mut b = steady();
    b.step(vec![Event::HealthChecked {
        server: ServerId(2),
        ok: true,
        load_report: Some(LoadReport { position: Some(b.now), primary: Some(true), ..LoadReport::default() }),
    }]);
    assert_eq!(targets(&b.call(ONCE)), [2]);
    b.now += ms(20);
    end_at(&mut b, 2, Outcome::Success, Some(true));
    // The old one answers a read that any replica may serve: it takes itself to be the primary, at the present.
    let mut asked = false;
    for _ in 0..40 {
        b.now += ms(10);
        asked |= targets(&b.call(ANY)) == [1];
        while let Some(SentAttempt { server: ServerId(server), .. }) = b.sent.first().copied() {
            b.end(Outcome::Success, Some(server != 3), ms(if server == 3 { 10 } else { 0 }));
        }
    }
    assert!(asked, "it was heard");
    assert_eq!(targets(&b.call(ONCE)), [2], "its claim is stale");
    end_at(&mut b, 2, Outcome::Success, Some(true));
    b.now += ms(3000); // all that was told before is too old by now
    let reads: Vec<u32> = (0..10).flat_map(|_| targets(&b.call(LOOK))).collect();
    assert!(!reads.contains(&1), "nobody knows where it stands: {reads:?}");
}

/// Who turns a write away takes none, also where it says that it is the primary: it is about to hand over.
#[test]
fn a_primary_that_yields_is_not_asked_over_and_over() {
    let mut b = steady();
    b.call(ONCE);
    let mut sends = 0;
    let mut refused = 0;
    for _ in 0..40 {
        while !b.sent.is_empty() {
            sends += 1;
            let actions = b.end(Outcome::Misdirected, Some(true), ms(0));
            refused += refusals(&actions);
        }
        refused += refusals(&b.pass(ms(10)));
    }
    assert!(refused == 0 && sends <= 5, "{sends} attempts, {refused} refused");
}

#[test]
fn what_is_held_is_bounded_and_the_newest_are_refused() {
    let failover = FailoverSettings { max_buffered_writes: 6, ..FailoverSettings::default() };
    let mut b = Bench::new(Settings { failover, ..settings() });
    b.hear_all(ms(10));
    b.step(vec![
        Event::TakenOutOfService(ServerId(1)),
        Event::TakenOutOfService(ServerId(2)),
        Event::TakenOutOfService(ServerId(3)),
    ]);
    let refused: Vec<usize> = (0..6).map(|_| refusals(&b.call(ONCE))).collect();
    assert_eq!(refused, [0, 0, 0, 1, 1, 1], "half of the places are for one set");
}

#[test]
fn new_settings_in_the_middle_of_a_change_leave_it_alone() {
    let mut b = steady();
    b.call(ONCE);
    pass(&mut b, 250);
    assert!(targets(&b.call(ONCE)).is_empty());
    b.step(vec![Event::Settings(Box::new(settings()))]);
    assert!(targets(&b.call(ONCE)).is_empty(), "still held");
    assert_eq!(targets(&end_at(&mut b, 1, Outcome::Success, Some(true))), [1, 1]);
}

#[test]
fn a_successor_of_the_process_knows_of_a_change_under_way() {
    let mut b = Bench::new(settings());
    let news = ReplicaSetSnapshot { epoch: 4, deposed: true, failover: Some((FailoverKind::Unplanned, 1.5)) };
    b.step(vec![
        Event::HealthChecked {
            server: ServerId(2),
            ok: true,
            load_report: Some(LoadReport {
                position: Some(b.now),
                primary: Some(true),
                ..LoadReport::default()
            }),
        },
        Event::SnapshotReceived(Box::new(StateSnapshot {
            servers: vec![ServerSnapshot { server: 1, replica_set: news, ..ServerSnapshot::default() }],
            ..StateSnapshot::default()
        })),
    ]);
    let news = b.engine.snapshot().servers[0].replica_set;
    assert_eq!((news.epoch, news.deposed), (4, true));
    assert_eq!(targets(&b.call(ONCE)), [2]);
    b.now += ms(10);
    end_at(&mut b, 2, Outcome::Success, Some(true));
    b.step(vec![Event::HealthChecked {
        server: ServerId(1),
        ok: true,
        load_report: Some(LoadReport { position: Some(b.now), primary: Some(true), ..LoadReport::default() }),
    }]);
    assert_eq!(targets(&b.call(ONCE)), [2], "the one that it knew to be deposed is not believed");
}

/// A client that leaves while its write is held: nothing goes out for it later.
#[test]
fn a_client_that_leaves_while_held_is_forgotten() {
    let mut b = steady();
    b.call(ONCE);
    pass(&mut b, 250);
    let request = b.request(ONCE);
    let id = request.id;
    assert!(targets(&b.step(vec![Event::Request(request)])).is_empty());
    b.step(vec![Event::ClientGone(id)]);
    let after = end_at(&mut b, 1, Outcome::Success, Some(true));
    assert!(targets(&after).is_empty(), "{after:?}");
}
