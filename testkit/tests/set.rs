//! The replicated set itself, asked without a proxy: what it does in each failure, and that planted faults are found.

use std::time::Duration;

use pipittack_testkit::check::check;
use pipittack_testkit::client::{Answer, Ask, Client, Outcome};
use pipittack_testkit::set::{Habits, Mode, ReplicatedSet, Role};

const HABITS: Habits =
    Habits { sync: true, cores: 5, work: Duration::from_millis(1), ship: Duration::from_millis(1) };
const PATIENT: Duration = Duration::from_secs(20);

fn ask(id: &str, wait: Duration) -> Ask<'_> {
    Ask { id, class: "usage-write", write: true, group: 0, wait, slack: Duration::from_secs(5) }
}

fn write(set: &ReplicatedSet, member: usize, id: &str, wait: Duration) -> Outcome {
    Client::new(set.addresses()[member]).ask(&ask(id, wait), None)
}

#[test]
fn a_set_serves_writes_through_a_row_of_deaths() {
    let set = ReplicatedSet::start(3, HABITS).expect("free ports");
    let mut outcomes = Vec::new();
    for round in 0..12 {
        let old = set.primary().expect("there is one");
        outcomes.push(write(&set, old, &format!("before-{round}"), PATIENT));
        set.strike(old, Mode::Dead);
        let new = set.promote().expect("two are up");
        outcomes.push(write(&set, new, &format!("meanwhile-{round}"), PATIENT));
        set.revive(old, Role::Replica);
        outcomes.push(write(&set, new, &format!("after-{round}"), PATIENT));
    }
    assert!(outcomes.iter().all(|o| o.answer == Answer::Served), "{outcomes:?}");
    assert!(check(&outcomes, &set.account()).is_empty());
}

#[test]
fn a_write_that_hung_with_its_primary_fails_and_is_not_in_the_log_that_survives() {
    let set = ReplicatedSet::start(3, HABITS).expect("free ports");
    set.strike(0, Mode::Hung);
    let shared = std::sync::Arc::new(set);
    let asked = shared.clone();
    let held = std::thread::spawn(move || write(&asked, 0, "held", PATIENT));
    let new = shared.promote().expect("two are up");
    assert_ne!(new, 0);
    assert_eq!(write(&shared, new, "next", PATIENT).answer, Answer::Served);
    shared.revive(0, Role::FalsePrimary);
    shared.demote(0);
    let held = held.join().expect("it ends");
    // It came before or after the set changed its mind; either way nobody says that it is served.
    assert!(matches!(&held.answer, Answer::Failed(code) if code == "XX000" || code == "25006"), "{held:?}");
    assert!(check(&[held], &shared.account()).is_empty());
}

#[test]
fn a_write_is_acknowledged_once_a_replica_has_it() {
    let set = ReplicatedSet::start(3, HABITS).expect("free ports");
    let far = Duration::from_secs(3600);
    (1..3).for_each(|replica| set.lag(replica, far));
    let ask = Ask { slack: Duration::ZERO, ..ask("early", Duration::from_millis(200)) };
    let early = Client::new(set.addresses()[0]).ask(&ask, None);
    assert_eq!(early.answer, Answer::Unanswered);
    assert!(!set.is_copied(0));
    set.lag(1, Duration::ZERO);
    assert_eq!(write(&set, 0, "later", PATIENT).answer, Answer::Served);
}

/// The checker on faults that are planted with real servers: a front that sends twice, one that calls a write served
/// that only a false primary ran, and one that calls a write refused that ran.
#[test]
fn planted_faults_are_found() {
    let set = ReplicatedSet::start(3, Habits { sync: false, ..HABITS }).expect("free ports");
    let twice = write(&set, 0, "twice", PATIENT);
    write(&set, 0, "twice", PATIENT);
    let refused = Outcome { answer: Answer::Refused(None), ..write(&set, 0, "ran", PATIENT) };
    while !set.is_copied(0) {
        std::thread::yield_now();
    }
    set.strike(0, Mode::Hung);
    set.promote().expect("two are up");
    set.revive(0, Role::FalsePrimary);
    let lost = write(&set, 0, "lost", PATIENT);
    assert_eq!(lost.answer, Answer::Served, "a false primary without sync says so");
    set.demote(0);
    let faults = check(&[twice, refused, lost], &set.account());
    let id = |text: &str| vec![text.to_owned()];
    assert_eq!((faults.doubles, faults.silent_losses), (id("twice"), id("lost")));
    assert_eq!((faults.false_refusals, faults.unanswered), (id("ran"), vec![]));
}
