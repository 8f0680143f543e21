//! Changes of primary against the built program: each kind under load, with every write accounted for.

use std::path::Path;
use std::time::Duration;

use pipittack_testkit::trial::{play, Kind, Plan};
use rstest::rstest;

/// One kind of change, twice in each of two sets; a round later both sets at once where that is asked for. Verdicts
/// are those of the accounts: none depends on how fast the machine is.
fn plan(name: &str, kind: Option<Kind>, rounds: usize) -> Plan {
    Plan {
        program: env!("CARGO_BIN_EXE_pipittack").into(),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("failover-{}-{name}", std::process::id())),
        rounds,
        sets: 2,
        seed: 11,
        scale: 0.3,
        slack: Duration::from_secs(10),
        only: kind,
        tell: false,
    }
}

#[rstest]
#[case::a_write_whose_fate_is_unknown(Kind::Hang, 4)]
#[case::a_death(Kind::Death, 4)]
#[case::a_cut(Kind::Cut, 4)]
#[case::a_handover_by_order(Kind::Switch, 6)]
#[case::a_drain(Kind::Drain, 4)]
#[case::a_failover_that_begins_during_a_drain(Kind::HangInDrain, 4)]
#[case::a_primary_that_comes_back_and_still_claims(Kind::FalsePrimary, 4)]
#[case::two_that_claim_at_once(Kind::TwoClaims, 4)]
#[case::a_successor_that_dies_while_it_takes_over(Kind::SuccessorDies, 2)]
#[case::a_pause_that_is_no_change(Kind::Pause, 6)]
#[case::a_list_that_is_silent(Kind::ListSilent, 4)]
#[case::an_upgrade_in_the_middle(Kind::Upgrade, 1)]
fn every_write_gets_one_honest_answer(#[case] kind: Kind, #[case] rounds: usize) {
    let report = play(plan(&format!("{kind:?}"), Some(kind), rounds)).expect("the trial can be played");
    assert!(report.is_clean(), "{report:?}");
    assert_eq!(report.rounds, rounds as u64);
    assert!(
        report.served > 0 && report.writes == report.served + report.refused + report.failed + report.left
    );
}

/// All sets lose their primaries in the same moment.
#[test]
fn all_sets_at_once() {
    let report = play(Plan { sets: 4, ..plan("together", Some(Kind::Hang), 4) }).expect("it can be played");
    assert!(report.is_clean() && report.served > 0, "{report:?}");
}
