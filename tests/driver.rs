//! The exchange's books: what it guarantees to the module and to clients, whatever the sides report.

#[path = "../core/tests/common/mod.rs"]
mod common;

use common::*;
use pipittack::api::*;
use pipittack::net::buffers::BufferPool;
use pipittack::net::driver::{
    AttemptCommand, AttemptResult, Clock, Driver, DriverParts, NewRequest, Response, ServerCommand,
};
use pipittack::net::server::{self, Query, ReuseStatistics, ServerOptions};
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::query;
use tokio::sync::mpsc::UnboundedReceiver;

type RequestTable = Driver<&'static str, &'static str>;

/// An exchange whose module knows server 1, the primary, and its replicas 2 and 3.
fn start(clock: Clock) -> (RequestTable, UnboundedReceiver<ServerCommand<&'static str>>) {
    let parts: DriverParts<_, _> = Driver::new(settings(), 7, clock).expect("valid settings");
    let (driver, orders, _asks) = parts;
    driver.endpoints_updated(
        EndpointUpdate::Cached(vec![entry(1, true), entry(2, false), entry(3, false)]),
        [],
    );
    (driver, orders)
}

fn call(class: ClassId) -> NewRequest {
    NewRequest { class, group: GroupId(1), time_left: ms(2000), ..NewRequest::default() }
}

/// The next attempt that is to be sent.
fn sent(orders: &mut UnboundedReceiver<ServerCommand<&'static str>>) -> Option<AttemptCommand<&'static str>> {
    while let Ok(order) = orders.try_recv() {
        if let ServerCommand::Attempt(send) = order {
            return Some(send);
        }
    }
    None
}

fn told(outcome: Outcome, primary: bool, position: std::time::Duration) -> AttemptResult<&'static str> {
    let note = Some(ServerStatus { position: Some(position), primary: Some(primary) });
    AttemptResult {
        outcome,
        status: note,
        load_report: None,
        response: (outcome == Outcome::Success).then_some("value"),
    }
}

#[test]
fn the_first_answer_is_final_and_what_comes_later_is_dropped() {
    let (driver, mut orders) = start(Clock::start());
    let (_, mut answer) = driver.submit(call(POST), "query");
    driver.step();
    let send = sent(&mut orders).expect("an attempt");
    assert_eq!((*send.query, send.server, send.id.number), ("query", ServerId(1), AttemptNumber(0)));
    for _ in 0..2 {
        driver.attempt_ended(send.id, told(Outcome::Success, true, driver.clock().now()));
    }
    assert_eq!(answer.try_recv(), Ok(Response::Served("value")));
    assert_eq!(driver.requests_in_flight(), 0);
    driver.step();
    assert!(sent(&mut orders).is_none());
}

#[test]
fn an_end_that_nobody_waits_for_is_dropped() {
    let (driver, mut orders) = start(Clock::start());
    let key = AttemptId { request: RequestId(99), number: AttemptNumber(0) };
    driver.attempt_ended(key, told(Outcome::Success, true, driver.clock().now()));
    driver.step();
    assert!(sent(&mut orders).is_none() && driver.requests_in_flight() == 0);
}

#[test]
fn a_client_that_left_is_owed_nothing_and_its_attempt_is_called_off() {
    let (driver, mut orders) = start(Clock::start());
    let (id, mut answer) = driver.submit(call(POST), "query");
    driver.step();
    let send = sent(&mut orders).expect("an attempt");
    driver.client_gone(id);
    driver.step();
    assert!(matches!(orders.try_recv(), Ok(ServerCommand::Cancel(key)) if key == send.id));
    assert!(answer.try_recv().is_err());
}

/// Guards against growing with every server that ever was: what the list drops is forgotten everywhere.
#[rstest::rstest]
#[case::gone(EndpointUpdate::Changes(vec![Endpoint { state: EndpointState::Removed, ..entry(3, false) }]), &[3])]
#[case::draining(EndpointUpdate::Changes(vec![Endpoint { state: EndpointState::Draining, ..entry(3, false) }]), &[])]
#[case::not_in_the_whole_list(EndpointUpdate::Full(vec![entry(2, false), entry(4, true)]), &[1, 3])]
#[case::never_listed(EndpointUpdate::Changes(vec![Endpoint { state: EndpointState::Removed, ..entry(9, false) }]), &[])]
fn a_server_that_the_list_drops_is_forgotten(#[case] view: EndpointUpdate, #[case] dropped: &[u32]) {
    let (driver, mut orders) = start(Clock::start());
    driver.endpoints_updated(view, []);
    let mut forgotten = Vec::new();
    while let Ok(order) = orders.try_recv() {
        if let ServerCommand::Forget(server) = order {
            forgotten.push(server.0);
        }
    }
    assert_eq!(forgotten, dropped);
    assert!(driver.knows_group(GroupId(1)) && !driver.knows_group(GroupId(9)));
}

