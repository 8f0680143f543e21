//! Tests of `primary_tracker`.

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);
const C: ServerId = ServerId(3);

/// A is primary since 10; B's claim is accepted at 20.
fn changed() -> PrimaryTracker {
    let mut primacy = PrimaryTracker::default();
    assert_eq!(primacy.claims(A, 10.0, Some(9.0)), ClaimVerdict::Accepted);
    primacy.served(A);
    primacy.lose(15.0);
    assert_eq!(primacy.claims(B, 20.0, Some(19.9)), ClaimVerdict::Accepted);
    primacy
}

#[test]
fn a_deposed_primary_that_returns_is_not_believed_until_it_knows() {
    let mut primacy = changed();
    assert!(primacy.is_deposed(A) && primacy.epoch() == 2);
    assert!(!primacy.may_be_asked(A, 21.0) && primacy.may_be_asked(A, 22.5) && primacy.may_be_asked(C, 21.0));
    assert_eq!(primacy.claims(A, 21.0, Some(14.0)), ClaimVerdict::Stale, "an answer in flight");
    assert_eq!(primacy.claims(A, 25.0, Some(24.9)), ClaimVerdict::Stale, "it does not know");
    assert_eq!(primacy.listed(A, 26.0), ClaimVerdict::Stale, "the list is late");
    assert_eq!(primacy.primary(), Some(B));
    assert!(!primacy.denies(A, 27.0));
    assert_eq!(primacy.claims(A, 27.01, Some(26.5)), ClaimVerdict::Stale, "overtaken on the way");
    assert_eq!(primacy.claims(A, 40.0, Some(39.9)), ClaimVerdict::Accepted, "it was chosen again");
    assert_eq!((primacy.primary(), primacy.is_deposed(B)), (Some(A), true));
}

#[test]
fn of_two_that_claim_the_one_that_falls_silent_loses() {
    let mut primacy = changed();
    primacy.lose(20.5);
    assert_eq!(primacy.claims(A, 20.6, Some(19.0)), ClaimVerdict::Stale, "sent before the change");
    assert_eq!(primacy.claims(A, 20.7, Some(20.55)), ClaimVerdict::Accepted);
    assert_eq!(primacy.claims(B, 20.8, Some(20.3)), ClaimVerdict::Stale, "an answer in flight");
}

#[test]
fn a_primary_that_was_lost_and_speaks_is_found_again() {
    let mut primacy = PrimaryTracker::default();
    primacy.claims(A, 10.0, None);
    primacy.lose(12.0);
    assert_eq!(primacy.claims(A, 12.0, Some(11.0)), ClaimVerdict::Known);
    assert!(primacy.claim().is_some_and(|claim| claim.lost.is_some()), "it said so before");
    assert_eq!(primacy.claims(A, 12.5, Some(11.0)), ClaimVerdict::Known);
    assert!(primacy.claim().is_some_and(|claim| claim.lost.is_none()));
}

#[test]
fn the_list_counts_only_where_nothing_better_is_known() {
    let mut primacy = PrimaryTracker::default();
    assert_eq!(primacy.listed(A, 5.0), ClaimVerdict::Accepted);
    assert_eq!(primacy.listed(B, 6.0), ClaimVerdict::Stale);
    assert_eq!(primacy.claims(B, 4.0, None), ClaimVerdict::Accepted, "a server's older word counts for more");
    primacy.lose(8.0);
    assert_eq!(primacy.listed(A, 9.0), ClaimVerdict::Stale, "deposed");
    assert_eq!(primacy.listed(C, 9.0), ClaimVerdict::Accepted);
    assert!(primacy.denies(C, 9.5));
    assert_eq!((primacy.primary(), primacy.listed(C, 10.0)), (None, ClaimVerdict::Stale));
}

#[test]
fn a_denial_older_than_the_evidence_changes_nothing() {
    let mut primacy = changed();
    assert!(!primacy.denies(B, 19.0));
    assert_eq!(primacy.primary(), Some(B));
    assert!(primacy.denies(B, 21.0));
    assert_eq!(primacy.primary(), None);
}

#[test]
fn what_leaves_is_forgotten() {
    let mut primacy = changed();
    assert!(primacy.withdraw(B) && !primacy.withdraw(B));
    assert_eq!(primacy.claims(A, 30.0, Some(29.0)), ClaimVerdict::Accepted, "nobody else holds the epoch");
    primacy.retain(|server| server == A);
    assert!(!primacy.is_deposed(B));
    primacy.recall_deposed(C, 30.0);
    primacy.recall_epoch(9);
    assert!(primacy.is_deposed(C) && primacy.epoch() == 9);
}
