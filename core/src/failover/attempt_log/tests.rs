//! Tests of `attempt_log`.

use proptest::prelude::*;

use super::*;

const ALL: [Outcome; 9] = [
    Outcome::Success,
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Misdirected,
];

#[test]
fn only_four_ends_prove_that_nothing_ran() {
    let proved: Vec<_> = ALL
        .into_iter()
        .filter(|o| ExecutionEvidence::from_outcome(*o) == ExecutionEvidence::RuledOut)
        .collect();
    assert_eq!(proved, [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Misdirected]);
}

#[test]
fn what_is_out_may_run() {
    let mut fate = AttemptLog::default();
    assert_eq!(fate.retry_safety(Idempotency::NonIdempotent), RetrySafety::Safe);
    fate.record_sent(0, ServerId(1), 5.0);
    assert_eq!(
        (fate.retry_safety(Idempotency::NonIdempotent), fate.first_possible_execution()),
        (RetrySafety::Unknown, None)
    );
    assert!(fate.is_in_flight_at(ServerId(1)) && !fate.is_in_flight_at(ServerId(2)));
    fate.record_ended(AttemptNumber(0), Outcome::Misdirected);
    assert_eq!(fate.retry_safety(Idempotency::NonIdempotent), RetrySafety::Safe);
    fate.record_ended(AttemptNumber(0), Outcome::Timeout); // it has ended before
    assert_eq!(fate.retry_safety(Idempotency::NonIdempotent), RetrySafety::Safe);
}

proptest! {
    /// Whatever comes after it, an attempt that may have run is never taken back.
    #[test]
    fn doubt_is_never_taken_back(ends in prop::collection::vec(0..ALL.len(), 1..6)) {
        let mut fate = AttemptLog::default();
        let mut doubted = false;
        for (n, end) in ends.iter().enumerate() {
            fate.record_sent(n as u32, ServerId(n as u32), n as f64);
            fate.record_ended(AttemptNumber(n as u32), ALL[*end]);
            doubted |= !ALL[*end].rules_out_execution();
            let safety = fate.retry_safety(Idempotency::NonIdempotent);
            prop_assert_eq!(safety == RetrySafety::Unknown, doubted);
            prop_assert_eq!(fate.first_possible_execution().is_some(), doubted);
            prop_assert_eq!(fate.retry_safety(Idempotency::Idempotent), RetrySafety::Safe);
        }
    }
}