#[test]
fn attempts_are_numbered_in_the_order_of_sending() {
    let (driver, mut orders) = start(Clock::start());
    let (_, _answer) = driver.submit(call(POST), "query");
    // The listed primary turns the write away; the module then asks the members in turn.
    for expected in 0..2 {
        driver.step();
        let send = sent(&mut orders).expect("an attempt");
        assert_eq!(send.id.number, AttemptNumber(expected));
        driver.attempt_ended(send.id, told(Outcome::Misdirected, false, driver.clock().now()));
    }
}

/// A bound on age counts from the send: a replica's attempt must not go out once its last known position is
/// too old, however long a connection took. A primary stands at the present and has no such limit.
#[test]
fn an_attempt_at_a_replica_says_until_when_it_is_fresh() {
    let clock = Clock::start();
    let (driver, mut orders) = start(clock);
    let (mut at_replica, mut at_primary) = (0, 0);
    for round in 0..200 {
        let (_, _answer) = driver.submit(call(if round < 50 { ANY } else { LOOK }), "query");
        driver.step();
        while let Some(send) = sent(&mut orders) {
            let primary = send.server == ServerId(1);
            if round >= 50 {
                (at_primary, at_replica) =
                    (at_primary + u32::from(primary), at_replica + u32::from(!primary));
                assert_eq!(send.fresh_until.is_none(), primary);
            }
            driver.attempt_ended(send.id, told(Outcome::Success, primary, clock.now()));
        }
    }
    assert!(at_replica > 0, "{at_replica} reads at replicas, {at_primary} at the primary");
}

/// Guards against peers that drop idle connections long before the settings say, and against blaming age for
/// resets that befall young connections as well.
#[rstest::rstest]
#[case::dropped_when_old(0.0, 0.5, true)]
#[case::seldom(0.03, 0.05, false)]
#[case::as_often_as_young_ones(0.4, 0.4, false)]
fn connections_are_kept_as_long_as_they_last(#[case] young: f64, #[case] old: f64, #[case] worn: bool) {
    let mut wear = ReuseStatistics::default();
    let (mut breaks, mut now) = ([0.0, 0.0], 0.0);
    for _ in 0..100 {
        for (due, (share, stood)) in breaks.iter_mut().zip([(young, 10), (old, 300)]) {
            *due += share;
            wear.learn(now, ms(stood), *due >= 1.0);
            *due %= 1.0;
        }
        now += 0.01;
    }
    assert_eq!(wear.most(now), worn.then_some(ms(256)));
    assert_eq!(wear.most(now + 100.0), None, "it is tried again after a while");
}

/// Guards against spending all of a request's attempts within a few ticks where sockets run out for a moment.
#[test]
fn an_attempt_waits_for_a_socket() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Row(b"v".to_vec()));
    let clock = Clock::start();
    let (driver, orders, _asks) = Driver::new(settings(), 7, clock).expect("valid settings");
    let options = ServerOptions {
        max_sockets: 1,
        connect_timeout: ms(5000),
        max_idle: std::time::Duration::ZERO,
        probe_reports: false,
        start_timeout: None,
    };
    let pool = BufferPool::default();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(server::run(driver.clone(), orders, options, pool.clone()));
        let stepping = driver.clone();
        tokio::task::spawn_local(async move { stepping.run().await });
        driver
            .endpoints_updated(EndpointUpdate::Cached(vec![entry(1, true)]), [(ServerId(1), server.address)]);
        let answers: Vec<_> = (0..8)
            .map(|_| {
                let mut message = pool.chain();
                message.extend(&query("SELECT d=0"));
                driver.submit(call(ONCE), Query { message, wait_at: 14..15, room: None }).1
            })
            .collect();
        for answer in answers {
            assert!(matches!(answer.await, Ok(Response::Served(_))));
        }
    });
    assert_eq!(server.statement_count(), 8);
}

