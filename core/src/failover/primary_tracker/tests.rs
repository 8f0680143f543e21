//! Tests of `primary_tracker`.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);
const C: ServerId = ServerId(3);

fn claim(server: ServerId, observed_at: f64, sent_at: Option<f64>) -> RoleReport {
    RoleReport { server, observed_at, sent_at }
}

/// Returns a tracker in which A becomes the primary at 10.0 s and B at 20.0 s.
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
    assert!(
        !tracker.is_eligible_for_search(A, 21.0)
            && tracker.is_eligible_for_search(A, 22.5)
            && tracker.is_eligible_for_search(C, 21.0)
    );
    assert_eq!(
        tracker.record_claim(claim(A, 21.0, Some(14.0))),
        ClaimVerdict::Stale,
        "the response was in flight at the deposition"
    );
    assert_eq!(
        tracker.record_claim(claim(A, 25.0, Some(24.9))),
        ClaimVerdict::Stale,
        "A does not know of its deposition"
    );
    assert_eq!(tracker.record_listed(A, 26.0), ClaimVerdict::Stale, "the endpoint list is late");
    assert_eq!(tracker.primary(), Some(B));
    assert!(!tracker.record_not_primary(A, 27.0));
    assert_eq!(
        tracker.record_claim(claim(A, 27.01, Some(26.5))),
        ClaimVerdict::Stale,
        "the two responses may have arrived out of order"
    );
    assert_eq!(
        tracker.record_claim(claim(A, 40.0, Some(39.9))),
        ClaimVerdict::Accepted,
        "A was elected again"
    );
    assert_eq!((tracker.primary(), tracker.is_deposed(B)), (Some(A), true));
}

#[test]
fn if_the_newer_of_two_claimants_falls_silent_the_other_becomes_primary() {
    let mut tracker = after_failover();
    tracker.mark_lost(20.5);
    assert_eq!(
        tracker.record_claim(claim(A, 20.6, Some(19.0))),
        ClaimVerdict::Stale,
        "the attempt was sent before the deposition"
    );
    assert_eq!(tracker.record_claim(claim(A, 20.7, Some(20.55))), ClaimVerdict::Accepted);
    assert_eq!(
        tracker.record_claim(claim(B, 20.8, Some(20.3))),
        ClaimVerdict::Stale,
        "the response was in flight at the deposition"
    );
}

#[test]
fn a_lost_primary_that_responds_is_no_longer_lost() {
    let mut tracker = PrimaryTracker::default();
    tracker.record_claim(claim(A, 10.0, None));
    tracker.mark_lost(12.0);
    assert_eq!(tracker.record_claim(claim(A, 12.0, Some(11.0))), ClaimVerdict::Confirmed);
    assert!(
        tracker.claim().is_some_and(|claim| claim.lost_at.is_some()),
        "the claim is not newer than the loss"
    );
    assert_eq!(tracker.record_claim(claim(A, 12.5, Some(11.0))), ClaimVerdict::Confirmed);
    assert!(tracker.claim().is_some_and(|claim| claim.lost_at.is_none()));
}

#[test]
fn the_endpoint_list_overrides_neither_a_live_primary_nor_the_report_of_a_server() {
    let mut tracker = PrimaryTracker::default();
    assert_eq!(tracker.record_listed(A, 5.0), ClaimVerdict::Accepted);
    assert_eq!(tracker.record_listed(B, 6.0), ClaimVerdict::Stale);
    assert_eq!(
        tracker.record_claim(claim(B, 4.0, None)),
        ClaimVerdict::Accepted,
        "a server's older report takes precedence"
    );
    tracker.mark_lost(8.0);
    assert_eq!(tracker.record_listed(A, 9.0), ClaimVerdict::Stale, "A was deposed");
    assert_eq!(tracker.record_listed(C, 9.0), ClaimVerdict::Accepted);
    assert!(tracker.record_not_primary(C, 9.5));
    assert_eq!((tracker.primary(), tracker.record_listed(C, 10.0)), (None, ClaimVerdict::Stale));
}

#[test]
fn an_outdated_report_of_not_being_primary_changes_nothing() {
    let mut tracker = after_failover();
    assert!(!tracker.record_not_primary(B, 19.0));
    assert_eq!(tracker.primary(), Some(B));
    assert!(tracker.record_not_primary(B, 21.0));
    assert_eq!(tracker.primary(), None);
}

