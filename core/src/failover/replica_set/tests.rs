//! One set's changes of primary, input by input.

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);
/// Nothing was learned yet: a silence of 0.2 s is too long.
const PATIENCE: SilenceThreshold =
    SilenceThreshold { typical_response_secs: 0.08, slowdown: 1.0, suspicion_factor: 0.5, unanswered: 3 };

fn sight(heard: f64, oldest: Option<f64>) -> PrimaryObservation {
    PrimaryObservation {
        last_response: heard,
        oldest_unanswered: oldest,
        is_down: false,
        silence_threshold: PATIENCE,
        queued_writes: 5,
    }
}

/// A set whose primary is A, heard at 10.
fn steady() -> (ReplicaSet, FailoverDurations) {
    let (mut set, mut forecast) = (ReplicaSet::default(), FailoverDurations::default());
    assert_eq!(set.primary_claimed(A, 10.0, Some(9.9), 10.0, &mut forecast), ClaimVerdict::Accepted);
    assert_eq!((set.phase(), set.writable_primary()), (Phase::Steady, Some(A)));
    (set, forecast)
}

#[test]
fn a_pause_holds_writes_and_its_end_lets_them_go() {
    let (mut set, mut forecast) = steady();
    set.observe_primary(10.15, &sight(10.0, Some(10.0)));
    assert_eq!(set.writable_primary(), Some(A), "not yet");
    set.observe_primary(10.25, &sight(10.0, Some(10.0)));
    assert_eq!((set.writable_primary(), set.phase()), (None, Phase::Suspected { since: 10.0 }));
    assert!(!set.may_ask_for_primary(10.3), "it may only pause");
    assert_eq!(set.canary_target(10.3), Some(A));
    set.attempt_sent(A, false, 10.3);
    assert_eq!((set.canary_target(10.4), set.canary_target(10.6)), (None, Some(A)));
    assert_eq!(set.recovery_forecast(10.3, &forecast), None, "nobody refuses for a pause");
    set.primary_claimed(A, 10.4, Some(10.0), 10.4, &mut forecast);
    set.attempt_sent(A, true, 10.4);
    assert_eq!((set.writable_primary(), set.admits_write()), (Some(A), true));
    assert_eq!(forecast, FailoverDurations::default(), "no change, and nothing learned");
}

#[test]
fn a_word_that_tells_no_role_is_a_word() {
    let (mut set, _) = steady();
    set.observe_primary(10.3, &sight(10.0, Some(10.0)));
    assert_eq!(set.writable_primary(), None);
    set.observe_primary(10.4, &sight(10.35, None));
    assert_eq!((set.writable_primary(), set.phase()), (Some(A), Phase::Steady));
    set.observe_primary(12.0, &sight(10.35, Some(10.4)));
    assert_eq!((set.writable_primary(), set.phase()), (None, Phase::Without { since: 10.4 }));
    set.observe_primary(12.5, &sight(12.4, None));
    assert_eq!((set.writable_primary(), set.phase()), (Some(A), Phase::TakingOver { since: 10.4 }));
}

#[test]
fn a_failover_is_found_by_a_claim_and_its_length_learned() {
    let (mut set, mut forecast) = steady();
    set.observe_primary(10.3, &sight(10.0, Some(10.0)));
    set.observe_primary(10.7, &sight(10.0, Some(10.0)));
    assert!(set.may_ask_for_primary(10.7), "this is no pause any more");
    assert!(set.recovery_forecast(10.7, &forecast).is_some_and(|outlook| outlook.quantile(0.5) > 3.0));
    assert_eq!(set.primary_claimed(B, 14.0, Some(13.9), 14.0, &mut forecast), ClaimVerdict::Accepted);
    assert_eq!(forecast.sample(FailoverKind::Unplanned).last(), Some(&4.0));
    assert_eq!((set.writable_primary(), set.admits_write(), set.is_deposed(A)), (Some(B), true, true));
    set.attempt_sent(B, true, 14.0);
    assert!(!set.admits_write(), "one first");
    assert_eq!(set.primary_claimed(A, 15.0, Some(14.9), 15.0, &mut forecast), ClaimVerdict::Stale);
    assert_eq!(set.write_ended(B, 14.0, true), Some(A), "what is out at A gets no answer");
    assert_eq!((set.write_ended(B, 14.0, true), set.phase()), (None, Phase::Settling));
    set.observe_primary(15.0, &PrimaryObservation { queued_writes: 0, ..sight(15.0, None) });
    assert_eq!((set.phase(), set.writable_primary()), (Phase::Steady, Some(B)));
}

