//! The end of a process, stepped through every order of what its clients may do meanwhile: each request that
//! reached it gets its final answer, and one that crossed the close of its connection finds the door open.

use std::time::Duration;

use pipittack_core::graceful_shutdown::{
    GracefulShutdown, IdleState, ShutdownPhase, FIRST_REQUEST_TIMEOUT, NOTICE_PERIOD, RETURN_GRACE_PERIOD,
};

/// When connections begin to be let go: half way to the end.
const LEAVES: u64 = TOLD + 1800;

const LONGEST: Duration = Duration::from_millis(3000);
/// When the process is told to end, and when the platform kills it.
const TOLD: u64 = 1000;
const KILLED: u64 = TOLD + 3700;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One client: when it connects, when the first part of its query and its last byte arrive, and how long the answer takes.
/// A second query may lie right behind the first.
#[derive(Debug, Clone, Copy)]
struct Client {
    connects: u64,
    begins: u64,
    asks: u64,
    answer: u64,
    pipelined: bool,
}

/// How it went for one client.
#[derive(Debug, Default, PartialEq)]
struct AttemptLog {
    answered: u32,
    /// Its connection closed before its query had come: it comes again on a new one.
    crossed: bool,
    /// Nobody listened when it came.
    unheard: bool,
}

struct Connection {
    client: Client,
    came: u64,
    /// When each request that was taken gets its answer.
    open: Vec<u64>,
    taken: u32,
    asked: bool,
    of: usize,
}

/// Plays one process, a millisecond a step, as the shell plays it. Gives the fates and when the process ended.
fn play(clients: &[Client], handed: bool) -> (Vec<AttemptLog>, u64) {
    let mut fates: Vec<AttemptLog> = clients.iter().map(|_| AttemptLog::default()).collect();
    let mut coming: Vec<(Client, usize)> = clients.iter().copied().zip(0..).collect();
    let mut connections: Vec<Connection> = Vec::new();
    let mut farewell: Option<GracefulShutdown> = None;
    let mut shut = false;
    for now in 0..KILLED + 2000 {
        if now == TOLD {
            let mut told = GracefulShutdown::new(ms(now), LONGEST, connections.len(), ms(0));
            told.set_handed_over(handed);
            farewell = Some(told);
        }
        let (arrived, later) = coming.into_iter().partition(|(client, _)| client.connects <= now);
        coming = later;
        for (client, of) in Vec::from_iter::<Vec<_>>(arrived) {
            if shut {
                fates[of].unheard = true;
                continue;
            }
            farewell.iter_mut().for_each(GracefulShutdown::connection_opened);
            connections.push(Connection { client, came: now, open: vec![], taken: 0, asked: false, of });
        }
        let mut returning = Vec::new();
        connections.retain_mut(|c| {
            let wanted = 1 + u32::from(c.client.pipelined);
            if c.open.is_empty() && c.taken < wanted && c.client.asks <= now {
                // It is read and taken, however late: nothing of it lies unread where a connection ends.
                (c.taken, c.asked) = (c.taken + 1, true);
                let wait = ms(c.client.answer);
                let most = farewell.as_ref().map_or(wait, |f| f.request_time_left(ms(now), wait));
                c.open.push(now + most.as_millis() as u64);
            }
            if c.open.first().is_some_and(|at| *at <= now) {
                c.open.clear();
                fates[c.of].answered += 1;
            }
            let unread = c.taken < wanted && c.client.asks <= now;
            let Some(told) = farewell.as_mut() else { return true };
            let standing = match () {
                () if c.client.begins <= now && c.taken == 0 => IdleState::PartialMessage,
                () if c.asked => IdleState::BetweenRequests,
                () => IdleState::NoRequestYet,
            };
            let stays = !c.open.is_empty()
                || unread
                || told.idle_deadline(standing, ms(c.came)).is_none_or(|until| ms(now) < until);
            if !stays {
                told.connection_closed(ms(now));
                if c.taken == 0 && c.client.asks < u64::MAX {
                    fates[c.of].crossed = true;
                    returning.push((c.client, c.of));
                }
            }
            stays
        });
        // What was on its way comes again on a new connection, a flight later.
        for (client, of) in returning {
            let late = client.asks.max(now + 1);
            coming.push((Client { connects: late, begins: late, asks: late, ..client }, of));
        }
        let Some(told) = farewell.as_mut() else { continue };
        assert!(
            told.next_transition(ms(now)) > ms(now) || told.phase(ms(now)) == ShutdownPhase::AttemptEnded
        );
        if told.phase(ms(now)) == ShutdownPhase::ListenerClosing && !shut {
            shut = true;
            told.listener_closed();
        }
        if told.phase(ms(now)) == ShutdownPhase::AttemptEnded {
            return (fates, now);
        }
    }
    panic!("the process never ended: {clients:?}");
}

/// Moments around those at which the phases change.
fn moments() -> Vec<u64> {
    let (notice, returns) = (TOLD + NOTICE_PERIOD.as_millis() as u64, RETURN_GRACE_PERIOD.as_millis() as u64);
    let at =
        [TOLD, notice + returns, LEAVES, LEAVES + returns, LEAVES + FIRST_REQUEST_TIMEOUT.as_millis() as u64];
    let mut all: Vec<_> = at.iter().flat_map(|at| [at - 1, *at, at + 1, at + 60]).collect();
    all.extend([0, TOLD + 2500, TOLD + 3400]);
    all
}

