//! Tests of the detection of servers that do not respond.

use pipittack_core::api::*;

use crate::common::*;

#[test]
fn a_server_that_stops_responding_soon_gets_hardly_any_reads() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    let mut reads_at_silent = 0;
    for round in 0..300 {
        harness.now += ms(10);
        let actions = harness.submit(EVENTUAL_READ);
        reads_at_silent += usize::from(round > 200 && forwarded_to(&actions).contains(&2));
        let responding: Vec<_> =
            harness.in_flight.iter().filter(|attempt| attempt.server != ServerId(2)).copied().collect();
        harness.in_flight.retain(|attempt| attempt.server == ServerId(2));
        for attempt in responding {
            harness.end_attempt(attempt, Outcome::Success, Some(attempt.server == PRIMARY), ms(0));
        }
    }
    assert!(reads_at_silent <= 2, "{reads_at_silent} reads sent to the silent server in its third second");
}

/// An instance with few requests would wait long for the evidence of a second lost attempt.
#[test]
fn one_lost_attempt_marks_a_server_down_if_losses_are_rare() {
    let mut harness = Harness::new(large_fleet_settings());
    harness.report_all(ms(10));
    harness.submit(EVENTUAL_READ);
    let lost = harness.in_flight[0];
    for _ in 0..10 {
        harness.advance(ms(50));
    }
    harness.end_attempt(lost, Outcome::Timeout, None, ms(0));
    harness.in_flight.clear();
    let to: Vec<u32> = (0..6).flat_map(|_| forwarded_to(&harness.submit(EVENTUAL_READ))).collect();
    assert!(
        !to.is_empty() && !to.contains(&lost.server.0),
        "{to:?}, expected none at the server of {lost:?}, which got no response"
    );
}

#[test]
fn a_server_is_down_after_two_connection_resets_in_a_row_and_not_after_one() {
    let mut harness = Harness::new(settings());
    harness.report_all(ms(10));
    for resets in 1..=2 {
        assert_eq!(forwarded_to(&harness.submit(UNIQUE_WRITE)), [1]);
        let after = harness.end_oldest(Outcome::Reset, None, ms(0));
        assert_eq!(is_reported_down(&after), resets == 2);
    }
}

#[test]
fn a_lost_attempt_is_weak_evidence_if_its_server_has_responded_since() {
    for has_responded_since in [false, true] {
        let mut harness = Harness::new(large_fleet_settings());
        harness.report_all(ms(10));
        harness.submit(EVENTUAL_READ);
        let lost = harness.in_flight.remove(0);
        harness.advance(ms(100));
        while has_responded_since && !harness.in_flight.iter().any(|attempt| attempt.server == lost.server) {
            harness.submit(EVENTUAL_READ);
        }
        if let Some(other) = harness.in_flight.iter().find(|attempt| attempt.server == lost.server).copied() {
            harness.end_attempt(other, Outcome::Success, Some(other.server == PRIMARY), ms(0));
        }
        harness.advance(ms(900));
        let after = harness.end_attempt(lost, Outcome::Timeout, None, ms(0));
        assert_eq!(is_reported_down(&after), !has_responded_since);
    }
}

/// The idle connections of a large fleet could exhaust the connection limits of the servers.
#[test]
fn in_a_large_fleet_idle_connections_are_closed_if_connections_are_refused() {
    let closes_idle = |settings: Settings| {
        let mut harness = Harness::new(settings);
        harness.report_all(ms(10));
        let mut closed = 0;
        for _ in 0..12 {
            harness.submit(EVENTUAL_READ);
            if let Some(attempt) = harness.in_flight.pop() {
                harness.end_attempt(attempt, Outcome::ConnectFailed, None, ms(0));
            }
            while let Some(attempt) = harness.in_flight.pop() {
                let after =
                    harness.end_attempt(attempt, Outcome::Success, Some(attempt.server == PRIMARY), ms(10));
                closed += after
                    .iter()
                    .filter(|action| matches!(action, Action::CloseIdleConnections { .. }))
                    .count();
            }
            harness.advance(ms(400));
        }
        closed > 0
    };
    assert_eq!((closes_idle(large_fleet_settings()), closes_idle(settings())), (true, false));
}
