//! Tests of `attempt_log`.

use proptest::prelude::*;

use super::*;

const OUTCOMES: [Outcome; 9] = [
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
fn four_outcomes_rule_out_execution() {
    let ruling_out: Vec<_> = OUTCOMES
        .into_iter()
        .filter(|outcome| ExecutionEvidence::from_outcome(*outcome) == ExecutionEvidence::RuledOut)
        .collect();
    assert_eq!(
        ruling_out,
        [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Misdirected]
    );
}

#[test]
fn an_attempt_in_flight_may_execute() {
    let mut log = AttemptLog::default();
    assert_eq!(log.retry_safety(Idempotency::NonIdempotent), RetrySafety::Safe);
    log.record_sent(0, ServerId(1), 5.0);
    assert_eq!(
        (log.retry_safety(Idempotency::NonIdempotent), log.first_possible_execution()),
        (RetrySafety::Unknown, None)
    );
    assert!(log.is_in_flight_at(ServerId(1)) && !log.is_in_flight_at(ServerId(2)));
    log.record_ended(AttemptNumber(0), Outcome::Misdirected);
    assert_eq!(log.retry_safety(Idempotency::NonIdempotent), RetrySafety::Safe);
    log.record_ended(AttemptNumber(0), Outcome::Timeout); // ignored, because the attempt has already ended
    assert_eq!(log.retry_safety(Idempotency::NonIdempotent), RetrySafety::Safe);
}

proptest! {
    /// Once an attempt may have executed the request, no later attempt changes that.
    #[test]
    fn a_possible_execution_is_never_forgotten(outcomes in prop::collection::vec(0..OUTCOMES.len(), 1..6)) {
        let mut log = AttemptLog::default();
        let mut may_have_executed = false;
        for (number, outcome) in outcomes.iter().enumerate() {
            log.record_sent(number as u32, ServerId(number as u32), number as f64);
            log.record_ended(AttemptNumber(number as u32), OUTCOMES[*outcome]);
            may_have_executed |= !OUTCOMES[*outcome].rules_out_execution();
            let safety = log.retry_safety(Idempotency::NonIdempotent);
            prop_assert_eq!(safety == RetrySafety::Unknown, may_have_executed);
            prop_assert_eq!(log.first_possible_execution().is_some(), may_have_executed);
            prop_assert_eq!(log.retry_safety(Idempotency::Idempotent), RetrySafety::Safe);
        }
    }
}
