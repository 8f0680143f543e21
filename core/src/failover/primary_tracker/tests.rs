//! Tests of `primary_tracker`.

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);
const C: ServerId = ServerId(3);

fn claim(server: ServerId, observed_at: f64, sent_at: Option<f64>) -> RoleReport {
    RoleReport { server, observed_at, sent_at }
}

/// A is primary since 10; B's claim is accepted at 20.
fn after_failover() -> PrimaryTracker {
    let mut tracker = PrimaryTracker::default();
    assert_eq!(tracker.record_claim(claim(A, 10.0, Some(9.0))), ClaimVerdict::Accepted);
    tracker.mark_lost(15.0);
    assert_eq!(tracker.record_claim(claim(B, 20.0, Some(19.9))), ClaimVerdict::Accepted);
    tracker
}

#[test]
fn a_deposed_primary_is_not_trusted_until_it_reports_that_it_is_a_replica() {
    let mut tracker = after_failover();
    assert!(tracker.is_deposed(A) && tracker.epoch() == 2);
    assert!(!tracker.may_be_asked(A, 21.0) && tracker.may_be_asked(A, 22.5) && tracker.may_be_asked(C, 21.0));
    assert_eq!(
        tracker.record_claim(claim(A, 21.0, Some(14.0))),
        ClaimVerdict::Stale,
        "the response was in flight"
    );
    assert_eq!(
        tracker.record_claim(claim(A, 25.0, Some(24.9))),
        ClaimVerdict::Stale,
        "it is unaware of its deposition"
    );
    assert_eq!(tracker.record_listed(A, 26.0), ClaimVerdict::Stale, "the endpoint list is late");
    assert_eq!(tracker.primary(), Some(B));
    assert!(!tracker.record_denial(A, 27.0));
    assert_eq!(
        tracker.record_claim(claim(A, 27.01, Some(26.5))),
        ClaimVerdict::Stale,
        "the denial overtook this response"
    );
    assert_eq!(
        tracker.record_claim(claim(A, 40.0, Some(39.9))),
        ClaimVerdict::Accepted,
        "it was elected again"
    );
    assert_eq!((tracker.primary(), tracker.is_deposed(B)), (Some(A), true));
}

#[test]
fn of_two_claimants_the_one_that_falls_silent_loses_the_epoch() {
    let mut tracker = after_failover();
    tracker.mark_lost(20.5);
    assert_eq!(
        tracker.record_claim(claim(A, 20.6, Some(19.0))),
        ClaimVerdict::Stale,
        "it was sent before the deposition"
    );
    assert_eq!(tracker.record_claim(claim(A, 20.7, Some(20.55))), ClaimVerdict::Accepted);
    assert_eq!(
        tracker.record_claim(claim(B, 20.8, Some(20.3))),
        ClaimVerdict::Stale,
        "the response was in flight"
    );
}

#[test]
fn a_lost_primary_that_responds_is_no_longer_lost() {
    let mut tracker = PrimaryTracker::default();
    tracker.record_claim(claim(A, 10.0, None));
    tracker.mark_lost(12.0);
    assert_eq!(tracker.record_claim(claim(A, 12.0, Some(11.0))), ClaimVerdict::Known);
    assert!(
        tracker.claim().is_some_and(|claim| claim.lost_at.is_some()),
        "the response was in flight when it was lost"
    );
    assert_eq!(tracker.record_claim(claim(A, 12.5, Some(11.0))), ClaimVerdict::Known);
    assert!(tracker.claim().is_some_and(|claim| claim.lost_at.is_none()));
}

#[test]
fn the_endpoint_list_counts_only_without_better_evidence() {
    let mut tracker = PrimaryTracker::default();
    assert_eq!(tracker.record_listed(A, 5.0), ClaimVerdict::Accepted);
    assert_eq!(tracker.record_listed(B, 6.0), ClaimVerdict::Stale);
    assert_eq!(
        tracker.record_claim(claim(B, 4.0, None)),
        ClaimVerdict::Accepted,
        "a server's older report takes precedence"
    );
    tracker.mark_lost(8.0);
    assert_eq!(tracker.record_listed(A, 9.0), ClaimVerdict::Stale, "it was deposed");
    assert_eq!(tracker.record_listed(C, 9.0), ClaimVerdict::Accepted);
    assert!(tracker.record_denial(C, 9.5));
    assert_eq!((tracker.primary(), tracker.record_listed(C, 10.0)), (None, ClaimVerdict::Stale));
}

#[test]
fn a_denial_older_than_the_evidence_changes_nothing() {
    let mut tracker = after_failover();
    assert!(!tracker.record_denial(B, 19.0));
    assert_eq!(tracker.primary(), Some(B));
    assert!(tracker.record_denial(B, 21.0));
    assert_eq!(tracker.primary(), None);
}

#[test]
fn withdrawn_servers_and_former_members_are_forgotten() {
    let mut tracker = after_failover();
    assert!(tracker.withdraw(B) && !tracker.withdraw(B));
    assert_eq!(
        tracker.record_claim(claim(A, 30.0, Some(29.0))),
        ClaimVerdict::Accepted,
        "there is no other primary"
    );
    tracker.retain_members(|server| server == A);
    assert!(!tracker.is_deposed(B));
    tracker.restore_deposed(C, 30.0);
    tracker.restore_epoch(9);
    assert!(tracker.is_deposed(C) && tracker.epoch() == 9);
}
