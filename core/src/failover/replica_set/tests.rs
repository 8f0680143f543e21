//! Tests of the failovers of one replica set.

use super::*;
use crate::failover::{ClaimVerdict, RoleReport, SilenceThreshold};

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);
/// Results in a threshold of 0.16 s before the first response.
const THRESHOLD: SilenceThreshold =
    SilenceThreshold { typical_response_secs: 0.08, slowdown: 1.0, suspicion_factor: 0.5, unanswered: 3 };

fn observation(last_response_at: f64, oldest_unanswered_at: Option<f64>) -> PrimaryObservation {
    PrimaryObservation {
        last_response_at,
        oldest_unanswered_at,
        is_down: false,
        silence_threshold: THRESHOLD,
        queued_writes: 5,
    }
}

/// Returns the claim of a server to be the primary.
fn claim(server: ServerId, observed_at: f64, sent_at: Option<f64>) -> RoleReport {
    RoleReport { server, observed_at, sent_at }
}

fn candidate(server: ServerId, silence_secs: f64) -> PrimaryCandidate {
    PrimaryCandidate { server, silence_secs }
}

/// Returns a replica set whose primary A last responded at 10.0 s.
fn steady() -> (ReplicaSet, FailoverDurations) {
    let (mut set, mut durations) = (ReplicaSet::default(), FailoverDurations::default());
    assert_eq!(set.primary_claimed(claim(A, 10.0, Some(9.9)), 10.0, &mut durations), ClaimVerdict::Accepted);
    assert_eq!((set.phase(), set.writable_primary()), (Phase::Steady, Some(A)));
    (set, durations)
}

#[test]
fn writes_are_buffered_while_the_primary_is_paused_and_released_afterwards() {
    let (mut set, mut durations) = steady();
    set.observe_primary(10.15, &observation(10.0, Some(10.0)));
    assert_eq!(set.writable_primary(), Some(A), "the silence is below the threshold");
    set.observe_primary(10.25, &observation(10.0, Some(10.0)));
    assert_eq!((set.writable_primary(), set.phase()), (None, Phase::Suspected { since: 10.0 }));
    assert!(!set.may_search_for_primary(10.3), "the primary's process may only be paused");
    assert_eq!(set.test_read_target(10.3), Some(A));
    set.read_sent(A, 10.3);
    assert_eq!((set.test_read_target(10.4), set.test_read_target(10.6)), (None, Some(A)));
    assert_eq!(set.recovery_forecast(10.3, &durations), None, "no write is rejected during a suspicion");
    set.primary_claimed(claim(A, 10.4, Some(10.0)), 10.4, &mut durations);
    set.write_sent(A, 10.4);
    assert_eq!((set.writable_primary(), set.admits_write()), (Some(A), true));
    assert_eq!(durations, FailoverDurations::default(), "no failover took place, so no duration is recorded");
}

#[test]
fn a_response_that_reports_no_role_ends_a_suspicion() {
    let (mut set, _) = steady();
    set.observe_primary(10.3, &observation(10.0, Some(10.0)));
    assert_eq!(set.writable_primary(), None);
    set.observe_primary(10.4, &observation(10.35, None));
    assert_eq!((set.writable_primary(), set.phase()), (Some(A), Phase::Steady));
    set.observe_primary(12.0, &observation(10.35, Some(10.4)));
    assert_eq!((set.writable_primary(), set.phase()), (None, Phase::NoPrimary { since: 10.4 }));
    set.observe_primary(12.5, &observation(12.4, None));
    assert_eq!((set.writable_primary(), set.phase()), (Some(A), Phase::TakingOver { since: 10.4 }));
}

#[test]
fn a_claim_ends_a_failover_and_its_duration_is_recorded() {
    let (mut set, mut durations) = steady();
    set.observe_primary(10.3, &observation(10.0, Some(10.0)));
    set.observe_primary(10.7, &observation(10.0, Some(10.0)));
    assert!(set.may_search_for_primary(10.7), "the silence is too long for a process pause");
    assert!(set.recovery_forecast(10.7, &durations).is_some_and(|forecast| forecast.quantile(0.5) > 3.0));
    assert_eq!(set.primary_claimed(claim(B, 14.0, Some(13.9)), 14.0, &mut durations), ClaimVerdict::Accepted);
    assert_eq!(durations.sample(FailoverKind::Unplanned).last(), Some(&4.0));
    assert_eq!((set.writable_primary(), set.admits_write(), set.is_deposed(A)), (Some(B), true, true));
    set.write_sent(B, 14.0);
    assert!(!set.admits_write(), "a single write is sent first");
    assert_eq!(set.primary_claimed(claim(A, 15.0, Some(14.9)), 15.0, &mut durations), ClaimVerdict::Stale);
    assert_eq!(
        set.write_served(B, 14.0),
        Some(A),
        "A was lost, so its attempts in flight will not be answered"
    );
    assert_eq!((set.write_served(B, 14.0), set.phase()), (None, Phase::Releasing));
    set.observe_primary(15.0, &PrimaryObservation { queued_writes: 0, ..observation(15.0, None) });
    assert_eq!((set.phase(), set.writable_primary()), (Phase::Steady, Some(B)));
}