#[test]
fn withdrawing_a_server_clears_its_claim() {
    let mut tracker = after_failover();
    assert!(tracker.withdraw(B) && !tracker.withdraw(B));
    assert_eq!(
        tracker.record_claim(claim(A, 30.0, Some(29.0))),
        ClaimVerdict::Accepted,
        "there is no other primary"
    );
    tracker.retain_members(30.0, |server| server == A);
    assert!(!tracker.is_deposed(B));
    tracker.restore_deposed(C, 30.0);
    tracker.restore_epoch(9);
    assert!(tracker.is_deposed(C) && tracker.epoch() == 9);
}

/// Guards against an old role in the endpoint list, which beat what a server had said of itself before it
/// left the list and returned (review case 7).
#[test]
fn a_listed_role_beats_the_evidence_of_a_former_member_only_after_its_time() {
    let mut tracker = PrimaryTracker::default();
    tracker.record_claim(claim(A, 10.0, Some(9.0)));
    tracker.record_not_primary(B, 11.0);
    tracker.withdraw(A);
    tracker.retain_members(12.0, |server| server == C);
    tracker.retain_members(20.0, |_| true);
    assert_eq!(tracker.record_listed(B, 20.0), ClaimVerdict::Stale, "B has said that it is a replica");
    tracker.retain_members(30.0, |server| server == C);
    tracker.retain_members(30.0 + 3601.0, |server| server == C);
    assert_eq!(tracker.record_listed(B, 30.0 + 3602.0), ClaimVerdict::Accepted);
}

/// The two crossings of a lost primary's last response with the claim of its successor. A response reports
/// the role at the time when it was written, so it ends a loss by silence, but not the epoch of a successor.
#[test]
fn a_response_in_flight_at_the_loss_counts_only_until_the_successor_claims() {
    let lost_primary = || {
        let mut tracker = PrimaryTracker::default();
        tracker.record_claim(claim(A, 10.0, Some(9.0)));
        tracker.mark_lost(15.0);
        tracker
    };
    let mut response_first = lost_primary();
    assert_eq!(response_first.record_claim(claim(A, 15.1, Some(14.0))), ClaimVerdict::Confirmed);
    assert!(response_first.has_live_primary());
    assert_eq!(response_first.record_claim(claim(B, 15.2, Some(15.15))), ClaimVerdict::Accepted);
    let mut successor_first = lost_primary();
    assert_eq!(successor_first.record_claim(claim(B, 15.1, Some(15.05))), ClaimVerdict::Accepted);
    assert_eq!(successor_first.record_claim(claim(A, 15.2, Some(14.0))), ClaimVerdict::Stale);
    for tracker in [response_first, successor_first] {
        assert_eq!((tracker.primary(), tracker.is_deposed(A)), (Some(B), true));
    }
}

/// Plain model of a server's own word: the last role that it reported, in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OwnWord {
    None,
    Primary,
    Replica,
}

/// Guards against a primary that has said last that it is a replica: whatever the list names, whoever
/// leaves it and returns, and however often the primary is lost (review case 7).
#[test]
fn no_server_is_the_primary_whose_last_word_is_that_it_is_a_replica() {
    const SEQUENCES: u64 = 2000;
    const STEPS: u32 = 60;
    const SERVERS: [ServerId; 3] = [A, B, C];
    for seed in 0..SEQUENCES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut tracker = PrimaryTracker::default();
        let mut own_words = [OwnWord::None; SERVERS.len()];
        let mut listed = [true; SERVERS.len()];
        for step in 1..=STEPS {
            let now = f64::from(step);
            let index = random.random_range(0..SERVERS.len());
            let server = SERVERS[index];
            match random.random_range(0..6) {
                0 => {
                    tracker.record_claim(claim(server, now, Some(now - 0.5)));
                    own_words[index] = OwnWord::Primary;
                }
                1 | 2 => {
                    tracker.record_not_primary(server, now);
                    own_words[index] = OwnWord::Replica;
                }
                3 => drop(tracker.record_listed(server, now)),
                4 => tracker.mark_lost(now),
                _ => {
                    listed[index] = !listed[index];
                    if !listed[index] {
                        tracker.withdraw(server);
                    }
                    tracker.retain_members(now, |member| {
                        SERVERS.iter().position(|known| *known == member).is_some_and(|known| listed[known])
                    });
                }
            }
            let primary = SERVERS.iter().position(|known| Some(*known) == tracker.primary());
            let word = primary.map(|primary| own_words[primary]);
            assert_ne!(word, Some(OwnWord::Replica), "seed {seed}, step {step}: {tracker:?}");
        }
    }
}
