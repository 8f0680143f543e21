//! Tests of `phase`.

use rstest::rstest;

use super::PhaseInput::*;
use super::*;

const SUSPECTED: Phase = Phase::Suspected { since: 5.0 };
const DRAINING: Phase = Phase::Draining { since: 5.0 };
const HANDING: Phase = Phase::HandingOver { since: 5.0 };
const WITHOUT: Phase = Phase::Without { since: 5.0 };
const TAKING: Phase = Phase::TakingOver { since: 5.0 };

#[rstest]
#[case::silence(Phase::Steady, Silent(5.0), SUSPECTED)]
#[case::a_pause_ends(SUSPECTED, Spoke, Phase::Settling)]
#[case::a_long_pause_ends(WITHOUT, Spoke, TAKING)]
#[case::a_hang(SUSPECTED, Lost(4.0), WITHOUT)]
#[case::a_death(Phase::Steady, Lost(5.0), WITHOUT)]
#[case::a_successor(WITHOUT, Claimed(9.0), TAKING)]
#[case::found_by_a_claim(SUSPECTED, Claimed(9.0), TAKING)]
#[case::it_serves(TAKING, Served, Phase::Settling)]
#[case::all_is_out(Phase::Settling, Settled, Phase::Steady)]
#[case::a_drain(Phase::Steady, Drains(5.0), DRAINING)]
#[case::handed_over(DRAINING, Denied(7.0), HANDING)]
#[case::by_order_of_the_set(Phase::Steady, Denied(5.0), HANDING)]
#[case::a_hang_in_a_drain(DRAINING, Lost(7.0), WITHOUT)]
#[case::a_drain_of_the_suspected(SUSPECTED, Drains(7.0), WITHOUT)]
#[case::the_successor_dies(TAKING, Lost(9.0), WITHOUT)]
#[case::the_successor_hangs(TAKING, Silent(9.0), WITHOUT)]
#[case::the_successor_denies(TAKING, Denied(9.0), HANDING)]
#[case::a_second_change_in_the_release(Phase::Settling, Silent(5.0), SUSPECTED)]
#[case::a_late_word_of_a_write(SUSPECTED, Served, SUSPECTED)]
#[case::nothing_new(WITHOUT, Lost(9.0), WITHOUT)]
fn an_input_moves_it(#[case] from: Phase, #[case] input: PhaseInput, #[case] to: Phase) {
    assert_eq!(from.after(input), to);
}

#[test]
fn writes_go_out_in_three_phases_only() {
    let all = [Phase::Steady, SUSPECTED, DRAINING, HANDING, WITHOUT, TAKING, Phase::Settling];
    let open: Vec<_> = all.into_iter().filter(|p| p.takes_writes()).map(Phase::name).collect();
    assert_eq!(open, ["steady", "taking over", "settling"]);
    assert_eq!(all.map(|p| p.change().is_some()), all.map(|p| p.began().is_some()));
}