#[test]
fn a_handover_from_a_draining_primary_is_a_planned_failover() {
    let (mut set, mut durations) = steady();
    set.server_draining(A, 11.0);
    assert_eq!((set.phase().failover_kind(), set.writable_primary()), (Some(FailoverKind::Planned), None));
    assert!(set.may_search_for_primary(11.0));
    let planned = set.recovery_forecast(11.1, &durations).map(|forecast| forecast.quantile(0.5));
    assert!(planned.is_some_and(|left| left < 1.0), "{planned:?}");
    assert_eq!(set.primary_claimed(claim(B, 11.5, Some(11.4)), 11.5, &mut durations), ClaimVerdict::Accepted);
    assert_eq!(durations.sample(FailoverKind::Planned).last(), Some(&0.5));
    assert_eq!(set.write_served(B, 14.0), None, "A was not lost, so it will answer its attempts in flight");
}

#[test]
fn a_failover_continues_if_the_successor_fails_before_it_serves_a_write() {
    let (mut set, mut durations) = steady();
    set.observe_primary(11.0, &PrimaryObservation { is_down: true, ..observation(10.0, Some(10.0)) });
    set.primary_claimed(claim(B, 13.0, Some(12.9)), 13.0, &mut durations);
    set.observe_primary(13.3, &observation(13.0, Some(13.0)));
    assert_eq!((set.phase(), set.writable_primary()), (Phase::NoPrimary { since: 10.0 }, None));
    assert!(set.may_search_for_primary(13.4));
    assert_eq!(set.primary_claimed(claim(A, 15.0, Some(14.9)), 15.0, &mut durations), ClaimVerdict::Accepted);
}

#[test]
fn a_planned_failover_becomes_unplanned_if_the_draining_primary_hangs() {
    let (mut set, durations) = steady();
    set.server_draining(A, 11.0);
    assert_eq!(set.observed_primary(), Some(A));
    set.observe_primary(11.9, &observation(11.0, Some(11.1)));
    assert_eq!(set.phase(), Phase::NoPrimary { since: 11.0 });
    assert!(set.recovery_forecast(12.0, &durations).is_some_and(|forecast| forecast.quantile(0.5) > 2.0));
}

#[test]
fn a_suspicion_ends_after_all_unanswered_attempts_have_timed_out() {
    let (mut set, _) = steady();
    set.observe_primary(10.3, &observation(10.0, Some(10.0)));
    set.observe_primary(10.5, &observation(10.0, None));
    assert_eq!(set.writable_primary(), None);
    set.observe_primary(10.7, &observation(10.0, None));
    assert_eq!((set.writable_primary(), set.admits_write()), (Some(A), true));
    set.write_sent(A, 10.4);
    assert!(!set.admits_write(), "a single write tests the primary");
}

#[test]
fn a_forecast_uses_the_durations_of_its_own_set_if_there_are_enough() {
    let (mut set, mut cluster_durations) = steady();
    for n in 0..4 {
        let at = 100.0 * f64::from(n + 1);
        let (old, new) = if n % 2 == 0 { (A, B) } else { (B, A) };
        set.not_primary_reported(old, at);
        assert_eq!(
            set.primary_claimed(claim(new, at + 0.1, Some(at + 0.05)), at + 0.1, &mut cluster_durations),
            ClaimVerdict::Accepted
        );
        set.write_served(new, at + 0.2);
    }
    cluster_durations.restore(FailoverKind::Planned, &[1.9; 24]);
    set.not_primary_reported(A, 600.0);
    let left = set.recovery_forecast(600.0, &cluster_durations).map(|forecast| forecast.quantile(0.5));
    assert!(left.is_some_and(|left| left < 0.2), "{left:?}");
}