#[test]
fn every_request_that_came_is_answered_at_whatever_moment_it_came() {
    let mut played = 0;
    for connects in [0, TOLD - 1, TOLD + 1, TOLD + 300] {
        for begins in moments().into_iter().filter(|at| *at >= connects) {
            for gap in [0, 1, 200] {
                for answer in [1, 80, 2900] {
                    for pipelined in [false, true] {
                        let client = Client { connects, begins, asks: begins + gap, answer, pipelined };
                        // Another one keeps the process, or it stands alone.
                        for others in
                            [&[][..], &[Client { answer: 1200, asks: TOLD, begins: TOLD, ..client }]]
                        {
                            let clients = [&[client], others].concat();
                            let (fates, ended) = play(&clients, false);
                            let context = format!("{clients:?} {fates:?}, ended at {ended}");
                            assert!(ended <= KILLED - 100, "{context}");
                            let due = 1 + u32::from(pipelined);
                            for (client, fate) in clients.iter().zip(&fates) {
                                // Within the time that a crossing takes, a client that returns is heard; one that
                                // asks for the first time long after its connection closed has nobody to ask.
                                let crossing = client.asks <= LEAVES + 250;
                                assert!(!(fate.unheard && crossing), "{context}");
                                assert!(
                                    fate.unheard || fate.answered == due || client.asks > ended,
                                    "{context}"
                                );
                            }
                            played += 1;
                        }
                    }
                }
            }
        }
    }
    assert!(played > 2000, "{played}");
}

#[test]
fn a_process_without_clients_ends_once_none_can_return() {
    let (_, ended) = play(&[], false);
    assert_eq!(ms(ended), ms(TOLD) + NOTICE_PERIOD + RETURN_GRACE_PERIOD);
}

/// A connection that has asked nothing is given the time to, and does not keep the process for longer.
#[test]
fn who_connects_late_and_stays_silent_is_let_go() {
    let silent =
        Client { connects: TOLD + 400, begins: u64::MAX, asks: u64::MAX, answer: 0, pipelined: false };
    let (fates, ended) = play(&[silent], false);
    assert_eq!((fates, ms(ended)), (vec![AttemptLog::default()], ms(LEAVES) + RETURN_GRACE_PERIOD));
    let late = Client { connects: LEAVES - 100, ..silent };
    assert_eq!(
        ms(play(&[silent, late], false).1),
        ms(LEAVES - 100) + FIRST_REQUEST_TIMEOUT + RETURN_GRACE_PERIOD
    );
}

/// Guards against clients that are sent away before the front knows: those of one session have no other proxy to go to.
#[test]
fn a_client_that_keeps_its_connection_is_served_on_it_until_the_front_has_noticed() {
    for asks in (TOLD..LEAVES - 100).step_by(100) {
        let client = Client { connects: 0, begins: asks, asks, answer: 80, pipelined: true };
        let (fates, _) = play(&[client], false);
        assert_eq!(fates, [AttemptLog { answered: 2, ..AttemptLog::default() }], "{asks}");
    }
}

/// With a successor, the queue is its own, and connections go over as soon as they stand between requests.
#[test]
fn a_successor_gets_what_stands_between_requests_at_once() {
    let busy = Client { connects: 0, begins: 900, asks: 900, answer: 400, pipelined: false };
    let idle = Client { connects: 0, begins: 100, asks: 100, answer: 1, pipelined: false };
    let (fates, ended) = play(&[busy, idle], true);
    assert_eq!((fates[0].answered, fates[1].answered, ended), (1, 1, 1300));
}

#[test]
fn no_request_outlasts_the_process_and_no_long_deadline_does() {
    let told = GracefulShutdown::new(ms(TOLD), ms(60_000), 1, ms(0));
    assert_eq!(told.request_time_left(ms(TOLD + 100), ms(500)), ms(500));
    for at in (TOLD..KILLED).step_by(10).map(ms) {
        assert!(at + told.request_time_left(at, ms(60_000)) < ms(KILLED - 100) || at > ms(KILLED - 200));
    }
    assert_eq!(told.phase(ms(KILLED - 100)), ShutdownPhase::AttemptEnded);
}

/// Guards against requests that are taken when the process is about to be killed: the word may have come while it stood still.
#[test]
fn a_word_that_may_have_waited_leaves_less_time() {
    let standing = |stood| {
        GracefulShutdown::new(ms(TOLD), LONGEST, 1, ms(stood))
            .idle_deadline(IdleState::BetweenRequests, ms(0))
    };
    assert_eq!(standing(0), Some(ms(LEAVES)));
    assert_eq!(standing(700), Some(ms(LEAVES - 700)));
    assert_eq!(standing(5000), Some(ms(TOLD)));
    let told = GracefulShutdown::new(ms(TOLD), LONGEST, 1, ms(5000));
    assert_eq!(told.phase(ms(TOLD)), ShutdownPhase::Draining, "what is open still gets its answer");
}
