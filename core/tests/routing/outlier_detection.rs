//! How servers that do not respond are found.

use pipittack_core::api::*;

use crate::common::*;

#[test]
fn a_server_that_stops_responding_loses_its_reads_to_the_others() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    let mut reads_at_silent = 0;
    for round in 0..300 {
        bench.now += ms(10);
        let actions = bench.call(EVENTUAL_READ);
        reads_at_silent += usize::from(round > 200 && forwarded_to(&actions).contains(&2));
        let responding: Vec<_> =
            bench.sent.iter().filter(|attempt| attempt.server != ServerId(2)).copied().collect();
        bench.sent.retain(|attempt| attempt.server == ServerId(2));
        for attempt in responding {
            bench.end_attempt(attempt, Outcome::Success, Some(attempt.server == PRIMARY), ms(0));
        }
    }
    assert!(reads_at_silent <= 2, "{reads_at_silent} reads sent to the silent server in its third second");
}

/// An instance that sends little sees no second one soon.
#[test]
fn one_lost_attempt_takes_a_server_down_where_losses_are_rare() {
    let mut bench = Bench::new(large_fleet_settings());
    bench.report_all(ms(10));
    bench.call(EVENTUAL_READ);
    let lost = bench.sent[0];
    for _ in 0..10 {
        bench.pass(ms(50));
    }
    bench.end_attempt(lost, Outcome::Timeout, None, ms(0));
    bench.sent.clear();
    let to: Vec<u32> = (0..6).flat_map(|_| forwarded_to(&bench.call(EVENTUAL_READ))).collect();
    assert!(!to.is_empty() && !to.contains(&lost.server.0), "{to:?}, although {lost:?} got no response");
}

#[test]
fn a_server_is_down_after_two_connection_resets_in_a_row_and_not_after_one() {
    let mut bench = Bench::new(settings());
    bench.report_all(ms(10));
    for resets in 1..=2 {
        assert_eq!(forwarded_to(&bench.call(UNIQUE_WRITE)), [1]);
        let after = bench.end(Outcome::Reset, None, ms(0));
        assert_eq!(is_reported_down(&after), resets == 2);
    }
}

#[test]
fn a_lost_attempt_is_weak_evidence_where_its_server_responded_since() {
    for has_responded_since in [false, true] {
        let mut bench = Bench::new(large_fleet_settings());
        bench.report_all(ms(10));
        bench.call(EVENTUAL_READ);
        let lost = bench.sent.remove(0);
        bench.pass(ms(100));
        while has_responded_since && !bench.sent.iter().any(|attempt| attempt.server == lost.server) {
            bench.call(EVENTUAL_READ);
        }
        if let Some(other) = bench.sent.iter().find(|attempt| attempt.server == lost.server).copied() {
            bench.end_attempt(other, Outcome::Success, Some(other.server == PRIMARY), ms(0));
        }
        bench.pass(ms(900));
        let after = bench.end_attempt(lost, Outcome::Timeout, None, ms(0));
        assert_eq!(is_reported_down(&after), !has_responded_since);
    }
}

/// In a large fleet idle connections could use up those that servers accept.
#[test]
fn idle_connections_are_closed_where_connections_are_refused() {
    let closes_idle = |settings: Settings| {
        let mut bench = Bench::new(settings);
        bench.report_all(ms(10));
        let mut closed = 0;
        for _ in 0..12 {
            bench.call(EVENTUAL_READ);
            if let Some(attempt) = bench.sent.pop() {
                bench.end_attempt(attempt, Outcome::ConnectFailed, None, ms(0));
            }
            while let Some(attempt) = bench.sent.pop() {
                let after =
                    bench.end_attempt(attempt, Outcome::Success, Some(attempt.server == PRIMARY), ms(10));
                closed += after
                    .iter()
                    .filter(|action| matches!(action, Action::CloseIdleConnections { .. }))
                    .count();
            }
            bench.pass(ms(400));
        }
        closed > 0
    };
    assert_eq!((closes_idle(large_fleet_settings()), closes_idle(settings())), (true, false));
}