#[test]
fn search_attempts_are_sent_in_rounds_with_a_pause_in_between() {
    let (mut set, durations, members) =
        (ReplicaSet::default(), FailoverDurations::default(), [candidate(A, 0.0), candidate(B, 0.0)]);
    let mut target_at = |now| set.next_search_target(&members, now, &durations);
    assert_eq!((target_at(1.0), target_at(1.005), target_at(1.02)), (Some(A), None, Some(B)));
    assert_eq!(
        (target_at(1.04), target_at(1.1), target_at(1.2)),
        (None, None, Some(A)),
        "a new round begins after a pause"
    );
}

#[test]
fn silent_members_receive_no_search_attempts() {
    let (mut set, durations) = (ReplicaSet::default(), FailoverDurations::default());
    assert_eq!(set.next_search_target(&[candidate(A, 0.2), candidate(B, 0.1)], 1.0, &durations), Some(B));
    assert_eq!(set.next_search_target(&[candidate(A, 0.2), candidate(B, 0.2)], 2.0, &durations), None);
}

#[test]
fn test_writes_to_a_lost_primary_back_off_while_the_search_continues() {
    let (mut set, durations) = steady();
    set.observe_primary(11.0, &observation(10.0, Some(10.0)));
    let mut targets: Vec<(i64, ServerId)> = Vec::new();
    for n in 0..400 {
        let now = 11.0 + f64::from(n) / 100.0;
        targets.extend(
            set.next_search_target(&[candidate(A, 9.0), candidate(B, 0.0)], now, &durations)
                .map(|member| ((now * 10.0).round() as i64, member)),
        );
    }
    let test_write_times: Vec<_> =
        targets.iter().filter(|(_, member)| *member == A).map(|(at, _)| *at).collect();
    let gaps: Vec<_> = test_write_times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        matches!(gaps[..], [6..8, 12..14]),
        "the interval of test writes doubles each time: {test_write_times:?}"
    );
    let near_end_count = targets.iter().filter(|(at, member)| *member == B && *at >= 130).count();
    assert!(
        near_end_count >= 2 * targets.iter().filter(|(at, member)| *member == B && *at < 120).count(),
        "search attempts are more frequent near the expected end of the failover"
    );
}

#[test]
fn no_test_write_is_sent_while_reads_test_the_primary() {
    let (mut set, durations) = steady();
    set.observe_primary(11.0, &observation(10.0, Some(10.0)));
    for n in 0..20 {
        let now = 11.0 + f64::from(n) / 4.0;
        set.read_sent(A, now);
        assert_ne!(
            set.next_search_target(&[candidate(A, 9.0), candidate(B, 0.0)], now, &durations),
            Some(A),
            "{now}"
        );
    }
}

#[test]
fn an_attempt_does_not_count_as_unanswered_if_a_later_one_was_served() {
    let (mut set, _) = steady();
    set.response_received(A, Outcome::Success, 10.2, 0.05);
    assert_eq!((set.counts_as_unanswered(10.0), set.counts_as_unanswered(10.3)), (false, true));
    set.response_received(B, Outcome::Success, 11.0, 0.05);
    set.response_received(A, Outcome::Misdirected, 11.0, 0.05);
    assert!(
        set.counts_as_unanswered(10.3),
        "neither another server's response nor a declined request shows that the primary works"
    );
}

#[test]
fn a_snapshot_restores_the_epoch_the_deposed_server_and_the_failover_in_progress() {
    let (mut set, mut durations) = steady();
    set.observe_primary(11.0, &PrimaryObservation { is_down: true, ..observation(10.0, Some(10.0)) });
    let snapshot = set.snapshot(A, 12.0);
    assert_eq!(snapshot.failover, Some((FailoverKind::Unplanned, 2.0)));
    let mut restored = ReplicaSet::default();
    restored.restore(A, &snapshot, 50.0);
    assert_eq!(restored.phase(), Phase::NoPrimary { since: 48.0 });
    set.primary_claimed(claim(B, 13.0, Some(12.9)), 13.0, &mut durations);
    restored.primary_claimed(claim(B, 51.0, Some(50.9)), 51.0, &mut durations);
    restored.restore(A, &set.snapshot(A, 13.0), 51.0);
    assert!(restored.is_deposed(A));
    assert_eq!(
        restored.primary_claimed(claim(A, 52.0, Some(51.9)), 52.0, &mut durations),
        ClaimVerdict::Stale
    );
}