#[test]
fn a_handover_is_planned_until_the_draining_primary_is_lost() {
    let (mut set, mut forecast) = steady();
    set.server_withdrawn(A, 11.0, true);
    assert_eq!((set.phase().change(), set.writable_primary()), (Some(FailoverKind::Planned), None));
    assert!(set.may_ask_for_primary(11.0));
    let planned = set.recovery_forecast(11.1, &forecast).map(|o| o.quantile(0.5));
    assert!(planned.is_some_and(|left| left < 1.0), "{planned:?}");
    assert_eq!(set.primary_claimed(B, 11.5, Some(11.4), 11.5, &mut forecast), ClaimVerdict::Accepted);
    assert_eq!(forecast.sample(FailoverKind::Planned).last(), Some(&0.5));
    assert_eq!(set.write_ended(B, 14.0, true), None, "A was not silent: what it holds it finishes");
}

#[test]
fn a_successor_that_dies_before_it_serves_leaves_the_change_open() {
    let (mut set, mut forecast) = steady();
    set.observe_primary(11.0, &PrimaryObservation { is_down: true, ..sight(10.0, Some(10.0)) });
    set.primary_claimed(B, 13.0, Some(12.9), 13.0, &mut forecast);
    set.observe_primary(13.3, &sight(13.0, Some(13.0)));
    assert_eq!((set.phase(), set.writable_primary()), (Phase::Without { since: 10.0 }, None));
    assert!(set.may_ask_for_primary(13.4));
    assert_eq!(set.primary_claimed(A, 15.0, Some(14.9), 15.0, &mut forecast), ClaimVerdict::Accepted);
}

#[test]
fn a_hang_in_a_drain_is_planned_no_more() {
    let (mut set, forecast) = steady();
    set.server_withdrawn(A, 11.0, true);
    assert_eq!(set.watched_primary(), Some(A));
    set.observe_primary(11.9, &sight(11.0, Some(11.1)));
    assert_eq!(set.phase(), Phase::Without { since: 11.0 });
    assert!(set.recovery_forecast(12.0, &forecast).is_some_and(|outlook| outlook.quantile(0.5) > 2.0));
}

#[test]
fn a_suspicion_does_not_outlast_what_was_owed() {
    let (mut set, _) = steady();
    set.observe_primary(10.3, &sight(10.0, Some(10.0)));
    set.observe_primary(10.5, &sight(10.0, None));
    assert_eq!(set.writable_primary(), None);
    set.observe_primary(10.7, &sight(10.0, None));
    assert_eq!((set.writable_primary(), set.admits_write()), (Some(A), true));
    set.attempt_sent(A, true, 10.4);
    assert!(!set.admits_write(), "one, to see whether it answers");
}

#[test]
fn a_set_of_its_own_habits_is_forecast_by_these() {
    let (mut set, mut all) = steady();
    for n in 0..4 {
        let at = 100.0 * f64::from(n + 1);
        let (old, new) = if n % 2 == 0 { (A, B) } else { (B, A) };
        set.primary_denied(old, at);
        assert_eq!(
            set.primary_claimed(new, at + 0.1, Some(at + 0.05), at + 0.1, &mut all),
            ClaimVerdict::Accepted
        );
        set.write_ended(new, at + 0.2, true);
    }
    all.restore(FailoverKind::Planned, &[1.9; 24]);
    set.primary_denied(A, 600.0);
    let left = set.recovery_forecast(600.0, &all).map(|outlook| outlook.quantile(0.5));
    assert!(left.is_some_and(|left| left < 0.2), "{left:?}");
}

