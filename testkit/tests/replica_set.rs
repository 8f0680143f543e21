//! Tests of the stand-in replica set without a proxy: its behaviour in failures, and the violations that the
//! write checker reports.

use std::time::Duration;

use pipittack_testkit::client::{Client, Request, RequestRecord, Response};
use pipittack_testkit::replica_set::{MemberState, ReplicaSet, ReplicaSetConfig, Role};
use pipittack_testkit::write_checker::check_writes;

const CONFIG: ReplicaSetConfig = ReplicaSetConfig {
    synchronous: true,
    max_concurrency: 5,
    execution_time: Duration::from_millis(1),
    replication_delay: Duration::from_millis(1),
};
const MAX_WAIT: Duration = Duration::from_secs(20);

fn write_request(id: &str, max_wait: Duration) -> Request<'_> {
    Request {
        id,
        class: "usage-write",
        is_write: true,
        group: 0,
        max_wait,
        response_slack: Duration::from_secs(5),
    }
}

fn write(set: &ReplicaSet, member: usize, id: &str) -> RequestRecord {
    Client::new(set.addresses()[member]).send(&write_request(id, MAX_WAIT))
}

#[test]
fn writes_are_served_through_repeated_primary_crashes() {
    let set = ReplicaSet::start(3, CONFIG).expect("free ports");
    let mut records = Vec::new();
    for round in 0..12 {
        let old_primary = set.primary().expect("there is a primary");
        records.push(write(&set, old_primary, &format!("before-{round}")));
        set.set_member_state(old_primary, MemberState::Crashed);
        let new_primary = set.promote().expect("two replicas are running");
        records.push(write(&set, new_primary, &format!("meanwhile-{round}")));
        set.recover(old_primary, Role::Replica);
        records.push(write(&set, new_primary, &format!("after-{round}")));
    }
    assert!(records.iter().all(|record| record.response == Response::Served), "{records:?}");
    assert!(check_writes(&records, &set.write_log()).is_empty());
}

#[test]
fn a_write_at_a_paused_primary_fails_and_violates_no_rule() {
    let set = ReplicaSet::start(3, CONFIG).expect("free ports");
    set.set_member_state(0, MemberState::Paused);
    let shared = std::sync::Arc::new(set);
    let pending_set = shared.clone();
    let pending = std::thread::spawn(move || write(&pending_set, 0, "pending"));
    let new_primary = shared.promote().expect("two replicas are running");
    assert_ne!(new_primary, 0);
    assert_eq!(write(&shared, new_primary, "next").response, Response::Served);
    shared.recover(0, Role::StalePrimary);
    shared.demote(0);
    let pending = pending.join().expect("the writing thread does not panic");
    // The write reached the member before or after the demotion; its response is an error in both cases.
    assert!(
        matches!(&pending.response, Response::Failed(code) if code == "XX000" || code == "25006"),
        "{pending:?}"
    );
    assert!(check_writes(&[pending], &shared.write_log()).is_empty());
}

#[test]
fn a_synchronous_write_is_acknowledged_once_a_replica_has_it() {
    let set = ReplicaSet::start(3, CONFIG).expect("free ports");
    let long_lag = Duration::from_secs(3600);
    (1..3).for_each(|replica| set.set_replication_lag(replica, long_lag));
    let request = write_request("early", Duration::from_millis(200));
    let early = Client::new(set.addresses()[0]).send(&Request { response_slack: Duration::ZERO, ..request });
    assert_eq!(early.response, Response::Unanswered);
    assert!(!set.is_replicated(0));
    set.set_replication_lag(1, Duration::ZERO);
    assert_eq!(write(&set, 0, "later").response, Response::Served);
}

/// Simulates three faulty proxies: one sends a write twice, one reports a write as served that only a stale
/// primary executed, and one reports an executed write as rejected.
#[test]
fn the_write_checker_reports_each_simulated_violation() {
    let set = ReplicaSet::start(3, ReplicaSetConfig { synchronous: false, ..CONFIG }).expect("free ports");
    let twice = write(&set, 0, "twice");
    write(&set, 0, "twice");
    let rejected = RequestRecord { response: Response::Rejected(None), ..write(&set, 0, "ran") };
    while !set.is_replicated(0) {
        std::thread::yield_now();
    }
    set.set_member_state(0, MemberState::Paused);
    set.promote().expect("two replicas are running");
    set.recover(0, Role::StalePrimary);
    let lost = write(&set, 0, "lost");
    assert_eq!(
        lost.response,
        Response::Served,
        "a stale primary with asynchronous replication acknowledges the write"
    );
    set.demote(0);
    let violations = check_writes(&[twice, rejected, lost], &set.write_log());
    let id = |text: &str| vec![text.to_owned()];
    assert_eq!((violations.duplicates, violations.lost_writes), (id("twice"), id("lost")));
    assert_eq!((violations.false_rejections, violations.unanswered), (id("ran"), vec![]));
}