#[test]
fn positions_keep_their_order_on_the_clock() {
    let clock = Clock::start();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let ms = unix.as_millis() as f64;
    assert!(clock.from_unix_ms(ms) < clock.from_unix_ms(ms + 1.0));
    assert!(clock.from_unix_ms(ms - 1000.0) < clock.now());
    assert_eq!(clock.from_unix_ms(0.0), std::time::Duration::ZERO);
    assert_eq!(clock.from_unix_ms(f64::INFINITY), std::time::Duration::ZERO);
}

/// New settings leave open requests their rules: a changed class gets an id that none of them holds.
#[test]
fn new_settings_are_for_requests_that_come_after_them() {
    let (driver, mut orders) = start(Clock::start());
    driver.submit(call(POST), "open");
    driver.step();
    let open = sent(&mut orders).expect("an attempt");
    let changed = Class { deadline: ms(900), ..settings().classes[POST.0].clone() };
    let once = Settings {
        classes: vec![settings().classes[LOOK.0].clone(), changed],
        limits: Limits { max_attempts: 1, ..settings().limits },
        ..settings()
    };
    let ids = driver.reconfigure(once.clone(), &[Some(LOOK), None], &[]);
    assert_eq!(ids, [LOOK, OWN], "the slot of a class that is dropped and not held");
    let (_, mut second) = driver.submit(call(ids[1]), "new");
    driver.step();
    let new = sent(&mut orders).expect("an attempt");
    for send in [open, new] {
        driver.attempt_ended(send.id, told(Outcome::ConnectFailed, true, driver.clock().now()));
    }
    let again = std::iter::repeat_with(|| {
        std::thread::yield_now(); // the server is tried again when the exchange's clock has gone on
        driver.step();
        sent(&mut orders)
    });
    let again = again.take(1 << 22).flatten().next().expect("the old limit holds");
    assert_eq!((*again.query, again.id.number), ("open", AttemptNumber(1)));
    assert!(matches!(second.try_recv(), Ok(Response::Rejected(_))), "the new one allows no second attempt");
    assert_eq!(driver.reconfigure(once, &[Some(LOOK), None], &[OWN]), [LOOK, ONCE], "both others are held");
    assert_eq!(driver.max_deadline(), ms(2000));
}

/// Guards against a session's read that is too old after an upgrade: a client has its answer before the module is stepped,
/// and a successor that came in that moment did not hear of the commit.
#[test]
fn what_a_client_was_told_a_moment_ago_passes_to_a_successor() {
    let settings = Settings { session_tokens: SessionTokens::Tracked, ..settings() };
    let parts: DriverParts<&str, &str> = Driver::new(settings, 7, Clock::start()).expect("valid settings");
    let (driver, mut orders, _asks) = parts;
    driver.endpoints_updated(EndpointUpdate::Cached(vec![entry(1, true), entry(2, false)]), []);
    let write = NewRequest { session: Some("s".into()), ..call(POST) };
    let (_, mut answer) = driver.submit(write, "query");
    driver.step();
    let send = sent(&mut orders).expect("an attempt");
    let commit = driver.clock().now();
    driver.attempt_ended(send.id, told(Outcome::Success, true, commit));
    assert_eq!(answer.try_recv(), Ok(Response::Served("value")));
    let marks = driver.snapshot().session_tokens;
    assert_eq!(marks, [("s".to_owned(), commit.as_secs_f64())]);
}

/// A process that stood still can't know who serves beside it by now: until it has found out, every session may have
/// written just now. One that had only nothing to do has stepped all the same.
#[tokio::test(start_paused = true)]
async fn a_process_that_stood_still_doubts_what_it_knows_of_sessions() {
    let settings = Settings { session_tokens: SessionTokens::Tracked, ..settings() };
    let parts: DriverParts<&str, &str> = Driver::new(settings, 7, Clock::start()).expect("valid settings");
    let (driver, ..) = parts;
    driver.endpoints_updated(EndpointUpdate::Cached(vec![entry(1, true), entry(2, false)]), []);
    let begun = driver.snapshot().session_floor;
    for idle in [ms(250), ms(600)] {
        tokio::time::advance(idle).await;
        assert_eq!(driver.snapshot().session_floor, begun);
    }
    tokio::time::advance(ms(1200)).await;
    let woke = driver.clock().now();
    assert!(
        driver.snapshot().session_floor > Some(woke.as_secs_f64()),
        "what it reads first may be anything"
    );
    tokio::time::advance(ms(700)).await;
    assert!(driver.snapshot().session_floor < Some(driver.clock().now().as_secs_f64()));
}
