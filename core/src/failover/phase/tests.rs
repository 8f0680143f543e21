//! Tests of `phase`.

use rstest::rstest;

use super::PhaseInput::*;
use super::*;

const SUSPECTED: Phase = Phase::Suspected { since: 5.0 };
const DRAINING: Phase = Phase::Draining { since: 5.0 };
const HANDING_OVER: Phase = Phase::HandingOver { since: 5.0 };
const NO_PRIMARY: Phase = Phase::NoPrimary { since: 5.0 };
const TAKING_OVER: Phase = Phase::TakingOver { since: 5.0 };

#[rstest]
#[case::silence_raises_a_suspicion(Phase::Steady, ResponseOverdue(5.0), SUSPECTED)]
#[case::a_suspected_primary_responds(SUSPECTED, Responded, Phase::Releasing)]
#[case::a_lost_primary_responds(NO_PRIMARY, Responded, TAKING_OVER)]
#[case::a_suspected_primary_is_lost(SUSPECTED, Lost(4.0), NO_PRIMARY)]
#[case::a_primary_is_lost(Phase::Steady, Lost(5.0), NO_PRIMARY)]
#[case::a_successor_claims(NO_PRIMARY, ClaimAccepted(9.0), TAKING_OVER)]
#[case::a_successor_claims_during_suspicion(SUSPECTED, ClaimAccepted(9.0), TAKING_OVER)]
#[case::the_successor_serves_a_write(TAKING_OVER, WriteServed, Phase::Releasing)]
#[case::the_buffer_is_released(Phase::Releasing, ReleaseCompleted, Phase::Steady)]
#[case::the_primary_drains(Phase::Steady, DrainStarted(5.0), DRAINING)]
#[case::a_draining_primary_steps_down(DRAINING, SteppedDown(7.0), HANDING_OVER)]
#[case::a_primary_steps_down(Phase::Steady, SteppedDown(5.0), HANDING_OVER)]
#[case::a_draining_primary_is_lost(DRAINING, Lost(7.0), NO_PRIMARY)]
#[case::a_suspected_primary_drains(SUSPECTED, DrainStarted(7.0), NO_PRIMARY)]
#[case::the_successor_is_lost(TAKING_OVER, Lost(9.0), NO_PRIMARY)]
#[case::the_successor_falls_silent(TAKING_OVER, ResponseOverdue(9.0), NO_PRIMARY)]
#[case::the_successor_steps_down(TAKING_OVER, SteppedDown(9.0), HANDING_OVER)]
#[case::silence_during_the_release(Phase::Releasing, ResponseOverdue(5.0), SUSPECTED)]
#[case::a_late_response_to_a_write(SUSPECTED, WriteServed, SUSPECTED)]
#[case::a_repeated_input(NO_PRIMARY, Lost(9.0), NO_PRIMARY)]
fn an_input_leads_to_the_expected_phase(#[case] from: Phase, #[case] input: PhaseInput, #[case] to: Phase) {
    assert_eq!(from.transition(input), to);
}

#[test]
fn three_phases_take_writes() {
    let all = [Phase::Steady, SUSPECTED, DRAINING, HANDING_OVER, NO_PRIMARY, TAKING_OVER, Phase::Releasing];
    let taking_writes: Vec<_> =
        all.into_iter().filter(|phase| phase.takes_writes()).map(Phase::name).collect();
    assert_eq!(taking_writes, ["steady", "taking over", "releasing"]);
    assert_eq!(
        all.map(|phase| phase.failover_kind().is_some()),
        all.map(|phase| phase.failover_began_at().is_some())
    );
}
