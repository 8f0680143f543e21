//! Failovers under load against the built program. Each kind of fault is injected, and the response to every
//! write is checked against what the data servers executed.

use std::path::Path;
use std::time::Duration;

use pipittack_testkit::failover_trial::{run, FaultKind, TrialOptions};
use rstest::rstest;

/// Returns the options of a trial with two replica sets and one kind of fault. Whether the trial passes
/// depends only on the records of clients and servers and not on the speed of the machine.
fn options(name: &str, fault: Option<FaultKind>, rounds: usize) -> TrialOptions {
    TrialOptions {
        program: env!("CARGO_BIN_EXE_pipittack").into(),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("failover-{}-{name}", std::process::id())),
        rounds,
        replica_set_count: 2,
        seed: 11,
        scale: 0.3,
        response_slack: Duration::from_secs(10),
        only_kind: fault,
        verbose: false,
    }
}

#[rstest]
#[case::primary_paused(FaultKind::PrimaryPaused, 4)]
#[case::primary_crash(FaultKind::PrimaryCrash, 4)]
#[case::network_partition(FaultKind::NetworkPartition, 4)]
#[case::switchover(FaultKind::Switchover, 6)]
#[case::draining_switchover(FaultKind::DrainingSwitchover, 4)]
#[case::pause_while_draining(FaultKind::PauseWhileDraining, 4)]
#[case::stale_primary(FaultKind::StalePrimary, 4)]
#[case::concurrent_primaries(FaultKind::ConcurrentPrimaries, 4)]
#[case::successor_crash(FaultKind::SuccessorCrash, 2)]
#[case::short_pause(FaultKind::ShortPause, 6)]
#[case::discovery_silent(FaultKind::DiscoverySilent, 4)]
#[case::proxy_upgrade(FaultKind::ProxyUpgrade, 1)]
fn every_write_gets_one_correct_response(#[case] fault: FaultKind, #[case] rounds: usize) {
    let report = run(options(&format!("{fault:?}"), Some(fault), rounds)).expect("the trial can be run");
    assert!(report.is_clean(), "{report:?}");
    assert_eq!(report.rounds, rounds as u64);
    assert!(
        report.served > 0
            && report.writes == report.served + report.rejected + report.failed + report.abandoned
    );
}

/// The primaries of all sets are paused at the same time.
#[test]
fn every_write_gets_one_correct_response_when_all_sets_fail_over_at_once() {
    let report =
        run(TrialOptions { replica_set_count: 4, ..options("together", Some(FaultKind::PrimaryPaused), 4) })
            .expect("the trial can be run");
    assert!(report.is_clean() && report.served > 0, "{report:?}");
}