#[test]
fn asking_goes_round_the_members_and_pauses() {
    let (mut set, forecast, all) =
        (ReplicaSet::default(), FailoverDurations::default(), [(A, 0.0), (B, 0.0)]);
    let mut asked = |now| set.next_to_ask(&all, now, &forecast);
    assert_eq!((asked(1.0), asked(1.005), asked(1.02)), (Some(A), None, Some(B)));
    assert_eq!((asked(1.04), asked(1.1), asked(1.2)), (None, None, Some(A)), "a round pauses");
}

#[test]
fn a_member_that_is_silent_is_not_asked() {
    let (mut set, forecast) = (ReplicaSet::default(), FailoverDurations::default());
    assert_eq!(set.next_to_ask(&[(A, 0.2), (B, 0.1)], 1.0, &forecast), Some(B));
    assert_eq!(set.next_to_ask(&[(A, 0.2), (B, 0.2)], 2.0, &forecast), None);
}

#[test]
fn a_lost_primary_is_tested_by_a_write_seldom_and_others_are_asked_meanwhile() {
    let (mut set, forecast) = steady();
    set.observe_primary(11.0, &sight(10.0, Some(10.0)));
    let mut asked: Vec<(i64, ServerId)> = Vec::new();
    for n in 0..400 {
        let now = 11.0 + f64::from(n) / 100.0;
        asked.extend(
            set.next_to_ask(&[(A, 9.0), (B, 0.0)], now, &forecast).map(|m| ((now * 10.0).round() as i64, m)),
        );
    }
    let tests: Vec<_> = asked.iter().filter(|(_, m)| *m == A).map(|(at, _)| *at).collect();
    let gaps: Vec<_> = tests.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(matches!(gaps[..], [6..8, 12..14]), "twice as long each time: {tests:?}");
    let late = asked.iter().filter(|(at, m)| *m == B && *at >= 130).count();
    assert!(late >= 2 * asked.iter().filter(|(at, m)| *m == B && *at < 120).count(), "more near its end");
}

#[test]
fn no_write_is_risked_where_reads_show_whether_it_answers() {
    let (mut set, forecast) = steady();
    set.observe_primary(11.0, &sight(10.0, Some(10.0)));
    for n in 0..20 {
        let now = 11.0 + f64::from(n) / 4.0;
        set.attempt_sent(A, false, now);
        assert_ne!(set.next_to_ask(&[(A, 9.0), (B, 0.0)], now, &forecast), Some(A), "{now}");
    }
}

#[test]
fn one_slow_request_that_others_overtook_is_no_hang() {
    let (mut set, _) = steady();
    set.response_received(A, Outcome::Success, 10.2, 0.05);
    assert_eq!((set.is_response_owed(10.0), set.is_response_owed(10.3)), (false, true));
    set.response_received(B, Outcome::Success, 11.0, 0.05);
    set.response_received(A, Outcome::Misdirected, 11.0, 0.05);
    assert!(set.is_response_owed(10.3), "neither another server nor a miss shows that it works");
}

#[test]
fn another_process_knows_what_this_one_knew() {
    let (mut set, mut forecast) = steady();
    set.observe_primary(11.0, &PrimaryObservation { is_down: true, ..sight(10.0, Some(10.0)) });
    let news = set.snapshot(A, 12.0);
    assert_eq!(news.failover, Some((FailoverKind::Unplanned, 2.0)));
    let mut other = ReplicaSet::default();
    other.restore(A, &news, 50.0);
    assert_eq!(other.phase(), Phase::Without { since: 48.0 });
    set.primary_claimed(B, 13.0, Some(12.9), 13.0, &mut forecast);
    other.primary_claimed(B, 51.0, Some(50.9), 51.0, &mut forecast);
    other.restore(A, &set.snapshot(A, 13.0), 51.0);
    assert!(other.is_deposed(A));
    assert_eq!(other.primary_claimed(A, 52.0, Some(51.9), 52.0, &mut forecast), ClaimVerdict::Stale);
}
